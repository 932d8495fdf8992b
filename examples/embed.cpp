// Embeds the coordination library: two workers share four licences of a program through a lender.
//
// The embedding program provides a table (here a map in memory), a clock (here a variable that the
// loop advances) and a transport (here a function call). A real program sends LoanReport and
// LoanGrant over its own protocol.
#include "sequoiapier/borrower.h"
#include "sequoiapier/lender.h"
#include "sequoiapier/ownership.h"

#include <cstdio>
#include <map>
#include <memory>

using namespace sequoiapier;

namespace {

constexpr const char *Resource = "licences";
constexpr std::int64_t Licences = 4;

// Transactional in-memory table with compare-and-set.
class LocalTable
{
public:
    Table hooks()
    {
        Table table;
        table.read = [this](std::string_view key, TimePoint, const Table::ReadCallback &callback) {
            const auto found = m_rows.find(std::string(key));
            if (found == m_rows.end())
                callback(std::optional<TableRow>());
            else
                callback(std::optional(found->second));
        };
        table.scan
            = [this](std::string_view prefix, TimePoint, const Table::ScanCallback &callback) {
                  std::vector<TableRow> rows;
                  for (const auto &[key, row] : m_rows) {
                      if (key.starts_with(prefix))
                          rows.push_back(row);
                  }
                  callback(rows);
              };
        table.commit = [this](const Commit &commit, TimePoint,
                              const Table::CommitCallback &callback) { callback(apply(commit)); };
        return table;
    }

private:
    CommitAnswer apply(const Commit &commit)
    {
        for (const RowWrite &write : commit.writes) {
            const auto found = m_rows.find(write.key);
            if ((found != m_rows.end() ? found->second.version : 0) != write.baseVersion)
                return {CommitOutcome::Conflict, {}};
        }
        CommitAnswer answer{CommitOutcome::Committed, {}};
        for (const RowWrite &write : commit.writes) {
            answer.versions.push_back(++m_version);
            if (write.value)
                m_rows[write.key] = {write.key, *write.value, m_version};
            else
                m_rows.erase(write.key);
        }
        return answer;
    }

    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_version = 0;
};

// The lending process. It acquires ownership of the resource through the table and answers the
// reports of borrowers.
class LicenceServer
{
public:
    LicenceServer(LocalTable &table, const TimePoint &now)
        : m_now(now)
        , m_ownership({.self = {"server", 1}, .zone = "a"}, table.hooks(),
                      {.now = [this] { return m_now; },
                       .onAcquired = [this](const OwnedResource &owned) { start(owned); },
                       .onLost = [this](const std::string &) { m_lender.reset(); }})
    {
        m_ownership.setResources({Resource});
    }

    void tick() { m_ownership.tick(); }

    LoanGrant answer(const LoanReport &report)
    {
        if (!m_lender)
            return {.resource = report.resource, .code = ResultCode::NotOwner};
        m_lender->setOwnedUntil(m_ownership.ownedUntil());
        return m_lender->report(report, m_now);
    }

private:
    void start(const OwnedResource &owned)
    {
        Lender::Options options{.resource = owned.name, .capacity = Licences};
        options.epoch = owned.epoch;
        options.priorCapacity = owned.epoch > 1 ? Licences : 0;
        options.priorBorrowers = owned.borrowers;
        m_lender = std::make_unique<Lender>(options, m_now);
    }

    const TimePoint &m_now;
    Ownership m_ownership;
    std::unique_ptr<Lender> m_lender;
};

} // namespace

int main()
{
    TimePoint now{std::chrono::hours(1)};
    LocalTable table;
    LicenceServer server(table, now);
    Borrower workers[] = {Borrower({.resource = Resource, .self = {"worker-1", 1}}),
                          Borrower({.resource = Resource, .self = {"worker-2", 1}, .weight = 3})};
    for (int step = 0; step < 40; ++step, now += std::chrono::milliseconds(100)) {
        server.tick();
        for (Borrower &worker : workers) {
            const TimePoint sentAt = now;
            const LoanGrant grant = server.answer(worker.makeReport(Licences, now));
            worker.accept(grant, sentAt, now);
        }
    }
    std::int64_t started = 0;
    for (Borrower &worker : workers) {
        while (worker.tryAcquire(now))
            ++started;
        std::printf("%s runs %ld\n", worker.options().self.name.c_str(), long(worker.inUse()));
    }
    return started == Licences ? 0 : 1;
}

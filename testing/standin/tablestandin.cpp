#include "testing/standin/tablestandin.h"

#include "testing/standin/lostanswer.h"

namespace sequoiapier {

namespace {

constexpr int StatusUnavailable = 503;

std::vector<api::PlatformRow> toPlatformRows(const std::vector<TableRow> &rows)
{
    std::vector<api::PlatformRow> result;
    for (const TableRow &row : rows) {
        api::PlatformRow entry;
        entry.key = row.key;
        entry.value = row.value;
        entry.version = std::int64_t(row.version);
        result.push_back(std::move(entry));
    }
    return result;
}

std::vector<RowWrite> toWrites(const std::vector<api::PlatformWrite> &writes)
{
    std::vector<RowWrite> result;
    for (const api::PlatformWrite &write : writes) {
        RowWrite entry{.key = write.key, .baseVersion = std::uint64_t(write.baseVersion)};
        if (write.__isset.value)
            entry.value = write.value;
        result.push_back(std::move(entry));
    }
    return result;
}

api::PlatformCommitOutcome::type toPlatformOutcome(CommitOutcome outcome)
{
    return outcome == CommitOutcome::Committed ? api::PlatformCommitOutcome::COMMITTED
                                               : api::PlatformCommitOutcome::CONFLICT;
}

} // namespace

TableStandin::TableStandin(Daemon &daemon)
    : m_daemon(daemon)
    , m_record({{"reads", 0}, {"scans", 0}, {"commits", 0}, {"conflicts", 0}})
{
    addMethods();
    m_daemon.route("/table",
                   [this](const std::shared_ptr<HttpExchange> &exchange) { serve(exchange); });
    m_daemon.route("/record", [this](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->reply({.body = m_record.dump() + "\n"});
    });
    m_daemon.route("/faults", [this](const std::shared_ptr<HttpExchange> &exchange) {
        const Result<Faults> faults = parseFaults(exchange->request().body);
        if (faults)
            m_faults = faults.value();
        exchange->reply({.status = faults ? 200 : 400});
    });
}

void TableStandin::count(const char *call)
{
    m_record[call] = m_record[call].get<std::uint64_t>() + 1;
}

void TableStandin::addMethods()
{
    m_rpc.add<api::TableService_read_args, api::TableService_read_result>(
        "read", [this](const auto &args, const auto &answer) {
            count("reads");
            api::TableService_read_result result;
            result.success = toPlatformRows(m_table.read(args.key));
            result.__isset.success = true;
            answer(result);
        });
    m_rpc.add<api::TableService_scan_args, api::TableService_scan_result>(
        "scan", [this](const auto &args, const auto &answer) {
            count("scans");
            api::TableService_scan_result result;
            result.success = toPlatformRows(m_table.scan(args.prefix));
            result.__isset.success = true;
            answer(result);
        });
    m_rpc.add<api::TableService_commit_args, api::TableService_commit_result>(
        "commit", [this](const auto &args, const auto &answer) {
            const CommitAnswer done = m_table.commit(toWrites(args.writes));
            count(done.outcome == CommitOutcome::Committed ? "commits" : "conflicts");
            if (m_faults.lostCommits > 0 && args.writeId.starts_with(m_faults.lostCommitsPrefix)) {
                --m_faults.lostCommits;
                m_lostCommits.push_back(answer);
                return;
            }
            api::TableService_commit_result result;
            result.success.outcome = toPlatformOutcome(done.outcome);
            result.success.versions.assign(done.versions.begin(), done.versions.end());
            result.__isset.success = true;
            answer(result);
        });
}

void TableStandin::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    if (m_faults.outage) {
        if (m_faults.silent)
            m_unanswered.push_back(exchange);
        else
            exchange->reply({.status = StatusUnavailable});
        return;
    }
    if (m_faults.lostAnswers > 0) {
        --m_faults.lostAnswers;
        serveWithLostAnswer(m_rpc, *exchange);
        m_unanswered.push_back(exchange);
        return;
    }
    if (m_faults.delayMs > 0) {
        m_delays.push_back(
            std::make_unique<Timer>(m_daemon.loop(), [this, exchange] { m_rpc.serve(exchange); }));
        m_delays.back()->startAt(BootClock::now() + std::chrono::milliseconds(m_faults.delayMs));
        return;
    }
    m_rpc.serve(exchange);
}

} // namespace sequoiapier

#include "gateway/loanclient.h"

#include "peer/lendableresources.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration TableDeadline = std::chrono::seconds(2);
constexpr Duration LendDeadline = std::chrono::milliseconds(500);
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
constexpr Duration OwnerScanInterval = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr Duration ShortReportInterval = std::chrono::milliseconds(10);

} // namespace

LoanClient::LoanClient(Daemon &daemon, PeerNode &node, Hooks hooks)
    : m_node(node)
    , m_hooks(std::move(hooks))
    , m_recordTimer(daemon.loop(), [this] { recordBorrower(); })
    , m_scanTimer(daemon.loop(), [this] { scanOwners(); })
    , m_reportTimer(daemon.loop(),
                    [this] {
                        sendReports(false);
                        m_reportTimer.startAt(BootClock::now() + ReportInterval);
                    })
    , m_shortReportTimer(daemon.loop(), [this] {
        m_isShortReportScheduled = false;
        sendReports(true);
    })
{
    daemon.loop().onPause([this](const Pause &) { dropLeases(); });
}

void LoanClient::start()
{
    recordBorrower();
    m_reportTimer.startAt(BootClock::now() + ReportInterval);
}

void LoanClient::recordBorrower()
{
    const std::string key = borrowerKey(m_node.self());
    m_node.table().commit({.writeId = "borrower/" + toString(m_node.self()),
                           .writes = {{.key = key, .value = "{}", .baseVersion = 0}}},
                          BootClock::now() + TableDeadline, [this](const CommitAnswer &answer) {
                              // Only this process has this incarnation, so a conflict means that
                              // an earlier write of its own was committed.
                              m_isRecorded = answer.outcome == CommitOutcome::Committed
                                  || answer.outcome == CommitOutcome::Conflict;
                              if (m_isRecorded)
                                  scanOwners();
                              else
                                  m_recordTimer.startAt(BootClock::now() + RetryInterval);
                          });
}

void LoanClient::scanOwners()
{
    m_node.table().scan(OwnerPrefix, BootClock::now() + TableDeadline,
                        [this](const Result<std::vector<TableRow>> &rows) {
                            if (rows)
                                onOwners(rows.value());
                            m_scanTimer.startAt(BootClock::now() + OwnerScanInterval);
                        });
}

void LoanClient::onOwners(const std::vector<TableRow> &rows)
{
    bool hasChanged = false;
    for (const TableRow &row : rows) {
        const Result<OwnerRow> owner = parseOwnerRow(row.value);
        if (!owner)
            continue;
        OwnerRow &known = m_owners[row.key.substr(OwnerPrefix.size())];
        hasChanged = hasChanged || known.epoch != owner.value().epoch;
        known = owner.value();
    }
    for (auto &[key, loan] : m_loans)
        requireEpoch(key, loan.borrower);
    if (hasChanged)
        flush();
}

void LoanClient::requireEpoch(const LoanKey &key, Borrower &borrower) const
{
    const auto owner = m_owners.find(key.resource);
    if (owner != m_owners.end())
        borrower.requireEpoch(owner->second.epoch);
}

void LoanClient::setLoans(const std::set<LoanKey> &keys)
{
    std::erase_if(m_loans, [&](const auto &entry) {
        return !keys.contains(entry.first) && entry.second.borrower.inUse() == 0;
    });
    for (const LoanKey &key : keys) {
        MemberId self = m_node.self();
        if (!key.team.empty())
            self.name = teamBorrowerName(self.name, key.team);
        if (!m_loans.contains(key))
            m_loans.emplace(key, Loan{Borrower({.resource = key.resource, .self = self})});
        requireEpoch(key, m_loans.at(key).borrower);
    }
    flush();
}

Borrower *LoanClient::find(const LoanKey &key)
{
    const auto found = m_loans.find(key);
    return found != m_loans.end() ? &found->second.borrower : nullptr;
}

std::optional<LoanKey>
LoanClient::findIdle(std::string_view resource, TimePoint now,
                     const std::function<bool(std::string_view team)> &isNeeded) const
{
    const LoanKey first{std::string(resource), ""};
    for (auto loan = m_loans.lower_bound(first); loan != m_loans.end(); ++loan) {
        if (loan->first.resource != resource)
            break;
        if (loan->second.borrower.available(now) > 0 && !isNeeded(loan->first.team))
            return loan->first;
    }
    return std::nullopt;
}

void LoanClient::onDemandChanged(const LoanKey &key)
{
    const auto found = m_loans.find(key);
    if (found == m_loans.end())
        return;
    found->second.isReportDue = true;
    if (m_isShortReportScheduled)
        return;
    m_isShortReportScheduled = true;
    m_shortReportTimer.startAt(BootClock::now() + ShortReportInterval);
}

void LoanClient::flush()
{
    sendReports(false);
}

void LoanClient::sendReports(bool onlyDue)
{
    if (!m_isRecorded)
        return;
    std::map<std::string, std::vector<LoanKey>> byOwner;
    for (const auto &[key, loan] : m_loans) {
        const auto owner = m_owners.find(key.resource);
        if (owner != m_owners.end() && (loan.isReportDue || !onlyDue))
            byOwner[owner->second.owner.name].push_back(key);
    }
    for (const auto &[owner, keys] : byOwner) {
        if (!m_ownersInFlight.contains(owner))
            send(owner, keys);
    }
}

void LoanClient::send(const std::string &owner, const std::vector<LoanKey> &keys)
{
    const std::optional<Endpoint> endpoint = m_node.endpointOf(owner);
    if (!endpoint)
        return;
    const TimePoint sentAt = BootClock::now();
    api::PeerService_lend_args args;
    for (const LoanKey &key : keys) {
        Loan &loan = m_loans.at(key);
        loan.isReportDue = false;
        LoanReport report = loan.borrower.makeReport(m_hooks.demand(key), sentAt);
        report.servedMicroseconds = m_hooks.served(key, sentAt).count();
        args.reports.push_back(toWire(report));
    }
    m_ownersInFlight.insert(owner);
    m_node.call<api::PeerService_lend_args, api::PeerService_lend_result>(
        *endpoint, "lend", args, sentAt + LendDeadline,
        [this, owner, sentAt](const RpcAnswer<api::PeerService_lend_result> &answer) {
            m_ownersInFlight.erase(owner);
            if (answer.reply)
                onGrants(answer.reply->success, sentAt);
        });
}

void LoanClient::onGrants(const api::LendAnswer &answer, TimePoint sentAt)
{
    m_node.observe(answer.sender);
    const TimePoint now = BootClock::now();
    for (const api::LoanGrantMessage &message : answer.grants) {
        const LoanKey key{message.resource, teamOfBorrower(message.borrower)};
        Borrower *borrower = find(key);
        if (borrower == nullptr)
            continue;
        borrower->accept(fromWire(message), sentAt, now);
        if (borrower->available(now) > 0)
            m_hooks.onGranted(key);
        if (m_hooks.demand(key) > borrower->held())
            onDemandChanged(key);
    }
}

void LoanClient::dropLeases()
{
    for (auto &[name, loan] : m_loans)
        loan.borrower.dropLease();
    flush();
}

} // namespace sequoiapier

#include "gateway/loanclient.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr const char *PeerPath = "/peer";
constexpr Duration TableDeadline = std::chrono::seconds(2);
constexpr Duration LendDeadline = std::chrono::milliseconds(500);
constexpr Duration RetryInterval = std::chrono::milliseconds(500);
constexpr Duration OwnerScanInterval = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr Duration ShortReportInterval = std::chrono::milliseconds(10);

} // namespace

LoanClient::LoanClient(Daemon &daemon, PeerNode &node, Hooks hooks)
    : m_daemon(daemon)
    , m_node(node)
    , m_hooks(std::move(hooks))
    , m_recordTimer(daemon.loop(), [this] { recordBorrower(); })
    , m_scanTimer(daemon.loop(), [this] { scanOwners(); })
    , m_reportTimer(daemon.loop(),
                    [this] {
                        sendReports(false);
                        m_reportTimer.startAt(BootClock::now() + ReportInterval);
                    })
    , m_urgentTimer(daemon.loop(), [this] {
        m_isUrgentScheduled = false;
        sendReports(true);
    })
{
    daemon.loop().onPause([this](Duration) { dropLeases(); });
}

void LoanClient::start()
{
    recordBorrower();
    scanOwners();
    m_reportTimer.startAt(BootClock::now() + ReportInterval);
}

void LoanClient::recordBorrower()
{
    const std::string key = borrowerKey(m_node.self());
    m_node.table().commit(
        {.writeId = "borrower/" + toString(m_node.self()),
         .writes = {{.key = key, .value = "{}", .baseVersion = 0}}},
        BootClock::now() + TableDeadline, [this](const CommitAnswer &answer) {
            // The incarnation is this process's alone, so a conflict is its own earlier write.
            m_isRecorded = answer.outcome == CommitOutcome::Committed
                || answer.outcome == CommitOutcome::Conflict;
            if (m_isRecorded)
                flush();
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
        std::string &known = m_owners[row.key.substr(OwnerPrefix.size())];
        hasChanged = hasChanged || known != owner.value().owner.name;
        known = owner.value().owner.name;
    }
    if (hasChanged)
        flush();
}

void LoanClient::setResources(const std::vector<std::string> &names)
{
    const std::set<std::string, std::less<>> wanted(names.begin(), names.end());
    std::erase_if(m_loans, [&](const auto &entry) {
        return !wanted.contains(entry.first) && entry.second.borrower.inUse() == 0;
    });
    for (const std::string &name : names) {
        if (!m_loans.contains(name))
            m_loans.emplace(name, Loan {Borrower({.resource = name, .self = m_node.self()})});
    }
    flush();
}

Borrower *LoanClient::find(std::string_view resource)
{
    const auto found = m_loans.find(resource);
    return found != m_loans.end() ? &found->second.borrower : nullptr;
}

void LoanClient::onDemandChanged(std::string_view resource)
{
    const auto found = m_loans.find(resource);
    if (found == m_loans.end())
        return;
    found->second.isUrgent = true;
    if (m_isUrgentScheduled)
        return;
    m_isUrgentScheduled = true;
    m_urgentTimer.startAt(BootClock::now() + ShortReportInterval);
}

void LoanClient::flush()
{
    sendReports(false);
}

void LoanClient::sendReports(bool onlyUrgent)
{
    if (!m_isRecorded)
        return;
    std::map<std::string, std::vector<std::string>> byOwner;
    for (const auto &[name, loan] : m_loans) {
        const auto owner = m_owners.find(name);
        if (owner != m_owners.end() && (loan.isUrgent || !onlyUrgent))
            byOwner[owner->second].push_back(name);
    }
    for (const auto &[owner, resources] : byOwner) {
        if (!m_asked.contains(owner))
            send(owner, resources);
    }
}

void LoanClient::send(const std::string &owner, const std::vector<std::string> &resources)
{
    const std::optional<Endpoint> endpoint = m_node.endpointOf(owner);
    if (!endpoint)
        return;
    const TimePoint sentAt = BootClock::now();
    api::PeerService_lend_args args;
    args.sender = m_node.sender();
    for (const std::string &resource : resources) {
        Loan &loan = m_loans.at(resource);
        loan.isUrgent = false;
        args.reports.push_back(toWire(loan.borrower.makeReport(m_hooks.demand(resource), sentAt)));
    }
    m_asked.insert(owner);
    m_node.rpcClient().call<api::PeerService_lend_args, api::PeerService_lend_result>(
        *endpoint, PeerPath, "lend", args, sentAt + LendDeadline,
        [this, owner, sentAt](const RpcAnswer<api::PeerService_lend_result> &answer) {
            m_asked.erase(owner);
            if (answer.reply)
                onGrants(answer.reply->success, sentAt);
        });
}

void LoanClient::onGrants(const api::LendAnswer &answer, TimePoint sentAt)
{
    m_node.observe(answer.sender);
    const TimePoint now = BootClock::now();
    for (const api::LoanGrantMessage &message : answer.grants) {
        Borrower *borrower = find(message.resource);
        if (borrower == nullptr)
            continue;
        borrower->accept(fromWire(message), sentAt, now);
        if (borrower->available(now) > 0)
            m_hooks.onGranted(message.resource);
        if (m_hooks.demand(message.resource) > borrower->held())
            onDemandChanged(message.resource);
    }
}

void LoanClient::dropLeases()
{
    for (auto &[name, loan] : m_loans)
        loan.borrower.dropLease();
    flush();
}

} // namespace sequoiapier

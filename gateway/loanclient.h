// LoanClient: the loans of one gateway, kept up with the schedulers that own the resources.
//
//   LoanClient loans(daemon, node, {.demand = ..., .onGranted = ...});
//   loans.start();                                  // once the node has joined
//   loans.setLoans({{"slots/pricing", "depot"}, {"ceiling/depot", ""}});
//   if (loans.find(key)->tryAcquire(now)) ...
//   loans.onDemandChanged(key);                     // work waits and no unit is free
//
// A gateway borrows runner slots for each team apart, as the borrower "<gateway>#<team>", so that
// the lender can share them among teams wherever their callers arrive.
//
// Reports go to each owner every ReportInterval, one message for all its resources, and as soon as
// ShortReportInterval after more units are wanted. The gateway records itself as a borrower in the
// table before its first report, and learns the owners and their epochs from the table after that,
// so that no lender of an earlier epoch can lend to it.
#pragma once

#include "peer/peernode.h"
#include "sequoiapier/borrower.h"
#include "sequoiapier/ownerrow.h"

#include <map>
#include <set>

namespace sequoiapier {

struct LoanKey
{
    std::string resource;
    std::string team; // empty where units are not lent by team

    auto operator<=>(const LoanKey &) const = default;
};

class LoanClient
{
public:
    struct Hooks
    {
        // Units wanted of a resource, with those in use.
        std::function<std::int64_t(const LoanKey &)> demand;
        // Time that units of a resource were in use for work of the team, on whatever loan.
        std::function<Duration(const LoanKey &, TimePoint now)> served;
        // Units may have become free.
        std::function<void(const LoanKey &)> onGranted;
    };

    LoanClient(Daemon &daemon, PeerNode &node, Hooks hooks);

    void start();
    // Starts to borrow under `keys`; other loans with nothing in use are dropped.
    void setLoans(const std::set<LoanKey> &keys);
    // nullptr if the loan was never set.
    Borrower *find(const LoanKey &key);
    // A loan of `resource` with a free unit whose team does not need it; nullopt if there is none.
    std::optional<LoanKey>
    findIdle(std::string_view resource, TimePoint now,
             const std::function<bool(std::string_view team)> &needsIt) const;
    // Reports the loan soon: more units are wanted, or others want what was released.
    void onDemandChanged(const LoanKey &key);
    // Reports at once, for instance with no demand at shutdown.
    void flush();

private:
    struct Loan
    {
        Borrower borrower;
        bool isUrgent = false; // wants more units than it holds
    };

    void recordBorrower();
    void scanOwners();
    void onOwners(const std::vector<TableRow> &rows);
    void sendReports(bool onlyUrgent);
    void send(const std::string &owner, const std::vector<LoanKey> &keys);
    void onGrants(const api::LendAnswer &answer, TimePoint sentAt);
    void requireEpoch(const LoanKey &key, Borrower &borrower) const;
    void dropLeases();

    PeerNode &m_node;
    Hooks m_hooks;
    bool m_isRecorded = false;
    std::map<LoanKey, Loan> m_loans;
    std::map<std::string, OwnerRow, std::less<>> m_owners; // by resource
    std::set<std::string> m_asked; // owners with a message on its way
    Timer m_recordTimer;
    Timer m_scanTimer;
    Timer m_reportTimer;
    Timer m_urgentTimer;
    bool m_isUrgentScheduled = false;
};

} // namespace sequoiapier

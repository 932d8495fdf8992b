// LoanClient: the loans of one gateway, kept up to date by reports to the schedulers that own the
// resources.
//
//   LoanClient loans(daemon, node, {.demand = ..., .onGranted = ...});
//   loans.start();                                  // once the node has joined
//   loans.setLoans({{"slots/pricing", "depot"}, {"ceiling/depot", ""}});
//   if (loans.find(key)->tryAcquire(now)) ...
//   loans.onDemandChanged(key);                     // requests wait and no unit is free
//
// A gateway borrows runner slots separately for each team, as the borrower "<gateway>#<team>", so
// that the lender can share the slots among teams whichever gateways their callers use.
//
// Each owner gets one message for all its resources every ReportInterval, and another one
// ShortReportInterval after more units are wanted. The gateway records itself as a borrower in the
// table before its first report. It reads the owners and their epochs from the table after that, so
// that no lender of an earlier epoch can lend to it.
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
    std::string team; // empty if the units are not lent to a team

    auto operator<=>(const LoanKey &) const = default;
};

class LoanClient
{
public:
    struct Hooks
    {
        // Returns the number of units wanted of a resource, including those in use.
        std::function<std::int64_t(const LoanKey &)> demand;
        // Returns the time for which work of the team has used units of the resource, on any loan.
        std::function<Duration(const LoanKey &, TimePoint now)> served;
        // Called when units of a loan may have become free.
        std::function<void(const LoanKey &)> onGranted;
    };

    LoanClient(Daemon &daemon, PeerNode &node, Hooks hooks);

    void start();
    // Starts to borrow under `keys`. Drops all other loans without units in use.
    void setLoans(const std::set<LoanKey> &keys);
    // Returns nullptr for a loan that is not set.
    Borrower *find(const LoanKey &key);
    // Returns a loan of `resource` with a free unit that its team does not need, or nullopt.
    std::optional<LoanKey>
    findIdle(std::string_view resource, TimePoint now,
             const std::function<bool(std::string_view team)> &isNeeded) const;
    // Reports the loan after ShortReportInterval. Call it when more units are wanted, or when units
    // were released that other borrowers want.
    void onDemandChanged(const LoanKey &key);
    // Reports all loans now, for instance that there is no demand at shutdown.
    void flush();

private:
    struct Loan
    {
        Borrower borrower;
        bool isReportDue = false; // to be reported after ShortReportInterval
    };

    void recordBorrower();
    void scanOwners();
    void onOwners(const std::vector<TableRow> &rows);
    void sendReports(bool onlyDue);
    void send(const std::string &owner, const std::vector<LoanKey> &keys);
    void onGrants(const api::LendAnswer &answer, TimePoint sentAt);
    void requireEpoch(const LoanKey &key, Borrower &borrower) const;
    void dropLeases();

    PeerNode &m_node;
    Hooks m_hooks;
    bool m_isRecorded = false;
    std::map<LoanKey, Loan> m_loans;
    std::map<std::string, OwnerRow, std::less<>> m_owners; // by resource name
    std::set<std::string> m_ownersInFlight; // names of owners with a report in flight
    Timer m_recordTimer;
    Timer m_scanTimer;
    Timer m_reportTimer;
    Timer m_shortReportTimer;
    bool m_isShortReportScheduled = false;
};

} // namespace sequoiapier

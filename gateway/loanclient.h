// LoanClient: the loans of one gateway, kept up with the schedulers that own the resources.
//
//   LoanClient loans(daemon, node, {.demand = ..., .onGranted = ...});
//   loans.start();                                  // once the node has joined
//   loans.setResources(names);
//   if (loans.borrower("slots/pricing").tryAcquire(now)) ...
//   loans.onDemandChanged("slots/pricing");         // work waits and no unit is free
//
// Reports go to each owner every ReportInterval, one message for all its resources, and as soon as
// ShortReportInterval after more units are wanted. The gateway records itself as a borrower in the
// table before its first report.
#pragma once

#include "peer/peernode.h"
#include "sequoiapier/borrower.h"
#include "sequoiapier/ownerrow.h"

#include <map>
#include <set>

namespace sequoiapier {

class LoanClient
{
public:
    struct Hooks
    {
        // Units wanted of a resource, with those in use.
        std::function<std::int64_t(std::string_view resource)> demand;
        // Units may have become free.
        std::function<void(std::string_view resource)> onGranted;
    };

    LoanClient(Daemon &daemon, PeerNode &node, Hooks hooks);

    void start();
    // Starts to borrow `names`; others that have nothing in use are dropped.
    void setResources(const std::vector<std::string> &names);
    // nullptr if the resource was never set.
    Borrower *find(std::string_view resource);
    void onDemandChanged(std::string_view resource);
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
    void send(const std::string &owner, const std::vector<std::string> &resources);
    void onGrants(const api::LendAnswer &answer, TimePoint sentAt);
    void dropLeases();

    Daemon &m_daemon;
    PeerNode &m_node;
    Hooks m_hooks;
    bool m_isRecorded = false;
    std::map<std::string, Loan, std::less<>> m_loans;
    std::map<std::string, std::string, std::less<>> m_owners; // owning member by resource
    std::set<std::string> m_asked; // owners with a message on its way
    Timer m_recordTimer;
    Timer m_scanTimer;
    Timer m_reportTimer;
    Timer m_urgentTimer;
    bool m_isUrgentScheduled = false;
};

} // namespace sequoiapier

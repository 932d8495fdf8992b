// Scheduler: owns resources, as recorded in the table, and lends their units to gateways.
#pragma once

#include "peer/lendableresources.h"
#include "peer/peernode.h"
#include "scheduler/schedulersettings.h"
#include "sequoiapier/lender.h"
#include "sequoiapier/ownership.h"

#include <map>
#include <memory>

namespace sequoiapier {

class Scheduler
{
public:
    Scheduler(Daemon &daemon, const SchedulerSettings &settings);

    // Hands the resources over to the other schedulers, then calls `done`.
    void drain(std::function<void()> done);

private:
    void join();
    void applyConfiguration(const Configuration &configuration);
    void tick();
    void startLender(const OwnedResource &resource);
    void stopLender(const std::string &resource);
    LoanGrant lend(LoanReport report);
    std::vector<MemberId> teamBorrowers(const OwnedResource &resource) const;

    Daemon &m_daemon;
    SchedulerSettings m_settings;
    PeerNode m_node;
    std::unique_ptr<Ownership> m_ownership;
    std::map<std::string, std::int64_t> m_capacities; // in units, by resource name
    std::map<std::string, std::uint32_t, std::less<>> m_shares; // by team name
    std::map<std::string, Lender, std::less<>> m_lenders; // by resource name
    std::function<void()> m_drained;
    Timer m_tickTimer;
};

} // namespace sequoiapier

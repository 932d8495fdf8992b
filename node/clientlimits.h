// ClientLimits: the limits for callers and other clients of a node, as settings, and their report.
//
//   ClientLimits limits;
//   addClientLimitSettings(parser, limits);
//   ... parse ...
//   const Result<void> resolved = limits.resolve(nodeSettings);   // sets the derived defaults
//   ClientBudget budget(limits.budgetOptions());
//   ClientLimitReport report(daemon, budget);
#pragma once

#include "cli/daemon.h"
#include "cli/settingsparser.h"
#include "net/clientbudget.h"
#include "net/timer.h"
#include "platform/callerapi.h"
#include "platform/nodesettings.h"

#include <prometheus/counter.h>

#include <array>
#include <cstdint>

namespace sequoiapier {

// A default of 0 is derived from the node's settings by resolve(), if not stated otherwise.
struct ClientLimits
{
    std::int64_t memoryBytes = 0; // a quarter of limits.memory_mb
    std::int64_t connections = 0; // a quarter of limits.max_fds
    std::int64_t connectionsPerAddress = 0; // 0 if unlimited
    std::int64_t readinessConnections = 0; // 1/32 of limits.max_fds, 8 to 64
    std::int64_t adminConnections = 0; // a quarter of limits.max_fds, 8 to 1,024
    std::int64_t headerMilliseconds = 10'000;
    std::int64_t rateGraceMilliseconds = 10'000;
    std::int64_t minBytesPerSecond = 1'024;
    std::int64_t jsonValues = std::int64_t(DefaultMaxJsonValues);

    // Sets the defaults that depend on the node's settings. Returns InvalidSettings, naming the
    // flag and the value, if the limits don't fit into the settings.
    Result<void> resolve(const NodeSettings &settings);
    ClientBudget::Options budgetOptions() const;
};

void addClientLimitSettings(SettingsParser &parser, ClientLimits &limits);

// Counts the cases in which a limit was met, and logs them at most once a second for each limit.
class ClientLimitReport
{
public:
    ClientLimitReport(Daemon &daemon, ClientBudget &budget);

private:
    void report();

    const Logger &m_logger;
    ClientBudget &m_budget;
    std::array<prometheus::Counter *, ClientLimitCount> m_counters{};
    Timer m_timer;
};

} // namespace sequoiapier

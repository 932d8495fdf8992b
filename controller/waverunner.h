// WaveRunner: runs the ticks of maintenance waves over the table, on one event loop.
//
//   WaveRunner runner(table, {.isLost = ..., .expectedOut = ..., .ticked = ...}, options);
//   runner.tick("wave-7", now, wallSeconds); // on a timer, for each wave that has not ended
//
// Any number of controllers may run the same wave: of concurrent ticks, one commits. The only state
// is the set of ticks in progress. The WaveRunner must outlive its table calls.
#pragma once

#include "controller/waveplanner.h"
#include "sequoiapier/writeids.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class WaveRunner
{
public:
    // All hooks are required.
    struct Hooks
    {
        std::function<bool(const HostRow &)> isLost;
        // Estimated seconds from draining to serving again.
        std::function<std::int64_t(const HostRow &)> expectedOut;
        // Called after each tick that was planned. `isCommitted` is true if the tick had no writes
        // or its commit succeeded, and false for a conflict, a refusal or a lost answer.
        std::function<void(const WaveTick &, bool isCommitted)> ticked;
    };

    struct Options
    {
        std::string process; // with `incarnation`, makes write identifiers unique
        std::uint64_t incarnation = 0;
        Duration tableTimeout = std::chrono::seconds(2); // for all table calls of a tick
    };

    WaveRunner(Table table, Hooks hooks, Options options);

    // Starts a tick of the wave. Returns false if one is in progress. `wallSeconds` is Unix time.
    bool tick(std::string_view wave, TimePoint now, std::int64_t wallSeconds);

private:
    struct Tick;

    void readBudgets(const std::shared_ptr<Tick> &tick);
    void readHosts(const std::shared_ptr<Tick> &tick);
    void commit(const std::shared_ptr<Tick> &tick);
    bool addHosts(Tick &tick, const std::vector<TableRow> &rows) const;

    Table m_table;
    Hooks m_hooks;
    Options m_options;
    WriteIds m_writeIds;
    std::set<std::string, std::less<>> m_inProgress;
};

} // namespace sequoiapier

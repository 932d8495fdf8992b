// WaveRunner: takes the turns of maintenance waves over the table, on one loop.
//
//   WaveRunner runner(table, {.isLost = ..., .expectedOut = ..., .turned = ...}, options);
//   runner.turn("wave-7", now, wallSeconds); // on a timer, for each wave that has not ended
//
// Any number of controllers may run the same wave: of turns that race, one commits. It keeps
// nothing but the turns under way; it must outlive its calls of the table.
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
    // All are required.
    struct Hooks
    {
        std::function<bool(const HostRow &)> isLost;
        // Seconds from draining to serving again, an estimate.
        std::function<std::int64_t(const HostRow &)> expectedOut;
        // After each turn: planned, and committed if it had writes. `isCommitted` is false for a
        // conflict, a refusal and a lost answer.
        std::function<void(const WaveTurn &, bool isCommitted)> turned;
    };

    struct Options
    {
        std::string process; // with `incarnation`, makes write identifiers unique
        std::uint64_t incarnation = 0;
        Duration tableTimeout = std::chrono::seconds(2); // for the whole turn
    };

    WaveRunner(Table table, Hooks hooks, Options options);

    // False if a turn of the wave is under way. `wallSeconds` is Unix time.
    bool turn(std::string_view wave, TimePoint now, std::int64_t wallSeconds);

private:
    struct Turn;

    void readBudgets(const std::shared_ptr<Turn> &turn);
    void readHosts(const std::shared_ptr<Turn> &turn);
    void commit(const std::shared_ptr<Turn> &turn);
    bool addHosts(Turn &turn, const std::vector<TableRow> &rows) const;

    Table m_table;
    Hooks m_hooks;
    Options m_options;
    WriteIds m_writeIds;
    std::set<std::string, std::less<>> m_underWay;
};

} // namespace sequoiapier

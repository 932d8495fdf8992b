// HostMover: drives hosts through their steps over the table, on one loop.
//
//   HostMover mover(table, {.observe = ..., .drain = ..., .maintain = ..., .admit = ...}, options);
//   mover.beginMove("host-3", "spare", "op-17", now, wallSeconds, [](Result<HostRow> row) { ... });
//   mover.advance("host-3", now, wallSeconds); // on a timer, for each host that is not serving
//
// Several controllers may drive the same host at once: a change of the row is a compare-and-set,
// and commands are idempotent under the row's epoch. It must outlive its calls of the table. It
// keeps nothing but the hosts that have a read or a commit on its way, at most maxInFlight;
// advance() beyond that does nothing.
#pragma once

#include "controller/hostmove.h"
#include "sequoiapier/table.h"
#include "sequoiapier/writeids.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace sequoiapier {

class HostMover
{
public:
    // All are required.
    struct Hooks
    {
        // What is known of the host now.
        std::function<HostObservation(const HostRow &)> observe;
        // Commands to the host under the epoch of the row; repeated until observed.
        std::function<void(const HostRow &)> drain;
        std::function<void(const HostRow &)> maintain;
        std::function<void(const HostRow &)> admit;
        // After a change of a row committed by this controller.
        std::function<void(const HostRow &)> changed;
    };

    struct Options
    {
        std::string process; // with `incarnation`, makes write identifiers unique
        std::uint64_t incarnation = 0;
        Duration tableTimeout = std::chrono::seconds(1);
        std::size_t maxInFlight = 1024;
    };

    using ChangeCallback = std::function<void(Result<HostRow>)>;

    HostMover(Table table, Hooks hooks, Options options);

    // Takes the host's next step; one at a time for each host. False if one is under way or
    // maxInFlight is reached. `wallSeconds` is Unix time.
    bool advance(std::string_view host, TimePoint now, std::int64_t wallSeconds);

    // Starts a move. A repeated operationId finds the first outcome. Conflict if another change
    // came first; CommitUnknown if the table could not be asked; errors of sequoiapier::beginMove.
    void beginMove(std::string_view host, std::string_view targetPool, std::string_view operationId,
                   TimePoint now, std::int64_t drainDeadline, const ChangeCallback &done);

    // Sends a draining host back to its pool.
    void undo(std::string_view host, TimePoint now, const ChangeCallback &done);

    std::size_t inFlight() const { return m_inFlight.size(); }

private:
    using RowCallback = std::function<void(Result<HostRow>, std::uint64_t version)>;

    void readHost(std::string_view host, TimePoint deadline, const RowCallback &done);
    void takeStep(const HostRow &row, std::uint64_t version, TimePoint deadline,
                  std::int64_t wallSeconds);
    void commitRow(const HostRow &next, std::uint64_t version, const std::string &writeId,
                   TimePoint deadline, const ChangeCallback &done);
    void resolve(const HostRow &next, const std::string &writeId, TimePoint deadline,
                 ResultCode otherwise, const ChangeCallback &done);

    Table m_table;
    Hooks m_hooks;
    Options m_options;
    WriteIds m_writeIds;
    std::set<std::string, std::less<>> m_inFlight;
};

} // namespace sequoiapier

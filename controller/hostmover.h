// HostMover: runs the moves and maintenance of hosts over the table, on one event loop.
//
//   HostMover mover(table, {.observe = ..., .drain = ..., .maintain = ..., .admit = ...}, options);
//   mover.beginMove("host-3", "spare", "op-17", now, drainDeadline, done);
//   mover.advance("host-3", now, wallSeconds); // on a timer, for each host that is not serving
//
// Several controllers may advance the same host concurrently: a change of the row is
// a compare-and-set, and commands are idempotent under the row's epoch. The HostMover must outlive
// its table calls. Its only state is the set of hosts with a read or commit in flight, at most
// maxInFlight; beyond that, advance() does nothing.
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
    // All hooks are required.
    struct Hooks
    {
        // Returns the last report of the host.
        std::function<HostObservation(const HostRow &)> observe;
        // Send a command to the host under the epoch of the row. They are called again at each step
        // until observe() shows the effect.
        std::function<void(const HostRow &)> drain;
        std::function<void(const HostRow &)> maintain;
        std::function<void(const HostRow &)> admit;
        // Called with the new row after this controller has committed a change of it.
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

    // Takes the host's next step. Returns false if a step of this host is in flight or maxInFlight
    // is reached. `wallSeconds` is Unix time.
    bool advance(std::string_view host, TimePoint now, std::int64_t wallSeconds);

    // Starts a move. A repeated operationId gets the outcome of the first call. Fails with Conflict
    // if another change came first, with CommitUnknown if the table did not answer, and with the
    // errors of sequoiapier::beginMove().
    void beginMove(std::string_view host, std::string_view targetPool, std::string_view operationId,
                   TimePoint now, std::int64_t drainDeadline, const ChangeCallback &done);

    // Returns a draining host to its pool; see undoDrain().
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
                 ResultCode codeWithoutRecord, const ChangeCallback &done);

    Table m_table;
    Hooks m_hooks;
    Options m_options;
    WriteIds m_writeIds;
    std::set<std::string, std::less<>> m_inFlight;
};

} // namespace sequoiapier

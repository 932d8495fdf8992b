// Runner: what a pool's owner knows about a runner, namely its entry in the live list, its answers,
// and the runs that may exist on it.
#pragma once

#include "jobs/job.h"
#include "jobs/pacecontrol.h"
#include "net/endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sequoiapier::jobs {

// Entry of a runner in the platform's live list.
struct RunnerEntry
{
    // Identifies this incarnation, unless the runner restarted under its old identifier.
    std::string id;
    // Unix milliseconds; distinguishes two incarnations with the same id; 0 if unknown.
    std::int64_t bornAt = 0;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    std::string host; // Machine that the runner runs on; empty if unknown.
    std::vector<std::string> labels; // Kind of the host, then its rack.
    Resources capacity;
    bool isDraining = false;
    bool isCold = false; // True while the runner is still slow after its start.
    TimePoint listedAt{}; // When the read of the list that last contained this runner was sent.

    std::string_view rack() const { return labels.size() > 1 ? labels[1] : std::string_view(); }
};

// A run that may exist on a runner.
struct Run
{
    TaskName task;
    std::uint64_t number = 0;
    Resources room; // Resources taken on the runner.
    Resources charge; // Resources counted against the team's ceiling.
    std::string team;
    std::string image; // Image that the task runs; empty if none was named.
    bool isFilling = false; // Uses only processor time that the other tasks leave.
    bool isLasting = false; // Keeps its runner's host in the pool.
    // Target for the tail of a serving task's response times; 0 if none.
    std::uint32_t targetMilliseconds = 0;
    std::uint32_t percent = 100; // Percentage that the runner was last told to let the run use.
    TimePoint nextPaceAt{}; // Earliest time of the next pace order.
    bool isOfEarlierOwner = false; // An earlier owner ordered it.
    bool isInherited = false; // An earlier owner ordered it, and its job has ended since.
    bool isStopRequested = false; // The run is to be stopped.
    bool isMissing = false; // The stop is requested only because a report left the run out.
    bool isStopSent = false; // A stop was sent and has not been answered yet.
    TimePoint lateStopUntil{}; // The last stop that was sent may be carried out until then.
    TimePoint nextStopAt{}; // Earliest time of the next stop order; unset before the first answer.
    TimePoint stopAnsweredAt{}; // The run can't begin any more from then on.
    // The run may hold a lease until then even if the runner's other runs have expired, since a
    // life of the runner that is not known may have it. Unset if the owner knows that none has.
    TimePoint leaseEnd{};

    // Returns whether a stop order was sent, which may be carried out seconds later even if its
    // answer was lost.
    bool mayBeStopped() const { return isStopSent || nextStopAt != TimePoint{}; }
};

// A runner that takes only tasks that last, or that end before its room is needed for one.
struct Reservation
{
    bool isActive = false; // A lasting task waits for the room, as of the last plan.
    TimePoint neededAt{}; // When the room is expected to be free.
    TimePoint until{}; // When the reservation ends; unset if there was none.
};

// Returns whether the size fits, to the precision of sums of fractions of a core.
bool fits(const Resources &size, const Resources &room);

using RunKey = std::pair<TaskName, std::uint64_t>;

struct Runner
{
    RunnerEntry entry;
    bool isListed = false; // True if the runner is in the latest live list.
    std::int64_t bornAt = 0; // Start time of the incarnation that reported last.
    PaceControl pace; // Pace of the filling tasks.
    // Calls that were meant for an earlier incarnation may be carried out until then. They carry
    // leases on that incarnation's clock. Unset if the runner has not restarted.
    TimePoint lateCallsUntil{};
    Reservation reservation;
    bool isQuarantined = false; // Fails, stalls or slows down its tasks more than its peers do.
    // The runner gets no new task before then because its host is to leave.
    TimePoint evacuatedUntil{};
    std::map<RunKey, Run> runs;
    Resources used; // Resources used by the runs.
    std::uint64_t appliedEnds = 0; // Number of the last end applied to the jobs.
    std::uint64_t durableEnds = 0; // Number of the last end that is in the store.
    TimePoint leaseEnd{}; // Runs not renewed since have expired by then.
    // Earlier owners have not renewed the lease since, as far as that is known.
    TimePoint renewedUntil = TimePoint::max();
    TimePoint answeredAt{};
    TimePoint fencedAt{}; // When the runner first reported to this owner; unset before.
    TimePoint reportSentAt{}; // When the call that the latest report answers was sent.
    TimePoint avoidUntil{}; // The runner gets no new task before then.
    std::uint32_t missedCalls = 0; // Number of unanswered calls since the last answer.
    std::uint32_t startsUnderWay = 0; // Number of starts sent and not answered.

    // Returns whether the runner has answered a call with this owner's fence.
    bool isFenced() const { return fencedAt != TimePoint{}; }
    bool hasRestarted() const { return lateCallsUntil != TimePoint{}; }
    // Returns whether the live list names a later incarnation than the one that reported last. The
    // clock and the ends that are known are those of the earlier one.
    bool isUnreported() const { return bornAt != 0 && entry.bornAt > bornAt; }
    // Number of the last end that the runner may forget. It is 0 if another incarnation, whose ends
    // have the same numbers, may answer next.
    std::uint64_t seenEnds() const { return missedCalls == 0 && !isUnreported() ? durableEnds : 0; }
    // Returns whether tasks may be placed on the runner, however full it is. The live list still
    // contains a runner for seconds after its host was moved away; such a runner misses calls.
    bool isOpen(TimePoint now) const
    {
        return isListed && !entry.isDraining && now >= evacuatedUntil && missedCalls == 0
            && !isQuarantined && !isUnreported();
    }
    Resources room() const
    {
        Resources room = entry.capacity;
        room -= used;
        return room;
    }
};

// Describes the runner's life and its contact to the owner, for the log.
std::string describeContact(const Runner &runner, TimePoint now);

// A run as listed in a runner's report.
struct RunReport
{
    TaskName task;
    std::uint64_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    // Tail of response times in milliseconds, or thousandths of a core.
    std::uint32_t measurement = 0;
};

enum class EndKind : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken, // Another member of the gang ended.
    Alone, // The gang was not complete in time.
};

std::string_view toString(EndKind kind);

struct RunEnd
{
    // Number of the end, counted from the start of the runner's incarnation.
    std::uint64_t number = 0;
    TaskName task;
    std::uint64_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

// Answer of a runner to a lease renewal.
struct RunnerReport
{
    std::int64_t clock = 0; // Milliseconds on the runner's own clock.
    std::int64_t bornAt = 0;
    std::vector<RunReport> running;
    std::vector<RunEnd> ends;
    // False if the runner may have counted more ends than it lists. A run that the report leaves
    // out may then have ended in any way.
    bool areEndsComplete = true;
};

enum class StartOutcome : std::uint8_t {
    Started,
    Rejected, // The runner did nothing and never will.
    NoRoom,
    OldRun, // The runner has seen this run or a later one.
    Late, // The lease sent with the start had expired.
    Fenced, // A later owner has given orders to the runner.
    TicketRefused,
    Unhealthy, // The runner refuses all work for now.
    OtherIncarnation, // Another runner answered at the address.
    NotSent,
    Unanswered, // The start may have been carried out or may be carried out later.
};

std::string_view toString(StartOutcome outcome);

} // namespace sequoiapier::jobs

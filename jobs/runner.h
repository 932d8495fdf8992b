// What a pool's owner knows of a runner: its entry in the live list, its answers, and the runs that
// may exist on it.
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

// A runner as the platform's live list shows it.
struct RunnerEntry
{
    std::string id; // of this life of the runner, unless it was reborn under its old id
    std::int64_t bornAt = 0; // Unix milliseconds; tells two lives of one id apart; 0: not told
    std::string service;
    Endpoint endpoint;
    std::string zone;
    std::string host; // the machine that it is a life of; empty: not told
    std::vector<std::string> labels; // the kind of its host, then the rack
    Resources capacity;
    bool isDraining = false;
    bool isCold = false; // just started and still slow
    TimePoint listedAt{}; // when the read was sent of the list that it was in last

    std::string_view rack() const { return labels.size() > 1 ? labels[1] : std::string_view(); }
};

// A run that may exist on a runner.
struct Run
{
    TaskName task;
    std::uint64_t number = 0;
    Resources room; // taken on the runner
    Resources charge; // counted against the team's ceiling
    std::string team;
    bool isFilling = false; // takes what the others leave
    bool isLasting = false; // keeps its runner's host in the pool
    std::uint32_t targetMilliseconds = 0; // of a task that serves, for its tail; 0: none
    std::uint32_t percent = 100; // that the runner was last told to let it work at
    TimePoint paceAgainAt{}; // not to be told again before
    bool isUnwanted = false; // to be stopped
    bool isStopSent = false; // and not answered yet
    TimePoint stopAgainAt{}; // not to be sent before
    TimePoint stopAnsweredAt{}; // it can't begin any more since
};

using RunKey = std::pair<TaskName, std::uint64_t>;

struct Runner
{
    RunnerEntry entry;
    bool isListed = false; // in the newest live list
    bool isFenced = false; // has answered a call with this owner's fence
    std::int64_t bornAt = 0; // of the life that reported last
    PaceControl pace; // of the tasks that fill
    bool isKept = false; // for a task that lasts and waits for room here
    bool isSetAside = false; // fails, stalls or slows down what it runs, unlike its peers
    TimePoint evacuatedUntil{}; // its host is to go: it takes no new task before
    std::map<RunKey, Run> runs;
    Resources used; // by the runs
    std::uint64_t notedEnds = 0; // number of the last end taken into the jobs
    std::uint64_t durableEnds = 0; // number of the last end that is in the store
    TimePoint leaseEnd{}; // runs not renewed since have lapsed by then
    TimePoint answeredAt{};
    TimePoint avoidUntil{}; // takes no new task before
    std::uint32_t missedCalls = 0; // since the last answer
    std::uint32_t startsUnderWay = 0; // sent and not answered

    // Ends that the runner may forget. After a missed call another life may answer, whose ends have
    // the same numbers.
    std::uint64_t seenEnds() const { return missedCalls == 0 ? durableEnds : 0; }
    // Whether it counts as a place for tasks, however full it is. The list names a runner for
    // seconds after its host was moved away; such a one misses calls.
    bool isOpen(TimePoint now) const
    {
        return isListed && !entry.isDraining && now >= evacuatedUntil && missedCalls == 0
            && !isSetAside;
    }
    Resources room() const
    {
        Resources room = entry.capacity;
        room -= used;
        return room;
    }
};

// One line of a runner's list of what runs on it.
struct RunReport
{
    TaskName task;
    std::uint64_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::uint32_t figure = 0; // tail of response times in milliseconds, or thousandths of a core
};

enum class EndKind : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken, // another member of the gang ended
    Alone, // the gang was not complete in time
};

std::string_view toString(EndKind kind);

struct RunEnd
{
    std::uint64_t number = 0; // counts the ends of a runner's life
    TaskName task;
    std::uint64_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

// A runner's answer to a renewal of its lease.
struct RunnerReport
{
    std::int64_t clock = 0; // milliseconds on its own clock
    std::int64_t bornAt = 0;
    std::vector<RunReport> running;
    std::vector<RunEnd> ends;
};

enum class StartOutcome : std::uint8_t {
    Started,
    Rejected, // the runner did nothing and will not
    NoRoom,
    OldRun, // it has seen this run or a later one
    Late, // the lease given with it had passed
    Fenced, // a later owner has given orders
    TicketRefused,
    Unhealthy, // the runner refuses all work for now
    OtherLife, // another runner answered at the address
    NotSent,
    Unanswered, // it may have been carried out, or may be later
};

std::string_view toString(StartOutcome outcome);

} // namespace sequoiapier::jobs

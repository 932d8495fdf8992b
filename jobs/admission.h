// Admission: decides from a predicted end whether a new job is accepted or refused.
//
//   admission.start(now);                            // a new owner has loaded the pool's rows
//   admission.beginSnapshot(room, now);              // at plan time; then for each live job:
//   admission.addBacklog(team, load);
//   admission.endSnapshot(running, now);
//   Admission::Decision decision = admission.decide(request, now);
//   if (!decision.isAccepted)
//       ... // answer with decision.retryAfter and keep nothing of the job
//   admission.recordEnd(prediction, now);            // an accepted job has completed
//
// A queue may send about four times its mean for some seconds. Jobs that arrive then would be
// accepted, wait until they have no value left for their callers, and still take up runners. Such
// jobs are refused in the first answer instead, and their callers are told when to return.
//
// The prediction has two steps, since jobs in time are placed before late ones. A job whose end is
// in time behind the work that ranks before it now is accepted. Otherwise it will be late, and is
// expected to end when all work that still has value is done: although late jobs rank behind it,
// jobs that arrive later rank before it. A job is refused only if that end is too late as well.
//
// The learned error of the prediction only moves it forward. If it also moved it back, refusals
// would keep the error alive that causes them.
//
// Cost: decide() is O(p) in the number of priorities, with a constant number of buckets each; a
// snapshot is O(log t) in teams for each job added. Memory: Options::maxRefusals refusals, and
// 1.5 KB for each priority of the pool and of each team with a ceiling.
#pragma once

#include "sequoiapier/bootclock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiapier::jobs {

class Admission
{
public:
    struct Options
    {
        bool isOn = true;
        // A backlog that is cleared within this time is no reason to refuse, nor is a larger one
        // that has not lasted for as long.
        Duration shortBacklog = std::chrono::seconds(2);
        // A pool that is short of hosts gets them from other pools within this time: a move takes
        // 1.5 s, and the plan of moves and the live list up to a second each. Its backlog is no
        // reason to refuse before it has stopped growing for as long.
        Duration growthTime = std::chrono::seconds(4);
        // A new owner whose runners have not all answered refuses nothing for this long.
        Duration startTime = std::chrono::seconds(2);
        // An older snapshot says nothing, as after a pause of the process.
        Duration maxSnapshotAge = std::chrono::seconds(1);
        Duration minRetry = std::chrono::seconds(1);
        Duration maxRetry = std::chrono::seconds(30);
        // Maximum number of remembered refusals and the time for which they are kept.
        std::size_t maxRefusals = 4'096;
        Duration refusalRetention = std::chrono::seconds(60);
        double newestWeight = 0.1; // Weight of the newest sample in learned averages.
        // Work of a team beyond what its ceiling lets it do in this time delays no other team. It
        // is about three objectives of common jobs.
        Duration teamHorizon = std::chrono::seconds(10);
        std::size_t maxGroups = 256; // Maximum number of pairs of queue and team that are counted.
    };

    // Capacity of the pool, in runners.
    struct Room
    {
        double runners = 0; // Usable runners, without what lasting tasks take of them.
        bool haveAllAnswered = false; // All listed runners have answered this owner.
    };

    // Waiting work of one job and its rank; see JobOrder::Rank.
    struct Load
    {
        std::uint32_t priority = 0;
        bool isBeyondShare = false;
        bool isLate = false;
        double work = 0; // Rank among the jobs in time.
        double runnerSeconds = 0;
        // Time that the work takes within the ceiling of the job's team; 0 if it has none.
        double teamSeconds = 0;
    };

    struct Request
    {
        std::string id;
        std::string queue;
        std::string team;
        Load load;
        double pathSeconds = 0; // Critical path, from mean run times.
        std::uint32_t pathSteps = 1; // Number of steps on the critical path.
        double objectiveSeconds = 0;
        double limitSeconds = 0; // The job has no value left if it takes longer.
    };

    // What was predicted for an accepted job.
    struct Prediction
    {
        std::string queue;
        std::string team;
        TimePoint endAt{};
        TimePoint limitAt{}; // The job has no value left after this.
    };

    struct Decision
    {
        bool isAccepted = true;
        Duration retryAfter{}; // In whole seconds; 0 if accepted.
        // Set if the job was refused before and returns in time.
        std::optional<TimePoint> firstRefusedAt;
        Prediction prediction;
        // The figures that decided, for the log.
        double backlog = 0; // Work done before the job, in runner-seconds.
        double runners = 0;
        double waitSeconds = 0;
        double predictedSeconds = 0;
        double limitSeconds = 0;
    };

    struct Counts
    {
        std::uint64_t accepted = 0;
        std::uint64_t refused = 0;
        std::uint64_t acceptedLate = 0; // Accepted jobs that ended after their limit.
        std::uint64_t refusedRoomCame = 0; // Refused jobs that the pool could have served.
    };

    explicit Admission(Options options)
        : m_options(options)
    { }

    void start(TimePoint now);
    void beginSnapshot(const Room &room, TimePoint now);
    void addBacklog(std::string_view team, const Load &load);
    // `running` is the work that is left in the runs, in runner-seconds.
    void endSnapshot(double running, TimePoint now);
    // Records the run time of a task that has ended successfully, in seconds.
    void recordRunTime(std::string_view queue, double seconds);
    void recordEnd(const Prediction &prediction, TimePoint now);
    // Returns the rest of the wait if the job was refused and its return time has not come.
    std::optional<Duration> repeatedRefusal(std::string_view id, TimePoint now) const;
    Decision decide(const Request &request, TimePoint now);

    const Options &options() const { return m_options; }
    const Counts &counts() const { return m_counts; }
    // Counts by queue and team.
    const std::map<std::pair<std::string, std::string>, Counts> &groupCounts() const
    {
        return m_groups;
    }
    std::size_t refusalCount() const { return m_refusals.size(); }

private:
    // Work in time is kept by rank. The bounds of buckets differ by a factor of 2^(1/4).
    static constexpr std::size_t BucketCount = 96;

    struct WorkClass
    {
        std::array<double, BucketCount> inTime{};
        double total = 0; // Includes late work.
    };

    // Waiting work by rank, in runner-seconds or in seconds of a team's ceiling.
    struct Backlog
    {
        std::map<std::uint32_t, std::array<WorkClass, 2>> classes; // By priority and share.
        double total = 0;

        void add(const Load &load, double amount);
        // Returns the work that is done before a job with this rank: all work of higher priority,
        // and of its own priority the work in time that is ranked before it or, if the job will be
        // late, all work.
        double before(const Load &load, bool isLate) const;
    };

    // Work that is done before a job.
    struct Wait
    {
        double backlog = 0; // Runner-seconds, of the whole pool.
        double seconds = 0; // The longer wait of those for the pool and for the team's ceiling.
    };

    struct Learned
    {
        std::uint64_t runs = 0;
        double mean = 0;
        double spread = 0; // Mean deviation of run times.
        double error = 0; // Actual minus predicted end, in seconds.
    };

    struct Refusal
    {
        std::string queue;
        std::string team;
        TimePoint firstRefusedAt{};
        TimePoint refusedAt{};
        TimePoint returnAt{};
        TimePoint latestStart{}; // Started later, the job would have had no value.
        bool isCounted = false; // True once it was found that the pool could have served the job.
    };

    static std::size_t bucketOf(double work);
    double teamBacklog(std::string_view team) const;
    Wait waitOf(const Request &request, bool isLate) const;
    Decision predict(const Request &request, TimePoint now) const;
    void updateBacklogged(TimePoint now);
    bool isBacklogged(const Request &request, TimePoint now) const;
    bool mayRefuse(const Request &request, const Decision &decision, TimePoint now) const;
    void refuse(const Request &request, Decision &decision, TimePoint now);
    void forgetRefusals(TimePoint now);
    void countRoom(TimePoint now);
    void count(const std::string &queue, const std::string &team, std::uint64_t Counts::*outcome);

    Options m_options;
    TimePoint m_startedAt{};
    TimePoint m_snapshotAt{}; // Unset before the first snapshot.
    Room m_room;
    double m_running = 0; // Work left in the runs, in runner-seconds.
    Backlog m_backlog;
    std::map<std::string, Backlog, std::less<>> m_teamBacklogs; // Of teams with a ceiling.
    // Since when the backlog has exceeded Options::shortBacklog and the pool has not grown; unset
    // if the backlog doesn't.
    TimePoint m_backloggedSince{};
    double m_backloggedRunners = 0; // Usable runners at that time.
    // The same for the teams whose backlog takes longer than that within their ceiling.
    std::map<std::string, TimePoint, std::less<>> m_teamsBackloggedSince;
    // No refused job that is not counted yet could start later than this.
    TimePoint m_latestStart{};
    TimePoint m_nextReturn{}; // When capacity is expected for the next job to be refused.
    std::map<std::string, Learned, std::less<>> m_learned; // By queue.
    std::map<std::string, Refusal, std::less<>> m_refusals;
    // Identifiers in the order of their refusals; entries of newer refusals are passed over.
    std::deque<std::pair<std::string, TimePoint>> m_refusalOrder;
    Counts m_counts;
    std::map<std::pair<std::string, std::string>, Counts> m_groups;
};

} // namespace sequoiapier::jobs

// Engine: schedules the jobs of one pool on behalf of the pool's owner. It only takes decisions: it
// does no I/O and reads no clock.
//
//   Engine engine({.lease = seconds(5)}, hooks);
//   engine.load(jobsOfTheStore, now);                // jobs of an earlier owner
//   engine.submit(request, now);                     // and cancel(), onReport(), ...
//   engine.plan(now);
//   Batch batch = engine.takeBatch();                // write it to the store; on success:
//   engine.onCommitted(batch);                       // callers may be answered now
//   for (StartOrder &order : engine.takeStarts(now)) ...  // send, then onStartAnswer()
//   for (StopOrder &order : engine.takeStops(now)) ...  // send, then onStopAnswer()
//
// Order of events: a change to a job is made in memory first and written with the next batch. It
// takes effect only after that write: the answer to the caller, the start on the runner and the
// acknowledgement of an end all wait for it. At most one batch is being written at a time. Callers
// are shown the state that the store holds.
//
// A task's start is sent only after its batch is written and after earlier starts on the same
// runner. The conditions of its placement are therefore checked again when the start is taken: a
// runner that is draining, is being evacuated or was not listed recently gets no start.
//
// At most one run of a task exists at any time: a task is placed again only after the runner has
// listed the end of its run, its stop was answered, the runner's incarnation is over, or the run's
// lease has certainly expired. That a runner has left the live list says nothing about its runs.
//
// Cost: a plan is O(j + t r) in live jobs, waiting tasks and runners. Memory: the live jobs and the
// jobs that ended within endedJobRetention.
#pragma once

#include "jobs/admission.h"
#include "jobs/adviceboard.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/joborder.h"
#include "jobs/runner.h"
#include "jobs/sharemeter.h"
#include "jobs/workerquarantine.h"
#include "jobs/workrate.h"
#include "sequoiapier/configuration.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace sequoiapier::jobs {

struct SubmitRequest
{
    std::string id;
    std::string queue;
    std::string team;
    JobSpec spec;
};

enum class SubmitVerdict : std::uint8_t {
    Accepted, // A new job; it is durable once the next batch is written.
    Duplicate, // A job with this identifier was submitted before.
    Refused, // The job was not accepted; nothing of it is kept and it never runs.
};

struct SubmitResult
{
    SubmitVerdict verdict = SubmitVerdict::Accepted;
    Duration retryAfter{}; // Time to return of a refused job, in whole seconds.
};

struct RowChange
{
    std::string job;
    std::optional<std::string> spec; // Set if the row is to be written.
    std::optional<std::string> state;
    // True once the job has ended and its specification is not needed any more.
    bool isSpecRemoved = false;
    bool isRemoved = false; // True if the state is to be removed as well.
};

struct StartOrder
{
    std::string runner;
    TaskName task;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    TimePoint placedAt{};
    TimePoint sentAt{};
    TimePoint listedAt{}; // When the runner was last listed, as of sentAt.
};

struct StopOrder
{
    std::string runner;
    TaskName task;
    std::uint64_t run = 0;
};

struct PaceOrder
{
    std::string runner;
    TaskName task;
    std::uint64_t run = 0;
    std::uint32_t percent = 100; // Percentage of its processor share that the run may use.
};

struct AppliedEnds
{
    std::int64_t bornAt = 0; // Start time of the runner's incarnation that counted the ends.
    std::uint64_t number = 0;
};

struct Batch
{
    std::vector<RowChange> rows;
    std::map<std::string, JobPhase> phases; // Phase of each written job.
    std::vector<StartOrder> starts;
    // Number of the last end that the batch covers, by runner.
    std::map<std::string, AppliedEnds> ends;

    bool isEmpty() const { return rows.empty() && ends.empty(); }
};

struct TeamDemand
{
    Resources inUse; // Resources used by runs that may exist.
    Resources lasting; // Included in inUse: runs of lasting tasks.
    Resources waiting; // Resources needed by waiting tasks that could start now.
    // Resources needed by the tasks for which a host has room and that wait only for the part of
    // the team's ceiling.
    Resources limited;
    Resources leastLimited; // Size of the smallest of them; a gang counts as one.
};

struct PoolDemand
{
    std::uint32_t runners = 0; // Number of runners that accept tasks.
    double needed = 0; // Number of runners needed for running, waiting and arriving tasks.
    std::uint32_t lastingSpread = 0; // Number of separate runners that lasting tasks need.
    std::vector<std::string> idle; // Runners without any run.
};

class Engine
{
public:
    struct Options
    {
        Duration lease = std::chrono::seconds(5); // Lifetime of a run's lease from each renewal.
        // Longest lease that a runner grants. A runner that restarts under its identifier grants it
        // when a call carries a lease on the clock of the previous incarnation.
        Duration maxLease = std::chrono::seconds(10);
        double clockRateMargin = 0.03; // Covers runner clocks that are up to 2 % slow.
        // A call reaches its runner no later than this after the reading of the runner's clock that
        // its lease is reckoned from.
        Duration maxCallAge = std::chrono::milliseconds(7'500);
        // A call without an answer may be carried out for this long.
        Duration lateCallTime = std::chrono::seconds(12);
        Duration leaseSlack = std::chrono::milliseconds(250); // Allowance for calls in transit.
        // A runner that has not answered for longer gets no task.
        Duration maxAnswerAge = std::chrono::milliseconds(2'500);
        // A runner accepts tasks only this long after it was last listed as ready, since it may
        // have given notice that it drains.
        Duration maxListingAge = std::chrono::milliseconds(1'500);
        std::uint32_t maxStartsUnderWay = 2; // Maximum at one runner; each uses its own connection.
        Duration unhealthyPause = std::chrono::milliseconds(1'000);
        // Maximum time that a runner takes to carry out a stop.
        Duration stopTime = std::chrono::milliseconds(200);
        // Delay before an unanswered pace order is sent again.
        Duration paceRetry = std::chrono::milliseconds(300);
        // Interval between stop orders for one run.
        Duration stopRetry = std::chrono::milliseconds(400);
        // Callers may ask for ended jobs for this long.
        Duration endedJobRetention = std::chrono::seconds(130);
        std::size_t maxJobsInBatch = 45; // Each job has two rows; a transaction holds 100 entries.
        // Maximum size of the rows of several jobs; a job by itself may be larger.
        std::size_t maxBatchBytes = 512 * 1024;
        // Maximum size of a job's state in the store. Tasks are placed, occurrences begun and long
        // checkpoints kept only while all that the tasks may grow to fits.
        std::size_t maxRowBytes = 65'536;
        // Delay before rows that the store has refused are written again.
        Duration refusedRetry = std::chrono::seconds(5);
        // A runner with more ends that are not in the store gets no task: it lists 500 at most.
        std::uint64_t maxUnsavedEnds = 400;
        // Jobs that will be late after this time ask for fewer hosts: moving a host takes 1.5 s,
        // and some of the waiting tasks start meanwhile.
        Duration hostDelay = std::chrono::milliseconds(1'000);
        JobOrder::Options order;
        WorkRate::Options arrivals;
        ShareMeter::Options shares;
        AdviceBoard::Options advice;
        // Jobs are refused only in queues with an objective (QueueConfig::objectiveMilliseconds).
        Admission::Options admission;
        // Time between snapshots of the backlog, so that a plan of 1,000 jobs costs little more.
        Duration snapshotInterval = std::chrono::milliseconds(100);
        // Number of unanswered calls after which a runner's capacity is not counted on.
        std::uint32_t maxMissedCalls = 1;
        // A few tasks are enough evidence: tasks on a bad runner are certain to be late, whereas
        // quarantining a good runner costs its capacity for a few seconds only.
        WorkerQuarantine::Options quarantine{
            .minStarts = 4, .maxFraction = 0.25, .halfLife = std::chrono::seconds(5)};
        // Whether tasks of images that slow each other down are placed apart where there is room.
        bool isInterferenceAvoided = true;
        Interference::Options interference;
    };

    struct Hooks
    {
        // Logs one decision; may be empty.
        std::function<void(std::string_view event, const TaskName &task, std::string_view detail)>
            note;
        // Returns the part of the team's ceiling that this pool may use; empty if there is no
        // ceiling.
        std::function<std::optional<Resources>(std::string_view team)> ceiling;
        std::function<std::int64_t()> wallMilliseconds; // Returns Unix time.
    };

    Engine(Options options, Hooks hooks);

    // Sets the newest configuration. Accepted jobs keep their terms.
    void setConfiguration(const Configuration &configuration);
    void load(std::vector<Job> jobs, TimePoint now);
    // Earlier owners may renew the leases of runners that have not answered this one until then.
    void setEarlierOwnersUntil(TimePoint until) { m_earlierOwnersUntil = until; }
    // No earlier owner has renewed the lease of a runner with loaded runs after `until`.
    void setRenewedUntil(const std::string &runner, TimePoint until);
    // Sets where a runner with loaded runs is reached while the live list doesn't have it.
    void setAddress(const std::string &runner, const Endpoint &endpoint);

    SubmitResult submit(SubmitRequest request, TimePoint now);
    // Returns false if there is no such job.
    bool cancel(std::string_view job);
    // Returns the job's phase as stored; nullopt if there is no such job.
    std::optional<JobPhase> phaseOf(std::string_view job) const;
    // Number of the queue's jobs of which no task has begun, excluding jobs at set times.
    std::uint32_t waitingCount(std::string_view queue) const;
    // Returns whether any job of the queue is known, ended ones included. A job whose queue the
    // configuration doesn't name may be one. O(n) in jobs.
    bool hasJobs(std::string_view queue) const;
    // Returns whether the store has the job, or may have it as its row is being written.
    bool mayBeStored(std::string_view job) const;
    // Returns whether a call with a key of `team` (empty without a key) may learn of the job or
    // change it: the job is the team's own, or was handed in to the same queue without a key or
    // while it is open to all.
    bool mayAccess(std::string_view job, std::string_view team, std::string_view queue) const;
    // Returns whether the job's latest change is in the store.
    bool isDurable(std::string_view job) const;

    // Sets the latest live list, which contains only the pool's runners.
    void setRunners(std::span<const RunnerEntry> entries);
    // `sentAt` is when the call that this report answers was sent.
    void onReport(const std::string &runner, const RunnerReport &report, TimePoint sentAt,
                  TimePoint now);
    // `hasLease` tells whether the call without an answer carried a lease.
    void onMissedCall(const std::string &runner, bool hasLease, TimePoint now);
    // Called when another incarnation has answered at the runner's address, to a call that was sent
    // at `sentAt`. No run of this one exists any more, unless it has answered a call since.
    void onIncarnationOver(const std::string &runner, TimePoint sentAt);
    void onStartAnswer(const StartOrder &order, StartOutcome outcome, TimePoint now);
    // If `isAnswered`, the run can't begin any more, and the runner lists its end if it had begun.
    void onStopAnswer(const StopOrder &order, bool isAnswered, TimePoint now);
    void onPaceAnswer(const PaceOrder &pace, bool isAnswered);
    // Called whenever a call that renews the lease is sent.
    void onLeaseSent(const std::string &runner, TimePoint now);
    // Called when the answer to a call shows for how long the runner's lease still runs.
    void onLeaseGranted(const std::string &runner, Duration lease, TimePoint now);
    // Empties the runner until the given time: it gets no new task, and its lasting tasks are moved
    // elsewhere as far as their availability bounds allow.
    void evacuate(const std::string &runner, TimePoint until);
    // Returns whether the runner has no runs.
    bool isEmpty(const std::string &runner) const;
    // Returns whether the runner is to be polled often: either lasting tasks on it are not at work
    // yet, or filling tasks run beside serving tasks.
    bool needsFrequentPolling(const std::string &runner) const;
    PoolDemand demand(TimePoint now) const;
    // Demand by team as of the last plan.
    const std::map<std::string, TeamDemand> &teamDemands() const { return m_teamDemands; }

    // Frees expired runs, begins due occurrences and places waiting tasks.
    void plan(TimePoint now);
    Batch takeBatch();
    void onCommitted(const Batch &batch);
    // Called when the store refuses the batch for what it contains, so that nothing of it is
    // stored. Its jobs are written one by one, and those that are refused again are set apart: they
    // stay as they are in the store, nothing of them is started, the ends that they need are not
    // acknowledged, and their rows are written again from time to time.
    void onRefused(const Batch &batch, TimePoint now);
    // Number of jobs that are set apart.
    std::size_t setApartCount() const { return m_setApart.size(); }
    // Returns the starts to be sent now. Each must be followed by onStartAnswer().
    std::vector<StartOrder> takeStarts(TimePoint now);
    std::vector<StopOrder> takeStops(TimePoint now);
    std::vector<PaceOrder> takePaces(TimePoint now);
    // Returns why the next question for the policy of a queue that needs its advice is asked;
    // nullopt if there is none.
    std::optional<AdviceNeed> adviceNeed() const { return m_advice.need(); }
    // Returns the next question. It must be followed by onAdvice().
    std::optional<AdviceQuestion> takeAdviceQuestion() { return m_advice.takeQuestion(); }
    void onAdvice(const AdviceQuestion &question, const AdviceAnswer &answer, TimePoint now);

    const std::map<std::string, Runner> &runners() const { return m_runners; }
    const Admission &admission() const { return m_admission; }

    // Returns the pairs of images that slow each other down, for the next owner's
    // setInterferencePairs(); empty if there are none.
    std::string interferencePairs(TimePoint now) const { return m_interference.encode(now); }
    // Returns false and changes nothing if `pairs` is malformed.
    bool setInterferencePairs(std::string_view pairs, TimePoint now);
    // Number of pairs that change placement.
    std::size_t interferingPairCount() const { return m_interference.interferingCount(); }
    // Returns the number of placements since the last call that went to another runner because of a
    // pair.
    std::uint64_t takeAvoidedInterferenceCount() { return std::exchange(m_avoidedInterference, 0); }

private:
    struct Entry
    {
        Job job;
        // Phase in the store; nullopt if the job is not stored yet.
        std::optional<JobPhase> durable;
        bool isSpecDirty = false;
        bool hasSpecRow = false; // True if the specification is in the store or in a batch.
        bool isStateDirty = false;
        bool isWriting = false; // True while a batch with this job is being written.
        bool isRemoved = false;
        // True once a stalled task of the job has been counted against a runner.
        bool hasCountedStall = false;
        TimePoint arrivedAt{};
        // When the job was first refused, if it was. Such a job goes before others of its rank.
        TimePoint firstRefusedAt = TimePoint::max();
        std::optional<Admission::Prediction> prediction; // Set if the job may have been refused.
        // Room of its state row as defined by jobs::rowBytes(); 0 if unknown.
        std::size_t rowBytes = 0;
        // The store has refused a batch that contains the job, which is now written by itself.
        bool isWrittenAlone = false;
        // The store has refused the job's rows alone. They are kept here and written again at
        // retryAt, which is TimePoint::max() while they are being written.
        bool isSetApart = false;
        TimePoint retryAt{};
        // First end of each runner that changed the job and is not in the store, and such ends in
        // the batch that is being written.
        std::map<std::string, AppliedEnds> unsavedEnds;
        std::map<std::string, AppliedEnds> writingEnds;
    };

    struct TaskLocation
    {
        Entry *entry = nullptr;
        Step *step = nullptr;
        Task *task = nullptr;
        const StepSpec *spec = nullptr;
    };

    struct Candidate
    {
        Entry *entry = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        JobOrder::Rank rank;
    };

    // Runners about which the policy may be asked for a step.
    struct AdviceTargets
    {
        std::vector<std::string> runners; // Those with room for a task first.
        std::size_t withRoom = 0; // Number of runners with room for a task.
        std::size_t room = 0; // Number of tasks for which `runners` have room.
        // Number of tasks for which these and the runners with a ticket have room.
        std::size_t roomInAll = 0;
        std::size_t neededRunners = 0; // Number of the first runners that have room for all tasks.
        std::size_t waiting = 0; // Number of waiting tasks.
    };

    // Size of a task for which no runner has room, although any runner would do.
    struct UnplacedSize
    {
        Resources room;
        bool isLasting = false; // Reserved runners were tried, too.
        // Tasks with shorter runs may still fit on a reserved runner; 0 if no such runner has room.
        double runMilliseconds = 0;
    };

    TaskLocation find(const TaskName &name);
    TaskLocation find(const TaskName &name) const { return const_cast<Engine *>(this)->find(name); }
    static Task *currentTask(const TaskLocation &location, std::uint64_t run);
    Task *currentTask(const TaskName &name, std::uint64_t run)
    {
        return currentTask(find(name), run);
    }
    void markDirty(Entry &entry);
    void note(std::string_view event, const TaskName &task, std::string_view detail = {}) const;
    void followAdvicePolicy(Job &job);

    bool isStartValid(const StartOrder &start, TimePoint now);
    bool isHeld(const Runner &runner, TimePoint now) const;
    bool isListedLately(const Runner &runner, TimePoint now) const;
    void abandonStart(const StartOrder &start);
    Run makeRun(const Job &job, const TaskName &task, std::uint64_t number) const;
    void addRun(Runner &runner, Run run);
    void removeRun(Runner &runner, const RunKey &key);
    void requestStop(const std::string &runner, const TaskName &task, std::uint64_t run);
    void requestStopOfMissing(Run &run);
    void releaseRun(Runner &runner, const RunKey &key, std::string_view why);
    void releaseRuns(Runner &runner, std::string_view why);
    void requeueTask(const TaskName &name, std::uint64_t run);
    void adoptPlacedRuns(const Job &job, TimePoint now);
    void adoptRemainingRuns(const Job &job, TimePoint now);
    TimePoint leaseEnd(Duration lease, TimePoint now) const;
    void extendLease(Runner &runner, Duration lease, TimePoint now) const;
    void countEarlierLeases(Runner &runner, Duration age, TimePoint now) const;
    bool isLeaseAsMeant(const Runner &runner, TimePoint now) const;
    void keepKnownLease(Runner &runner, const TaskLocation &location, TimePoint now);

    void applyEntry(Runner &runner, const RunnerEntry &entry);
    void onRunnerRestart(Runner &runner, const RunnerReport &report, TimePoint sentAt);
    void applyRunning(Runner &runner, const RunnerReport &report, TimePoint now);
    void applyEnd(Runner &runner, const RunEnd &end, TimePoint now);
    static bool isPaced(const Runner &runner);
    void controlPace(Runner &runner, TimePoint now);
    void beginInterferenceReport(const Runner &runner, const RunnerReport &report, TimePoint now);
    void observeInterference(const Runner &runner, TimePoint now);
    void observeRunTime(const Runner &runner, const TaskLocation &location, const RunEnd &end,
                        TimePoint now);
    std::vector<Interference::RunSample> runSamples(const Runner &runner) const;
    void updateInterference(TimePoint now);
    double interferencePenalty(const StepSpec &step, const Runner &runner, TimePoint now) const;
    void applyMissing(Runner &runner, const RunnerReport &report, TimePoint sentAt);
    void applyProgress(Runner &runner, Run &run, const TaskLocation &location,
                       std::uint32_t percent, TimePoint now);
    Duration stallTime(const TaskLocation &location) const;
    void recordSuccess(const Runner &runner, const TaskLocation &location, std::uint64_t run,
                       TimePoint now);
    void updateQuarantine(TimePoint now);
    bool isKnownGone(const Run &run, const Task *task, TimePoint sentAt) const;
    void applyCheckpoint(const TaskLocation &location, const RunEnd &end);
    void finishTask(const TaskName &name, const TaskLocation &location);
    void beginJob(Entry &entry);
    void finishStep(Entry &entry, std::uint32_t occurrence);
    void endJob(Entry &entry, JobPhase phase);
    void failTask(const TaskName &name, const TaskLocation &location, std::uint64_t run);

    static bool isRefusable(const Job &job);
    std::optional<Duration> refusal(Entry &entry, TimePoint now);
    Admission::Request admissionRequest(const Job &job) const;
    Admission::Room admissionRoom(TimePoint now) const;
    void addBacklog(const Entry &entry, const Resources &capacity, double &running, TimePoint now);
    void updateAdmission(TimePoint now);

    void beginOccurrences(Entry &entry, TimePoint now);
    double runnerSeconds(const Job &job) const;
    Resources runnerCapacity() const;
    void releaseExpiredRuns(TimePoint now);
    void removeEndedJobs();
    std::vector<Candidate> candidates(TimePoint now);
    void countTeams(std::span<const Candidate> candidates, TimePoint now);
    void countLimited(const Candidate &candidate, TeamDemand &demand, TimePoint now);
    bool exceedsCeiling(const std::string &team, const Resources &size) const;
    Resources openRoom(TimePoint now) const;
    bool isKnownNotToFit(const Candidate &candidate) const;
    double runMilliseconds(const Candidate &candidate) const;
    void recordNoRoom(const Candidate &candidate, bool isKeptOut);
    void place(const Candidate &candidate, TimePoint now);
    void shareCheckpoint(const TaskLocation &gang);
    void placeGang(const Candidate &candidate, TimePoint now);
    Runner *pickRunner(const Candidate &candidate, const Task &task, TimePoint now);
    void moveLastingTasks(TimePoint now);
    bool isAtWork(const TaskName &name, const Task &task) const;
    double urgency(const Entry &entry, const StepSpec &step, TimePoint now) const;
    bool canEndTask(const TaskName &name, const TaskLocation &location) const;
    bool isFitFor(const Runner &runner, const Candidate &candidate, TimePoint now) const;
    void clearReservations();
    bool isReservedFor(const Runner &runner, const Candidate &candidate, TimePoint now) const;
    void reserveRunner(const Candidate &candidate, TimePoint now);
    TimePoint expectedRoomAt(const Runner &runner, const Resources &size, TimePoint now) const;
    bool hasAdvice(const Runner &runner, const Candidate &candidate, TimePoint now) const;
    AdviceTargets adviceTargets(const Candidate &candidate, const std::string &step,
                                TimePoint now) const;
    bool hasRoomFor(const Candidate &candidate, const AdviceTargets &targets) const;
    void requestAdvice(const Candidate &candidate, TimePoint now);
    void requestAdviceAhead(TimePoint now);
    void requestAdviceAhead(const Candidate &candidate, TimePoint now);
    void offerQuestion(const Candidate &candidate, const std::string &step, AdviceNeed need,
                       const AdviceTargets &targets, TimePoint now);
    std::optional<TimePoint> expectedTurn(const Candidate &candidate, TimePoint now) const;
    bool isWithinCeiling(const std::string &team, const Resources &size) const;
    bool hasRowRoom(Entry &entry, std::size_t bytes) const;
    std::size_t growthIfPlaced(const Candidate &candidate, const Task &task,
                               const Runner &runner) const;
    void setCheckpoint(const TaskLocation &location, std::span<Task> tasks,
                       const std::string &checkpoint) const;
    RowChange takeRows(Entry &entry);
    static void keepFirst(std::map<std::string, AppliedEnds> &ends, const std::string &runner,
                          const AppliedEnds &end);
    void putBackRows(Entry &entry, const RowChange &rows);
    void setApart(Entry &entry, const RowChange &rows, TimePoint now);
    void writeAgain(Entry &entry);
    void retrySetApart(TimePoint now);
    std::uint64_t lastSavedEnd(const std::string &id, const Runner &runner) const;
    void orderStart(const Candidate &candidate, std::uint32_t index, Runner &runner,
                    std::uint64_t run, TimePoint now);

    Options m_options;
    Hooks m_hooks;
    Configuration m_configuration;
    JobOrder m_order;
    WorkRate m_arrivals; // Runner-seconds of arriving work.
    ShareMeter m_shares;
    AdviceBoard m_advice;
    Admission m_admission;
    TimePoint m_nextSnapshot{}; // When to show m_admission the backlog next.
    std::vector<Admission::Prediction> m_endedPredictions; // Of jobs completed since then.
    WorkerQuarantine m_quarantine; // Runners by identifier.
    TimePoint m_nextQuarantineUpdate{};
    Interference m_interference;
    bool m_hasImages = false; // Some run so far has named its image.
    // The last runner picked is another one than without interference.
    bool m_isInterferenceAvoided = false;
    std::uint64_t m_avoidedInterference = 0;
    bool m_hasAdvisedJobs = false; // True if the policy of some job's queue must be asked.
    std::map<std::string, Entry, std::less<>> m_jobs;
    std::map<std::string, Entry *, std::less<>> m_live; // Jobs that have not ended.
    std::deque<std::string> m_dirty; // Jobs to be written, the longest waiting first.
    std::set<std::string> m_setApart; // Jobs whose rows the store refuses.
    std::map<std::string, Runner> m_runners;
    // Resources used by runs that may exist, by team.
    std::map<std::string, Resources, std::less<>> m_teamUse;
    // The share of m_teamUse that lasting tasks have.
    std::map<std::string, Resources, std::less<>> m_teamLasting;
    std::map<std::string, TeamDemand> m_teamDemands;
    std::vector<StartOrder> m_planned; // Starts whose job's batch is not written yet.
    std::map<std::string, std::deque<StartOrder>> m_starts; // Stored but unsent starts, by runner.
    bool m_hasStopRequests = false; // True if some run is to be stopped.
    std::size_t m_fillingRuns = 0; // Number of runs of filling tasks that may exist.
    TimePoint m_loadedAt{}; // When load() was called.
    TimePoint m_earlierOwnersUntil{}; // Earlier owners may renew leases until then.
    TimePoint m_nextRemoval{}; // When to look for expired ended jobs next.
    std::size_t m_reservedRunners = 0; // Runners that the current plan reserves.
    // Sizes for which the current plan found no runner with room.
    std::vector<UnplacedSize> m_unplaced;
};

} // namespace sequoiapier::jobs

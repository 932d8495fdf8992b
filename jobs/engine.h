// Engine: the jobs of one pool, as the pool's owner carries them. Pure decisions: no I/O, no clock.
//
//   Engine engine({.lease = seconds(5)}, hooks);
//   engine.load(jobsOfTheStore, now);                // what an earlier owner left
//   engine.submit(request, now);                     // and cancel(), onReport(), ...
//   engine.plan(now);
//   Batch batch = engine.takeBatch();                // write it; on success:
//   engine.onCommitted(batch);                       // answers may go out
//   for (StartOrder &order : engine.takeStarts(now)) ...  // send; then onStartAnswer()
//   for (StopOrder &order : engine.takeStops(now)) ...  // send; then onStopAnswer()
//
// Order of things: a change of a job is made here first, is written in the next batch, and has its
// effects only then: the caller's answer, the start at the runner, the acknowledgement of an end.
// One batch is under way at a time. What callers are shown is what the store holds.
//
// Between a task's placement and its start lie the batch and the earlier starts at the runner. So
// what the placement relied on is checked again when the start is taken: a runner that drains or
// must be emptied gets none, nor one that was not listed lately.
//
// At most one run of a task exists: a task is placed again only after the end of its run was
// listed, its stop was answered, its runner's life is over, or its lease has lapsed for certain.
//
// Cost: a plan is O(j + t r) in live jobs, waiting tasks and runners. Memory: the live jobs and the
// ended ones of the last keepEnded.
#pragma once

#include "jobs/adviceboard.h"
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
    Taken, // new; durable with the next batch
    Known, // the same identifier was taken before
};

struct RowChange
{
    std::string job;
    std::optional<std::string> spec; // set when the row is to be written
    std::optional<std::string> state;
    bool isSpecRemoved = false; // the job has ended: its specification is not needed any more
    bool isRemoved = false; // the state goes as well
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
    TimePoint listedAt{}; // of its runner, when it was sent
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
    std::uint32_t percent = 100; // of its share that it may work at
};

struct NotedEnds
{
    std::int64_t bornAt = 0; // of the runner's life that counted them
    std::uint64_t number = 0;
};

struct Batch
{
    std::vector<RowChange> rows;
    std::map<std::string, JobPhase> phases; // of the jobs written
    std::vector<StartOrder> starts;
    std::map<std::string, NotedEnds> ends; // by runner: the last end that it holds

    bool isEmpty() const { return rows.empty() && ends.empty(); }
};

struct TeamDemand
{
    Resources inUse; // by runs that may exist
    Resources waiting; // of tasks that could start now
};

struct PoolDemand
{
    std::uint32_t runners = 0; // that take tasks
    double needed = 0; // runners' worth of what runs, what waits and what arrives
    std::uint32_t lastingSpread = 0; // runners that tasks that last need to be apart
    std::vector<std::string> idle; // runners on which nothing runs
};

class Engine
{
public:
    struct Options
    {
        Duration lease = std::chrono::seconds(5); // of what runs, from each renewal
        double clockRateMargin = 0.03; // runners' clocks may be 2 % slow
        Duration leaseSlack = std::chrono::milliseconds(250); // for calls on their way
        Duration answerAge
            = std::chrono::milliseconds(2'500); // a runner silent longer gets no task
        // A runner takes tasks that long after it was listed as ready: it may have given notice.
        Duration listTerm = std::chrono::milliseconds(1'500);
        std::uint32_t maxStartsUnderWay = 2; // at one runner, each on a connection of its own
        Duration unhealthyPause = std::chrono::milliseconds(1'000);
        Duration stopTime = std::chrono::milliseconds(200); // that a stop may take at a runner
        Duration paceRetry = std::chrono::milliseconds(300); // of a pace without an answer
        Duration stopRetry = std::chrono::milliseconds(400); // between stops of one run
        Duration keepEnded = std::chrono::seconds(130); // callers ask for ended jobs that long
        std::size_t maxJobsInBatch = 45; // two rows each, of 100 entries in a transaction
        std::size_t maxBatchBytes = 512 * 1024; // of rows; one more job may be added below it
        // Of a job's state in the store. No more of its tasks are placed, nor occurrences begun,
        // than it holds.
        std::size_t maxRowBytes = 65'536;
        // Jobs that will be late by then ask for fewer hosts: a move takes 1.5 s, and some of the
        // tasks that wait start meanwhile.
        Duration hostDelay = std::chrono::milliseconds(1'000);
        JobOrder::Options order;
        WorkRate::Options arrivals;
        ShareMeter::Options shares;
        AdviceBoard::Options advice;
        // A few tasks tell enough: what a bad runner takes is late for certain, and one that is set
        // aside in vain is missed for some seconds.
        WorkerQuarantine::Options quarantine{
            .minStarts = 4, .maxPart = 0.25, .halfLife = std::chrono::seconds(5)};
    };

    struct Hooks
    {
        // One line for each decision; empty: no log.
        std::function<void(std::string_view event, const TaskName &task, std::string_view detail)>
            note;
        // Part of the team's ceiling that this pool may use; empty: no ceiling.
        std::function<std::optional<Resources>(std::string_view team)> ceiling;
        std::function<std::int64_t()> wallMilliseconds; // Unix time
    };

    Engine(Options options, Hooks hooks);

    void setConfiguration(const Configuration &configuration);
    void load(std::vector<Job> jobs, TimePoint now);

    SubmitVerdict submit(SubmitRequest request, TimePoint now);
    // False if there is no such job.
    bool cancel(std::string_view job);
    // As the store holds it; nullopt if there is no such job.
    std::optional<JobPhase> phaseOf(std::string_view job) const;
    // Jobs of the queue none of whose tasks has begun, those at set times left out.
    std::uint32_t waitingCount(std::string_view queue) const;
    // Whether the job's newest change is in the store.
    bool isDurable(std::string_view job) const;

    // The newest live list, of the pool's runners only.
    void setRunners(std::span<const RunnerEntry> entries);
    // `sentAt`: when the call was sent that this answers.
    void onReport(const std::string &runner, const RunnerReport &report, TimePoint sentAt,
                  TimePoint now);
    void onSilence(const std::string &runner);
    // Another life answers at the runner's address: nothing of this one runs any more.
    void onLifeOver(const std::string &runner);
    void onStartAnswer(const StartOrder &order, StartOutcome outcome, TimePoint now);
    // `isAnswered`: the run can't begin any more; its end is listed if it had begun.
    void onStopAnswer(const StopOrder &order, bool isAnswered, TimePoint now);
    void onPaceAnswer(const PaceOrder &pace, bool isAnswered);
    // Called when a call that renews the lease is sent.
    void onLeaseSent(const std::string &runner, TimePoint now);
    // Empties the runner until then: it takes no new task, and tasks that last are moved elsewhere
    // as far as their budgets allow.
    void evacuate(const std::string &runner, TimePoint until);
    // Whether nothing runs on the runner.
    bool isEmpty(const std::string &runner) const;
    // Whether the runner is to be asked often: tasks that last wait to be at work there again, or
    // tasks that fill work beside tasks that serve.
    bool isWatched(const std::string &runner) const;
    PoolDemand demand(TimePoint now) const;
    // By team, as of the last plan.
    const std::map<std::string, TeamDemand> &teamDemands() const { return m_teamDemands; }

    // Frees what has lapsed, begins what is due and places what waits.
    void plan(TimePoint now);
    Batch takeBatch();
    void onCommitted(const Batch &batch);
    // The starts to be sent now, each of which must get its onStartAnswer().
    std::vector<StartOrder> takeStarts(TimePoint now);
    std::vector<StopOrder> takeStops(TimePoint now);
    std::vector<PaceOrder> takePaces(TimePoint now);
    // What to ask the policy of a queue that needs its advice; nullopt: nothing now.
    std::optional<AdviceQuestion> takeAdviceQuestion(TimePoint now)
    {
        return m_advice.takeQuestion(now);
    }
    void onAdvice(const AdviceQuestion &question, const std::optional<Advice> &advice,
                  TimePoint now);

    const std::map<std::string, Runner> &runners() const { return m_runners; }

private:
    struct Entry
    {
        Job job;
        std::optional<JobPhase> durable; // in the store; nullopt: not there yet
        bool isSpecDirty = false;
        bool hasSpecRow = false; // in the store, or in a batch
        bool isStateDirty = false;
        bool isWriting = false; // a batch with it is under way
        bool isRemoved = false;
        bool isBeyondShare = false; // of its team, when it came
        bool hasChargedRunner = false; // a stalled task of it has counted against its runner
        TimePoint arrivedAt{};
        std::size_t stateBytes = 0; // of its row, at most; 0: not known yet
    };

    struct Spot
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

    Spot find(const TaskName &name);
    Spot find(const TaskName &name) const { return const_cast<Engine *>(this)->find(name); }
    static Task *currentTask(const Spot &spot, std::uint64_t run);
    Task *currentTask(const TaskName &name, std::uint64_t run)
    {
        return currentTask(find(name), run);
    }
    void markDirty(Entry &entry);
    void note(std::string_view event, const TaskName &task, std::string_view detail = {}) const;
    const QueueConfig *queueOf(const Job &job) const;
    std::uint32_t maxAttempts(const Job &job) const;

    bool isWanted(const StartOrder &start, TimePoint now);
    bool isHeld(const Runner &runner, TimePoint now) const;
    bool isListedLately(const Runner &runner, TimePoint now) const;
    void withhold(const StartOrder &start);
    Run makeRun(const Job &job, const TaskName &task, std::uint64_t number) const;
    void addRun(Runner &runner, Run run);
    void removeRun(Runner &runner, const RunKey &key);
    void unwant(const std::string &runner, const TaskName &task, std::uint64_t run);
    void resolveRun(Runner &runner, const RunKey &key, std::string_view why);
    void freeRuns(Runner &runner, std::string_view why);
    void freeTask(const TaskName &name, std::uint64_t run);
    void adoptInherited(const Job &job, TimePoint now);

    void takeEntry(Runner &runner, const RunnerEntry &entry);
    void onRebirth(Runner &runner, const RunnerReport &report, TimePoint sentAt);
    void takeRunning(Runner &runner, const RunnerReport &report, TimePoint now);
    void takeEnd(Runner &runner, const RunEnd &end, TimePoint now);
    static bool isPaced(const Runner &runner);
    void controlPace(Runner &runner, TimePoint now);
    void takeMissing(Runner &runner, const RunnerReport &report, TimePoint sentAt);
    void takeProgress(Runner &runner, Run &run, const Spot &spot, std::uint32_t percent,
                      TimePoint now);
    Duration stallTime(const Spot &spot) const;
    void learn(const Runner &runner, const Spot &spot, std::uint64_t run, TimePoint now);
    void judgeRunners(TimePoint now);
    bool isResolvedBy(const Run &run, const Task *task, TimePoint sentAt) const;
    void takeCheckpoint(const Spot &spot, const RunEnd &end);
    void finishTask(const TaskName &name, const Spot &spot);
    void beginJob(Entry &entry);
    void finishStep(Entry &entry, std::uint32_t occurrence);
    void endJob(Entry &entry, JobPhase phase);
    void failTask(const TaskName &name, const Spot &spot, std::uint64_t run);

    void beginOccurrences(Entry &entry, TimePoint now);
    double runnerSeconds(const Job &job) const;
    Resources runnerCapacity() const;
    void freeLapsed(TimePoint now);
    void dropEnded();
    std::vector<Candidate> candidates(TimePoint now);
    void countTeams(std::span<const Candidate> candidates);
    void place(const Candidate &candidate, TimePoint now);
    void placeGang(const Candidate &candidate, TimePoint now);
    Runner *pickRunner(const Candidate &candidate, const Task &task, TimePoint now);
    void moveLasting(TimePoint now);
    bool isAtWork(const Task &task) const;
    double urgency(const Entry &entry, const StepSpec &step, TimePoint now) const;
    bool mayEnd(const Spot &spot) const;
    bool isFitFor(const Runner &runner, const Candidate &candidate, TimePoint now) const;
    void keepRunner(const Candidate &candidate, TimePoint now);
    bool hasAdvice(const Runner &runner, const Candidate &candidate, TimePoint now) const;
    void wantAdvice(const Candidate &candidate, TimePoint now);
    void wantAdviceAhead(TimePoint now);
    bool isWithinCeiling(const std::string &team, const Resources &size) const;
    bool hasRowRoom(Entry &entry, std::size_t bytes) const;
    void order(const Candidate &candidate, std::uint32_t index, Runner &runner, std::uint64_t run,
               TimePoint now);

    Options m_options;
    Hooks m_hooks;
    Configuration m_configuration;
    JobOrder m_order;
    WorkRate m_arrivals; // of runner-seconds
    ShareMeter m_shares;
    AdviceBoard m_advice;
    WorkerQuarantine m_quarantine; // of runners, by identifier
    TimePoint m_nextJudgement{};
    bool m_hasAdvisedQueues = false; // some queue's policy is to be asked
    std::map<std::string, Entry, std::less<>> m_jobs;
    std::set<std::string> m_live; // jobs that have not ended
    std::deque<std::string> m_dirty; // jobs to be written, those that wait longest first
    std::map<std::string, Runner> m_runners;
    std::map<std::string, Resources, std::less<>> m_teamUse; // of runs that may exist
    std::map<std::string, TeamDemand> m_teamDemands;
    std::vector<StartOrder> m_planned; // wait for their job's batch
    std::map<std::string, std::deque<StartOrder>> m_starts; // by runner; in the store, not sent
    bool m_hasUnwanted = false; // some run is to be stopped
    TimePoint m_nextDrop{}; // when ended jobs are looked through
};

} // namespace sequoiapier::jobs

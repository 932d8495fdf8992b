// The interface to callers, and the batches that are written to the store. The other parts of the
// engine are in engineruns.cpp (reports of runners), engineplan.cpp (placement), enginestarts.cpp
// (sending of starts), enginereservation.cpp (runners kept for lasting tasks), enginedemand.cpp
// (demand for hosts), engineevacuation.cpp (evacuation of runners), enginehealth.cpp (quarantine of
// runners), enginepace.cpp (pacing), engineinterference.cpp (images that slow each other down),
// engineadvice.cpp (advice of policies) and engineadmission.cpp (refusal of jobs that would end too
// late).
#include "jobs/engine.h"

#include "jobs/specrow.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace sequoiapier::jobs {

namespace {

std::size_t sizeOf(const RowChange &rows)
{
    return (rows.spec ? rows.spec->size() : 0) + (rows.state ? rows.state->size() : 0);
}

} // namespace

Engine::Engine(Options options, Hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_order(options.order)
    , m_arrivals(options.arrivals)
    , m_shares(options.shares)
    , m_advice(options.advice)
    , m_admission(options.admission)
    , m_quarantine(options.quarantine)
    , m_interference(options.interference)
{ }

void Engine::setConfiguration(const Configuration &configuration)
{
    m_configuration = configuration;
    m_hasAdvisedJobs = false;
    for (const auto &[id, live] : m_live)
        followAdvicePolicy(live->job);
}

// Jobs of a queue that the configuration doesn't have keep the policy that they know.
void Engine::followAdvicePolicy(Job &job)
{
    const QueueConfig *queue = m_configuration.findQueue(job.queue);
    if (queue != nullptr)
        job.terms.advice = termsOf(*queue).advice;
    m_hasAdvisedJobs = m_hasAdvisedJobs || job.terms.advice.isNeeded;
}

void Engine::note(std::string_view event, const TaskName &task, std::string_view detail) const
{
    if (m_hooks.note)
        m_hooks.note(event, task, detail);
}

// The runners of the earlier owner's runs have not been asked yet. Until they answer with this
// owner's fence, the runs may go on for as long as the earlier owner renewed them. The longest
// lease is possible for those of which the store does not say that their lease is known.
void Engine::load(std::vector<Job> jobs, TimePoint now)
{
    m_loadedAt = now;
    m_admission.start(now);
    for (Job &job : jobs) {
        Entry entry;
        entry.durable = job.phase;
        entry.hasSpecRow = !job.spec.steps.empty();
        // The age counts from the acceptance, to the precision of the clocks of two hosts.
        const std::int64_t age
            = std::max<std::int64_t>(m_hooks.wallMilliseconds() - job.acceptedAt, 0);
        entry.arrivedAt = now - std::chrono::milliseconds(age);
        entry.job = std::move(job);
        const std::string id = entry.job.id;
        Entry &stored = m_jobs.insert_or_assign(id, std::move(entry)).first->second;
        if (!stored.job.hasEnded()) {
            m_live[id] = &stored;
            followAdvicePolicy(stored.job);
        }
        adoptPlacedRuns(stored.job, now);
        if (stored.job.hasEnded())
            adoptRemainingRuns(stored.job, now);
    }
}

void Engine::setAddress(const std::string &id, const Endpoint &endpoint)
{
    const auto runner = m_runners.find(id);
    if (runner != m_runners.end() && !runner->second.isListed)
        runner->second.entry.endpoint = endpoint;
}

void Engine::setRenewedUntil(const std::string &id, TimePoint until)
{
    const auto runner = m_runners.find(id);
    if (runner != m_runners.end())
        runner->second.renewedUntil = until;
}

void Engine::adoptPlacedRuns(const Job &job, TimePoint now)
{
    forEachPlaced(job, [&](const TaskName &name, const Task &task) {
        Runner &runner = m_runners[task.runner];
        runner.entry.id = task.runner;
        Run run = makeRun(job, name, task.run);
        run.isOfEarlierOwner = true;
        addRun(runner, std::move(run));
        extendLease(runner, m_options.lease, now);
        if (!task.isLeaseKnown)
            runner.runs.at({name, task.run}).leaseEnd = leaseEnd(m_options.maxLease, now);
    });
}

// The runs count against their team's ceiling until they are known to have ended. They are stopped
// once their runner reports them. Long after the job's end, their leases have expired.
void Engine::adoptRemainingRuns(const Job &job, TimePoint now)
{
    const std::chrono::milliseconds age(m_hooks.wallMilliseconds() - job.endedAt);
    if (age > 2 * m_options.maxLease)
        return;
    for (const RemainingRun &remaining : job.remainingRuns) {
        Runner &runner = m_runners[remaining.runner];
        runner.entry.id = remaining.runner;
        Run run{.task = remaining.task, .number = remaining.run, .charge = remaining.size};
        run.room = remaining.size;
        if (remaining.isFilling)
            run.room.processors = 0;
        run.team = job.team;
        run.isFilling = remaining.isFilling;
        run.isLasting = remaining.isLasting;
        run.isInherited = true;
        addRun(runner, std::move(run));
        extendLease(runner, m_options.lease, now);
        runner.runs.at({remaining.task, remaining.run}).leaseEnd
            = leaseEnd(m_options.maxLease, now);
    }
}

SubmitResult Engine::submit(SubmitRequest request, TimePoint now)
{
    if (m_jobs.contains(request.id))
        return {.verdict = SubmitVerdict::Duplicate};
    if (const std::optional<Duration> rest = m_admission.repeatedRefusal(request.id, now))
        return {.verdict = SubmitVerdict::Refused, .retryAfter = *rest};
    Entry entry;
    entry.job.id = request.id;
    entry.job.queue = std::move(request.queue);
    entry.job.team = std::move(request.team);
    entry.job.spec = std::move(request.spec);
    entry.job.acceptedAt = m_hooks.wallMilliseconds();
    entry.arrivedAt = now;
    const QueueConfig *queue = m_configuration.findQueue(entry.job.queue);
    if (queue != nullptr)
        entry.job.terms = termsOf(*queue);
    const TeamConfig *team = m_configuration.findTeam(entry.job.team);
    entry.job.terms.isBeyondShare = team != nullptr && !m_shares.take(team->name, team->share, now);
    if (const std::optional<Duration> retryAfter = refusal(entry, now))
        return {.verdict = SubmitVerdict::Refused, .retryAfter = *retryAfter};
    m_hasAdvisedJobs = m_hasAdvisedJobs || entry.job.terms.advice.isNeeded;
    entry.isSpecDirty = true;
    Entry &stored = m_jobs.emplace(request.id, std::move(entry)).first->second;
    m_live[request.id] = &stored;
    beginOccurrences(stored, now);
    markDirty(stored);
    note("job.taken", {.job = request.id},
         stored.job.queue + ": " + summary(stored.job.spec)
             + (stored.job.terms.isBeyondShare ? ", exceeds the share of team " + stored.job.team
                                               : ""));
    return {};
}

bool Engine::cancel(std::string_view job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || found->second.isRemoved)
        return false;
    if (!found->second.job.hasEnded()) {
        note("job.cancelled", {.job = found->first});
        endJob(found->second, JobPhase::Cancelled);
    }
    return true;
}

std::optional<JobPhase> Engine::phaseOf(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || found->second.isRemoved)
        return std::nullopt;
    return found->second.durable.value_or(JobPhase::Queued);
}

std::uint32_t Engine::waitingCount(std::string_view queue) const
{
    return std::uint32_t(std::count_if(m_live.begin(), m_live.end(), [&](const auto &item) {
        const Job &job = item.second->job;
        return job.queue == queue && job.phase == JobPhase::Queued && !job.spec.isTimed();
    }));
}

bool Engine::hasJobs(std::string_view queue) const
{
    std::unordered_set<std::string_view> others;
    for (const QueueConfig &config : m_configuration.queues)
        others.insert(config.name);
    others.erase(queue);
    return std::any_of(m_jobs.begin(), m_jobs.end(),
                       [&](const auto &item) { return !others.contains(item.second.job.queue); });
}

bool Engine::mayBeStored(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && (found->second.durable || found->second.isWriting);
}

bool Engine::mayAccess(std::string_view job, std::string_view team, std::string_view queue) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || found->second.job.team == team)
        return true;
    const QueueConfig *config = m_configuration.findQueue(queue);
    const bool isOpen = config != nullptr && config->isOpen;
    return found->second.job.queue == queue && (isOpen || found->second.job.team.empty());
}

bool Engine::isDurable(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end()
        || (!found->second.isStateDirty && !found->second.isSpecDirty && !found->second.isWriting);
}

void Engine::markDirty(Entry &entry)
{
    if (!std::exchange(entry.isStateDirty, true))
        m_dirty.push_back(entry.job.id);
}

// Returns whether the job's row in the store can grow by `bytes`.
bool Engine::hasRowRoom(Entry &entry, std::size_t bytes) const
{
    if (entry.rowBytes == 0)
        entry.rowBytes = rowBytes(entry.job);
    return entry.rowBytes + bytes <= m_options.maxRowBytes;
}

// The job's runs are stopped once its end is in the store.
void Engine::endJob(Entry &entry, JobPhase phase)
{
    Job &job = entry.job;
    std::size_t bytes = frameBytes(job);
    forEachPlaced(job, [&](const TaskName &name, const Task &task) {
        requestStop(task.runner, name, task.run);
        const StepSpec &step = job.spec.steps[name.step];
        RemainingRun run{.task = name, .run = task.run, .runner = task.runner, .size = step.size};
        run.isFilling = step.isFilling;
        run.isLasting = step.isLasting;
        bytes += remainingRunBytes(run);
        if (bytes <= m_options.maxRowBytes)
            job.remainingRuns.push_back(std::move(run));
    });
    m_advice.forgetJob(job.id);
    if (entry.prediction && phase == JobPhase::Completed)
        m_endedPredictions.push_back(*entry.prediction);
    job.phase = phase;
    job.endedAt = m_hooks.wallMilliseconds();
    job.occurrences.clear();
    m_live.erase(job.id);
    markDirty(entry);
    if (entry.isSetApart)
        writeAgain(entry); // The row is small now.
}

// Encodes the rows of a changed job, which count as being written from then on.
RowChange Engine::takeRows(Entry &entry)
{
    RowChange rows{.job = entry.job.id, .isRemoved = entry.isRemoved};
    if (!entry.isRemoved) {
        const bool isSpecNeeded = !entry.job.hasEnded();
        if (std::exchange(entry.isSpecDirty, false) && isSpecNeeded) {
            rows.spec = encodeSpecRow(entry.job.spec, entry.job.terms);
            entry.hasSpecRow = true;
        }
        if (!isSpecNeeded)
            rows.isSpecRemoved = std::exchange(entry.hasSpecRow, false);
        rows.state = encodeJobState(entry.job);
        entry.rowBytes = rowBytes(entry.job);
    }
    entry.isStateDirty = false;
    entry.isWriting = true;
    entry.writingEnds = std::exchange(entry.unsavedEnds, {});
    return rows;
}

// Keeps the first end of each runner's newest incarnation.
void Engine::keepFirst(std::map<std::string, AppliedEnds> &ends, const std::string &runner,
                       const AppliedEnds &end)
{
    AppliedEnds &first = ends.try_emplace(runner, end).first->second;
    if (end.bornAt > first.bornAt || (end.bornAt == first.bornAt && end.number < first.number))
        first = end;
}

// Undoes takeRows().
void Engine::putBackRows(Entry &entry, const RowChange &rows)
{
    entry.isSpecDirty = entry.isSpecDirty || rows.spec.has_value();
    entry.hasSpecRow = (entry.hasSpecRow || rows.isSpecRemoved) && !rows.spec;
    entry.isWriting = false;
    for (const auto &[runner, end] : std::exchange(entry.writingEnds, {}))
        keepFirst(entry.unsavedEnds, runner, end);
}

// Ends are acknowledged only if the batch contains every changed job that is not set apart, since
// an end may be acknowledged only when its job is in this batch or an earlier one.
Batch Engine::takeBatch()
{
    Batch batch;
    std::size_t bytes = 0;
    while (!m_dirty.empty() && batch.rows.size() < m_options.maxJobsInBatch) {
        const auto found = m_jobs.find(m_dirty.front());
        if (found == m_jobs.end() || !found->second.isStateDirty) {
            m_dirty.pop_front();
            continue;
        }
        Entry &entry = found->second;
        if (entry.isWrittenAlone && !batch.rows.empty())
            break;
        RowChange rows = takeRows(entry);
        const std::size_t rowsBytes = sizeOf(rows);
        if (!batch.rows.empty() && bytes + rowsBytes > m_options.maxBatchBytes) {
            putBackRows(entry, rows);
            entry.isStateDirty = true;
            break;
        }
        m_dirty.pop_front();
        bytes += rowsBytes;
        batch.phases[entry.job.id] = entry.job.phase;
        batch.rows.push_back(std::move(rows));
        if (entry.isWrittenAlone)
            break;
    }
    std::vector<StartOrder> later;
    for (StartOrder &start : m_planned) {
        const bool isInBatch = batch.phases.contains(start.task.job);
        (isInBatch ? batch.starts : later).push_back(std::move(start));
    }
    m_planned = std::move(later);
    if (m_dirty.empty()) {
        for (const auto &[id, runner] : m_runners) {
            const std::uint64_t last = lastSavedEnd(id, runner);
            if (last > runner.durableEnds)
                batch.ends[id] = {runner.bornAt, last};
        }
    }
    return batch;
}

// Returns the number of the runner's last end before which no job that is set apart needs one.
std::uint64_t Engine::lastSavedEnd(const std::string &id, const Runner &runner) const
{
    std::uint64_t last = runner.appliedEnds;
    for (const std::string &job : m_setApart) {
        const std::map<std::string, AppliedEnds> &unsaved = m_jobs.find(job)->second.unsavedEnds;
        const auto first = unsaved.find(id);
        if (first != unsaved.end() && first->second.bornAt == runner.bornAt)
            last = std::min(last, first->second.number - 1);
    }
    return last;
}

void Engine::onRefused(const Batch &batch, TimePoint now)
{
    m_planned.insert(m_planned.begin(), batch.starts.begin(), batch.starts.end());
    for (const RowChange &rows : batch.rows) {
        const auto found = m_jobs.find(rows.job);
        if (found == m_jobs.end())
            continue;
        Entry &entry = found->second;
        putBackRows(entry, rows);
        markDirty(entry);
        entry.isWrittenAlone = true;
        if (batch.rows.size() == 1)
            setApart(entry, rows, now);
    }
}

// The job stays marked as changed, so that it is not written before writeAgain() is called.
void Engine::setApart(Entry &entry, const RowChange &rows, TimePoint now)
{
    std::erase(m_dirty, entry.job.id);
    std::vector<StartOrder> abandoned;
    std::vector<StartOrder> later;
    for (StartOrder &start : m_planned)
        (start.task.job == entry.job.id ? abandoned : later).push_back(std::move(start));
    m_planned = std::move(later);
    for (const StartOrder &start : abandoned)
        abandonStart(start);
    entry.retryAt = now + m_options.refusedRetry;
    if (!m_setApart.insert(entry.job.id).second)
        return;
    entry.isSetApart = true;
    note("job.set-apart", {.job = entry.job.id},
         "rows of " + std::to_string(sizeOf(rows)) + " bytes are refused, limit "
             + std::to_string(m_options.maxRowBytes));
}

void Engine::writeAgain(Entry &entry)
{
    if (std::exchange(entry.retryAt, TimePoint::max()) != TimePoint::max())
        m_dirty.push_back(entry.job.id);
}

void Engine::retrySetApart(TimePoint now)
{
    for (const std::string &id : m_setApart) {
        Entry &entry = m_jobs.find(id)->second;
        if (now >= entry.retryAt)
            writeAgain(entry);
    }
}

void Engine::onCommitted(const Batch &batch)
{
    for (const RowChange &row : batch.rows) {
        const auto found = m_jobs.find(row.job);
        if (found == m_jobs.end())
            continue;
        Entry &entry = found->second;
        entry.isWriting = false;
        entry.durable = batch.phases.at(row.job);
        entry.writingEnds.clear();
        entry.isWrittenAlone = false;
        if (std::exchange(entry.isSetApart, false)) {
            m_setApart.erase(row.job);
            note("job.written", {.job = row.job});
        }
        if (row.isRemoved)
            m_jobs.erase(found);
    }
    for (const StartOrder &start : batch.starts) {
        if (currentTask(start.task, start.run) != nullptr)
            m_starts[start.runner].push_back(start);
    }
    for (const auto &[id, ends] : batch.ends) {
        const auto runner = m_runners.find(id);
        if (runner != m_runners.end() && runner->second.bornAt == ends.bornAt)
            runner->second.durableEnds = std::max(runner->second.durableEnds, ends.number);
    }
}

// Marks ended jobs for removal once callers ask for them no more.
void Engine::removeEndedJobs()
{
    const std::int64_t now = m_hooks.wallMilliseconds();
    const std::int64_t keep
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.endedJobRetention)
              .count();
    for (auto &[id, entry] : m_jobs) {
        if (entry.job.endedAt == 0 || entry.isRemoved || entry.job.endedAt + keep > now)
            continue;
        entry.isRemoved = true;
        markDirty(entry);
    }
}

} // namespace sequoiapier::jobs

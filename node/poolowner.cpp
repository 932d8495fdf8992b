// One batch is in flight at a time; changes made meanwhile wait for the next. A batch is sent again
// unchanged until the store reports its outcome. At most one batch is started in each
// BatchInterval.
//
// Under load an event arrives every millisecond or less, but nothing is placed before the next
// batch. A plan is therefore made only when its placements can be written, and plans take at most
// PlanShare of the time, so that the loop stays responsive on a host with little processor.
#include "node/poolowner.h"

#include "jobs/specrow.h"
#include "node/evacuation.h"
#include "platform/jsonfields.h"
#include "sequoiapier/resultcode.h"
#include "sequoiapier/wallclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiapier {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char *FenceTable = "pools";
constexpr const char *FenceKey = "owner";
constexpr const char *SpecTable = "jobspecs";
constexpr const char *StateTable = "jobstates";
constexpr const char *AddressTable = "runneraddresses";
constexpr const char *LearnedTable = "poolstates";
constexpr const char *InterferenceKey = "interference";
constexpr std::size_t MaxTransactionEntries = 100; // bound of the store

// The two rows of a job, encoded as base64, fit a transaction of 1 MB.
constexpr std::size_t MaxRowBytes = 350'000;

constexpr Duration StoreTimeout = milliseconds(1'000); // a slow store takes a third of a second
constexpr Duration StoreRetry = milliseconds(100);
constexpr Duration BatchInterval = milliseconds(20); // time between batches; each is one paid call
// Longest time between ticks, for work that falls due without an event.
constexpr Duration TickInterval = milliseconds(100);
constexpr Duration TickDelay = milliseconds(3); // collects events that arrive together
constexpr int PlanShare = 5; // a plan of 1 ms is followed by 5 ms without plans
constexpr Duration LeaseDuration = milliseconds(5'000); // outlives a takeover of about 3 s
// Time after the node's term for which leases are still renewed. Together with a lease it is what
// an outage of the store may last before runs end, and what the tasks of a runner that neither is
// listed nor answers wait for after a takeover.
constexpr Duration RenewalGrace = milliseconds(1'500);
// The last renewal goes out this long before the end of RenewalGrace, or less.
constexpr Duration LastRenewalLead = milliseconds(250);
// Longest wait of a renewal for the end of a run.
constexpr Duration BusyRunnerWait = milliseconds(1'000);
constexpr Duration IdleRunnerWait = milliseconds(2'000); // longest wait that a runner accepts
constexpr Duration RenewalDelay = milliseconds(15); // collects ends of runs that arrive together
constexpr Duration NoAnswerRetry = milliseconds(200);
constexpr Duration WatchedRunnerWait = milliseconds(200); // used where answers are needed often

api::JobReply reply(ResultCode code)
{
    api::JobReply answer;
    answer.code = std::int32_t(code);
    return answer;
}

Duration leaseDuration(const NodeSettings &settings)
{
    return std::min(LeaseDuration, settings.maxLease);
}

std::size_t maxRowBytes(const NodeSettings &settings)
{
    return std::min(std::size_t(settings.maxRowBytes), MaxRowBytes);
}

jobs::Engine::Options engineOptions(const NodeSettings &settings)
{
    jobs::Engine::Options options;
    options.lease = leaseDuration(settings);
    options.maxLease = settings.maxLease;
    options.maxListingAge
        = std::max(settings.drainNotice - RunnerClient::OrderTimeout, settings.drainNotice / 2);
    options.maxCallAge = RunnerClient::MaxReadingAge + IdleRunnerWait + RunnerClient::OrderTimeout;
    options.stopTime = settings.stopTime + milliseconds(100);
    options.endedJobRetention = settings.endedJobRetention + std::chrono::seconds(10);
    options.maxRowBytes = maxRowBytes(settings);
    return options;
}

} // namespace

PoolOwner::PoolOwner(PoolContext &context, std::string pool, const OwnedResource &resource)
    : m_context(context)
    , m_pool(std::move(pool))
    , m_epoch(resource.epoch)
    , m_ceilings(context.store, context.log, m_pool, m_epoch, [this] { requestTick(); })
    , m_homes(context.store, context.log, m_pool, [this] { resumeParkedCalls(); })
    , m_engine(engineOptions(context.settings), engineHooks())
    , m_interferenceRow(poolStateStore(context.store), {.key = key(LearnedTable, InterferenceKey)},
                        interferenceHooks())
    , m_admissions(context.poolMetrics, m_pool)
    , m_advice(context.advice, m_pool, adviceHooks())
    , m_silent(resource.observed)
    , m_takenFrom(resource.takenFrom)
    , m_claimTimer(context.loop, [this] { claim(); })
    , m_tickTimer(context.loop, [this] { tick(); })
    , m_batchTimer(context.loop, [this] { sendBatch(); })
{ }

jobs::Engine::Hooks PoolOwner::engineHooks()
{
    return {.note = [this](std::string_view event, const jobs::TaskName &subject,
                           std::string_view detail) { logEvent(event, subject, detail); },
            .ceiling =
                [this](std::string_view team) {
                    return m_ceilings.limit(m_context.configuration(), team);
                },
            .wallMilliseconds = wallMilliseconds};
}

// Tickets expire, and no start is sent without a term.
AdviceCalls::Hooks PoolOwner::adviceHooks()
{
    return {.need
            = [this] { return m_isReady && isOwner() ? m_engine.adviceNeed() : std::nullopt; },
            .takeQuestion = [this] { return m_engine.takeAdviceQuestion(); },
            .onAnswer =
                [this](const jobs::AdviceQuestion &question, const jobs::AdviceAnswer &answer) {
                    m_engine.onAdvice(question, answer, BootClock::now());
                    requestTick();
                }};
}

PoolStateRow::Hooks PoolOwner::interferenceHooks()
{
    return {.isOwner = [this] { return m_isReady && isOwner(); },
            .encode = [this](TimePoint now) { return m_engine.interferencePairs(now); },
            .decode = [this](std::string_view content,
                             TimePoint now) { return m_engine.setInterferencePairs(content, now); },
            .warn =
                [this](std::string_view event, std::string_view detail) {
                    m_context.log.warn(event, {{"pool", m_pool}, {"detail", std::string(detail)}});
                }};
}

// Events about a job or a runner name only the job or runner; events about a run name its task.
void PoolOwner::logEvent(std::string_view event, const jobs::TaskName &subject,
                         std::string_view detail)
{
    const bool isRun = event.starts_with("run.");
    m_context.log.info(event,
                       {{"pool", m_pool},
                        {"job", subject.job},
                        {"task", isRun ? toString(subject) : std::string()},
                        {"epoch", std::to_string(m_epoch)},
                        {"detail", std::string(detail)}});
}

PoolOwner::~PoolOwner()
{
    for (const Waiter &waiter : m_waiters) {
        waiter.answer(
            reply(waiter.mayBeStored ? ResultCode::OutcomeUnknown : ResultCode::NotOwner));
    }
    for (const ParkedCall &parked : m_parked)
        parked.answer(reply(ResultCode::NotOwner));
    leave();
}

void PoolOwner::leave()
{
    m_hasLeft = true;
    m_context.poolMetrics.observeInterference(m_pool, 0, 0);
    if (std::exchange(m_isReady, false))
        m_context.log.info("pool.left", {{"pool", m_pool}, {"epoch", std::to_string(m_epoch)}});
}

StoreKey PoolOwner::key(const char *table, std::string name) const
{
    return {.table = table, .part = m_pool, .key = std::move(name)};
}

void PoolOwner::claim()
{
    m_context.store.readRow(
        key(FenceTable, FenceKey), BootClock::now() + StoreTimeout,
        [this, guard = Guard(m_guard)](const Result<std::optional<StoreRow>> &row) {
            if (!guard.expired())
                onFenceRead(row);
        });
}

void PoolOwner::onFenceRead(const Result<std::optional<StoreRow>> &row)
{
    if (!row) {
        retryClaim(row.error().detail);
        return;
    }
    if (!row.value()) {
        m_wasSettled = true;
        m_silent.load({}, 0, BootClock::now());
        writeClaim(0);
        return;
    }
    const json fence = parseBody(row.value()->value);
    const auto epoch = std::uint64_t(numberField(fence, "epoch").value_or(0));
    if (epoch > m_epoch) {
        depose("a later owner has claimed it");
    } else if (epoch == m_epoch) { // The answer to this owner's claim was lost.
        m_fenceVersion = row.value()->version;
        m_silent.onRowWritten();
        load();
    } else {
        m_wasSettled = epoch + 1 == m_epoch && flagField(fence, "settled");
        m_silent.load(fence, epoch, BootClock::now());
        writeClaim(row.value()->version);
    }
}

void PoolOwner::writeClaim(std::uint64_t version)
{
    const StoreTransaction claim{.expected = {{key(FenceTable, FenceKey), version}},
                                 .writes = {{key(FenceTable, FenceKey), takeFenceValue()}}};
    m_context.store.commit(claim, BootClock::now() + StoreTimeout,
                           [this, guard = Guard(m_guard)](const StoreCommit &commit) {
                               if (guard.expired())
                                   return;
                               if (commit.outcome == CommitOutcome::Committed) {
                                   m_fenceVersion = commit.version;
                                   m_silent.onRowWritten();
                                   load();
                               } else {
                                   retryClaim(commit.detail);
                               }
                           });
}

void PoolOwner::retryClaim(std::string_view reason)
{
    m_context.log.info("pool.claim-failed", {{"pool", m_pool}, {"detail", std::string(reason)}});
    m_claimTimer.startAt(BootClock::now() + StoreRetry);
}

// The tables may be read in any order, since no other owner writes to them after the claim.
void PoolOwner::load()
{
    const auto rows = std::make_shared<PoolRows>();
    readTable(StateTable, rows, rows->states);
    readTable(SpecTable, rows, rows->specs);
    readTable(AddressTable, rows, rows->addresses);
    m_interferenceRow.load(BootClock::now());
}

void PoolOwner::readTable(const char *table, const std::shared_ptr<PoolRows> &rows,
                          std::vector<StoreRow> &target)
{
    ++rows->pendingReads;
    m_context.store.readAll(
        {.table = table, .part = m_pool}, BootClock::now() + 2 * StoreTimeout,
        [this, guard = Guard(m_guard), rows, &target](const Result<StorePage> &page) {
            if (guard.expired())
                return;
            if (!page) {
                if (!std::exchange(rows->hasFailed, true))
                    retryClaim(page.error().detail);
                return;
            }
            target = page.value().rows;
            if (--rows->pendingReads == 0)
                onLoaded(*rows);
        });
}

void PoolOwner::onLoaded(const PoolRows &rows)
{
    if (m_hasLeft)
        return;
    loadJobs(rows.states, rows.specs);
    loadAddresses(rows.addresses);
    m_isReady = true;
    m_engine.setRunners(m_listed);
    forgetRunners();
    tick();
}

void PoolOwner::loadJobs(const std::vector<StoreRow> &states, const std::vector<StoreRow> &specs)
{
    std::map<std::string, jobs::SpecRow> specsById;
    for (const StoreRow &row : specs) {
        Result<jobs::SpecRow> spec = jobs::parseSpecRow(row.value);
        if (spec)
            specsById[row.key.key] = std::move(spec.value());
        else
            m_context.log.warn("job.unreadable", {{"pool", m_pool}, {"job", row.key.key}});
    }
    std::vector<jobs::Job> loaded;
    for (const StoreRow &row : states) {
        jobs::SpecRow &spec = specsById[row.key.key];
        jobs::Job job{.id = row.key.key, .spec = std::move(spec.spec)};
        const Result<void> parsed = jobs::parseJobState(row.value, job);
        job.terms = spec.terms ? *spec.terms : termsInForce(job.queue);
        if (parsed && (job.hasEnded() || !job.spec.steps.empty()))
            loaded.push_back(std::move(job));
        else
            m_context.log.warn("job.unreadable", {{"pool", m_pool}, {"job", row.key.key}});
    }
    const TimePoint now = BootClock::now();
    m_context.log.info("pool.owned",
                       {{"pool", m_pool},
                        {"epoch", std::to_string(m_epoch)},
                        {"jobs", std::to_string(loaded.size())},
                        {"silent", std::to_string(m_silent.size())}});
    m_engine.load(std::move(loaded), now);
    m_earlierOwnersUntil = now + RenewalGrace;
    updateEarlierOwners(now);
    inheritRunners(now);
}

// Takes over what earlier owners have told of the runners of the loaded jobs.
void PoolOwner::inheritRunners(TimePoint now)
{
    std::set<std::string> inherited;
    for (const auto &[id, runner] : m_engine.runners())
        inherited.insert(id);
    m_silent.setInherited(inherited, now);
    for (const std::string &id : inherited)
        m_engine.setRenewedUntil(id, m_silent.since(id, now) + RenewalGrace);
}

void PoolOwner::loadAddresses(const std::vector<StoreRow> &addresses)
{
    std::map<std::string, Endpoint> stored;
    for (const StoreRow &row : addresses) {
        const Result<Endpoint> endpoint = parseEndpoint(row.value);
        stored[row.key.key] = endpoint ? endpoint.value() : Endpoint();
        if (endpoint)
            m_engine.setAddress(row.key.key, endpoint.value());
    }
    m_addresses.load(std::move(stored));
}

// Returns whether no earlier owner renews leases any more. The owner before this one says in the
// fence row whether that was so of those before itself.
bool PoolOwner::haveEarlierOwnersEnded() const
{
    return m_wasSettled && (!m_takenFrom || m_context.hasEnded(*m_takenFrom));
}

void PoolOwner::updateEarlierOwners(TimePoint now)
{
    if (now < m_earlierOwnersUntil && haveEarlierOwnersEnded())
        m_earlierOwnersUntil = now;
    m_engine.setEarlierOwnersUntil(m_earlierOwnersUntil);
}

// Terms of a job that an earlier release has stored without them.
jobs::JobTerms PoolOwner::termsInForce(const std::string &queue) const
{
    const QueueConfig *config = m_context.configuration().findQueue(queue);
    return config != nullptr ? jobs::termsOf(*config) : jobs::JobTerms();
}

void PoolOwner::depose(std::string_view reason)
{
    if (std::exchange(m_isDeposed, true))
        return;
    m_context.log.warn(
        "pool.deposed",
        {{"pool", m_pool}, {"epoch", std::to_string(m_epoch)}, {"detail", std::string(reason)}});
    m_isReady = false;
    m_context.onDeposed(m_pool); // destroys this owner later
}

void PoolOwner::setConfiguration(const Configuration &configuration)
{
    m_engine.setConfiguration(configuration);
    std::set<std::string> addresses;
    for (const QueueConfig &queue : configuration.queues) {
        if (queue.service == m_pool)
            addresses.insert(jobs::queueAddress(queue));
    }
    m_homes.keepOnly(addresses);
    requestTick();
}

void PoolOwner::setRunners(std::span<const jobs::RunnerEntry> runners)
{
    m_listed.clear();
    std::copy_if(runners.begin(), runners.end(), std::back_inserter(m_listed),
                 [&](const jobs::RunnerEntry &entry) { return entry.service == m_pool; });
    if (!m_isReady)
        return;
    m_engine.setRunners(m_listed);
    forgetRunners();
    requestTick();
}

// Drops the renewals, clocks and addresses of runners that the engine no longer has.
void PoolOwner::forgetRunners()
{
    m_addresses.forget(m_engine.runners());
    m_silent.removeIf([&](const std::string &id) {
        const auto runner = m_engine.runners().find(id);
        return runner == m_engine.runners().end() || runner->second.runs.empty();
    });
    std::erase_if(m_renewals, [&](const auto &item) {
        const bool isGone = !item.second.isInFlight && !m_engine.runners().contains(item.first);
        if (isGone)
            m_context.runners.forget(item.first);
        return isGone;
    });
}

void PoolOwner::handle(const api::JobCall &call, ReplyCallback answer)
{
    if (!m_isReady) {
        answer(reply(ResultCode::NotOwner));
        return;
    }
    if (call.verb != api::JobVerb::WAITING
        && !m_engine.mayAccess(call.job, call.team, call.queue)) {
        refuseAccess(call, answer);
        return;
    }
    switch (call.verb) {
    case api::JobVerb::SUBMIT:
        submit(call, std::move(answer));
        break;
    case api::JobVerb::CANCEL:
        cancel(call, std::move(answer));
        break;
    case api::JobVerb::REPEAT:
        answerRepeat(call, std::move(answer));
        break;
    case api::JobVerb::WAITING:
        answerWaiting(call, std::move(answer));
        break;
    case api::JobVerb::STATE:
    default:
        answerState(call, answer);
        break;
    }
}

// The caller must not learn that the job exists, so that questions are answered as if it did not.
// Its identifier can't be used for another job.
void PoolOwner::refuseAccess(const api::JobCall &call, const ReplyCallback &answer)
{
    const bool isSubmission
        = call.verb == api::JobVerb::SUBMIT || call.verb == api::JobVerb::REPEAT;
    m_context.log.info("job.access-refused",
                       {{"pool", m_pool}, {"job", call.job}, {"team", call.team}});
    if (isSubmission)
        answer(reply(ResultCode::KeyRejected));
    else
        answer(reply(isOwner() ? ResultCode::NotFound : ResultCode::NotOwner));
}

// A job that is not known here may be known to a pool to which its queue was sent before.
void PoolOwner::submit(const api::JobCall &call, ReplyCallback answer)
{
    if (m_engine.phaseOf(call.job)) {
        answerWhenDurable(call.job, m_engine.mayBeStored(call.job), std::move(answer));
        return;
    }
    api::JobReply moved = reply(ResultCode::QueueMoved);
    switch (standing(call)) {
    case QueueStanding::Unsettled:
        m_parked.push_back({call, std::move(answer)});
        return;
    case QueueStanding::Elsewhere:
        answer(moved);
        return;
    case QueueStanding::Home:
        break;
    }
    const auto version = std::int64_t(m_homes.version(call.address));
    if (call.homeVersion == version && call.areFormerPoolsEmpty)
        m_homes.forgetFormerPools(call.address);
    moved.formerPools = m_homes.home(call.address).formerPools;
    moved.homeVersion = version;
    if (moved.formerPools.empty() || call.homeVersion == version)
        accept(call, std::move(answer));
    else
        answer(moved);
}

void PoolOwner::accept(const api::JobCall &call, ReplyCallback answer)
{
    Result<jobs::JobSpec> spec = jobs::parseJobSpec(call.spec);
    if (!spec) {
        answer(reply(ResultCode::RequestMalformed));
        return;
    }
    const jobs::Job job{.queue = call.queue, .team = call.team};
    const std::size_t specBytes = jobs::SpecRowFrameBytes + call.spec.size();
    const std::size_t stateBytes
        = jobs::frameBytes(job) + jobs::occurrenceBytes(spec.value(), termsInForce(call.queue));
    if (std::max(specBytes, stateBytes) > maxRowBytes(m_context.settings)) {
        answer(reply(ResultCode::RequestTooLarge));
        return;
    }
    const jobs::SubmitResult result = m_engine.submit(
        {.id = call.job, .queue = call.queue, .team = call.team, .spec = std::move(spec.value())},
        BootClock::now());
    if (result.verdict == jobs::SubmitVerdict::Refused) {
        answer(AdmissionReport::refusal(result.retryAfter, isOwner()));
        return;
    }
    answerWhenDurable(call.job, m_engine.mayBeStored(call.job), std::move(answer));
}

// From the first such call on, the new home of the queue may accept the job, so that this pool must
// not accept it any more.
void PoolOwner::answerRepeat(const api::JobCall &call, ReplyCallback answer)
{
    m_homes.invalidate(call.address);
    if (m_engine.phaseOf(call.job)) {
        answerWhenDurable(call.job, m_engine.mayBeStored(call.job), std::move(answer));
        return;
    }
    api::JobReply unknown = reply(isOwner() ? ResultCode::NotFound : ResultCode::NotOwner);
    unknown.hasJobs = m_engine.hasJobs(call.queue);
    answer(unknown);
}

void PoolOwner::answerWaiting(const api::JobCall &call, ReplyCallback answer)
{
    const QueueStanding known = standing(call);
    if (known == QueueStanding::Unsettled) {
        m_parked.push_back({call, std::move(answer)});
        return;
    }
    api::JobReply counted = reply(isOwner() ? ResultCode::Ok : ResultCode::NotOwner);
    counted.waiting = m_engine.waitingCount(call.queue);
    if (known == QueueStanding::Home)
        counted.formerPools = m_homes.home(call.address).formerPools;
    answer(counted);
}

// Returns the pool's standing towards the call's queue. A pool claims only queues that its owner's
// configuration sends to it.
QueueStanding PoolOwner::standing(const api::JobCall &call)
{
    const Configuration &configuration = m_context.configuration();
    const QueueConfig *queue = configuration.findQueue(call.queue);
    if (queue == nullptr || queue->service != m_pool)
        return QueueStanding::Elsewhere;
    return m_homes.standing(call.address, configuration.version);
}

void PoolOwner::resumeParkedCalls()
{
    for (ParkedCall &parked : std::exchange(m_parked, {}))
        handle(parked.call, std::move(parked.answer));
}

// `mayBeStored` tells whether the store may hold what the call asks for before the next batch.
void PoolOwner::answerWhenDurable(const std::string &job, bool mayBeStored, ReplyCallback answer)
{
    m_waiters.push_back({.job = job, .mayBeStored = mayBeStored, .answer = std::move(answer)});
    answerWaiters();
    requestTick();
}

void PoolOwner::cancel(const api::JobCall &call, ReplyCallback answer)
{
    const bool isKnown = m_engine.cancel(call.job);
    if (!isKnown) {
        answer(reply(isOwner() ? ResultCode::NotFound : ResultCode::NotOwner));
        return;
    }
    const bool isBeingWritten = m_batch && m_batch->phases.contains(call.job);
    answerWhenDurable(call.job, isBeingWritten, std::move(answer));
}

// Only a node that is certain to be the owner may answer that a job does not exist: a later owner
// may have accepted the job.
void PoolOwner::answerState(const api::JobCall &call, const ReplyCallback &answer)
{
    const std::optional<jobs::JobPhase> phase = m_engine.phaseOf(call.job);
    if (!phase) {
        answer(reply(isOwner() ? ResultCode::NotFound : ResultCode::NotOwner));
        return;
    }
    api::JobReply state = reply(ResultCode::Ok);
    state.state = toString(*phase);
    answer(state);
}

api::EvacuationReply PoolOwner::evacuate(const api::EvacuationCall &call)
{
    api::EvacuationReply reply;
    reply.code = std::int32_t(m_isReady ? ResultCode::Ok : ResultCode::NotOwner);
    if (!m_isReady)
        return reply;
    m_engine.evacuate(call.runner, BootClock::now() + EvacuationDuration);
    reply.isEmpty = m_engine.isEmpty(call.runner);
    requestTick();
    return reply;
}

api::DemandReply PoolOwner::demand(const api::DemandCall &)
{
    api::DemandReply reply;
    reply.code = std::int32_t(m_isReady ? ResultCode::Ok : ResultCode::NotOwner);
    if (!m_isReady)
        return reply;
    const jobs::PoolDemand demand = m_engine.demand(BootClock::now());
    m_hasShortage = demand.needed > double(demand.runners);
    reply.runners = std::int32_t(demand.runners);
    reply.needed = demand.needed;
    reply.lastingSpread = std::int32_t(demand.lastingSpread);
    reply.idle = demand.idle;
    return reply;
}

void PoolOwner::answerWaiters()
{
    std::vector<Waiter> later;
    std::vector<Waiter> done;
    for (Waiter &waiter : m_waiters)
        (m_engine.isDurable(waiter.job) ? done : later).push_back(std::move(waiter));
    m_waiters = std::move(later);
    for (const Waiter &waiter : done)
        waiter.answer(reply(ResultCode::Ok));
}

void PoolOwner::requestTick()
{
    if (m_isReady)
        scheduleTick(BootClock::now() + TickDelay);
}

// A tick that is already scheduled is not postponed: under load there is always another event.
void PoolOwner::scheduleTick(TimePoint due)
{
    if (m_tickDue != TimePoint{} && m_tickDue <= due)
        return;
    m_tickDue = due;
    m_tickTimer.startAt(due);
}

void PoolOwner::tick()
{
    m_tickDue = {};
    if (!m_isReady)
        return;
    const TimePoint now = BootClock::now();
    updateEarlierOwners(now);
    const bool canWrite = !m_batch && now >= m_writeDue;
    const TimePoint planDue = canWrite ? m_earliestPlan : m_latestPlan;
    if (now >= planDue)
        plan(now);
    else
        scheduleTick(planDue);
    m_homes.retry();
    m_interferenceRow.update(now);
    writeBatch();
    m_context.advice.update();
    sendOrders();
    renewLeases();
    scheduleTick(now + TickInterval);
}

void PoolOwner::plan(TimePoint now)
{
    m_engine.plan(now);
    m_ceilings.update(m_engine.teamDemands(), m_context.configuration());
    m_admissions.update(m_engine.admission().counts());
    const TimePoint end = BootClock::now();
    m_earliestPlan = end + PlanShare * (end - now);
    m_latestPlan = std::max(now + TickInterval, m_earliestPlan);
    m_context.poolMetrics.observePlan(end - now);
    m_context.poolMetrics.observeInterference(m_pool, m_engine.interferingPairCount(),
                                              m_engine.takeAvoidedInterferenceCount());
}

void PoolOwner::writeBatch()
{
    const TimePoint now = BootClock::now();
    if (m_batch)
        return;
    if (now < m_writeDue) {
        scheduleTick(m_writeDue);
        return;
    }
    jobs::Batch batch = m_engine.takeBatch();
    const bool isSettling = !m_isSettled && now >= m_earlierOwnersUntil;
    if (batch.rows.empty() && !isSettling && !m_silent.isRowDue(now)) {
        if (!batch.isEmpty())
            m_engine.onCommitted(batch);
        return;
    }
    for (Waiter &waiter : m_waiters)
        waiter.mayBeStored = waiter.mayBeStored || batch.phases.contains(waiter.job);
    m_addresses.require(batch.starts, m_engine.runners());
    m_batch = std::move(batch);
    m_writeDue = now + BatchInterval;
    sendNextTransaction();
}

std::string PoolOwner::takeFenceValue()
{
    json fence{{"epoch", m_epoch}, {"sequence", m_sequence}, {"owner", m_context.settings.name}};
    if (m_isSettled)
        fence["settled"] = true;
    const json silent = m_silent.takeRow(BootClock::now());
    if (!silent.empty())
        fence["silent"] = silent;
    return fence.dump();
}

// The addresses of the batch's runners are written with the batch, or before it if they do not fit
// into its transaction.
void PoolOwner::sendNextTransaction()
{
    ++m_sequence;
    m_isSettled = m_isSettled || BootClock::now() >= m_earlierOwnersUntil;
    m_transaction = {.expected = {{key(FenceTable, FenceKey), m_fenceVersion}},
                     .writes = {{key(FenceTable, FenceKey), takeFenceValue()}}};
    const std::size_t room
        = MaxTransactionEntries - m_transaction.expected.size() - m_transaction.writes.size();
    std::vector<StoreWrite> rows = jobWrites();
    m_hasBatchRows = rows.size() + m_addresses.requiredCount() <= room;
    if (m_hasBatchRows)
        std::move(rows.begin(), rows.end(), std::back_inserter(m_transaction.writes));
    addAddressWrites(m_hasBatchRows ? room - rows.size() : room);
    sendBatch();
}

std::vector<StoreWrite> PoolOwner::jobWrites() const
{
    std::vector<StoreWrite> writes;
    for (const jobs::RowChange &row : m_batch->rows) {
        if (row.spec)
            writes.push_back({key(SpecTable, row.job), row.spec});
        if (row.state)
            writes.push_back({key(StateTable, row.job), row.state});
        if (row.isSpecRemoved)
            writes.push_back({key(SpecTable, row.job), std::nullopt});
        if (row.isRemoved)
            writes.push_back({key(StateTable, row.job), std::nullopt});
    }
    return writes;
}

void PoolOwner::addAddressWrites(std::size_t room)
{
    m_addressChanges = m_addresses.takeChanges(room);
    for (const RunnerAddresses::Change &change : m_addressChanges) {
        m_transaction.writes.push_back(
            {key(AddressTable, change.runner),
             change.endpoint ? std::optional(toString(*change.endpoint)) : std::nullopt});
    }
}

void PoolOwner::sendBatch()
{
    m_context.store.commit(m_transaction, BootClock::now() + StoreTimeout,
                           [this, guard = Guard(m_guard)](const StoreCommit &commit) {
                               if (!guard.expired())
                                   onBatchAnswer(commit);
                           });
}

void PoolOwner::onBatchAnswer(const StoreCommit &commit)
{
    if (m_isDeposed)
        return;
    if (commit.outcome == CommitOutcome::Committed) {
        onBatchWritten(commit.version);
        return;
    }
    if (commit.isRefused && m_hasBatchRows) {
        onBatchRefused(commit.detail);
        return;
    }
    if (commit.outcome != CommitOutcome::Conflict) {
        m_context.log.info("batch.unanswered", {{"pool", m_pool}, {"detail", commit.detail}});
        m_batchTimer.startAt(BootClock::now() + StoreRetry);
        return;
    }
    for (const StoreRow &row : commit.current) {
        if (row.key.table == FenceTable && row.value == m_transaction.writes.front().value) {
            onBatchWritten(row.version); // an earlier attempt was applied
            return;
        }
    }
    depose("its fence row was changed");
}

void PoolOwner::onBatchWritten(std::uint64_t version)
{
    m_fenceVersion = version;
    m_silent.onRowWritten();
    if (!m_hasBatchRows) {
        sendNextTransaction();
        return;
    }
    const jobs::Batch batch = std::move(*m_batch);
    m_batch.reset();
    m_engine.onCommitted(batch);
    answerWaiters();
    sendOrders();
    requestTick();
}

// The same batch would be refused for ever, and with it all later ones. An earlier attempt may
// still be applied if its answer was lost: then the next batch meets another fence row, and the
// pool is given up.
void PoolOwner::onBatchRefused(std::string_view detail)
{
    m_context.log.warn("batch.refused",
                       {{"pool", m_pool},
                        {"jobs", std::to_string(m_batch->rows.size())},
                        {"detail", std::string(detail)}});
    m_addresses.putBack(m_addressChanges);
    const jobs::Batch batch = std::move(*m_batch);
    m_batch.reset();
    const std::size_t before = m_engine.setApartCount();
    m_engine.onRefused(batch, BootClock::now());
    if (m_engine.setApartCount() > before)
        m_context.poolMetrics.countSetApart();
    requestTick();
}

// Another node may own the pool after this node's term, so that orders wait until the term is
// renewed.
void PoolOwner::sendOrders()
{
    if (!m_isReady || !isOwner())
        return;
    for (const jobs::StartOrder &order : m_engine.takeStarts(BootClock::now()))
        sendStart(order);
    for (const jobs::StopOrder &order : m_engine.takeStops(BootClock::now()))
        sendStop(order);
    for (const jobs::PaceOrder &order : m_engine.takePaces(BootClock::now()))
        sendPace(order);
}

void PoolOwner::sendStart(const jobs::StartOrder &order)
{
    m_context.poolMetrics.observeStart(order);
    const RunnerTarget target{order.runner, m_engine.runners().at(order.runner).entry.endpoint};
    const Duration lease = leaseDuration(m_context.settings);
    m_context.runners.start(target, {.order = order, .fence = m_epoch, .lease = lease},
                            [this, guard = Guard(m_guard), order](const StartAnswer &answer) {
                                if (guard.expired())
                                    return;
                                if (answer.outcome == jobs::StartOutcome::Fenced) {
                                    onFenced(order.runner);
                                    return;
                                }
                                const TimePoint now = BootClock::now();
                                if (answer.lease)
                                    m_engine.onLeaseGranted(order.runner, *answer.lease, now);
                                m_engine.onStartAnswer(order, answer.outcome, now);
                                requestTick();
                            });
}

void PoolOwner::sendStop(const jobs::StopOrder &order)
{
    const auto runner = m_engine.runners().find(order.runner);
    if (runner == m_engine.runners().end())
        return;
    const RunnerTarget target{order.runner, runner->second.entry.endpoint};
    m_context.runners.stop(
        target, order, m_epoch,
        [this, guard = Guard(m_guard), order, sentAt = BootClock::now()](CallOutcome outcome) {
            if (guard.expired())
                return;
            if (outcome == CallOutcome::Fenced) {
                onFenced(order.runner);
                return;
            }
            m_engine.onStopAnswer(order, outcome == CallOutcome::Answered, BootClock::now());
            if (outcome == CallOutcome::OtherIncarnation)
                m_engine.onIncarnationOver(order.runner, sentAt);
            requestTick();
        });
}

void PoolOwner::sendPace(const jobs::PaceOrder &order)
{
    const auto runner = m_engine.runners().find(order.runner);
    if (runner == m_engine.runners().end())
        return;
    const RunnerTarget target{order.runner, runner->second.entry.endpoint};
    m_context.runners.pace(target, order, m_epoch,
                           [this, guard = Guard(m_guard), order](CallOutcome outcome) {
                               if (guard.expired())
                                   return;
                               if (outcome == CallOutcome::Fenced)
                                   onFenced(order.runner);
                               else
                                   m_engine.onPaceAnswer(order, outcome == CallOutcome::Answered);
                           });
}

// Only an owner of the pool can have sent a higher fence to its runner. The store may be out of
// this node's reach, so that it would learn of that owner late.
void PoolOwner::onFenced(const std::string &runner)
{
    if (m_isDeposed)
        return;
    m_context.log.warn("pool.fenced", {{"pool", m_pool}, {"runner", runner}});
    depose("a later owner has given orders to a runner");
}

void PoolOwner::renewLeases()
{
    const TimePoint now = BootClock::now();
    if (now >= m_context.ownedUntil() + RenewalGrace)
        return;
    for (const auto &[id, runner] : m_engine.runners()) {
        Renewal &renewal = m_renewals[id];
        if (!runner.isListed && runner.runs.empty())
            continue;
        if (!renewal.isInFlight && now >= renewal.dueAt)
            renew(id, runner);
    }
}

Duration PoolOwner::renewalWait(const std::string &id, const jobs::Runner &runner) const
{
    if (runner.runs.empty())
        return IdleRunnerWait;
    if (m_engine.needsFrequentPolling(id))
        return WatchedRunnerWait;
    // Leaves time for another renewal before the last one is due.
    const Duration left = m_context.ownedUntil() + RenewalGrace - BootClock::now();
    return std::min(BusyRunnerWait, std::max(left - LastRenewalLead, WatchedRunnerWait));
}

// A runner would at once report again the ends of runs that are not in the store yet, so a renewal
// waits for the batch. While the store is unavailable, renewals go out without waiting for ends of
// runs.
void PoolOwner::renew(const std::string &id, const jobs::Runner &runner)
{
    const TimePoint now = BootClock::now();
    const bool hasUncommittedEnds = runner.appliedEnds > runner.durableEnds;
    if (hasUncommittedEnds && now < runner.answeredAt + BusyRunnerWait)
        return;
    LeaseRenewal renewal{.fence = m_epoch, .seenEnds = runner.seenEnds()};
    if (runner.missedCalls == 0 && runner.isFenced() && !runner.isUnreported()
        && m_silent.mayExtend(id)) {
        renewal.lease = leaseDuration(m_context.settings);
        m_engine.onLeaseSent(id, now);
        if (!hasUncommittedEnds)
            renewal.wait = renewalWait(id, runner);
    }
    m_renewals[id].isInFlight = true;
    const RunnerTarget target{id, runner.entry.endpoint};
    m_context.runners.renew(target, renewal,
                            [this, guard = Guard(m_guard), id, now,
                             hasLease = renewal.lease.has_value()](const RenewAnswer &answer) {
                                if (!guard.expired())
                                    onRenewed(id, answer, {.sentAt = now, .hasLease = hasLease});
                            });
}

void PoolOwner::onRenewed(const std::string &id, const RenewAnswer &answer, const SentRenewal &sent)
{
    if (answer.outcome == CallOutcome::Fenced) {
        onFenced(id);
        return;
    }
    const TimePoint now = BootClock::now();
    Renewal &renewal = m_renewals[id];
    renewal.isInFlight = false;
    renewal.dueAt = now + (m_silent.mayExtend(id) ? RenewalDelay : NoAnswerRetry);
    if (answer.lease)
        m_engine.onLeaseGranted(id, *answer.lease, now);
    switch (answer.outcome) {
    case CallOutcome::Answered:
        m_engine.onReport(id, answer.report, sent.sentAt, now);
        m_silent.remove(id);
        break;
    case CallOutcome::OtherIncarnation:
        m_engine.onIncarnationOver(id, sent.sentAt);
        renewal.dueAt = now + NoAnswerRetry;
        break;
    default:
        m_engine.onMissedCall(id, sent.hasLease, now);
        renewal.dueAt = now + NoAnswerRetry;
        break;
    }
    requestTick();
}

} // namespace sequoiapier

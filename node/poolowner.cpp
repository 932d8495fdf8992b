// One batch is under way at a time; changes made meanwhile wait for the next. A batch is sent again
// as it was until the store says what became of it. Store calls: at most one a BatchInterval.
#include "node/poolowner.h"

#include "node/evacuation.h"
#include "platform/jsonfields.h"
#include "sequoiapier/resultcode.h"
#include "sequoiapier/wallclock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char *FenceTable = "pools";
constexpr const char *FenceKey = "owner";
constexpr const char *SpecTable = "jobspecs";
constexpr const char *StateTable = "jobstates";

constexpr Duration StorePatience = milliseconds(1'000); // a slow store takes a third of a second
constexpr Duration StoreRetry = milliseconds(100);
constexpr Duration BatchInterval = milliseconds(20); // between batches; each is one paid call
constexpr Duration TurnInterval = milliseconds(100); // at least, for what falls due by itself
constexpr Duration TurnDelay = milliseconds(3); // collects the events of a moment
constexpr Duration LeaseLength = milliseconds(5'000); // outlives a takeover of about 3 s
constexpr Duration BusyWait = milliseconds(1'000); // of a renewal, for an end of a run
constexpr Duration IdleWait = milliseconds(2'000); // the most that a runner takes
constexpr Duration EndsDelay = milliseconds(15); // collects the ends of a moment
constexpr Duration SilentRetry = milliseconds(200);
constexpr Duration WatchedWait = milliseconds(200); // where answers are needed often

api::JobReply reply(ResultCode code)
{
    api::JobReply answer;
    answer.code = std::int32_t(code);
    return answer;
}

Duration leaseLength(const NodeSettings &settings)
{
    return std::min(LeaseLength, settings.maxLease);
}

jobs::Engine::Options engineOptions(const NodeSettings &settings)
{
    jobs::Engine::Options options;
    options.lease = leaseLength(settings);
    options.listTerm
        = std::max(settings.drainNotice - RunnerClient::OrderPatience, settings.drainNotice / 2);
    options.stopTime = settings.stopTime + milliseconds(100);
    options.keepEnded = settings.keepEnded + std::chrono::seconds(10);
    options.maxRowBytes = std::size_t(settings.maxRowBytes);
    return options;
}

} // namespace

PoolOwner::PoolOwner(PoolContext &context, std::string pool, std::uint64_t epoch)
    : m_context(context)
    , m_pool(std::move(pool))
    , m_epoch(epoch)
    , m_ceilings(context.store, context.log, m_pool, epoch, [this] { poke(); })
    , m_engine(engineOptions(context.settings), engineHooks())
    , m_claimTimer(context.loop, [this] { claim(); })
    , m_turnTimer(context.loop, [this] { turn(); })
    , m_batchTimer(context.loop, [this] { sendBatch(); })
{ }

jobs::Engine::Hooks PoolOwner::engineHooks()
{
    return {.note = [this](std::string_view event, const jobs::TaskName &subject,
                           std::string_view detail) { note(event, subject, detail); },
            .ceiling =
                [this](std::string_view team) {
                    return m_ceilings.limit(m_context.configuration(), team);
                },
            .wallMilliseconds = wallMilliseconds};
}

// Events about a job or a runner name it alone; events about a run name its task.
void PoolOwner::note(std::string_view event, const jobs::TaskName &subject, std::string_view detail)
{
    const bool isRun = event.starts_with("run.");
    m_context.log.note(event,
                       {{"pool", m_pool},
                        {"job", subject.job},
                        {"task", isRun ? toString(subject) : std::string()},
                        {"epoch", std::to_string(m_epoch)},
                        {"detail", std::string(detail)}});
}

PoolOwner::~PoolOwner()
{
    for (const Waiter &waiter : m_waiters) {
        waiter.answer(reply(waiter.isInBatch ? ResultCode::OutcomeUnknown : ResultCode::NotOwner));
    }
    if (m_isReady)
        m_context.log.note("pool.left", {{"pool", m_pool}, {"epoch", std::to_string(m_epoch)}});
}

StoreKey PoolOwner::key(const char *table, std::string name) const
{
    return {.table = table, .part = m_pool, .key = std::move(name)};
}

void PoolOwner::claim()
{
    m_context.store.readRow(
        key(FenceTable, FenceKey), BootClock::now() + StorePatience,
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
        claimOver(0);
        return;
    }
    const json fence = parseBody(row.value()->value);
    const auto epoch = std::uint64_t(numberField(fence, "epoch").value_or(0));
    if (epoch > m_epoch) {
        depose("a later owner has claimed it");
    } else if (epoch == m_epoch) { // the answer to our claim was lost
        m_fenceVersion = row.value()->version;
        loadStates();
    } else {
        claimOver(row.value()->version);
    }
}

void PoolOwner::claimOver(std::uint64_t version)
{
    const StoreTransaction claim{.expected = {{key(FenceTable, FenceKey), version}},
                                 .writes = {{key(FenceTable, FenceKey), fenceValue()}}};
    m_context.store.commit(claim, BootClock::now() + StorePatience,
                           [this, guard = Guard(m_guard)](const StoreCommit &commit) {
                               if (guard.expired())
                                   return;
                               if (commit.outcome == CommitOutcome::Committed) {
                                   m_fenceVersion = commit.version;
                                   loadStates();
                               } else {
                                   retryClaim(commit.detail);
                               }
                           });
}

void PoolOwner::retryClaim(std::string_view why)
{
    m_context.log.note("pool.claim-failed", {{"pool", m_pool}, {"detail", std::string(why)}});
    m_claimTimer.startAt(BootClock::now() + StoreRetry);
}

void PoolOwner::loadStates()
{
    m_context.store.readAll(
        {.table = StateTable, .part = m_pool}, BootClock::now() + 2 * StorePatience,
        [this, guard = Guard(m_guard)](const Result<StorePage> &page) {
            if (guard.expired())
                return;
            page ? loadSpecs(page.value().rows) : retryClaim(page.error().detail);
        });
}

void PoolOwner::loadSpecs(std::vector<StoreRow> states)
{
    m_context.store.readAll(
        {.table = SpecTable, .part = m_pool}, BootClock::now() + 2 * StorePatience,
        [this, guard = Guard(m_guard), states = std::move(states)](const Result<StorePage> &page) {
            if (guard.expired())
                return;
            page ? begin(states, page.value().rows) : retryClaim(page.error().detail);
        });
}

void PoolOwner::begin(const std::vector<StoreRow> &states, const std::vector<StoreRow> &specs)
{
    std::map<std::string, jobs::JobSpec> specsById;
    for (const StoreRow &row : specs) {
        Result<jobs::JobSpec> spec = jobs::parseJobSpec(row.value);
        if (spec)
            specsById[row.key.key] = std::move(spec.value());
        else
            m_context.log.warn("job.unreadable", {{"pool", m_pool}, {"job", row.key.key}});
    }
    std::vector<jobs::Job> loaded;
    for (const StoreRow &row : states) {
        jobs::Job job{.id = row.key.key, .spec = specsById[row.key.key]};
        const Result<void> parsed = jobs::parseJobState(row.value, job);
        if (parsed && (job.hasEnded() || !job.spec.steps.empty()))
            loaded.push_back(std::move(job));
        else
            m_context.log.warn("job.unreadable", {{"pool", m_pool}, {"job", row.key.key}});
    }
    const TimePoint now = BootClock::now();
    m_context.log.note("pool.owned",
                       {{"pool", m_pool},
                        {"epoch", std::to_string(m_epoch)},
                        {"jobs", std::to_string(loaded.size())}});
    m_engine.load(std::move(loaded), now);
    m_isReady = true;
    m_engine.setRunners(m_listed);
    turn();
}

void PoolOwner::depose(std::string_view why)
{
    if (std::exchange(m_isDeposed, true))
        return;
    m_context.log.warn(
        "pool.deposed",
        {{"pool", m_pool}, {"epoch", std::to_string(m_epoch)}, {"detail", std::string(why)}});
    m_isReady = false;
    m_context.onDeposed(m_pool); // destroys this owner later
}

void PoolOwner::setConfiguration(const Configuration &configuration)
{
    m_engine.setConfiguration(configuration);
    poke();
}

void PoolOwner::setRunners(const std::vector<jobs::RunnerEntry> &runners)
{
    m_listed.clear();
    std::copy_if(runners.begin(), runners.end(), std::back_inserter(m_listed),
                 [&](const jobs::RunnerEntry &entry) { return entry.service == m_pool; });
    if (!m_isReady)
        return;
    m_engine.setRunners(m_listed);
    forgetRunners();
    poke();
}

// What is kept beside the engine goes with the runners that it has forgotten.
void PoolOwner::forgetRunners()
{
    std::erase_if(m_renewals, [&](const auto &item) {
        const bool isGone = !item.second.isUnderWay && !m_engine.runners().contains(item.first);
        if (isGone)
            m_context.runners.forget(item.first);
        return isGone;
    });
}

void PoolOwner::handle(const api::JobCall &call, Answer answer)
{
    if (!m_isReady) {
        answer(reply(ResultCode::NotOwner));
        return;
    }
    switch (call.verb) {
    case api::JobVerb::SUBMIT:
        submit(call, std::move(answer));
        break;
    case api::JobVerb::CANCEL:
        cancel(call, std::move(answer));
        break;
    case api::JobVerb::WAITING: {
        api::JobReply counted = reply(m_context.isOwner() ? ResultCode::Ok : ResultCode::NotOwner);
        counted.waiting = m_engine.waitingCount(call.queue);
        answer(counted);
        break;
    }
    case api::JobVerb::STATE:
    default:
        answerState(call, answer);
        break;
    }
}

void PoolOwner::submit(const api::JobCall &call, Answer answer)
{
    Result<jobs::JobSpec> spec = jobs::parseJobSpec(call.spec);
    if (!spec) {
        answer(reply(ResultCode::RequestMalformed));
        return;
    }
    const std::size_t stateBytes = jobs::JobFrameBytes + jobs::occurrenceBytes(spec.value());
    if (std::max(call.spec.size(), stateBytes) > m_context.settings.maxRowBytes
        && !m_engine.phaseOf(call.job)) {
        answer(reply(ResultCode::RequestTooLarge));
        return;
    }
    m_engine.submit(
        {.id = call.job, .queue = call.queue, .team = call.team, .spec = std::move(spec.value())},
        BootClock::now());
    m_waiters.push_back({.job = call.job, .answer = std::move(answer)});
    answerWaiters();
    poke();
}

void PoolOwner::cancel(const api::JobCall &call, Answer answer)
{
    const bool isKnown = m_engine.cancel(call.job);
    if (!isKnown) {
        answer(reply(m_context.isOwner() ? ResultCode::NotFound : ResultCode::NotOwner));
        return;
    }
    m_waiters.push_back({.job = call.job, .answer = std::move(answer)});
    answerWaiters();
    poke();
}

// Only an owner for certain may say that a job does not exist: a later owner may have taken it.
void PoolOwner::answerState(const api::JobCall &call, const Answer &answer)
{
    const std::optional<jobs::JobPhase> phase = m_engine.phaseOf(call.job);
    if (!phase) {
        answer(reply(m_context.isOwner() ? ResultCode::NotFound : ResultCode::NotOwner));
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
    m_engine.evacuate(call.runner, BootClock::now() + EvacuationTerm);
    reply.isEmpty = m_engine.isEmpty(call.runner);
    poke();
    return reply;
}

api::DemandReply PoolOwner::demand(const api::DemandCall &)
{
    api::DemandReply reply;
    reply.code = std::int32_t(m_isReady ? ResultCode::Ok : ResultCode::NotOwner);
    if (!m_isReady)
        return reply;
    const jobs::PoolDemand demand = m_engine.demand(BootClock::now());
    m_isShort = demand.needed > double(demand.runners);
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

void PoolOwner::poke()
{
    if (m_isReady)
        startTurnBy(BootClock::now() + TurnDelay);
}

// Never later than it was due already: under load there is always another event.
void PoolOwner::startTurnBy(TimePoint due)
{
    if (m_turnDue != TimePoint{} && m_turnDue <= due)
        return;
    m_turnDue = due;
    m_turnTimer.startAt(due);
}

void PoolOwner::turn()
{
    m_turnDue = {};
    if (!m_isReady)
        return;
    const TimePoint now = BootClock::now();
    m_engine.plan(now);
    m_ceilings.update(m_engine.teamDemands(), m_context.configuration());
    writeBatch();
    askAdvice();
    sendOrders();
    renewLeases();
    startTurnBy(now + TurnInterval);
}

void PoolOwner::writeBatch()
{
    const TimePoint now = BootClock::now();
    if (m_batch)
        return;
    if (now < m_writeDue) {
        startTurnBy(m_writeDue);
        return;
    }
    jobs::Batch batch = m_engine.takeBatch();
    if (batch.isEmpty())
        return;
    if (batch.rows.empty()) {
        m_engine.onCommitted(batch);
        return;
    }
    ++m_sequence;
    m_transaction = transactionOf(batch);
    for (Waiter &waiter : m_waiters)
        waiter.isInBatch = waiter.isInBatch || batch.phases.contains(waiter.job);
    m_batch = std::move(batch);
    m_writeDue = now + BatchInterval;
    sendBatch();
}

std::string PoolOwner::fenceValue() const
{
    return json{{"epoch", m_epoch}, {"sequence", m_sequence}, {"owner", m_context.settings.name}}
        .dump();
}

StoreTransaction PoolOwner::transactionOf(const jobs::Batch &batch) const
{
    StoreTransaction transaction{.expected = {{key(FenceTable, FenceKey), m_fenceVersion}},
                                 .writes = {{key(FenceTable, FenceKey), fenceValue()}}};
    for (const jobs::RowChange &row : batch.rows) {
        if (row.spec)
            transaction.writes.push_back({key(SpecTable, row.job), row.spec});
        if (row.state)
            transaction.writes.push_back({key(StateTable, row.job), row.state});
        if (row.isSpecRemoved)
            transaction.writes.push_back({key(SpecTable, row.job), std::nullopt});
        if (row.isRemoved)
            transaction.writes.push_back({key(StateTable, row.job), std::nullopt});
    }
    return transaction;
}

void PoolOwner::sendBatch()
{
    m_context.store.commit(m_transaction, BootClock::now() + StorePatience,
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
    if (commit.outcome != CommitOutcome::Conflict) {
        m_context.log.note("batch.unanswered", {{"pool", m_pool}, {"detail", commit.detail}});
        m_batchTimer.startAt(BootClock::now() + StoreRetry);
        return;
    }
    for (const StoreRow &row : commit.current) {
        if (row.key.table == FenceTable && row.value == fenceValue()) {
            onBatchWritten(row.version); // an earlier sending was carried out
            return;
        }
    }
    depose("its fence row was changed");
}

void PoolOwner::onBatchWritten(std::uint64_t version)
{
    m_fenceVersion = version;
    const jobs::Batch batch = std::move(*m_batch);
    m_batch.reset();
    m_engine.onCommitted(batch);
    answerWaiters();
    sendOrders();
    poke();
}

void PoolOwner::sendOrders()
{
    for (const jobs::StartOrder &order : m_engine.takeStarts(BootClock::now()))
        sendStart(order);
    for (const jobs::StopOrder &order : m_engine.takeStops(BootClock::now()))
        sendStop(order);
    for (const jobs::PaceOrder &order : m_engine.takePaces(BootClock::now()))
        sendPace(order);
}

void PoolOwner::askAdvice()
{
    const auto question = m_engine.takeAdviceQuestion(BootClock::now());
    if (!question)
        return;
    m_context.advice.ask(*question,
                         [this, guard = Guard(m_guard),
                          asked = *question](const std::optional<jobs::Advice> &advice) {
                             if (guard.expired())
                                 return;
                             m_engine.onAdvice(asked, advice, BootClock::now());
                             poke();
                         });
}

void PoolOwner::sendStart(const jobs::StartOrder &order)
{
    m_context.startTimes.observe(order);
    const RunnerTarget target{order.runner, m_engine.runners().at(order.runner).entry.endpoint};
    const Duration lease = leaseLength(m_context.settings);
    m_context.runners.start(target, {.order = order, .fence = m_epoch, .lease = lease},
                            [this, guard = Guard(m_guard), order](jobs::StartOutcome outcome) {
                                if (guard.expired())
                                    return;
                                m_engine.onStartAnswer(order, outcome, BootClock::now());
                                poke();
                            });
}

void PoolOwner::sendStop(const jobs::StopOrder &order)
{
    const auto runner = m_engine.runners().find(order.runner);
    if (runner == m_engine.runners().end())
        return;
    const RunnerTarget target{order.runner, runner->second.entry.endpoint};
    m_context.runners.stop(
        target, order, m_epoch, [this, guard = Guard(m_guard), order](CallOutcome outcome) {
            if (guard.expired())
                return;
            m_engine.onStopAnswer(order, outcome == CallOutcome::Answered, BootClock::now());
            if (outcome == CallOutcome::OtherLife)
                m_engine.onLifeOver(order.runner);
            poke();
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
                               if (!guard.expired())
                                   m_engine.onPaceAnswer(order, outcome == CallOutcome::Answered);
                           });
}

void PoolOwner::renewLeases()
{
    const TimePoint now = BootClock::now();
    for (const auto &[id, runner] : m_engine.runners()) {
        Renewal &renewal = m_renewals[id];
        if (!runner.isListed && runner.runs.empty())
            continue;
        if (!renewal.isUnderWay && now >= renewal.dueAt)
            renew(id, runner);
    }
}

Duration PoolOwner::waitFor(const std::string &id, const jobs::Runner &runner) const
{
    if (runner.runs.empty())
        return IdleWait;
    return m_engine.isWatched(id) ? WatchedWait : BusyWait;
}

// Ends that are not in the store yet would be listed again at once, so a renewal waits for the
// batch; when the store is away it goes out without waiting for ends.
void PoolOwner::renew(const std::string &id, const jobs::Runner &runner)
{
    const TimePoint now = BootClock::now();
    const bool hasOpenEnds = runner.notedEnds > runner.durableEnds;
    if (hasOpenEnds && now < runner.answeredAt + BusyWait)
        return;
    LeaseRenewal renewal{.fence = m_epoch, .seenEnds = runner.seenEnds()};
    if (runner.missedCalls == 0 && runner.isFenced) {
        renewal.lease = leaseLength(m_context.settings);
        m_engine.onLeaseSent(id, now);
        if (!hasOpenEnds)
            renewal.wait = waitFor(id, runner);
    }
    m_renewals[id].isUnderWay = true;
    const RunnerTarget target{id, runner.entry.endpoint};
    m_context.runners.renew(target, renewal,
                            [this, guard = Guard(m_guard), id, now](const RenewAnswer &answer) {
                                if (!guard.expired())
                                    onRenewed(id, answer, now);
                            });
}

void PoolOwner::onRenewed(const std::string &id, const RenewAnswer &answer, TimePoint sentAt)
{
    const TimePoint now = BootClock::now();
    Renewal &renewal = m_renewals[id];
    renewal.isUnderWay = false;
    renewal.dueAt = now + EndsDelay;
    switch (answer.outcome) {
    case CallOutcome::Answered:
        m_engine.onReport(id, answer.report, sentAt, now);
        break;
    case CallOutcome::OtherLife:
        m_engine.onLifeOver(id);
        renewal.dueAt = now + SilentRetry;
        break;
    case CallOutcome::Fenced:
        m_context.log.warn("pool.fenced", {{"pool", m_pool}, {"runner", id}});
        renewal.dueAt = now + SilentRetry;
        break;
    default:
        m_engine.onSilence(id);
        renewal.dueAt = now + SilentRetry;
        break;
    }
    poke();
}

} // namespace sequoiapier

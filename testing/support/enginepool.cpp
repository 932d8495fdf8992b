#include "testing/support/enginepool.h"

#include "jobs/specrow.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr Duration TickInterval = milliseconds(5);
constexpr Duration ListInterval = milliseconds(500);
constexpr Duration MinLateDelay = milliseconds(2'000);
constexpr Duration MaxLateDelay = milliseconds(12'000);
constexpr Duration Lease = milliseconds(5'000);

std::int64_t wallClockMilliseconds(const VirtualTime &time)
{
    return 1'700'000'000'000
        + std::chrono::duration_cast<milliseconds>(time.now().time_since_epoch()).count();
}

} // namespace

EnginePool::EnginePool(Options options)
    : m_options(std::move(options))
    , m_queues({m_options.queue})
    , m_random(m_options.seed)
{
    for (int i = 0; i < m_options.runners; ++i) {
        m_runners.push_back(std::make_unique<SimulatedRunner>(runnerId(i), m_ledger, m_time.now()));
        m_runnerStatus.emplace_back();
    }
    makeEngine(1);
    tick();
}

void EnginePool::makeEngine(std::uint64_t epoch)
{
    m_epoch = epoch;
    jobs::Engine::Options options;
    options.lease = Lease;
    options.maxRowBytes = m_options.maxRowBytes;
    options.isInterferenceAvoided = m_options.isInterferenceAvoided;
    options.admission = m_options.admission;
    m_engine = std::make_unique<jobs::Engine>(
        options,
        jobs::Engine::Hooks{.note =
                                [this](std::string_view event, const jobs::TaskName &task,
                                       std::string_view detail) {
                                    m_trace += std::to_string(wallClockMilliseconds(m_time)
                                                              - wallClockMilliseconds({}))
                                        + " " + std::string(event) + " " + toString(task) + " "
                                        + std::string(detail) + "\n";
                                },
                            .ceiling = [this](std::string_view) { return m_ceiling; },
                            .wallMilliseconds = [this] { return wallClockMilliseconds(m_time); }});
    configure();
    std::vector<jobs::Job> loaded;
    for (const auto &[id, stored] : m_storedJobs) {
        jobs::Job job{.id = id};
        if (!stored.spec.empty()) {
            jobs::SpecRow row = jobs::parseSpecRow(stored.spec).value();
            job.spec = std::move(row.spec);
            job.terms = row.terms.value();
        }
        if (jobs::parseJobState(stored.state, job))
            loaded.push_back(std::move(job));
    }
    m_engine->load(std::move(loaded), m_time.now());
    m_engine->setInterferencePairs(m_interferencePairs, m_time.now());
    listRunners();
}

void EnginePool::configure()
{
    Configuration configuration{.version = 1};
    configuration.queues = m_queues;
    configuration.teams = m_options.teams;
    m_engine->setConfiguration(configuration);
}

void EnginePool::setQueues(std::vector<QueueConfig> queues)
{
    m_queues = std::move(queues);
    configure();
}

jobs::SubmitVerdict EnginePool::submit(const std::string &id, jobs::JobSpec spec,
                                       const std::string &team, const std::string &queue)
{
    return submitForResult(id, std::move(spec), team, queue).verdict;
}

jobs::SubmitResult EnginePool::submitForResult(const std::string &id, jobs::JobSpec spec,
                                               const std::string &team, const std::string &queue)
{
    return m_engine->submit({.id = id,
                             .queue = queue.empty() ? m_options.queue.name : queue,
                             .team = team,
                             .spec = std::move(spec)},
                            m_time.now());
}

void EnginePool::run(Duration duration)
{
    m_time.runUntil(m_time.now() + duration);
}

Duration EnginePool::runUntilEnded(const std::string &id, Duration timeout)
{
    const TimePoint start = m_time.now();
    const auto hasEnded = [&] {
        const auto phase = phaseOf(id);
        return phase && *phase >= jobs::JobPhase::Completed;
    };
    while (!hasEnded() && m_time.now() < start + timeout)
        run(TickInterval);
    return m_time.now() - start;
}

void EnginePool::replaceOwner(Duration gap, Duration renewedFor)
{
    m_interferencePairs = m_engine->interferencePairs(m_time.now());
    m_engine.reset();
    m_batch.reset();
    for (RunnerStatus &runner : m_runnerStatus)
        runner.isRenewing = false;
    run(gap);
    makeEngine(m_epoch + 1);
    m_engine->setEarlierOwnersUntil(m_time.now() + renewedFor);
}

void EnginePool::setReachable(int runner, bool isReachable)
{
    m_runnerStatus[std::size_t(runner)].isReachable = isReachable;
}

void EnginePool::crash(int runner)
{
    m_runners[std::size_t(runner)]->crash(m_time.now());
    m_runnerStatus[std::size_t(runner)].downUntil = m_time.now() + RestartTime;
}

void EnginePool::restart(int runner)
{
    m_runners[std::size_t(runner)]->crash(m_time.now());
}

void EnginePool::runUntilReport(int runner)
{
    const auto answeredAt = [&] { return m_engine->runners().at(runnerId(runner)).answeredAt; };
    const TimePoint last = answeredAt();
    while (answeredAt() == last)
        run(milliseconds(1));
}

void EnginePool::setListed(int runner, bool isListed)
{
    m_runnerStatus[std::size_t(runner)].isListed = isListed;
    listRunners();
}

void EnginePool::setDraining(int runner, bool isDraining)
{
    m_runnerStatus[std::size_t(runner)].isDraining = isDraining;
    listRunners();
}

void EnginePool::setListReadable(bool isReadable)
{
    m_isListReadable = isReadable;
    listRunners();
}

void EnginePool::listRunners()
{
    if (!m_engine || !m_isListReadable)
        return;
    std::vector<jobs::RunnerEntry> entries;
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
        if (!m_runnerStatus[i].isListed)
            continue;
        jobs::RunnerEntry entry{.id = runnerId(int(i)),
                                .bornAt = m_runners[i]->bornAt(),
                                .service = "pool",
                                .capacity = m_options.capacity,
                                .isDraining = m_runnerStatus[i].isDraining,
                                .listedAt = m_time.now()};
        entry.labels = {"a", "r" + std::to_string(i / 2)};
        entries.push_back(std::move(entry));
    }
    m_engine->setRunners(entries);
}

std::int64_t EnginePool::leaseEnd(int runner) const
{
    const RunnerStatus &status = m_runnerStatus[std::size_t(runner)];
    const Duration end = m_time.now() - status.clockReadAt + Lease;
    return status.clock + std::chrono::duration_cast<milliseconds>(end).count();
}

int EnginePool::indexOf(const std::string &runner) const
{
    return std::stoi(runner.substr(2));
}

void EnginePool::tick()
{
    m_time.after(TickInterval, [this] { tick(); });
    if (!m_engine)
        return;
    for (const auto &runner : m_runners)
        runner->advance(m_time.now());
    if ((m_time.now().time_since_epoch() % ListInterval) < TickInterval)
        listRunners();
    m_engine->plan(m_time.now());
    writeBatch();
    sendOrders();
    for (std::size_t i = 0; i < m_runners.size(); ++i)
        renew(int(i));
    recordPeakUse();
}

void EnginePool::writeBatch()
{
    if (m_batch || m_isStoreDown)
        return;
    jobs::Batch batch = m_engine->takeBatch();
    if (batch.isEmpty())
        return;
    m_batch = std::move(batch);
    ++m_commitCount;
    m_time.after(CommitTime, [this, epoch = m_epoch] {
        if (epoch != m_epoch || !m_batch || !m_engine)
            return;
        const jobs::Batch written = std::move(*m_batch);
        m_batch.reset();
        if (isRefused(written)) {
            ++m_refusalCount;
            m_engine->onRefused(written, m_time.now());
            return;
        }
        apply(written);
        m_engine->onCommitted(written);
        sendOrders();
    });
}

bool EnginePool::isRefused(const jobs::Batch &batch) const
{
    return std::any_of(batch.rows.begin(), batch.rows.end(), [&](const jobs::RowChange &row) {
        return m_refusedJobs.contains(row.job)
            || (row.state && row.state->size() > m_options.maxRowBytes);
    });
}

void EnginePool::apply(const jobs::Batch &batch)
{
    std::size_t bytes = 0;
    for (const jobs::RowChange &row : batch.rows) {
        const std::size_t stateBytes = row.state ? row.state->size() : 0;
        m_largestRow = std::max(m_largestRow, stateBytes);
        bytes += stateBytes + (row.spec ? row.spec->size() : 0);
    }
    m_largestBatch = std::max(m_largestBatch, bytes);
    for (const jobs::RowChange &row : batch.rows) {
        if (row.isRemoved) {
            m_storedJobs.erase(row.job);
            continue;
        }
        StoredJob &stored = m_storedJobs[row.job];
        if (row.spec)
            stored.spec = *row.spec;
        if (row.isSpecRemoved)
            stored.spec.clear();
        if (row.state)
            stored.state = *row.state;
    }
}

bool EnginePool::deliverCall(int index, const std::function<void()> &call, bool mayBeLate)
{
    std::uniform_real_distribution<double> chance(0, 1);
    const RunnerStatus &status = m_runnerStatus[std::size_t(index)];
    if (!status.isReachable || m_time.now() < status.downUntil || chance(m_random) < m_lostShare)
        return false;
    if (mayBeLate && chance(m_random) < m_lateShare) {
        const std::int64_t incarnation = m_runners[std::size_t(index)]->bornAt();
        const auto callIfSameIncarnation = [=, this] {
            if (m_runners[std::size_t(index)]->bornAt() == incarnation)
                call();
        };
        std::uniform_int_distribution<Duration::rep> late(MinLateDelay.count(),
                                                          MaxLateDelay.count());
        m_time.after(Duration(late(m_random)), callIfSameIncarnation);
        return false;
    }
    call();
    return !m_areAnswersLost;
}

void EnginePool::sendOrders()
{
    if (!m_engine)
        return;
    for (const jobs::StartOrder &order : m_engine->takeStarts(m_time.now()))
        send(order);
    for (const jobs::StopOrder &order : m_engine->takeStops(m_time.now()))
        send(order);
    for (const jobs::PaceOrder &order : m_engine->takePaces(m_time.now()))
        send(order);
}

void EnginePool::send(const jobs::StartOrder &order)
{
    const int index = indexOf(order.runner);
    SimulatedRunner &runner = *m_runners[std::size_t(index)];
    const SimulatedRunner::Start start{.task = order.task,
                                       .run = order.run,
                                       .payload = order.payload,
                                       .checkpoint = order.checkpoint,
                                       .fence = m_epoch,
                                       .until = leaseEnd(index)};
    m_time.after(CallTime, [=, this, &runner] {
        auto outcome = std::make_shared<jobs::StartOutcome>(jobs::StartOutcome::Unanswered);
        const bool isAnswered = deliverCall(
            index, [=, this, &runner] { *outcome = runner.start(start, m_time.now()); });
        const milliseconds lease(start.until - runner.clock(m_time.now()));
        m_time.after(isAnswered ? CallTime : CallTimeout, [=, this, epoch = start.fence] {
            if (m_engine && epoch == m_epoch) {
                if (isAnswered)
                    m_engine->onLeaseGranted(order.runner, lease, m_time.now());
                m_engine->onStartAnswer(
                    order, isAnswered ? *outcome : jobs::StartOutcome::Unanswered, m_time.now());
            }
        });
    });
}

void EnginePool::send(const jobs::StopOrder &order)
{
    const int index = indexOf(order.runner);
    SimulatedRunner &runner = *m_runners[std::size_t(index)];
    m_time.after(CallTime, [=, this, epoch = m_epoch, &runner] {
        const bool isAnswered = deliverCall(
            index, [=, this, &runner] { runner.stop(order.task, order.run, epoch, m_time.now()); });
        m_time.after(isAnswered ? CallTime : CallTimeout, [=, this] {
            if (m_engine && epoch == m_epoch)
                m_engine->onStopAnswer(order, isAnswered, m_time.now());
        });
    });
}

void EnginePool::send(const jobs::PaceOrder &order)
{
    const int index = indexOf(order.runner);
    SimulatedRunner &runner = *m_runners[std::size_t(index)];
    m_time.after(CallTime, [=, this, epoch = m_epoch, &runner] {
        const bool isAnswered = deliverCall(index, [=, this, &runner] {
            runner.pace(order.task, order.run, order.percent, epoch, m_time.now());
        });
        m_time.after(isAnswered ? CallTime : CallTimeout, [=, this] {
            if (m_engine && epoch == m_epoch)
                m_engine->onPaceAnswer(order, isAnswered);
        });
    });
}

void EnginePool::renew(int index)
{
    RunnerStatus &status = m_runnerStatus[std::size_t(index)];
    const auto known = m_engine->runners().find(runnerId(index));
    if (known == m_engine->runners().end() || status.isRenewing
        || m_time.now() < status.nextRenewal) {
        return;
    }
    const jobs::Runner &state = known->second;
    if (state.appliedEnds > state.durableEnds
        && m_time.now() < state.answeredAt + milliseconds(500))
        return;
    SimulatedRunner &runner = *m_runners[std::size_t(index)];
    const TimePoint sentAt = m_time.now();
    const bool mayRenew = state.isFenced() && state.missedCalls == 0;
    const std::int64_t until = mayRenew ? leaseEnd(index) : 0;
    if (mayRenew)
        m_engine->onLeaseSent(runnerId(index), sentAt);
    status.isRenewing = true;
    m_time.after(CallTime, [=, this, epoch = m_epoch, seenEnds = state.seenEnds(), &runner] {
        auto report = std::make_shared<std::optional<jobs::RunnerReport>>();
        const bool isAnswered = deliverCall(
            index,
            [=, this, &runner] { *report = runner.renew(epoch, seenEnds, until, m_time.now()); },
            false);
        m_time.after(isAnswered ? CallTime : CallTimeout, [=, this] {
            if (!m_engine || epoch != m_epoch)
                return;
            RunnerStatus &renewed = m_runnerStatus[std::size_t(index)];
            renewed.isRenewing = false;
            renewed.nextRenewal = m_time.now() + m_options.renewInterval;
            if (isAnswered && *report) {
                renewed.clock = (*report)->clock;
                renewed.clockReadAt = m_time.now();
                m_engine->onReport(runnerId(index), **report, sentAt, m_time.now());
            } else {
                m_engine->onMissedCall(runnerId(index), mayRenew, m_time.now());
            }
        });
    });
}

void EnginePool::recordPeakUse()
{
    for (const auto &[id, runner] : m_engine->runners())
        m_peakUse = std::max(m_peakUse, dominantShare(runner.used, m_options.capacity));
}

std::string EnginePool::violations() const
{
    std::string text;
    for (const std::string &violation : m_ledger.violations())
        text += violation + "\n";
    return text;
}

} // namespace sequoiapier

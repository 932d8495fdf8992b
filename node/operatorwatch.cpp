// Makes one call a second while nothing changes. A watch may miss changes for a short time before
// the store drops its history, so its result counts as WatchLag older than the call.
#include "node/operatorwatch.h"

#include "platform/operatorrows.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration WatchWait = std::chrono::milliseconds(1'000); // one confirmation a second
// Time for the answer in addition to the wait.
constexpr Duration CallTimeout = std::chrono::milliseconds(800);
// A watch may miss changes this recent.
constexpr Duration WatchLag = std::chrono::milliseconds(1'200);
// Time for the transit of the request itself.
constexpr Duration RevocationMargin = std::chrono::milliseconds(500);
constexpr Duration RetryInterval = std::chrono::milliseconds(250);

} // namespace

OperatorWatch::OperatorWatch(Loop &loop, StoreClient &store, DecisionLog &log, Duration revocation,
                             Hooks hooks)
    : m_store(store)
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_confirmation({.staleness = revocation - RevocationMargin})
    , m_retryTimer(loop, [this] { m_mustReadAll ? readAll() : watch(); })
{ }

void OperatorWatch::readAll()
{
    const TimePoint sentAt = BootClock::now();
    m_mustReadAll = true;
    m_store.readAll({.table = OperatorTable}, sentAt + CallTimeout,
                    [=, this](const Result<StorePage> &page) { onPage(page, sentAt); });
}

void OperatorWatch::watch()
{
    const TimePoint sentAt = BootClock::now();
    m_store.watch(OperatorTable, m_knownVersion, WatchWait, sentAt + WatchWait + CallTimeout,
                  [=, this](const Result<StorePage> &page) { onPage(page, sentAt - WatchLag); });
}

// At `instant` the store held nothing newer than the page.
void OperatorWatch::onPage(const Result<StorePage> &page, TimePoint instant)
{
    if (!page) {
        onFailed(page.error());
        return;
    }
    for (const StoreRow &row : page.value().rows)
        applyRow(row);
    m_knownVersion = std::max(m_knownVersion, page.value().version);
    m_mustReadAll = false;
    confirm(instant);
    watch();
}

void OperatorWatch::onFailed(const Error &error)
{
    if (error.code == ResultCode::EpochStale)
        m_mustReadAll = true;
    if (m_failures++ == 0)
        m_log.warn("store.lost", {{"call", "operators' rows"}, {"detail", error.detail}});
    m_retryTimer.startAt(BootClock::now() + RetryInterval);
}

void OperatorWatch::confirm(TimePoint instant)
{
    if (std::exchange(m_failures, 0) > 0)
        m_log.warn("store.regained", {{"call", "operators' rows"}});
    m_confirmation.confirm(instant, m_configuration.version);
}

void OperatorWatch::applyRow(const StoreRow &row)
{
    if (row.isRemoved)
        return;
    if (row.key.key == OperatorConfigurationKey) {
        applyConfiguration(row);
        return;
    }
    if (!row.key.key.starts_with(WaveKeyPrefix))
        return;
    const Result<WaveOrder> wave = parseWaveOrder(row.value);
    if (!wave) {
        m_log.warn("wave.unreadable", {{"key", row.key.key}, {"detail", wave.error().detail}});
        return;
    }
    m_waves[wave.value().number] = wave.value();
    m_hooks.onWaves();
}

void OperatorWatch::applyConfiguration(const StoreRow &row)
{
    Result<Configuration> parsed = parseOperatorConfiguration(row.value);
    if (!parsed) {
        m_log.warn("configuration.unreadable", {{"detail", parsed.error().detail}});
        return;
    }
    if (parsed.value().version <= m_configuration.version)
        return;
    m_configuration = std::move(parsed.value());
    m_log.info("configuration.applied",
               {{"version", std::to_string(m_configuration.version)},
                {"queues", std::to_string(m_configuration.queues.size())}});
    m_hooks.onConfiguration();
}

} // namespace sequoiapier

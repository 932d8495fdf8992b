#include "node/runnerwatch.h"

#include "platform/runnerlist.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration MaxInterval = std::chrono::milliseconds(500);
constexpr int ReadsPerNotice = 4; // one of them may fail
// A host takes 1.5 s to change its pool; each read is a paid call.
constexpr Duration ShortageInterval = std::chrono::milliseconds(150);
constexpr Duration ReadTimeout = std::chrono::milliseconds(800);

} // namespace

RunnerWatch::RunnerWatch(Loop &loop, StoreClient &store, DecisionLog &log, Hook hook,
                         std::function<bool()> hasShortage, Duration drainNotice)
    : m_store(store)
    , m_log(log)
    , m_interval(std::min(MaxInterval, drainNotice / ReadsPerNotice))
    , m_hook(std::move(hook))
    , m_hasShortage(std::move(hasShortage))
    , m_listing([&log](const std::string &runner) {
        log.warn("runner.unreadable", {{"runner", runner}});
    })
    , m_timer(loop, [this] { read(); })
{ }

void RunnerWatch::setActive(bool isActive)
{
    if (std::exchange(m_isActive, isActive) == isActive)
        return;
    m_version = 0; // The history since the last read may be gone.
    if (isActive && !m_isReading)
        read();
}

void RunnerWatch::read()
{
    if (!m_isActive || m_isReading)
        return;
    m_isReading = true;
    const TimePoint sentAt = BootClock::now();
    const std::uint64_t after = m_version;
    const auto callback = [=, this](const Result<StorePage> &page) { onPage(page, after, sentAt); };
    if (after == 0)
        m_store.readAll({.table = RunnerTable}, sentAt + ReadTimeout, callback);
    else
        m_store.watch(RunnerTable, after, Duration{}, sentAt + ReadTimeout, callback);
}

// `after` is the version that the page continues; 0 if it is the whole list.
void RunnerWatch::onPage(const Result<StorePage> &page, std::uint64_t after, TimePoint sentAt)
{
    m_isReading = false;
    const TimePoint now = BootClock::now();
    if (!page)
        noteFailure(page.error(), now);
    else if (after == m_version) // Otherwise the watch was stopped meanwhile.
        applyPage(page.value(), sentAt, now);
    if (!m_isActive)
        return;
    const bool isPartial = page && page.value().hasMore;
    const Duration interval = m_hasShortage() ? ShortageInterval : m_interval;
    m_timer.startAt(isPartial ? now : std::max(now, sentAt + interval));
}

// Changes may have been missed, so that the whole list is read next. A store that has only dropped
// its history is available all the same.
void RunnerWatch::noteFailure(const Error &error, TimePoint now)
{
    m_version = 0;
    if (error.code == ResultCode::EpochStale)
        return;
    if (!isStoreLost())
        m_log.warn("runners.lost", {{"age_ms", ageText(now)}, {"detail", error.detail}});
    m_failedAt = now;
    m_listing.onReadFailed(now);
}

std::string RunnerWatch::ageText(TimePoint now) const
{
    return m_readAt == TimePoint{}
        ? std::string("none")
        : std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - m_readAt).count());
}

void RunnerWatch::applyPage(const StorePage &page, TimePoint sentAt, TimePoint now)
{
    if (std::exchange(m_version, page.version) == 0)
        m_listing.replace(page.rows);
    else
        m_listing.apply(page.rows);
    if (page.hasMore)
        return;
    if (isStoreLost())
        m_log.warn("runners.regained", {{"age_ms", ageText(now)}});
    m_readAt = sentAt;
    m_runners = m_listing.confirm(sentAt, now);
    m_hook(m_runners);
}

} // namespace sequoiapier

#include "node/runnerwatch.h"

#include "platform/runnerlist.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration MaxInterval = std::chrono::milliseconds(500);
constexpr int ReadsPerNotice = 4; // one of them may fail
// A host takes 1.5 s to change its pool; each read is a paid call.
constexpr Duration ShortageInterval = std::chrono::milliseconds(150);
constexpr Duration ReadTimeout = std::chrono::milliseconds(800);
// The platform specifies two seconds.
constexpr Duration RelistPeriod = std::chrono::milliseconds(2'500);

} // namespace

RunnerWatch::RunnerWatch(Loop &loop, StoreClient &store, DecisionLog &log, Hook hook,
                         std::function<bool()> hasShortage, Duration drainNotice)
    : m_store(store)
    , m_log(log)
    , m_interval(std::min(MaxInterval, drainNotice / ReadsPerNotice))
    , m_hook(std::move(hook))
    , m_hasShortage(std::move(hasShortage))
    , m_timer(loop, [this] { read(); })
{ }

void RunnerWatch::setActive(bool isActive)
{
    if (std::exchange(m_isActive, isActive) == isActive)
        return;
    if (isActive && !m_isReading)
        read();
}

void RunnerWatch::read()
{
    if (!m_isActive || m_isReading)
        return;
    m_isReading = true;
    const TimePoint sentAt = BootClock::now();
    m_store.readAll({.table = RunnerTable}, sentAt + ReadTimeout,
                    [=, this](const Result<StorePage> &page) {
                        m_isReading = false;
                        const TimePoint now = BootClock::now();
                        if (page)
                            applyPage(page.value(), sentAt, now);
                        else
                            noteFailure(page.error().detail, now);
                        const Duration interval = m_hasShortage() ? ShortageInterval : m_interval;
                        if (m_isActive)
                            m_timer.startAt(std::max(now, sentAt + interval));
                    });
}

void RunnerWatch::noteFailure(std::string_view reason, TimePoint now)
{
    if (!isStoreLost())
        m_log.warn("runners.lost", {{"age_ms", ageText(now)}, {"detail", std::string(reason)}});
    m_failedAt = now;
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
    if (isStoreLost())
        m_log.warn("runners.regained", {{"age_ms", ageText(now)}});
    m_readAt = sentAt;
    std::vector<jobs::RunnerEntry> runners
        = parseRunnerRows(page.rows, [this](const StoreRow &row) {
              if (m_unreadable.insert(row.key.key).second)
                  m_log.warn("runner.unreadable", {{"runner", row.key.key}});
          });
    for (jobs::RunnerEntry &entry : runners)
        entry.listedAt = sentAt;
    if (m_failedAt != TimePoint{} && now < m_failedAt + RelistPeriod) {
        std::set<std::string> listed;
        for (const jobs::RunnerEntry &entry : runners)
            listed.insert(entry.id);
        for (const jobs::RunnerEntry &entry : m_runners) {
            if (!listed.contains(entry.id))
                runners.push_back(entry);
        }
    }
    m_runners = std::move(runners);
    m_hook(m_runners);
}

} // namespace sequoiapier

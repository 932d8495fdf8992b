// One timer is restarted after each check. A check costs one call of the `wasActive` hook.
#include "net/quiettimer.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(25);
constexpr int MinChecks = 2;

} // namespace

QuietTimer::QuietTimer(Loop &loop, std::function<bool()> wasActive, std::function<void()> done)
    : m_wasActive(std::move(wasActive))
    , m_done(std::move(done))
    , m_timer(loop, [this] { check(); })
{ }

void QuietTimer::start(Duration quiet, TimePoint deadline)
{
    m_deadline = deadline;
    m_requiredChecks = std::max(int(quiet / CheckInterval), MinChecks);
    m_quietChecks = 0;
    m_timer.startAt(BootClock::now() + CheckInterval);
}

void QuietTimer::check()
{
    const TimePoint now = BootClock::now();
    m_quietChecks = m_wasActive() ? 0 : m_quietChecks + 1;
    // The loop may have slept right before this check, which only sees activity from before the
    // sleep. The last check therefore runs immediately after another poll of the sockets.
    const bool isNextLast = m_quietChecks == m_requiredChecks;
    if (m_quietChecks > m_requiredChecks || now >= m_deadline)
        m_done();
    else
        m_timer.startAt(isNextLast ? now : now + CheckInterval);
}

} // namespace sequoiapier

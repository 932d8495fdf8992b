#include "fleet/swingforecast.h"

#include <algorithm>
#include <cmath>

namespace sequoiapier {

namespace {

constexpr double MeanWindow = 500; // observations in the moving mean

Duration microseconds(double count)
{
    return Duration(std::int64_t(count));
}

} // namespace

SwingForecast::SwingForecast(Options options)
    : m_options(options)
{ }

void SwingForecast::observe(std::uint32_t need, TimePoint now)
{
    ++m_observations;
    m_mean += (need - m_mean) / std::min(MeanWindow, double(m_observations));
    m_need = need;
    const bool isHigh = need > m_options.highFactor * m_mean;
    if (isHigh && !m_isHigh)
        onRise(now);
    else if (!isHigh && m_isHigh)
        onFall(now);
    m_isHigh = isHigh;
    double &level = isHigh ? m_high : m_low;
    level += m_options.newestWeight * (need - level);
}

void SwingForecast::onRise(TimePoint now)
{
    const double interval = double((now - m_lastRise).count());
    if (m_rises > 0)
        m_period += (m_rises == 1 ? 1 : m_options.newestWeight) * (interval - m_period);
    ++m_rises;
    m_lastRise = now;
}

void SwingForecast::onFall(TimePoint now)
{
    const double length = double((now - m_lastRise).count());
    m_highDuration += (m_rises == 1 ? 1 : m_options.newestWeight) * (length - m_highDuration);
}

std::uint32_t SwingForecast::at(TimePoint when, TimePoint now) const
{
    if (!isLearned())
        return m_need;
    const bool isHigh = isHighAt(when, now);
    if (isHigh == m_isHigh && when - now <= m_options.earlyMargin)
        return m_need;
    return std::uint32_t(std::ceil(isHigh ? m_high : m_low));
}

bool SwingForecast::isHighAt(TimePoint when, TimePoint now) const
{
    const Duration duration = microseconds(m_highDuration);
    if (m_isHigh && when < std::max(m_lastRise + duration, now + m_options.earlyMargin))
        return true;
    // A rise that is overdue is expected at any moment.
    TimePoint nextRise = m_lastRise + microseconds(m_period);
    if (!m_isHigh)
        nextRise = std::max(nextRise, now);
    while (nextRise + duration <= when && m_period >= 1)
        nextRise += microseconds(m_period);
    return when + m_options.earlyMargin >= nextRise;
}

} // namespace sequoiapier

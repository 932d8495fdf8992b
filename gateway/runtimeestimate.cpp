// Exponentially weighted mean and mean deviation, as in TCP's estimate of the round-trip time. The
// gain is 1/8 for the mean and 1/4 for the deviation. O(1) in time and memory.
#include "gateway/runtimeestimate.h"

#include <algorithm>
#include <chrono>

namespace sequoiapier {

namespace {

constexpr int MeanDivisor = 8;
constexpr int DeviationDivisor = 4;
constexpr int DeviationFactor = 2;
constexpr std::int64_t MaxHalvings = 30;

} // namespace

void RunTimeEstimate::learn(Duration ran, TimePoint now)
{
    m_lastSampleTime = now;
    if (!m_hasSample) {
        m_hasSample = true;
        m_mean = ran;
        m_deviation = ran / 2;
        return;
    }
    const Duration error = ran - m_mean;
    m_deviation += (std::chrono::abs(error) - m_deviation) / DeviationDivisor;
    m_mean += error / MeanDivisor;
}

Duration RunTimeEstimate::upperBound(TimePoint now) const
{
    if (!m_hasSample)
        return Duration(0);
    const std::int64_t halvings = std::clamp<std::int64_t>(
        (now - m_lastSampleTime) / HalfLifeWithoutSamples, 0, MaxHalvings);
    return (m_mean + DeviationFactor * m_deviation) / (std::int64_t(1) << halvings);
}

} // namespace sequoiapier

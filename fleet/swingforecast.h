// SwingForecast: forecasts how many hosts a pool will need from the periodic swings of its demand.
//
//   forecast.observe(neededHosts, now); // every second or so
//   std::uint32_t need = forecast.at(now + std::chrono::seconds(4), now);
//
// The demand is modelled as a periodic change between a low and a high level. Both levels, the
// period and the duration of the high level are learned; until two rises were seen, the forecast is
// the latest need. Memory and time are constant.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>

namespace sequoiapier {

class SwingForecast
{
public:
    struct Options
    {
        double newestWeight = 0.3; // weight of the newest swing in the moving averages, 0 to 1
        double highFactor = 2; // The level counts as high above this multiple of the mean need.
        // A rise is expected this much earlier than learned.
        Duration earlyMargin = std::chrono::milliseconds(1000);
    };

    explicit SwingForecast(Options options);

    void observe(std::uint32_t need, TimePoint now);
    // Returns the need expected at `when`, which is not before `now`.
    std::uint32_t at(TimePoint when, TimePoint now) const;
    bool isLearned() const { return m_rises > 2; }

private:
    void onRise(TimePoint now);
    void onFall(TimePoint now);
    bool isHighAt(TimePoint when, TimePoint now) const;

    Options m_options;
    double m_mean = 0;
    std::uint64_t m_observations = 0;
    std::uint32_t m_need = 0;
    double m_high = 0;
    double m_low = 0;
    bool m_isHigh = false;
    std::uint32_t m_rises = 0;
    TimePoint m_lastRise;
    double m_period = 0; // microseconds
    double m_highDuration = 0; // microseconds that the high level lasts
};

} // namespace sequoiapier

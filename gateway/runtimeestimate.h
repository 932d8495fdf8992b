// RunTimeEstimate: the run time of a team's requests, learned from those that finished.
//
//   estimate.learn(ran, now);
//   if (now + estimate.upperBound(now) > deadline)
//       refuse(DeadlineTooClose);
//
// Without new samples the estimate decays, so that a wrong one can't refuse all work forever.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

class RunTimeEstimate
{
public:
    static constexpr Duration Initial = std::chrono::milliseconds(10);
    static constexpr Duration HalfLifeWithoutSamples = std::chrono::seconds(1);

    void learn(Duration ran, TimePoint now);
    bool hasSampleSince(TimePoint time) const { return m_hasSample && m_lastSampleTime >= time; }
    // Returns the mean of recent run times, or Initial before the first sample.
    Duration mean() const { return m_mean; }
    // Returns the mean plus twice the mean deviation, halved for each HalfLifeWithoutSamples since
    // the last sample, or 0 before the first sample.
    Duration upperBound(TimePoint now) const;

private:
    Duration m_mean = Initial;
    Duration m_deviation{0};
    TimePoint m_lastSampleTime;
    bool m_hasSample = false;
};

} // namespace sequoiapier

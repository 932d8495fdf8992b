// RunTimeEstimate: the run time of a team's requests, learned from those that finished.
//
//   estimate.learn(ran, now);
//   if (now + estimate.upper(now) > deadline)
//       refuse(DeadlineTooClose);
//
// Without news the estimate decays, so that a wrong one can't refuse all work for good.
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

class RunTimeEstimate
{
public:
    static constexpr Duration Initial = std::chrono::milliseconds(10);
    static constexpr Duration HalfLifeWithoutNews = std::chrono::seconds(1);

    void learn(Duration ran, TimePoint now);
    bool hasLearntSince(TimePoint time) const { return m_hasLearnt && m_lastLearnt >= time; }
    // The mean of recent run times; Initial before the first.
    Duration mean() const { return m_mean; }
    // The mean plus twice the mean deviation, halved for each HalfLifeWithoutNews since the last
    // learn(); 0 before the first.
    Duration upper(TimePoint now) const;

private:
    Duration m_mean = Initial;
    Duration m_deviation{0};
    TimePoint m_lastLearnt;
    bool m_hasLearnt = false;
};

} // namespace sequoiapier

// WorkRate: estimates how much work arrives per second, quickly but cautiously.
//
//   rate.add(work, now);                             // work of one job, in any unit
//   double perSecond = rate.perSecond(now);
//
// A queue that was nearly silent may ask for many times its mean from one moment to the next. A
// long average shows this seconds late, and meanwhile a backlog grows that needs more hosts than
// the rate itself. A short average jumps with each large job. So each of a few windows gives a
// cautious rate, its mean less a fraction of the standard error, and the highest of them counts. A
// rise shows after half a second, and one large job counts less than many small ones of the same
// total.
//
// Cost: O(a) in the number of arrivals within the longest window, in time and in memory.
#pragma once

#include "sequoiapier/bootclock.h"

#include <array>
#include <deque>

namespace sequoiapier::jobs {

class WorkRate
{
public:
    struct Options
    {
        // Shortest first. The longest window bounds how long the rate stays up after the last
        // arrival.
        std::array<Duration, 3> windows{std::chrono::milliseconds(500),
                                        std::chrono::milliseconds(1'000),
                                        std::chrono::milliseconds(2'000)};
        // Number of standard errors subtracted from the mean. One second of a host that is not
        // needed costs less than the jobs that would be late without it.
        double standardErrors = 0.2;
    };

    explicit WorkRate(Options options)
        : m_options(options)
    { }

    void add(double work, TimePoint now);
    double perSecond(TimePoint now) const;

private:
    struct Arrival
    {
        TimePoint at;
        double work;
    };

    Options m_options;
    std::deque<Arrival> m_arrivals; // Arrivals within the longest window, oldest first.
};

} // namespace sequoiapier::jobs

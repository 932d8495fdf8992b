// If arrivals are a Poisson process, the variance of the sum of the work within a window is
// estimated by the sum of the squares.
#include "jobs/workrate.h"

#include <algorithm>
#include <cmath>

namespace sequoiapier::jobs {

void WorkRate::add(double work, TimePoint now)
{
    while (!m_arrivals.empty() && m_arrivals.front().at + m_options.windows.back() < now)
        m_arrivals.pop_front();
    m_arrivals.push_back({now, work});
}

double WorkRate::perSecond(TimePoint now) const
{
    double highest = 0;
    double sum = 0;
    double squares = 0;
    auto next = m_arrivals.rbegin();
    for (const Duration window : m_options.windows) {
        for (; next != m_arrivals.rend() && next->at + window >= now; ++next) {
            sum += next->work;
            squares += next->work * next->work;
        }
        const double seconds = std::chrono::duration<double>(window).count();
        highest
            = std::max(highest, (sum - m_options.standardErrors * std::sqrt(squares)) / seconds);
    }
    return highest;
}

} // namespace sequoiapier::jobs

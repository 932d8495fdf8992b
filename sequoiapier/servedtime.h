// ServedTime: the time that units were in use, summed over units, as a counter that never
// decreases.
//
//   ServedTime served;
//   served.start(now);          // one unit comes into use
//   served.end(now);
//   report.servedMicroseconds = served.total(now).count();
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

class ServedTime
{
public:
    void start(TimePoint now) { change(1, now); }
    void end(TimePoint now) { change(-1, now); }
    std::int64_t units() const { return m_units; }
    Duration total(TimePoint now) const { return m_total + m_units * (now - m_since); }

private:
    void change(std::int64_t units, TimePoint now)
    {
        m_total = total(now);
        m_since = now;
        m_units += units;
    }

    std::int64_t m_units = 0;
    Duration m_total{0};
    TimePoint m_since{};
};

} // namespace sequoiapier

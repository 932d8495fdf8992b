// StartTimes: metrics of what starts at runners rely on when they are sent.
//
//   StartTimes times(daemon.metrics());
//   times.observe(order);
#pragma once

#include "jobs/engine.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace sequoiapier {

class StartTimes
{
public:
    explicit StartTimes(prometheus::Registry &metrics);

    // `order` has just been sent.
    void observe(const jobs::StartOrder &order);

private:
    prometheus::Histogram &m_listAge; // seconds
    prometheus::Histogram &m_delay; // seconds
};

} // namespace sequoiapier

// StartMetrics: metrics of the delay of task starts and of the age of the runner list they rely on.
//
//   StartMetrics startMetrics(daemon.metrics());
//   startMetrics.observe(order);
#pragma once

#include "jobs/engine.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace sequoiapier {

class StartMetrics
{
public:
    explicit StartMetrics(prometheus::Registry &metrics);

    // Records `order`, which has just been sent.
    void observe(const jobs::StartOrder &order);

private:
    prometheus::Histogram &m_listAge; // seconds
    prometheus::Histogram &m_delay; // seconds
};

} // namespace sequoiapier

// PoolMetrics: metrics of a pool's owner. The delay of task starts and the age of the runner list
// they rely on show how far the owner is behind; the time of its plans shows why.
//
//   PoolMetrics poolMetrics(daemon.metrics());
//   poolMetrics.observeStart(order);
//   poolMetrics.observePlan(duration);
#pragma once

#include "jobs/engine.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace sequoiapier {

class PoolMetrics
{
public:
    explicit PoolMetrics(prometheus::Registry &metrics);

    // Records `order`, which has just been sent.
    void observeStart(const jobs::StartOrder &order);
    // Records the number of calls to runners that were made through carriers so far.
    void setCarriedCalls(std::uint64_t count)
    {
        m_carriedCalls.Increment(double(count) - m_carriedCalls.Value());
    }
    // Records a job whose rows the store has refused.
    void countSetApart() { m_setApart.Increment(); }
    // Records `count` jobs with this outcome of their admission.
    void countAdmissions(const std::string &pool, const std::string &outcome, std::uint64_t count)
    {
        m_admissions.Add({{"pool", pool}, {"outcome", outcome}}).Increment(double(count));
    }
    void observePlan(Duration duration) { m_planTime.Observe(seconds(duration)); }
    // Records the number of pairs of images that interfere, and of placements that have avoided
    // one since the last call.
    void observeInterference(const std::string &pool, std::size_t pairs, std::uint64_t avoided);

private:
    static double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    prometheus::Histogram &m_listAge; // seconds
    prometheus::Histogram &m_delay; // seconds
    prometheus::Histogram &m_planTime; // seconds
    prometheus::Counter &m_carriedCalls;
    prometheus::Counter &m_setApart;
    prometheus::Family<prometheus::Gauge> &m_interferencePairs;
    prometheus::Family<prometheus::Counter> &m_interferenceAvoided;
    prometheus::Family<prometheus::Counter> &m_admissions;
};

} // namespace sequoiapier

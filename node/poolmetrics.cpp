#include "node/poolmetrics.h"

namespace sequoiapier {

namespace {

const prometheus::Histogram::BucketBoundaries Bounds{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5};
const prometheus::Histogram::BucketBoundaries PlanBounds{0.0005, 0.001, 0.002, 0.005, 0.01,
                                                         0.02,   0.05,  0.1,   0.2,   0.5};

} // namespace

PoolMetrics::PoolMetrics(prometheus::Registry &metrics)
    : m_listAge(prometheus::BuildHistogram()
                    .Name("sequoiapier_start_list_age_seconds")
                    .Help("Age of the live list of runners when a start was sent")
                    .Register(metrics)
                    .Add({}, Bounds))
    , m_delay(prometheus::BuildHistogram()
                  .Name("sequoiapier_start_delay_seconds")
                  .Help("From a task's placement to the sending of its start")
                  .Register(metrics)
                  .Add({}, Bounds))
    , m_planTime(prometheus::BuildHistogram()
                     .Name("sequoiapier_plan_seconds")
                     .Help("Time taken by one plan of a pool")
                     .Register(metrics)
                     .Add({}, PlanBounds))
    , m_carriedCalls(prometheus::BuildCounter()
                         .Name("sequoiapier_carried_calls_total")
                         .Help("Calls to runners that were made through other nodes")
                         .Register(metrics)
                         .Add({}))
    , m_setApart(prometheus::BuildCounter()
                     .Name("sequoiapier_jobs_set_apart_total")
                     .Help("Jobs whose rows the store has refused, which are kept in memory")
                     .Register(metrics)
                     .Add({}))
    , m_interferencePairs(prometheus::BuildGauge()
                              .Name("sequoiapier_interference_pairs")
                              .Help("Pairs of images that slow each other down on one runner")
                              .Register(metrics))
    , m_interferenceAvoided(prometheus::BuildCounter()
                                .Name("sequoiapier_interference_avoided_total")
                                .Help("Tasks placed on another runner because of such a pair")
                                .Register(metrics))
    , m_admissions(prometheus::BuildCounter()
                       .Name("sequoiapier_admission_total")
                       .Help("Jobs accepted and refused for lack of capacity, and such decisions "
                             "that proved wrong")
                       .Register(metrics))
{ }

void PoolMetrics::observeInterference(const std::string &pool, std::size_t pairs,
                                      std::uint64_t avoided)
{
    const prometheus::Labels labels{{"pool", pool}};
    if (pairs > 0 || m_interferencePairs.Has(labels))
        m_interferencePairs.Add(labels).Set(double(pairs));
    if (avoided > 0)
        m_interferenceAvoided.Add(labels).Increment(double(avoided));
}

void PoolMetrics::observeStart(const jobs::StartOrder &order)
{
    m_listAge.Observe(seconds(order.sentAt - order.listedAt));
    m_delay.Observe(seconds(order.sentAt - order.placedAt));
}

} // namespace sequoiapier

// AdmissionReport: tells callers and metrics what the admission of a pool's jobs has decided.
//
//   AdmissionReport report(poolMetrics, pool);
//   answer(AdmissionReport::refusal(result.retryAfter, isOwner));
//   report.update(engine.admission().counts());     // after each plan
#pragma once

#include "gen/node_types.h"
#include "jobs/admission.h"
#include "node/poolmetrics.h"

#include <string>

namespace sequoiapier {

class AdmissionReport
{
public:
    AdmissionReport(PoolMetrics &metrics, std::string pool)
        : m_metrics(metrics)
        , m_pool(std::move(pool))
    { }

    // Returns the answer to the submission of a refused job. Only a node that is certain to own the
    // pool may refuse, since a later owner may have accepted the job.
    static api::JobReply refusal(Duration retryAfter, bool isOwner);
    // Adds to the metrics what was counted since the last call.
    void update(const jobs::Admission::Counts &counts);

private:
    PoolMetrics &m_metrics;
    std::string m_pool;
    jobs::Admission::Counts m_reported;
};

} // namespace sequoiapier

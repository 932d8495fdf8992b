// JobTerms: what a queue promises to a job when the job is accepted. They belong to the job and
// stay as they are when a newer configuration changes the queue or removes it.
//
//   job.terms = termsOf(*configuration.findQueue(job.queue));
#pragma once

#include "sequoiapier/configuration.h"

#include <cstdint>

namespace sequoiapier::jobs {

// Policy of a queue for which only the recommendation service knows which runners may run a step.
struct AdvicePolicy
{
    bool isNeeded = false;
    // The service takes `baseMilliseconds` for an answer, plus `perRunnerMilliseconds` for each
    // runner in the question.
    std::int64_t baseMilliseconds = 0;
    std::int64_t perRunnerMilliseconds = 0;

    bool operator==(const AdvicePolicy &) const = default;
};

struct JobTerms
{
    std::uint32_t priority = 0; // 0 is the highest priority.
    std::uint32_t maxAttempts = 1; // Maximum number of attempts of one task; at least 1.
    // The objective for the job's duration is `stretch` times the work on its longest chain of
    // steps, plus `objectiveMilliseconds`.
    double stretch = 1;
    std::int64_t objectiveMilliseconds = 0;
    bool isBeyondShare = false; // True if the job exceeded its team's share when it arrived.
    // Runners refuse starts that the policy in force does not allow. The engine therefore follows
    // newer configurations here, as long as they have the queue.
    AdvicePolicy advice;

    bool operator==(const JobTerms &) const = default;
};

JobTerms termsOf(const QueueConfig &queue);

} // namespace sequoiapier::jobs

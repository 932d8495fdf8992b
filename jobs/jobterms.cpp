#include "jobs/jobterms.h"

#include <algorithm>

namespace sequoiapier::jobs {

JobTerms termsOf(const QueueConfig &queue)
{
    return {.priority = queue.priority,
            .maxAttempts = std::max(queue.maxAttempts, 1U),
            .stretch = queue.stretch,
            .objectiveMilliseconds = queue.objectiveMilliseconds,
            .advice = {.isNeeded = queue.needsAdvice,
                       .baseMilliseconds = queue.adviceBaseMilliseconds,
                       .perRunnerMilliseconds = queue.advicePerRunnerMilliseconds}};
}

} // namespace sequoiapier::jobs

// A job returns to waiting only if its run certainly never began or if the job is rerunnable. Every
// other end of a run ends the job.
#include "controller/jobstep.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

JobRow withState(JobRow row, JobState state, ResultCode code, std::string detail)
{
    row.state = state;
    row.code = code;
    row.detail = std::move(detail);
    return row;
}

JobRow waitingAgain(JobRow row, std::string detail)
{
    return withState(std::move(row), JobState::Waiting, ResultCode::JobWaiting, std::move(detail));
}

JobRow afterFailure(JobRow row, const JobStepOptions &options)
{
    const std::string worker = row.worker;
    ++row.failures;
    if (std::find(row.failedOn.begin(), row.failedOn.end(), worker) == row.failedOn.end())
        row.failedOn.push_back(worker);
    if (!row.isRerunnable || row.state == JobState::Stopping)
        return withState(std::move(row), JobState::Failed, ResultCode::JobFailed,
                         "failed on " + worker);
    if (row.failures >= options.maxFailures || row.failedOn.size() >= options.maxFailedWorkers) {
        const std::string detail
            = "failed on " + std::to_string(row.failedOn.size()) + " workers, the last " + worker;
        return withState(std::move(row), JobState::Failed, ResultCode::JobQuarantined, detail);
    }
    return waitingAgain(std::move(row), "failed on " + worker);
}

// Handles a run that ended without an outcome.
JobRow afterInterruption(JobRow row, const std::string &what)
{
    if (row.state == JobState::Stopping)
        return withState(std::move(row), JobState::Cancelled, ResultCode::JobCancelled, what);
    if (row.isRerunnable)
        return waitingAgain(std::move(row), what);
    return withState(std::move(row), JobState::Unknown, ResultCode::JobOutcomeUnknown, what);
}

JobRow afterNoRun(JobRow row)
{
    if (row.state == JobState::Stopping) {
        return withState(std::move(row), JobState::Cancelled, ResultCode::JobCancelled,
                         "stopped before it ran");
    }
    return waitingAgain(std::move(row), "its worker did not start it");
}

} // namespace

std::optional<JobRow> nextJobStep(const JobRow &row, const TaskReport &report,
                                  const JobStepOptions &options)
{
    if (!row.isPlaced())
        return std::nullopt;
    switch (report.state) {
    case TaskState::Running:
        if (row.state != JobState::Placed)
            return std::nullopt;
        return withState(row, JobState::Running, ResultCode::Ok, "");
    case TaskState::Done:
        return withState(row, JobState::Done, ResultCode::Ok, "");
    case TaskState::Failed:
        return afterFailure(row, options);
    case TaskState::Stopped:
        return afterInterruption(row, "stopped on " + row.worker);
    case TaskState::Lost:
        return afterInterruption(row, "lost with " + row.worker);
    case TaskState::NeverRan:
        break;
    }
    return afterNoRun(row);
}

} // namespace sequoiapier

#include "bench/support/gatewaymodel.h"

#include <utility>

namespace sequoiapier {

GatewayModel::GatewayModel(VirtualTime &time, Options options, Hooks hooks)
    : m_time(time)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_queues(options.queues)
{ }

void GatewayModel::submit(QueuedRequest request)
{
    const QueuedRequest copy = request;
    if (const auto pushed = m_queues.push(std::move(request), m_time.now()); !pushed)
        m_hooks.refused({copy, pushed.error().code});
    poll();
}

void GatewayModel::poll()
{
    const auto mayStart = [](std::string_view) { return true; };
    while (m_running < m_options.slots) {
        const std::optional<QueuedRequest> next = m_queues.pop(m_time.now(), mayStart);
        if (!next)
            break;
        start(*next);
    }
    for (const RefusedRequest &refused : m_queues.takeRefused(m_time.now()))
        m_hooks.refused(refused);
}

void GatewayModel::start(const QueuedRequest &request)
{
    ++m_running;
    ++m_runningByTeam[request.team];
    const Duration actualRunTime = m_hooks.runTime(request);
    m_time.after(actualRunTime, [this, request, actualRunTime, started = m_time.now()] {
        --m_running;
        --m_runningByTeam[request.team];
        const Duration learnedRunTime
            = m_options.learnsRunTimes ? actualRunTime : RunTimeEstimate::Initial;
        m_queues.onFinished(request, learnedRunTime, m_time.now());
        m_hooks.ended(request, started);
        poll();
    });
}

std::size_t GatewayModel::running(const std::string &team) const
{
    const auto found = m_runningByTeam.find(team);
    return found == m_runningByTeam.end() ? 0 : found->second;
}

void repeat(VirtualTime &time, Duration period, TimePoint end, std::function<void()> action)
{
    if (time.now() + period > end)
        return;
    time.after(period, [&time, period, end, action = std::move(action)] {
        action();
        repeat(time, period, end, action);
    });
}

} // namespace sequoiapier

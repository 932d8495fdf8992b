// GatewayModel: a gateway simulated under virtual time, with TeamQueues in front of a number of
// slots.
//
//   GatewayModel gateway(time, {.slots = 80}, {.runTime = ..., .ended = ...});
//   gateway.submit(request);
#pragma once

#include "gateway/teamqueues.h"
#include "testing/support/virtualtime.h"

#include <map>

namespace sequoiapier {

class GatewayModel
{
public:
    struct Options
    {
        TeamQueues::Options queues;
        std::size_t slots = 80;
        bool learnsRunTimes = true; // otherwise every start costs the same
    };

    struct Hooks
    {
        std::function<Duration(const QueuedRequest &)> runTime;
        std::function<void(const QueuedRequest &, TimePoint started)> ended;
        std::function<void(const RefusedRequest &)> refused;
    };

    GatewayModel(VirtualTime &time, Options options, Hooks hooks);

    void submit(QueuedRequest request);
    // Starts and refuses the requests that are due. Every submit and every end also calls it.
    void poll();
    void setSlots(std::size_t slots) { m_options.slots = slots; }
    TeamQueues &queues() { return m_queues; }
    std::size_t running(const std::string &team) const;

private:
    void start(const QueuedRequest &request);

    VirtualTime &m_time;
    Options m_options;
    Hooks m_hooks;
    TeamQueues m_queues;
    std::size_t m_running = 0;
    std::map<std::string, std::size_t> m_runningByTeam;
};

// Calls `action` every `period` from now until `end`.
void repeat(VirtualTime &time, Duration period, TimePoint end, std::function<void()> action);

} // namespace sequoiapier

#include "cli/ctlclient.h"

namespace sequoiapier {

namespace {

int setQueue(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(settings, [&](const Configuration &current, api::Edit &edit) {
        const QueueConfig *known = current.findQueue(name);
        const QueueConfig base = known != nullptr ? *known : QueueConfig{.name = name};
        api::QueueEdit queue;
        queue.name = name;
        queue.serviceName = settings.service.empty() ? base.service : settings.service;
        queue.isOpen = settings.open.empty() ? base.isOpen : settings.open == "true";
        queue.maxQueued = valueOr(settings.maxQueued, base.maxQueued);
        edit.__set_putQueue(queue);
    });
}

int removeQueue(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(settings,
                    [&](const Configuration &, api::Edit &edit) { edit.__set_removeQueue(name); });
}

} // namespace

std::vector<CtlCommand> ctlQueueCommands()
{
    return {
        {{"queue", "set"},
         "NAME",
         [](const auto &settings, auto operands) { return setQueue(settings, operands[0]); }},
        {{"queue", "remove"},
         "NAME",
         [](const auto &settings, auto operands) { return removeQueue(settings, operands[0]); }},
    };
}

} // namespace sequoiapier

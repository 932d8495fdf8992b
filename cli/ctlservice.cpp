#include "cli/ctlclient.h"
#include "net/endpoint.h"

#include <iostream>
#include <sstream>

namespace sequoiapier {

namespace {

std::vector<RunnerConfig> givenOrCurrentRunners(const CtlSettings &settings,
                                                const ServiceConfig &base)
{
    if (settings.runners.empty())
        return base.runners;
    std::vector<RunnerConfig> runners;
    std::istringstream stream(settings.runners);
    for (std::string text; std::getline(stream, text, ',');) {
        const Result<Endpoint> endpoint = parseEndpoint(text);
        if (endpoint)
            runners.push_back({endpoint.value().address, endpoint.value().port});
    }
    return runners;
}

int setService(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(settings, [&](const Configuration &current, api::Edit &edit) {
        const ServiceConfig *known = current.findService(name);
        const ServiceConfig base = known != nullptr ? *known : ServiceConfig{.name = name};
        api::ServiceEdit service;
        service.name = name;
        service.pool = settings.pool.empty() ? base.pool : settings.pool;
        service.slotsPerRunner = valueOr(settings.slots, base.slotsPerRunner);
        service.connectionsPerRunner = valueOr(settings.connections, base.connectionsPerRunner);
        for (const RunnerConfig &runner : givenOrCurrentRunners(settings, base)) {
            api::RunnerEdit entry;
            entry.address = runner.address;
            entry.port = runner.port;
            service.runners.push_back(entry);
        }
        edit.__set_putService(service);
    });
}

int removeService(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(
        settings, [&](const Configuration &, api::Edit &edit) { edit.__set_removeService(name); });
}

} // namespace

std::vector<CtlCommand> ctlServiceCommands()
{
    return {
        {{"service", "set"},
         "NAME",
         [](const auto &settings, auto operands) { return setService(settings, operands[0]); }},
        {{"service", "remove"},
         "NAME",
         [](const auto &settings, auto operands) { return removeService(settings, operands[0]); }},
    };
}

} // namespace sequoiapier

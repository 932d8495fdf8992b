#include "cli/ctlfleet.h"

namespace sequoiapier {

namespace {

int addHosts(const CtlSettings &settings, const std::string &names)
{
    return sendFleetEdit(settings, [&](api::FleetEdit &edit) {
        std::vector<api::HostEntry> hosts;
        for (const std::string &name : splitNames(names)) {
            api::HostEntry host;
            host.name = name;
            host.rack = settings.rack;
            host.zone = settings.zone;
            host.pool = settings.pool;
            hosts.push_back(host);
        }
        edit.__set_registerHosts(hosts);
    });
}

int moveHost(const CtlSettings &settings, const std::string &name)
{
    return sendFleetEdit(settings, [&](api::FleetEdit &edit) {
        api::HostMoveEdit move;
        move.host = name;
        move.pool = settings.pool;
        move.drainSeconds = settings.drainSeconds;
        edit.__set_moveHost(move);
    });
}

int cancelDrain(const CtlSettings &settings, const std::string &name)
{
    return sendFleetEdit(settings, [&](api::FleetEdit &edit) { edit.__set_cancelDrain(name); });
}

int setBudget(const CtlSettings &settings, const std::string &domain)
{
    return sendFleetEdit(settings, [&](api::FleetEdit &edit) {
        api::BudgetEdit budget;
        budget.domain = domain;
        budget.limit = std::int32_t(settings.limit);
        edit.__set_setBudget(budget);
    });
}

} // namespace

std::vector<CtlCommand> ctlHostCommands()
{
    return {
        {{"host", "add"},
         "NAME,...",
         [](const auto &settings, auto operands) { return addHosts(settings, operands[0]); }},
        {{"host", "list"}, "", [](const auto &settings, auto) { return printHosts(settings); }},
        {{"host", "move"},
         "NAME",
         [](const auto &settings, auto operands) { return moveHost(settings, operands[0]); }},
        {{"host", "cancel-drain"},
         "NAME",
         [](const auto &settings, auto operands) { return cancelDrain(settings, operands[0]); }},
        {{"budget", "set"},
         "DOMAIN",
         [](const auto &settings, auto operands) { return setBudget(settings, operands[0]); }},
    };
}

} // namespace sequoiapier

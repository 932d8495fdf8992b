#include "cli/ctlclient.h"

namespace sequoiapier {

namespace {

int setTeam(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(settings, [&](const Configuration &current, api::Edit &edit) {
        const TeamConfig *known = current.findTeam(name);
        const TeamConfig base = known != nullptr ? *known : TeamConfig{.name = name};
        api::TeamEdit team;
        team.name = name;
        team.share = valueOr(settings.share, base.share);
        team.ceiling = valueOr(settings.ceiling, base.ceiling);
        edit.__set_putTeam(team);
    });
}

int removeTeam(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(settings,
                    [&](const Configuration &, api::Edit &edit) { edit.__set_removeTeam(name); });
}

} // namespace

std::vector<CtlCommand> ctlTeamCommands()
{
    return {
        {{"team", "set"},
         "NAME",
         [](const auto &settings, auto operands) { return setTeam(settings, operands[0]); }},
        {{"team", "remove"},
         "NAME",
         [](const auto &settings, auto operands) { return removeTeam(settings, operands[0]); }},
    };
}

} // namespace sequoiapier

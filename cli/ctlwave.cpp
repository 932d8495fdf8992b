#include "cli/ctlfleet.h"

namespace sequoiapier {

namespace {

int declareWave(const CtlSettings &settings, const std::string &id)
{
    return sendFleetEdit(settings, [&](api::FleetEdit &edit) {
        api::WaveDeclaration wave;
        wave.id = id;
        wave.pools = splitNames(settings.pools);
        wave.hosts = splitNames(settings.hosts);
        wave.maxOut = std::int32_t(settings.maxOut);
        wave.drainSeconds = settings.drainSeconds;
        wave.deadlineSeconds = settings.deadlineSeconds;
        wave.periodSeconds = settings.periodSeconds;
        wave.stopsWhenOverdue = settings.overdue == "stop";
        wave.resumesAfterRepair = settings.resumesAfterRepair;
        edit.__set_declareWave(wave);
    });
}

// Command whose only operand is the identifier of a wave.
CtlCommand waveCommand(std::string_view verb, void (api::FleetEdit::*set)(const std::string &))
{
    return {{"wave", verb}, "ID", [set](const CtlSettings &settings, auto operands) {
                return sendFleetEdit(settings,
                                     [&](api::FleetEdit &edit) { (edit.*set)(operands[0]); });
            }};
}

} // namespace

std::vector<CtlCommand> ctlWaveCommands()
{
    return {
        {{"wave", "declare"},
         "ID",
         [](const auto &settings, auto operands) { return declareWave(settings, operands[0]); }},
        {{"wave", "list"}, "", [](const auto &settings, auto) { return printWaves(settings); }},
        waveCommand("pause", &api::FleetEdit::__set_pauseWave),
        waveCommand("resume", &api::FleetEdit::__set_resumeWave),
        waveCommand("cancel", &api::FleetEdit::__set_cancelWave),
    };
}

} // namespace sequoiapier

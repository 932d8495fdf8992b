#include "controller/operatoredit.h"

#include <limits>

namespace sequoiapier {

namespace {

// Converts a negative number to the largest one, which every rule of a configuration refuses.
std::uint32_t toCount(std::int32_t number)
{
    return number < 0 ? std::numeric_limits<std::uint32_t>::max() : std::uint32_t(number);
}

ServiceConfig toService(const api::ServiceEdit &edit)
{
    ServiceConfig service{.name = edit.name,
                          .pool = edit.pool,
                          .slotsPerRunner = toCount(edit.slotsPerRunner),
                          .connectionsPerRunner = toCount(edit.connectionsPerRunner)};
    for (const api::RunnerEdit &runner : edit.runners) {
        const bool isPort
            = runner.port > 0 && runner.port <= std::numeric_limits<std::uint16_t>::max();
        service.runners.push_back(
            {.address = runner.address, .port = std::uint16_t(isPort ? runner.port : 0)});
    }
    return service;
}

} // namespace

Result<ConfigurationEdit> toConfigurationEdit(const api::Edit &edit)
{
    const auto &isSet = edit.__isset;
    if (isSet.putTeam) {
        const api::TeamEdit &team = edit.putTeam;
        return ConfigurationEdit(
            edit::PutTeam{{team.name, toCount(team.share), toCount(team.ceiling)}});
    }
    if (isSet.removeTeam)
        return ConfigurationEdit(edit::RemoveTeam{edit.removeTeam});
    if (isSet.grantKey)
        return ConfigurationEdit(edit::GrantKey{{edit.grantKey.digest, edit.grantKey.team}});
    if (isSet.withdrawKey)
        return ConfigurationEdit(edit::WithdrawKey{edit.withdrawKey});
    if (isSet.putQueue) {
        const api::QueueEdit &queue = edit.putQueue;
        return ConfigurationEdit(edit::PutQueue{
            {queue.name, queue.serviceName, queue.isOpen, toCount(queue.maxQueued)}});
    }
    if (isSet.removeQueue)
        return ConfigurationEdit(edit::RemoveQueue{edit.removeQueue});
    if (isSet.putPool)
        return ConfigurationEdit(
            edit::PutPool{{edit.putPool.name, toCount(edit.putPool.maxUnavailable)}});
    if (isSet.removePool)
        return ConfigurationEdit(edit::RemovePool{edit.removePool});
    if (isSet.putService)
        return ConfigurationEdit(edit::PutService{toService(edit.putService)});
    if (isSet.removeService)
        return ConfigurationEdit(edit::RemoveService{edit.removeService});
    if (isSet.setMaxGateways)
        return ConfigurationEdit(edit::SetMaxGateways{toCount(edit.setMaxGateways)});
    return Error{ResultCode::ChangeInvalid, "the edit names no change that this version knows"};
}

} // namespace sequoiapier

// ConfigurationEditor: applies one edit to a configuration.
//
//   Result<Configuration> next = applyEdit(base, edit::WithdrawKey{digest});
//   if (!next) ... // ChangeInvalid or NotFound; the detail names the broken rule
//
// The result satisfies every rule of parseConfiguration(). Cost: O(size of the configuration).
#pragma once

#include "sequoiapier/configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace sequoiapier {

namespace edit {

// A put adds the object or replaces the object of the same name.
struct PutTeam
{
    TeamConfig team;
};
struct RemoveTeam
{
    std::string name;
};
struct GrantKey
{
    KeyConfig key;
};
struct WithdrawKey
{
    std::string digest;
};
struct PutQueue
{
    QueueConfig queue;
};
struct RemoveQueue
{
    std::string name;
};
struct PutPool
{
    PoolConfig pool;
};
struct RemovePool
{
    std::string name;
};
struct PutService
{
    ServiceConfig service;
};
struct RemoveService
{
    std::string name;
};
struct SetMaxGateways
{
    std::uint32_t maxGateways = 0;
};

} // namespace edit

using ConfigurationEdit
    = std::variant<edit::PutTeam, edit::RemoveTeam, edit::GrantKey, edit::WithdrawKey,
                   edit::PutQueue, edit::RemoveQueue, edit::PutPool, edit::RemovePool,
                   edit::PutService, edit::RemoveService, edit::SetMaxGateways>;

// Returns the configuration after `change`, with the version of `base`. Fails with ChangeInvalid if
// the result breaks a rule, and with NotFound if the object to remove does not exist.
Result<Configuration> applyEdit(const Configuration &base, const ConfigurationEdit &change);

// Returns the digests of the keys that `base` has and `next` lacks.
std::vector<std::string> withdrawnDigests(const Configuration &base, const Configuration &next);

} // namespace sequoiapier

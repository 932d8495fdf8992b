// ConfigurationEditor: one small change applied to a configuration.
//
//   Result<Configuration> next = applyEdit(base, edit::WithdrawKey{digest});
//   if (!next) ... // ChangeInvalid or NotFound, the detail names the rule
//
// The result keeps every rule of parseConfiguration(). O(size of the configuration).
#pragma once

#include "sequoiapier/configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace sequoiapier {

namespace edit {

// A put adds the object, or replaces the one of the same name.
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

// The configuration after `change`, with the version of `base`. ChangeInvalid if a rule breaks,
// NotFound if the object to remove is not there.
Result<Configuration> applyEdit(const Configuration &base, const ConfigurationEdit &change);

// Digests of the keys of `base` that `next` doesn't have.
std::vector<std::string> withdrawnDigests(const Configuration &base, const Configuration &next);

} // namespace sequoiapier

#include "cli/ctlclient.h"
#include "cli/ctlfleet.h"

#include <algorithm>

namespace sequoiapier {

namespace {

int setPool(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(settings, [&](const Configuration &current, api::Edit &edit) {
        const auto known = std::find_if(current.pools.begin(), current.pools.end(),
                                        [&](const PoolConfig &pool) { return pool.name == name; });
        const PoolConfig base = known != current.pools.end() ? *known : PoolConfig{.name = name};
        api::PoolEdit pool;
        pool.name = name;
        pool.maxUnavailable = valueOr(settings.maxUnavailable, base.maxUnavailable);
        edit.__set_putPool(pool);
    });
}

int removePool(const CtlSettings &settings, const std::string &name)
{
    return sendEdit(settings,
                    [&](const Configuration &, api::Edit &edit) { edit.__set_removePool(name); });
}

} // namespace

std::vector<CtlCommand> ctlPoolCommands()
{
    return {
        {{"pool", "set"},
         "NAME",
         [](const auto &settings, auto operands) { return setPool(settings, operands[0]); }},
        {{"pool", "remove"},
         "NAME",
         [](const auto &settings, auto operands) { return removePool(settings, operands[0]); }},
        {{"pool", "list"}, "", [](const auto &settings, auto) { return printPools(settings); }},
    };
}

} // namespace sequoiapier

#include "peer/lendableresources.h"

namespace sequoiapier {

std::string slotResource(std::string_view service)
{
    return "slots/" + std::string(service);
}

std::string ceilingResource(std::string_view team)
{
    return "ceiling/" + std::string(team);
}

std::vector<LendableResource> lendableResources(const Configuration &configuration)
{
    std::vector<LendableResource> resources;
    for (const ServiceConfig &service : configuration.services) {
        const auto slots = std::int64_t(service.slotsPerRunner) * std::int64_t(service.runners.size());
        resources.push_back({slotResource(service.name), slots});
    }
    for (const TeamConfig &team : configuration.teams) {
        if (team.ceiling > 0)
            resources.push_back({ceilingResource(team.name), team.ceiling});
    }
    return resources;
}

} // namespace sequoiapier

#include "peer/lendableresources.h"

namespace sequoiapier {

namespace {

constexpr std::string_view SlotPrefix = "slots/";

} // namespace

std::string slotResource(std::string_view service)
{
    return std::string(SlotPrefix) + std::string(service);
}

bool isSlotResource(std::string_view resource)
{
    return resource.starts_with(SlotPrefix);
}

std::string ceilingResource(std::string_view team)
{
    return "ceiling/" + std::string(team);
}

std::string teamBorrowerName(std::string_view member, std::string_view team)
{
    return std::string(member) + "#" + std::string(team);
}

std::string teamOfBorrower(std::string_view borrower)
{
    const auto separator = borrower.find('#');
    return separator == std::string_view::npos ? std::string()
                                               : std::string(borrower.substr(separator + 1));
}

std::vector<LendableResource> lendableResources(const Configuration &configuration)
{
    std::vector<LendableResource> resources;
    for (const ServiceConfig &service : configuration.services) {
        const auto slots
            = std::int64_t(service.slotsPerRunner) * std::int64_t(service.runners.size());
        resources.push_back({slotResource(service.name), slots});
    }
    for (const TeamConfig &team : configuration.teams) {
        if (team.ceiling > 0)
            resources.push_back({ceilingResource(team.name), team.ceiling});
    }
    return resources;
}

} // namespace sequoiapier

// The bounded resources that a configuration defines: runner slots of each service, and the ceiling
// of each team that has one. Schedulers lend them, gateways borrow them.
#pragma once

#include "sequoiapier/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct LendableResource
{
    std::string name;
    std::int64_t capacity = 0; // units over all runners or all services
};

std::string slotResource(std::string_view service); // "slots/<service>"
std::string ceilingResource(std::string_view team); // "ceiling/<team>"

std::vector<LendableResource> lendableResources(const Configuration &configuration);

} // namespace sequoiapier

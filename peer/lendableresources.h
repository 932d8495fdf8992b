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
bool isSlotResource(std::string_view resource);
std::string ceilingResource(std::string_view team); // "ceiling/<team>"

// The name under which `member` borrows for `team`, and back; empty if it borrows for no team.
std::string teamBorrowerName(std::string_view member, std::string_view team);
std::string teamOfBorrower(std::string_view borrower);

std::vector<LendableResource> lendableResources(const Configuration &configuration);

} // namespace sequoiapier

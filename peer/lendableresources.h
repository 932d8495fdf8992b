// Lists the bounded resources that a configuration defines: the runner slots of each service and
// the ceiling of each team that has one. Schedulers lend them and gateways borrow them.
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
    std::int64_t capacity = 0; // total units over all runners or all services
};

std::string slotResource(std::string_view service); // returns "slots/<service>"
bool isSlotResource(std::string_view resource);
std::string ceilingResource(std::string_view team); // returns "ceiling/<team>"

// teamBorrowerName returns the name under which `member` borrows for `team`. teamOfBorrower returns
// the team of such a name, or an empty string if it names none.
std::string teamBorrowerName(std::string_view member, std::string_view team);
std::string teamOfBorrower(std::string_view borrower);

std::vector<LendableResource> lendableResources(const Configuration &configuration);

} // namespace sequoiapier

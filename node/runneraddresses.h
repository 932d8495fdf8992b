// RunnerAddresses: which runners' addresses the store has, and which changes are to be written.
//
//   addresses.require(batch.starts, engine.runners());  // before the batch is written
//   for (const auto &change : addresses.takeChanges(room)) ...  // add to its transaction
//   addresses.forget(engine.runners());                 // after each change of the runners
//
// A later owner of the pool must reach the runners with placed tasks, even if the live list does
// not have them. The address of a runner is therefore stored before the first start there.
//
// Cost: O(s log r) in starts and runners, O(r log r) to forget, one row for each runner.
#pragma once

#include "jobs/engine.h"
#include "net/endpoint.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

class RunnerAddresses
{
public:
    using Runners = std::map<std::string, jobs::Runner>;

    struct Change
    {
        std::string runner;
        std::optional<Endpoint> endpoint; // nullopt removes the runner's row
    };

    // Sets what the store has.
    void load(std::map<std::string, Endpoint> stored) { m_stored = std::move(stored); }
    // Notes which runners of the starts have no address in the store, or another one.
    void require(std::span<const jobs::StartOrder> starts, const Runners &runners);
    // Notes that runners that are not in `runners` need no address any more.
    void forget(const Runners &runners);
    // Number of addresses that must be written before the starts are sent.
    std::size_t requiredCount() const { return m_required.size(); }
    // Returns at most `room` changes, the required ones first. They count as written.
    std::vector<Change> takeChanges(std::size_t room);
    // Called with changes that were taken and not written.
    void putBack(std::span<const Change> changes);

private:
    std::map<std::string, Endpoint> m_stored;
    std::map<std::string, Endpoint> m_required;
    std::set<std::string> m_stale; // runners whose rows are to be removed
};

} // namespace sequoiapier

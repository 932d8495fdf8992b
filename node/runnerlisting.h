// RunnerListing: the platform's live list of runners, kept up to date from the rows that change.
//
//   RunnerListing listing([](const std::string &runner) { log.warn(...); });
//   listing.replace(allRows);                        // a read of the whole list
//   listing.apply(changedRows);                      // changes since the last call of either
//   std::span<const jobs::RunnerEntry> runners = listing.confirm(sentAt, now);
//
// Runners rewrite their entries at every heartbeat. A pool that is short of runners looks for new
// ones several times per heartbeat, so that most entries of a whole list would be decoded in vain.
//
// Entries that expired while the store was unavailable come back within RelistPeriod of its return.
// Until then, an entry that is missing stays in the list with the time at which it was last listed.
//
// Cost: O(c log r) for c changed rows, each decoded once, and O(r) for each confirmation.
#pragma once

#include "jobs/runner.h"
#include "platform/storeclient.h"
#include "sequoiapier/bootclock.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

class RunnerListing
{
public:
    // The platform specifies two seconds.
    static constexpr Duration RelistPeriod = std::chrono::milliseconds(2'500);

    // `onUnreadable` is called once for each runner whose row can't be decoded.
    explicit RunnerListing(std::function<void(const std::string &runner)> onUnreadable)
        : m_onUnreadable(std::move(onUnreadable))
    { }

    void replace(std::span<const StoreRow> rows);
    // Rows may repeat; a later row of a runner takes the place of an earlier one.
    void apply(std::span<const StoreRow> changes);
    // Records that the store could not be read at `now`.
    void onReadFailed(TimePoint now) { m_keepMissingUntil = now + RelistPeriod; }
    // Called when the list is complete as of `sentAt`, when its last read was sent. Returns the
    // runners, ordered by identifier; the span is valid until the next call of any method.
    std::span<const jobs::RunnerEntry> confirm(TimePoint sentAt, TimePoint now);

private:
    struct Item
    {
        jobs::RunnerEntry entry;
        bool isPresent = false; // False if the entry is missing in the store or can't be decoded.
    };

    std::function<void(const std::string &)> m_onUnreadable;
    std::map<std::string, Item> m_items; // By the runner's identifier.
    std::vector<jobs::RunnerEntry> m_runners; // Result of the last confirm().
    std::set<std::string> m_unreadable; // Runners reported as unreadable.
    TimePoint m_keepMissingUntil{};
};

} // namespace sequoiapier

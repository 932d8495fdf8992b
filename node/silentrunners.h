// SilentRunners: which runners have got no lease since an earlier owner of the pool, told from
// owner to owner in the pool's fence row.
//
//   SilentRunners silent(observedEpochs);
//   silent.load(fence, formerEpoch, now);    // as the owner before left the row
//   fence["silent"] = silent.takeRow(now);   // in each row of this owner
//   silent.onRowWritten();
//   silent.setInherited(runners, now);       // those with runs that earlier owners started
//   silent.since(id, now);                   // for each of them
//   silent.remove(id);                       // once it has answered
//   if (silent.mayExtend(id)) ...            // before a call that carries a lease
//
// Load pattern: a whole availability zone of runners fails while the hosts of the nodes are
// replaced one by one. Without the row each new owner waits for a lease that the owner before it
// might have granted, and tasks stay away for as long as owners change.
//
// An entry says in which epoch the runner may have got its last lease, and how long before the row
// was written a later owner had the pool. The owner extends the lease of such a runner only once a
// row without it is in the store, so that the row is true whenever the owner ends. No clocks are
// compared: the time since the epoch is the longer one of that in the row, and that for which this
// member has seen later epochs.
//
// Cost: O(log n) for a runner, O(n) for a row of n runners, at most MaxEntries in a row. While
// there are any, a row is written four times a second.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/observedepoch.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoiapier {

class SilentRunners
{
public:
    // Bounds the row's size. The runners beyond it are waited for as without the row.
    static constexpr std::size_t MaxEntries = 256;
    // Longest silence that counts; all leases have ended by then.
    static constexpr std::uint64_t MaxAgeMilliseconds = 3'600'000;

    explicit SilentRunners(std::vector<ObservedEpoch> observed)
        : m_observed(std::move(observed))
    { }

    // Reads the fence row of the owner before, which had `formerEpoch`. Entries that can't be read
    // are left out.
    void load(const nlohmann::json &fence, std::uint64_t formerEpoch, TimePoint now);
    // Sets the runners with runs that earlier owners started. None has answered this owner yet;
    // those that have not some time after `now` are named in the rows from then on.
    void setInherited(std::set<std::string> runners, TimePoint now);
    // Returns from when on the pool has had owners that did not extend the runner's lease; `now` if
    // that is not known.
    TimePoint since(const std::string &runner, TimePoint now) const;
    // Number of runners that are named in this owner's rows.
    std::size_t size() const { return m_silences.size(); }
    // Called when a runner has answered.
    void remove(const std::string &runner);
    // Removes the runners that are not waited for any more.
    template<typename Predicate>
    void removeIf(Predicate isRemoved)
    {
        std::erase_if(m_unanswered, isRemoved);
        std::erase_if(m_silences, [&](const auto &item) { return isRemoved(item.first); });
    }

    // Returns whether a call to the runner may carry a lease.
    bool mayExtend(const std::string &runner) const
    {
        return !m_stored.contains(runner) && !m_sent.contains(runner);
    }
    // Returns whether a row is to be written: a runner in the stored row has answered, one is
    // missing there, or the row is old.
    bool isRowDue(TimePoint now) const;
    // Returns the entries of the next row, which may be in the store from now on.
    nlohmann::json takeRow(TimePoint now);
    // Called when the row of the last takeRow() is in the store.
    void onRowWritten() { m_stored = m_sent; }

private:
    struct Silence
    {
        std::uint64_t epoch = 0; // The last epoch in which a lease may have been sent.
        TimePoint since{}; // A later owner had the pool by then.
    };

    TimePoint seenAfter(std::uint64_t epoch, TimePoint now) const;

    std::vector<ObservedEpoch> m_observed; // in increasing order
    std::uint64_t m_formerEpoch = 0;
    std::map<std::string, Silence> m_silences; // runners in this owner's rows
    std::set<std::string> m_unanswered; // runners that are to be in the rows from m_dueAt on
    TimePoint m_dueAt{};
    TimePoint m_rowAt{}; // time of the last row
    std::set<std::string> m_stored; // runners in the row that is in the store
    std::set<std::string> m_sent; // runners in the row that may be in the store
};

} // namespace sequoiapier

// RunnerWatch: follows the platform's live list of runners while this node owns pools.
//
//   RunnerWatch watch(loop, store, log, hook, hasShortage, drainNotice);
//   watch.setActive(true);
//
// The first read returns the whole list, later ones the changes since. After a failed read, or if
// the store has dropped its history, the whole list is read again. While a pool is short of runners
// the list is read more often, so that a runner that joins is used at once.
//
// Cost: one call per read, and its rows; RunnerListing keeps the list.
#pragma once

#include "jobs/runner.h"
#include "net/timer.h"
#include "node/decisionlog.h"
#include "node/runnerlisting.h"
#include "platform/storeclient.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace sequoiapier {

class RunnerWatch
{
public:
    using Hook = std::function<void(std::span<const jobs::RunnerEntry>)>;

    // A draining runner must get no start later than `drainNotice` after it gave notice.
    RunnerWatch(Loop &loop, StoreClient &store, DecisionLog &log, Hook hook,
                std::function<bool()> hasShortage, Duration drainNotice);

    void setActive(bool isActive);
    std::span<const jobs::RunnerEntry> runners() const { return m_runners; }

private:
    void read();
    void onPage(const Result<StorePage> &page, std::uint64_t after, TimePoint sentAt);
    void applyPage(const StorePage &page, TimePoint sentAt, TimePoint now);
    void noteFailure(const Error &error, TimePoint now);
    bool isStoreLost() const { return m_failedAt > m_readAt; }
    std::string ageText(TimePoint now) const; // age of the list in milliseconds

    StoreClient &m_store;
    DecisionLog &m_log;
    Duration m_interval; // time between reads of the list
    Hook m_hook;
    // Returns whether a pool needs more runners, which may be about to join.
    std::function<bool()> m_hasShortage;
    RunnerListing m_listing;
    std::span<const jobs::RunnerEntry> m_runners; // valid until the next page
    // Store version of the list; 0 if the whole list is to be read.
    std::uint64_t m_version = 0;
    bool m_isActive = false;
    bool m_isReading = false;
    TimePoint m_readAt{}; // when the read was sent that returned the current list
    TimePoint m_failedAt{};
    Timer m_timer;
};

} // namespace sequoiapier

// RunnerWatch: polls the platform's live list of runners while this node owns pools.
//
//   RunnerWatch watch(loop, store, log, hook, hasShortage, drainNotice);
//   watch.setActive(true);
//
// While a pool is short of runners the list is polled more often, so that a runner that joins is
// used at once. While the store is unavailable, and for RelistPeriod after, missing entries are
// kept with the time at which they were last listed, since runners restore their entries then.
#pragma once

#include "jobs/runner.h"
#include "net/timer.h"
#include "node/decisionlog.h"
#include "platform/storeclient.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class RunnerWatch
{
public:
    using Hook = std::function<void(const std::vector<jobs::RunnerEntry> &)>;

    // A draining runner must get no start later than `drainNotice` after it gave notice.
    RunnerWatch(Loop &loop, StoreClient &store, DecisionLog &log, Hook hook,
                std::function<bool()> hasShortage, Duration drainNotice);

    void setActive(bool isActive);
    const std::vector<jobs::RunnerEntry> &runners() const { return m_runners; }

private:
    void read();
    void applyPage(const StorePage &page, TimePoint sentAt, TimePoint now);
    void noteFailure(std::string_view reason, TimePoint now);
    bool isStoreLost() const { return m_failedAt > m_readAt; }
    std::string ageText(TimePoint now) const; // age of the list in milliseconds

    StoreClient &m_store;
    DecisionLog &m_log;
    Duration m_interval; // time between reads of the list
    Hook m_hook;
    // Returns whether a pool needs more runners, which may be about to join.
    std::function<bool()> m_hasShortage;
    std::vector<jobs::RunnerEntry> m_runners;
    std::set<std::string> m_unreadable; // runners whose unreadable rows were logged
    bool m_isActive = false;
    bool m_isReading = false;
    TimePoint m_readAt{}; // when the read was sent that returned the current list
    TimePoint m_failedAt{};
    Timer m_timer;
};

} // namespace sequoiapier

// RunnerWatch: polls the platform's live list of runners while this node owns pools.
//
//   RunnerWatch watch(loop, store, log, [&](const auto &runners) { ... });
//   watch.setActive(true);
//
// While a pool is short of runners the list is polled often, so that one that joins is used at
// once. While the store is away, and for ReturnTime after, entries that are missing stay, with the
// time at which they were listed last: runners put theirs back then.
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

    // A runner that drains must get no start `drainNotice` after it has said so.
    RunnerWatch(Loop &loop, StoreClient &store, DecisionLog &log, Hook hook,
                std::function<bool()> isShort, Duration drainNotice);

    void setActive(bool isActive);
    const std::vector<jobs::RunnerEntry> &runners() const { return m_runners; }

private:
    void read();
    void take(const StorePage &page, TimePoint sentAt, TimePoint now);
    void noteFailure(std::string_view why, TimePoint now);
    bool isLost() const { return m_failedAt > m_readAt; }
    std::string ageText(TimePoint now) const; // of the list, in milliseconds

    StoreClient &m_store;
    DecisionLog &m_log;
    Duration m_interval; // between reads
    Hook m_hook;
    std::function<bool()> m_isShort; // of runners that may be on their way
    std::vector<jobs::RunnerEntry> m_runners;
    std::set<std::string> m_unreadable; // rows already logged
    bool m_isActive = false;
    bool m_isReading = false;
    TimePoint m_readAt{}; // when the read was sent that brought the list
    TimePoint m_failedAt{};
    Timer m_timer;
};

} // namespace sequoiapier

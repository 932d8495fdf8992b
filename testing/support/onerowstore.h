// OneRowStore: a store with one row, in virtual time. Each call is carried out and answered after
// Latency, unless the store is down or its answer is to be lost.
//
//   OneRowStore store(time);
//   PoolStateRow row(store.hooks(), options, hooks);
//   store.answersToLose = 1;                         // the next commit is applied, not answered
#pragma once

#include "node/poolstaterow.h"
#include "testing/support/virtualtime.h"

#include <optional>
#include <string>

namespace sequoiapier {

class OneRowStore
{
public:
    static constexpr Duration Latency = std::chrono::milliseconds(4);

    explicit OneRowStore(VirtualTime &time)
        : m_time(time)
    { }

    PoolStateStore hooks()
    {
        return {.read =
                    [this](const StoreKey &key, TimePoint deadline,
                           const StoreClient::RowCallback &callback) {
                        ++reads;
                        if (isDown) {
                            m_time.at(deadline, [callback] {
                                callback(Error{ResultCode::TableTimeout, "no answer"});
                            });
                            return;
                        }
                        m_time.after(Latency, [this, key, callback] {
                            callback(value ? std::optional(
                                         StoreRow{.key = key, .value = *value, .version = version})
                                           : std::nullopt);
                        });
                    },
                .commit =
                    [this](const StoreTransaction &transaction, TimePoint deadline,
                           const StoreClient::CommitCallback &callback) {
                        ++commits;
                        m_time.after(Latency, [this, transaction, deadline, callback] {
                            commit(transaction, deadline, callback);
                        });
                    }};
    }

    void set(const std::string &text)
    {
        value = text;
        version = ++lastVersion;
    }

    std::optional<std::string> value;
    std::uint64_t version = 0;
    std::uint64_t lastVersion = 7;
    bool isDown = false;
    int answersToLose = 0;
    int reads = 0;
    int commits = 0;

private:
    void commit(const StoreTransaction &transaction, TimePoint deadline,
                const StoreClient::CommitCallback &callback)
    {
        const auto unanswered = [callback] { callback({.outcome = CommitOutcome::Unknown}); };
        if (isDown) {
            m_time.at(deadline, unanswered);
            return;
        }
        if (transaction.expected.front().version != version) {
            callback({.outcome = CommitOutcome::Conflict});
            return;
        }
        value = transaction.writes.front().value;
        ++lastVersion;
        version = value ? lastVersion : 0;
        if (answersToLose > 0) {
            --answersToLose;
            m_time.at(deadline, unanswered);
            return;
        }
        callback({.outcome = CommitOutcome::Committed, .version = lastVersion});
    }

    VirtualTime &m_time;
};

} // namespace sequoiapier

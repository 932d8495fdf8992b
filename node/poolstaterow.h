// PoolStateRow: keeps what a pool's owner has learned in one row of the pool, for the next owner.
//
//   PoolStateRow row(poolStateStore(storeClient),
//                    {.key = {"poolstates", pool, "interference"}, .interval = seconds(5)},
//                    {.isOwner = ..., .encode = ..., .decode = ...});
//   row.load(now);                                   // with the pool's jobs
//   row.update(now);                                 // in each tick of the owner
//
// Nothing waits for the row: it holds knowledge that can be learned again, and its loss costs no
// job. It is written at most once per interval, and only if its content differs from what the store
// is known to have. A write that fails or whose answer is lost is tried again at the next interval.
// A missing or malformed row counts as empty.
//
// Only an owner in its term writes. Each write requires the version of the row that this owner has
// read or written last. A later owner's row is therefore not replaced by a write of an earlier
// owner that was under way.
#pragma once

#include "platform/storeclient.h"
#include "sequoiapier/bootclock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiapier {

// The calls of the store that a row needs.
struct PoolStateStore
{
    std::function<void(const StoreKey &, TimePoint deadline, StoreClient::RowCallback)> read;
    std::function<void(const StoreTransaction &, TimePoint deadline, StoreClient::CommitCallback)>
        commit;
};

PoolStateStore poolStateStore(StoreClient &store);

class PoolStateRow
{
public:
    struct Options
    {
        StoreKey key;
        Duration interval = std::chrono::seconds(5); // Shortest time between calls.
        Duration timeout = std::chrono::milliseconds(800); // Time for a call to the store.
        std::size_t maxBytes = 16'384;
    };

    struct Hooks
    {
        std::function<bool()> isOwner; // Returns whether the node is within its term.
        // Returns the content; empty if there is nothing to keep, which removes the row.
        std::function<std::string(TimePoint now)> encode;
        // Takes over the content that an earlier owner has written; returns false if it is
        // malformed.
        std::function<bool(std::string_view content, TimePoint now)> decode;
        // Logs that the row was malformed or is too large to be written; may be empty.
        std::function<void(std::string_view event, std::string_view detail)> warn;
    };

    PoolStateRow(PoolStateStore store, Options options, Hooks hooks);
    PoolStateRow(const PoolStateRow &) = delete;
    PoolStateRow &operator=(const PoolStateRow &) = delete;

    // Reads the row, unless it is being read or has been read.
    void load(TimePoint now);
    // Writes the row if that is due. Does nothing before load().
    void update(TimePoint now);
    bool isLoaded() const { return m_isLoaded; }

private:
    void read(TimePoint now);
    void onRead(const Result<std::optional<StoreRow>> &row, TimePoint now);
    void setStored(std::optional<StoreRow> row);
    void write(TimePoint now);
    void onCommit(const StoreCommit &commit, const std::string &content);
    void warn(std::string_view event, std::string_view detail) const;

    PoolStateStore m_store;
    Options m_options;
    Hooks m_hooks;
    bool m_isRequested = false; // load() was called
    bool m_isLoaded = false; // the row was read
    bool m_isBusy = false; // a call is in flight
    // False after a write whose outcome is unknown, so that the row is read before the next one.
    bool m_isVersionKnown = false;
    std::uint64_t m_version = 0; // version of the row in the store; 0 if there is none
    std::string m_stored; // content of the row in the store
    TimePoint m_nextCallAt{};
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true); // expires with this object
};

} // namespace sequoiapier

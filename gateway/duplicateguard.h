// DuplicateGuard: asks the two home gateways of a non-idempotent request, before the request is
// queued, whether it was sent before.
//
//   guard.check(digest, firstSent, [](DuplicateVerdict verdict) { ... });
//   guard.forget(digest, [] { ... });   // certainly not run; the callback answers the caller
//
// The homes are chosen among the live gateways, this one included. The verdict is reported within
// RecordDeadline. A home that does not answer by then is ignored.
#pragma once

#include "gateway/duplicatehomes.h"
#include "peer/peernode.h"

#include <memory>
#include <optional>

namespace sequoiapier {

class DuplicateGuard
{
public:
    using Callback = std::function<void(DuplicateVerdict)>;

    // Time from the start of a gateway until all others know of it and record there. Until then its
    // own record is incomplete.
    static constexpr Duration JoinPropagationTime = std::chrono::milliseconds(2'500);

    DuplicateGuard(Daemon &daemon, PeerNode &node);

    // Starts the record. The node must have joined.
    void start();
    void check(const RequestDigest &digest, TimePoint firstSent, const Callback &callback);
    // Removes the request from its homes, so that the caller's retry is a new request. Calls `done`
    // when they have answered, or after ForgetDeadline.
    void forget(const RequestDigest &digest, std::function<void()> done);

private:
    struct Inquiry
    {
        std::vector<DuplicateVerdict> verdicts;
        std::size_t waiting = 0;
        Callback callback;
    };

    std::vector<std::string> homes(const RequestDigest &digest);
    void askPeer(const std::string &home, const RequestDigest &digest, TimePoint firstSent,
                 const std::shared_ptr<Inquiry> &inquiry);
    void forgetAtPeer(const std::string &home, const RequestDigest &digest,
                      const std::function<void()> &onEnded);
    static void onVerdict(Inquiry &inquiry, std::optional<DuplicateVerdict> verdict);
    void addMethods();

    PeerNode &m_node;
    std::optional<DuplicateFilter> m_filter;
};

} // namespace sequoiapier

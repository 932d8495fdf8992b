// DuplicateGuard: asks the two homes of a non-idempotent request, before it is queued, whether it
// was sent before.
//
//   guard.check(digest, firstSent, [](DuplicateVerdict verdict) { ... });
//   guard.forget(digest, [] { ... });   // it certainly did not run; then tell the caller
//
// The homes are chosen among the live gateways, this one included. The verdict comes within
// RecordDeadline; a home that does not answer by then has no say.
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

    // From the start of a gateway until all others know of it and record there. Until then its own
    // record says nothing about requests that were sent before.
    static constexpr Duration SettleTime = std::chrono::milliseconds(2'500);

    DuplicateGuard(Daemon &daemon, PeerNode &node);

    // Begins the record; the node must have joined.
    void start();
    void check(const RequestDigest &digest, TimePoint firstSent, const Callback &callback);
    // Calls `done` once the homes have forgotten it, so that the caller's repeat is a new request,
    // or after ForgetDeadline.
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

// JobRelay: sends a caller's call to the owner of the pool, on this node or another, and retries it
// while the caller waits. All calls are idempotent, and the ownership may be moving to another
// node.
//
//   JobRelay relay(loop, hooks);
//   relay.call(jobCall, deadline, [](const api::JobReply &reply) { ... });
//
// If no owner has answered by the deadline, the reply is NoUpstream if none can have accepted the
// call and OutcomeUnknown if one may have. A call about a queue that has been sent to another pool
// meanwhile goes on there; the reply is QueueUnknown if the queue has been removed. A refusal for
// lack of capacity becomes OutcomeUnknown if an earlier attempt of the call may have been accepted.
#pragma once

#include "gen/node_types.h"
#include "net/endpoint.h"
#include "net/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sequoiapier {

class JobRelay
{
public:
    using ReplyCallback = std::function<void(const api::JobReply &)>;
    // `reply` is nullptr if there was none; `isSent` means that the call may have been accepted.
    using SendCallback = std::function<void(const api::JobReply *reply, bool isSent)>;

    struct Hooks
    {
        // Returns the endpoint of the pool's owner; nullopt if none is known. Port 0 stands for
        // this node itself.
        std::function<std::optional<Endpoint>(const std::string &pool)> findOwner;
        // Returns the pool to which the queue is sent now; empty if there is no such queue.
        std::function<std::string(const std::string &queue)> findPool;
        std::function<void(const api::JobCall &, ReplyCallback)> handleLocally;
        std::function<void(const Endpoint &, const api::JobCall &, TimePoint deadline,
                           SendCallback)>
            send;
    };

    JobRelay(Loop &loop, Hooks hooks);
    ~JobRelay();

    void call(const api::JobCall &call, TimePoint deadline, ReplyCallback answer);
    std::size_t openCount() const { return m_calls.size(); }

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    void attempt(const CallPtr &call);
    void onReply(const CallPtr &call, const api::JobReply *reply, bool isSent);
    void finish(const CallPtr &call, const api::JobReply &reply);

    Loop &m_loop;
    Hooks m_hooks;
    std::set<CallPtr> m_calls;
};

} // namespace sequoiapier

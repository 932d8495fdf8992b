#include "node/jobrelay.h"

#include "sequoiapier/resultcode.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

// An owner changes within some hundreds of milliseconds.
constexpr Duration RetryInterval = milliseconds(120);
constexpr Duration AttemptTimeout = milliseconds(900); // a slow store takes a third of a second
constexpr Duration AnswerMargin = milliseconds(150); // time left before the caller's deadline

api::JobReply replyOf(ResultCode code)
{
    api::JobReply reply;
    reply.code = std::int32_t(code);
    return reply;
}

// Returns whether the queue is sent to another pool by a configuration that the owner or this node
// does not have yet.
bool isSentElsewhere(const api::JobReply &reply)
{
    return reply.code == std::int32_t(ResultCode::QueueMoved) && reply.formerPools.empty();
}

bool isFinal(const api::JobReply &reply)
{
    return reply.code != std::int32_t(ResultCode::NotOwner)
        && reply.code != std::int32_t(ResultCode::OutcomeUnknown) && !isSentElsewhere(reply);
}

} // namespace

struct JobRelay::Call
{
    api::JobCall call;
    TimePoint deadline;
    ReplyCallback answer;
    bool mayBeAccepted = false;
    // This node's pool owner has the call and answers once the store has it.
    bool isHandledLocally = false;
    bool isFinished = false;
    std::unique_ptr<Timer> retryTimer;
};

JobRelay::JobRelay(Loop &loop, Hooks hooks)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
{ }

JobRelay::~JobRelay() = default;

void JobRelay::call(const api::JobCall &call, TimePoint deadline, ReplyCallback answer)
{
    auto open = std::make_shared<Call>();
    open->call = call;
    open->deadline = deadline - AnswerMargin;
    open->answer = std::move(answer);
    const std::weak_ptr<Call> weak = open;
    open->retryTimer = std::make_unique<Timer>(m_loop, [this, weak] {
        if (const CallPtr again = weak.lock())
            attempt(again);
    });
    m_calls.insert(open);
    attempt(open);
}

void JobRelay::attempt(const CallPtr &call)
{
    const TimePoint now = BootClock::now();
    if (call->isFinished)
        return;
    if (now >= call->deadline) {
        call->mayBeAccepted = call->mayBeAccepted || call->isHandledLocally;
        finish(call,
               call->mayBeAccepted ? replyOf(ResultCode::OutcomeUnknown)
                                   : replyOf(ResultCode::NoUpstream));
        return;
    }
    const std::optional<Endpoint> owner = m_hooks.findOwner(call->call.pool);
    if (!owner) {
        onReply(call, nullptr, false);
        return;
    }
    call->call.remainingMicroseconds = (call->deadline - now).count();
    if (owner->port == 0) {
        // The store may be unavailable for longer than the caller waits.
        call->isHandledLocally = true;
        call->retryTimer->startAt(call->deadline);
        m_hooks.handleLocally(
            call->call, [this, call](const api::JobReply &reply) { onReply(call, &reply, false); });
        return;
    }
    const TimePoint attemptDeadline = std::min(call->deadline, now + AttemptTimeout);
    m_hooks.send(
        *owner, call->call, attemptDeadline,
        [this, call](const api::JobReply *reply, bool sent) { onReply(call, reply, sent); });
}

void JobRelay::onReply(const CallPtr &call, const api::JobReply *reply, bool isSent)
{
    if (call->isFinished)
        return;
    call->isHandledLocally = false;
    const bool isUnknown
        = reply != nullptr ? reply->code == std::int32_t(ResultCode::OutcomeUnknown) : isSent;
    call->mayBeAccepted = call->mayBeAccepted || isUnknown;
    if (reply != nullptr && isSentElsewhere(*reply)) {
        call->call.pool = m_hooks.findPool(call->call.queue);
        if (call->call.pool.empty()) {
            finish(call,
                   call->mayBeAccepted ? replyOf(ResultCode::OutcomeUnknown)
                                       : replyOf(ResultCode::QueueUnknown));
            return;
        }
        call->mayBeAccepted = true; // The other pool may know the job.
    }
    // An earlier owner may have accepted the call, so that the job may run after all.
    const bool isRefused = reply != nullptr && reply->code == std::int32_t(ResultCode::Overloaded);
    if (isRefused && call->mayBeAccepted) {
        finish(call, replyOf(ResultCode::OutcomeUnknown));
        return;
    }
    if (reply != nullptr && isFinal(*reply)) {
        finish(call, *reply);
        return;
    }
    const TimePoint again = BootClock::now() + RetryInterval;
    call->retryTimer->startAt(std::min(again, call->deadline));
}

void JobRelay::finish(const CallPtr &call, const api::JobReply &reply)
{
    call->isFinished = true;
    const ReplyCallback answer = std::move(call->answer);
    m_calls.erase(call);
    answer(reply);
}

} // namespace sequoiapier

#include "node/jobrelay.h"

#include "sequoiapier/resultcode.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

constexpr Duration RetryInterval = milliseconds(120); // an owner changes within some hundreds
constexpr Duration AttemptPatience = milliseconds(900); // a slow store takes a third of a second
constexpr Duration AnswerMargin = milliseconds(150); // before the caller's deadline

bool isFinal(const api::JobReply &reply)
{
    return reply.code != std::int32_t(ResultCode::NotOwner)
        && reply.code != std::int32_t(ResultCode::OutcomeUnknown);
}

} // namespace

struct JobRelay::Call
{
    api::JobCall call;
    TimePoint deadline;
    Answer answer;
    bool mayBeTaken = false;
    bool isHeldHere = false; // by this node's own pool, which answers once the store has it
    bool isFinished = false;
    std::unique_ptr<Timer> retryTimer;
};

JobRelay::JobRelay(Loop &loop, Hooks hooks)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
{ }

JobRelay::~JobRelay() = default;

void JobRelay::call(const api::JobCall &call, TimePoint deadline, Answer answer)
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
        call->mayBeTaken = call->mayBeTaken || call->isHeldHere;
        api::JobReply reply;
        reply.code
            = std::int32_t(call->mayBeTaken ? ResultCode::OutcomeUnknown : ResultCode::NoUpstream);
        finish(call, reply);
        return;
    }
    const std::optional<Endpoint> owner = m_hooks.findOwner(call->call.pool);
    if (!owner) {
        onReply(call, nullptr, false);
        return;
    }
    call->call.remainingMicroseconds = (call->deadline - now).count();
    if (owner->port == 0) {
        // The store may be away for longer than the caller waits.
        call->isHeldHere = true;
        call->retryTimer->startAt(call->deadline);
        m_hooks.handleHere(
            call->call, [this, call](const api::JobReply &reply) { onReply(call, &reply, false); });
        return;
    }
    const TimePoint patience = std::min(call->deadline, now + AttemptPatience);
    m_hooks.send(*owner, call->call, patience, [this, call](const api::JobReply *reply, bool sent) {
        onReply(call, reply, sent);
    });
}

void JobRelay::onReply(const CallPtr &call, const api::JobReply *reply, bool isSent)
{
    if (call->isFinished)
        return;
    call->isHeldHere = false;
    const bool isUnknown
        = reply != nullptr ? reply->code == std::int32_t(ResultCode::OutcomeUnknown) : isSent;
    call->mayBeTaken = call->mayBeTaken || isUnknown;
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
    const Answer answer = std::move(call->answer);
    m_calls.erase(call);
    answer(reply);
}

} // namespace sequoiapier

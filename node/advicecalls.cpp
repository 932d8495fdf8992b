#include "node/advicecalls.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace sequoiapier {

namespace {

const prometheus::Histogram::BucketBoundaries Bounds{0.02, 0.05, 0.1, 0.2, 0.5, 1,
                                                     2,    5,    10,  20,  60};

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

prometheus::Histogram &addHistogram(prometheus::Registry &metrics, const char *name,
                                    const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(metrics).Add({}, Bounds);
}

prometheus::Gauge &addGauge(prometheus::Registry &metrics, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(metrics).Add({});
}

} // namespace

AdviceCalls::Pool::Pool(AdviceCalls &calls, std::string name, Hooks hooks)
    : m_calls(calls)
    , m_number(++calls.m_lastMember)
{
    calls.m_members[m_number] = {.name = std::move(name), .hooks = std::move(hooks)};
}

AdviceCalls::Pool::~Pool()
{
    const auto member = m_calls.m_members.find(m_number);
    m_calls.m_schedule.forgetPool(member->second.name);
    m_calls.m_members.erase(member);
}

AdviceCalls::AdviceCalls(Loop &loop, AdviceClient &client, DecisionLog &log,
                         prometheus::Registry &metrics)
    : m_client(client)
    , m_log(log)
    , m_timer(loop, [this] { update(); })
    , m_calls(prometheus::BuildCounter()
                  .Name("sequoiapier_advice_calls_total")
                  .Help("Calls to the recommendation service")
                  .Register(metrics))
    , m_overdue(prometheus::BuildCounter()
                    .Name("sequoiapier_advice_overdue_total")
                    .Help("Calls to the recommendation service that were not answered in the "
                          "expected time")
                    .Register(metrics)
                    .Add({}))
    , m_answerTime(addHistogram(metrics, "sequoiapier_advice_answer_seconds",
                                "Time of an answer of the recommendation service"))
    , m_turnWait(addHistogram(metrics, "sequoiapier_advice_turn_wait_seconds",
                              "Time that a pool's question waited for the other pools of the node"))
    , m_openCalls(addGauge(metrics, "sequoiapier_advice_open_calls",
                           "Open calls to the recommendation service"))
    , m_waitingPools(addGauge(metrics, "sequoiapier_advice_waiting_pools",
                              "Pools of the node that have a question"))
{ }

void AdviceCalls::update()
{
    if (!m_client.hasService())
        return;
    while (askNext()) { }
    m_openCalls.Set(double(m_schedule.openCount()));
}

// Returns whether a call was sent.
bool AdviceCalls::askNext()
{
    const TimePoint now = BootClock::now();
    std::vector<jobs::AdviceSchedule::Waiting> waiting;
    for (auto &[number, member] : m_members) {
        const std::optional<jobs::AdviceNeed> need = member.hooks.need();
        if (!need) {
            member.waitingSince.reset();
            continue;
        }
        if (!member.waitingSince)
            member.waitingSince = now;
        waiting.push_back({member.name, *need});
    }
    m_waitingPools.Set(double(waiting.size()));
    countOverdue(now);
    const std::optional<std::string> pool = m_schedule.next(waiting, now);
    if (!pool) {
        if (!waiting.empty())
            m_timer.startAt(std::max(m_schedule.nextCallAt(), now + std::chrono::milliseconds(1)));
        return false;
    }
    // A pool that has been acquired again has its newest place last.
    const auto member = std::find_if(m_members.rbegin(), m_members.rend(), [&](const auto &item) {
        return item.second.name == *pool && item.second.hooks.need();
    });
    std::optional<jobs::AdviceQuestion> question = member->second.hooks.takeQuestion();
    if (!question)
        return false;
    SentCall sent{.member = member->first,
                  .pool = *pool,
                  .question = std::move(*question),
                  .openBefore = m_schedule.openCount(),
                  .turnWait = now - *std::exchange(member->second.waitingSince, std::nullopt)};
    sent.call = m_schedule.begin(*pool, sent.question.serviceTime, now);
    m_lastCall = sent.call;
    m_turnWait.Observe(seconds(sent.turnWait));
    const jobs::AdviceQuestion asked = sent.question;
    const TimePoint deadline = sent.call.deadline;
    m_client.ask(asked, deadline, [this, sent = std::move(sent)](const jobs::AdviceAnswer &answer) {
        onAnswer(sent, answer);
    });
    return true;
}

void AdviceCalls::onAnswer(const SentCall &sent, const jobs::AdviceAnswer &answer)
{
    const TimePoint now = BootClock::now();
    const bool isLate = m_schedule.isOverdue(sent.call.number, now);
    m_schedule.end(sent.call.number, answer.outcome, answer.retryAt, now);
    report(sent, answer, isLate);
    const auto member = m_members.find(sent.member);
    if (member != m_members.end())
        member->second.hooks.onAnswer(sent.question, answer);
    m_timer.startAt(now);
}

// Only the last call can become overdue: no other is sent before it has.
void AdviceCalls::countOverdue(TimePoint now)
{
    if (!m_lastCall || m_overdueCounted == m_lastCall->number
        || !m_schedule.isOverdue(m_lastCall->number, now))
        return;
    m_overdueCounted = m_lastCall->number;
    m_overdue.Increment();
    m_log.info("advice.overdue",
               {{"ms", milliseconds(now - m_lastCall->sentAt)},
                {"own", milliseconds(m_lastCall->serviceTime)},
                {"open", std::to_string(m_schedule.openCount())}});
}

void AdviceCalls::report(const SentCall &sent, const jobs::AdviceAnswer &answer, bool isLate)
{
    const Duration time = BootClock::now() - sent.call.sentAt;
    const bool isAnswered = answer.outcome == jobs::AdviceOutcome::Answered;
    const std::string outcome(isAnswered && isLate ? "late" : toString(answer.outcome));
    m_calls.Add({{"pool", sent.pool}, {"outcome", outcome}}).Increment();
    if (isAnswered)
        m_answerTime.Observe(seconds(time));
    m_log.info("advice.called",
               {{"pool", sent.pool},
                {"step", sent.question.step},
                {"need", std::string(toString(sent.question.need))},
                {"runners", std::to_string(sent.question.runners.size())},
                {"outcome", outcome},
                {"turn", milliseconds(sent.turnWait)},
                {"ms", milliseconds(time)},
                {"own", milliseconds(sent.question.serviceTime)},
                {"before", std::to_string(sent.openBefore)}});
}

} // namespace sequoiapier

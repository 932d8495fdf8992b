#include "node/advicecalls.h"

#include <chrono>
#include <utility>

namespace sequoiapier {

namespace {

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void AdviceCalls::ask(const std::string &pool, const jobs::AdviceQuestion &question,
                      AdviceClient::Callback callback)
{
    const std::size_t before = m_openCount++;
    m_client.ask(question,
                 [this, pool, question, before, sentAt = BootClock::now(),
                  callback = std::move(callback)](const std::optional<jobs::Advice> &advice) {
                     --m_openCount;
                     m_log.info("advice.called",
                                {{"pool", pool},
                                 {"step", question.step},
                                 {"runners", std::to_string(question.runners.size())},
                                 {"outcome", advice ? "answered" : "unanswered"},
                                 {"ms", milliseconds(BootClock::now() - sentAt)},
                                 {"own", milliseconds(question.timeout)},
                                 {"before", std::to_string(before)}});
                     callback(advice);
                 });
}

} // namespace sequoiapier

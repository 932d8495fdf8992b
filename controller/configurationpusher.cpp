#include "controller/configurationpusher.h"

#include <utility>

namespace sequoiapier {

void ConfigurationPusher::push(const CommittedVersion &committed,
                               std::function<void(bool isSettled)> done)
{
    const auto round = std::make_shared<Round>(
        Round{.progress = PushRound(committed.version, committed.maxGateways),
              .message = {.version = committed.version, .document = committed.document},
              .deadline = BootClock::now() + PushTimeout,
              .done = std::move(done)});
    m_rounds.push_back(round);
    round->timer
        = std::make_unique<Timer>(m_daemon.loop(), [this, weak = std::weak_ptr<Round>(round)] {
              if (const std::shared_ptr<Round> due = weak.lock())
                  send(due);
          });
    send(round);
}

void ConfigurationPusher::send(const std::shared_ptr<Round> &round)
{
    const TimePoint now = BootClock::now();
    if (round->progress.isSettled() || now >= round->deadline) {
        finish(round, round->progress.isSettled());
        return;
    }
    m_node.push(round->message, [this, round](const std::string &gateway, std::uint64_t seen) {
        round->progress.onReceived(gateway, seen);
        if (round->progress.isSettled())
            finish(round, true);
    });
    round->timer->startAt(now + RepushInterval);
}

void ConfigurationPusher::finish(const std::shared_ptr<Round> &round, bool isSettled)
{
    if (!round->done)
        return;
    round->timer->cancel();
    m_rounds.remove(round);
    std::exchange(round->done, nullptr)(isSettled);
}

} // namespace sequoiapier

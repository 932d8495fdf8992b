#include "node/silentrunners.h"

#include "platform/jsonfields.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

// Runners answer the first call of a new owner within some hundreds of milliseconds.
constexpr Duration AnswerTime = milliseconds(800);
constexpr Duration MaxRowAge = milliseconds(250);

} // namespace

void SilentRunners::load(const nlohmann::json &fence, std::uint64_t formerEpoch, TimePoint now)
{
    m_formerEpoch = formerEpoch;
    m_silences.clear();
    const auto silent = fence.find("silent");
    if (silent == fence.end() || !silent->is_object())
        return;
    for (const auto &[runner, entry] : silent->items()) {
        const auto epoch
            = entry.is_array() && entry.size() == 2 ? toUint64(entry[0]) : std::nullopt;
        const auto age = epoch ? toUint64(entry[1]) : std::nullopt;
        if (!age || *epoch >= formerEpoch)
            continue;
        const TimePoint told
            = now - milliseconds(std::min<std::uint64_t>(*age, MaxAgeMilliseconds));
        m_silences[runner] = {*epoch, std::min(told, seenAfter(*epoch, now))};
    }
}

void SilentRunners::setInherited(std::set<std::string> runners, TimePoint now)
{
    std::erase_if(m_silences, [&](const auto &item) { return !runners.contains(item.first); });
    m_unanswered = std::move(runners);
    std::erase_if(m_unanswered, [&](const auto &runner) { return m_silences.contains(runner); });
    m_dueAt = now + AnswerTime;
}

TimePoint SilentRunners::since(const std::string &runner, TimePoint now) const
{
    const auto silence = m_silences.find(runner);
    return silence != m_silences.end() ? silence->second.since : seenAfter(m_formerEpoch, now);
}

// Returns when this member first saw an epoch after the given one.
TimePoint SilentRunners::seenAfter(std::uint64_t epoch, TimePoint now) const
{
    const auto next = std::find_if(m_observed.begin(), m_observed.end(),
                                   [&](const ObservedEpoch &seen) { return seen.epoch > epoch; });
    return next != m_observed.end() ? std::min(next->seenAt, now) : now;
}

void SilentRunners::remove(const std::string &runner)
{
    m_unanswered.erase(runner);
    m_silences.erase(runner);
}

bool SilentRunners::isRowDue(TimePoint now) const
{
    const bool hasAnswered = std::any_of(m_stored.begin(), m_stored.end(), [&](const auto &runner) {
        return !m_silences.contains(runner);
    });
    const bool hasMore = now >= m_dueAt && !m_unanswered.empty();
    const bool isOld = now >= m_rowAt + MaxRowAge && !m_silences.empty();
    return hasAnswered || hasMore || isOld;
}

nlohmann::json SilentRunners::takeRow(TimePoint now)
{
    if (now >= m_dueAt) {
        for (const std::string &runner : std::exchange(m_unanswered, {}))
            m_silences[runner] = {m_formerEpoch, seenAfter(m_formerEpoch, now)};
    }
    m_rowAt = now;
    nlohmann::json row = nlohmann::json::object();
    m_sent.clear();
    for (const auto &[runner, silence] : m_silences) {
        if (m_sent.size() == MaxEntries)
            break;
        const auto age = std::chrono::duration_cast<milliseconds>(now - silence.since);
        row[runner] = {silence.epoch, age.count()};
        m_sent.insert(runner);
    }
    return row;
}

} // namespace sequoiapier

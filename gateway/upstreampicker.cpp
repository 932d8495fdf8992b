// LeastOfAll compares all runners: O(n), with n about 10. LeastOfTwo chooses two at random and
// compares all runners only if neither is available: expected O(1).
#include "gateway/upstreampicker.h"

#include <algorithm>

namespace sequoiapier {

namespace {

constexpr unsigned MaxDoublings = 10;

double busyFraction(std::uint32_t outstanding, std::uint32_t slots)
{
    return double(outstanding) / double(std::max(slots, 1U));
}

} // namespace

UpstreamPicker::UpstreamPicker(Options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{ }

void UpstreamPicker::setRunners(std::span<const UpstreamRunner> runners)
{
    for (auto &[name, runner] : m_runners)
        runner.isConfigured = false;
    m_configured.clear();
    for (const UpstreamRunner &limits : runners) {
        Runner &runner = m_runners[limits.name];
        runner.limits = limits;
        if (!runner.isConfigured)
            m_configured.push_back(&runner);
        runner.isConfigured = true;
    }
    std::erase_if(m_runners, [](const auto &entry) {
        return !entry.second.isConfigured && entry.second.outstanding == 0;
    });
}

void UpstreamPicker::setLeaving(std::string_view name, bool isLeaving)
{
    if (Runner *runner = find(name); runner != nullptr)
        runner->isLeaving = isLeaving;
}

UpstreamPicker::Runner *UpstreamPicker::find(std::string_view name)
{
    const auto found = m_runners.find(name);
    return found == m_runners.end() ? nullptr : &found->second;
}

const UpstreamPicker::Runner *UpstreamPicker::find(std::string_view name) const
{
    const auto found = m_runners.find(name);
    return found == m_runners.end() ? nullptr : &found->second;
}

bool UpstreamPicker::isAvailable(const Runner &runner, TimePoint now) const
{
    if (runner.isLeaving || now < runner.refusedUntil || now < runner.ejectedUntil)
        return false;
    if (runner.probationSuccessesLeft > 0)
        return runner.outstanding == 0;
    return runner.outstanding < std::min(runner.limits.slots, runner.limits.connections);
}

UpstreamPicker::Runner *UpstreamPicker::lessBusy(Runner *first, Runner *second, TimePoint now)
{
    if (first == nullptr)
        return second;
    if (first->busyUntil > now || second->busyUntil > now)
        return second->busyUntil < first->busyUntil ? second : first;
    const double firstFraction = busyFraction(first->outstanding, first->limits.slots);
    const double secondFraction = busyFraction(second->outstanding, second->limits.slots);
    return secondFraction < firstFraction ? second : first;
}

UpstreamPicker::Runner *UpstreamPicker::pickRoundRobin(TimePoint now, std::string_view avoid)
{
    for (std::size_t i = 0; i < m_configured.size(); ++i) {
        Runner *runner = m_configured[m_nextRoundRobin++ % m_configured.size()];
        if (isAvailable(*runner, now) && runner->limits.name != avoid)
            return runner;
    }
    return nullptr;
}

UpstreamPicker::Runner *UpstreamPicker::pickLeastOfTwo(TimePoint now, std::string_view avoid)
{
    if (m_configured.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, m_configured.size() - 1);
    Runner *best = nullptr;
    for (int i = 0; i < 2; ++i) {
        Runner *runner = m_configured[draw(m_random)];
        if (isAvailable(*runner, now) && runner->limits.name != avoid)
            best = lessBusy(best, runner, now);
    }
    return best != nullptr ? best : pickLeastOfAll(now, avoid);
}

// Starts at a random runner, so that equally busy runners get equal numbers of requests.
UpstreamPicker::Runner *UpstreamPicker::pickLeastOfAll(TimePoint now, std::string_view avoid)
{
    if (m_configured.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, m_configured.size() - 1);
    const std::size_t from = draw(m_random);
    Runner *best = nullptr;
    for (std::size_t i = 0; i < m_configured.size(); ++i) {
        Runner *runner = m_configured[(from + i) % m_configured.size()];
        if (isAvailable(*runner, now) && runner->limits.name != avoid)
            best = lessBusy(best, runner, now);
    }
    return best;
}

UpstreamPicker::Runner *UpstreamPicker::choose(TimePoint now, std::string_view avoid)
{
    switch (m_options.choice) {
    case Choice::RoundRobin:
        return pickRoundRobin(now, avoid);
    case Choice::LeastOfTwo:
        return pickLeastOfTwo(now, avoid);
    case Choice::LeastOfAll:
        break;
    }
    return pickLeastOfAll(now, avoid);
}

std::optional<std::string_view> UpstreamPicker::pick(TimePoint now, std::string_view avoid)
{
    const Runner *runner = choose(now, avoid);
    if (runner == nullptr && !avoid.empty())
        runner = choose(now, {});
    if (runner == nullptr)
        return std::nullopt;
    return runner->limits.name;
}

void UpstreamPicker::onStarted(std::string_view name)
{
    if (Runner *runner = find(name); runner != nullptr)
        ++runner->outstanding;
}

void UpstreamPicker::onEnded(std::string_view name, UpstreamOutcome outcome, TimePoint now)
{
    const auto found = m_runners.find(name);
    if (found == m_runners.end())
        return;
    Runner &runner = found->second;
    if (runner.outstanding > 0)
        --runner.outstanding;
    if (outcome == UpstreamOutcome::Answered)
        onAnswered(runner, now);
    else if (outcome == UpstreamOutcome::Failed)
        onFailed(runner, now);
    else if (outcome == UpstreamOutcome::RefusedLeaving)
        runner.refusedUntil = now + m_options.refusalBackoff;
    else
        runner.busyUntil = now + m_options.busyBackoff;
    if (!runner.isConfigured && runner.outstanding == 0)
        m_runners.erase(found);
}

void UpstreamPicker::onOverdue(std::string_view name, TimePoint now)
{
    if (Runner *runner = find(name); runner != nullptr)
        onFailed(*runner, now);
}

void UpstreamPicker::onAnswered(Runner &runner, TimePoint now)
{
    runner.busyUntil = {};
    if (now < runner.ejectedUntil)
        return;
    runner.failuresInRow = 0;
    if (runner.probationSuccessesLeft > 0)
        --runner.probationSuccessesLeft;
    if (runner.probationSuccessesLeft == 0)
        runner.ejectionsInRow = 0;
}

// Ejects a runner on probation after its first failure, others after ejectAfter failures in a row.
void UpstreamPicker::onFailed(Runner &runner, TimePoint now)
{
    ++runner.failuresInRow;
    const bool isOnProbation = runner.probationSuccessesLeft > 0;
    const bool isOverThreshold = runner.failuresInRow >= m_options.ejectAfter;
    if (m_options.ejectAfter == 0 || now < runner.ejectedUntil)
        return;
    if ((!isOnProbation && !isOverThreshold) || !mayEject(now))
        return;
    const unsigned doublings = std::min(runner.ejectionsInRow, MaxDoublings);
    runner.ejectedUntil
        = now + std::min(m_options.ejectTime * (1 << doublings), m_options.maxEjectTime);
    runner.probationSuccessesLeft = m_options.probationSuccesses;
    runner.failuresInRow = 0;
    ++runner.ejectionsInRow;
}

// Leaving runners no longer serve, so maxEjectedFraction applies to the remaining runners only.
bool UpstreamPicker::mayEject(TimePoint now) const
{
    std::size_t staying = 0;
    std::size_t ejected = 0;
    for (const Runner *runner : m_configured) {
        if (runner->isLeaving || now < runner->refusedUntil)
            continue;
        ++staying;
        ejected += now < runner->ejectedUntil ? 1 : 0;
    }
    return double(ejected + 1) <= m_options.maxEjectedFraction * double(staying);
}

std::uint32_t UpstreamPicker::outstanding(std::string_view name) const
{
    const Runner *runner = find(name);
    return runner == nullptr ? 0 : runner->outstanding;
}

bool UpstreamPicker::isEjected(std::string_view name, TimePoint now) const
{
    const Runner *runner = find(name);
    return runner != nullptr && now < runner->ejectedUntil;
}

} // namespace sequoiapier

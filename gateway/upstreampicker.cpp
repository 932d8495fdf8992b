// LeastOfAll looks at every runner: O(n), with n about 10. LeastOfTwo draws two at random and looks
// at all only if neither takes work: expected O(1).
#include "gateway/upstreampicker.h"

#include <algorithm>

namespace sequoiapier {

namespace {

constexpr unsigned MaxDoublings = 10;

double busyPart(std::uint32_t outstanding, std::uint32_t slots)
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
        runner.isNamed = false;
    m_named.clear();
    for (const UpstreamRunner &limits : runners) {
        Runner &runner = m_runners[limits.name];
        runner.limits = limits;
        if (!runner.isNamed)
            m_named.push_back(&runner);
        runner.isNamed = true;
    }
    std::erase_if(m_runners, [](const auto &entry) {
        return !entry.second.isNamed && entry.second.outstanding == 0;
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

bool UpstreamPicker::takesWork(const Runner &runner, TimePoint now) const
{
    if (runner.isLeaving || now < runner.refusedUntil || now < runner.ejectedUntil)
        return false;
    if (runner.successesToProve > 0)
        return runner.outstanding == 0;
    return runner.outstanding < std::min(runner.limits.slots, runner.limits.connections);
}

UpstreamPicker::Runner *UpstreamPicker::lessBusy(Runner *first, Runner *second, TimePoint now)
{
    if (first == nullptr)
        return second;
    if (first->busyUntil > now || second->busyUntil > now)
        return second->busyUntil < first->busyUntil ? second : first;
    const double firstPart = busyPart(first->outstanding, first->limits.slots);
    const double secondPart = busyPart(second->outstanding, second->limits.slots);
    return secondPart < firstPart ? second : first;
}

UpstreamPicker::Runner *UpstreamPicker::pickInTurn(TimePoint now, std::string_view avoid)
{
    for (std::size_t i = 0; i < m_named.size(); ++i) {
        Runner *runner = m_named[m_nextInTurn++ % m_named.size()];
        if (takesWork(*runner, now) && runner->limits.name != avoid)
            return runner;
    }
    return nullptr;
}

UpstreamPicker::Runner *UpstreamPicker::pickLeastOfTwo(TimePoint now, std::string_view avoid)
{
    if (m_named.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, m_named.size() - 1);
    Runner *best = nullptr;
    for (int i = 0; i < 2; ++i) {
        Runner *runner = m_named[draw(m_random)];
        if (takesWork(*runner, now) && runner->limits.name != avoid)
            best = lessBusy(best, runner, now);
    }
    return best != nullptr ? best : pickLeastOfAll(now, avoid);
}

// Starts anywhere, so that equally busy runners get equal parts.
UpstreamPicker::Runner *UpstreamPicker::pickLeastOfAll(TimePoint now, std::string_view avoid)
{
    if (m_named.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, m_named.size() - 1);
    const std::size_t from = draw(m_random);
    Runner *best = nullptr;
    for (std::size_t i = 0; i < m_named.size(); ++i) {
        Runner *runner = m_named[(from + i) % m_named.size()];
        if (takesWork(*runner, now) && runner->limits.name != avoid)
            best = lessBusy(best, runner, now);
    }
    return best;
}

UpstreamPicker::Runner *UpstreamPicker::choose(TimePoint now, std::string_view avoid)
{
    switch (m_options.choice) {
    case Choice::RoundRobin:
        return pickInTurn(now, avoid);
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
        runner.refusedUntil = now + m_options.refusalMemory;
    else
        runner.busyUntil = now + m_options.busyMemory;
    if (!runner.isNamed && runner.outstanding == 0)
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
    if (runner.successesToProve > 0)
        --runner.successesToProve;
    if (runner.successesToProve == 0)
        runner.ejectionsInRow = 0;
}

// A runner on probation is ejected by its first failure.
void UpstreamPicker::onFailed(Runner &runner, TimePoint now)
{
    ++runner.failuresInRow;
    const bool isProbationer = runner.successesToProve > 0;
    const bool isOverThreshold = runner.failuresInRow >= m_options.ejectAfter;
    if (m_options.ejectAfter == 0 || now < runner.ejectedUntil)
        return;
    if ((!isProbationer && !isOverThreshold) || !mayEject(now))
        return;
    const unsigned doublings = std::min(runner.ejectionsInRow, MaxDoublings);
    runner.ejectedUntil
        = now + std::min(m_options.ejectTime * (1 << doublings), m_options.maxEjectTime);
    runner.successesToProve = m_options.probationSuccesses;
    runner.failuresInRow = 0;
    ++runner.ejectionsInRow;
}

// Leaving runners are gone from the service, so the part is of the others.
bool UpstreamPicker::mayEject(TimePoint now) const
{
    std::size_t staying = 0;
    std::size_t ejected = 0;
    for (const Runner *runner : m_named) {
        if (runner->isLeaving || now < runner->refusedUntil)
            continue;
        ++staying;
        ejected += now < runner->ejectedUntil ? 1 : 0;
    }
    return double(ejected + 1) <= m_options.maxEjectedPart * double(staying);
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

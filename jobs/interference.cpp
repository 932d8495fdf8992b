#include "jobs/interference.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace sequoiapier::jobs {

namespace {

using nlohmann::json;

constexpr int RowFormat = 1;
constexpr double MinPresence = 0.05; // Less is taken for absence.
// Ratios beyond this are cut off, so that a single stalled task doesn't decide.
constexpr double MaxRatio = 20;
constexpr double MinSlotSamples = 2; // A runner with fewer samples doesn't count.
// Part of the samples needed for trust at which a pair is forgotten. Once it is kept apart there
// are no new samples, and it must not be tried again at once.
constexpr double ForgetFactor = 0.5;
constexpr double StandardErrors = 2; // By how many of them an excess must exceed zero.
constexpr double ClockRateMargin = 0.03; // Covers runner clocks that are up to 2 % slow.
constexpr std::size_t MaxEndedRuns = 32;
constexpr std::size_t MaxMixes = 16; // A runner reports five times a second at most.
constexpr double MaxLoadedExcess = 20;
constexpr double MaxLoadedSamples = 64; // All runners of a pair together reach this.
constexpr double MinCount = 0.01; // Less has been forgotten.

std::uint64_t hashOf(std::string_view text)
{
    return std::max<std::uint64_t>(std::hash<std::string_view>{}(text), 1);
}

double overlap(TimePoint begin, TimePoint end, TimePoint otherBegin, TimePoint otherEnd)
{
    const Duration both = std::min(end, otherEnd) - std::max(begin, otherBegin);
    return end > begin ? std::max(0.0, double(both.count()) / double((end - begin).count())) : 0;
}

Error malformed()
{
    return {ResultCode::RowMalformed, "malformed pairs of images"};
}

} // namespace

double Interference::decay(TimePoint from, TimePoint to) const
{
    const double halves = double((to - from).count()) / double(m_options.halfLife.count());
    return std::exp2(-std::max(0.0, halves));
}

void Interference::decayTo(Image &image, TimePoint now) const
{
    const double factor = decay(image.countedAt, now);
    image.all.count *= factor;
    image.all.ratios *= factor;
    image.countedAt = now;
}

void Interference::decayTo(Pair &pair, TimePoint now) const
{
    const double factor = decay(pair.countedAt, now);
    for (Slot &slot : pair.slots) {
        for (double *sum : {&slot.samples, &slot.presence, &slot.count, &slot.weighted,
                            &slot.ratios, &slot.squares}) {
            *sum *= factor;
        }
    }
    pair.with.count *= factor;
    pair.with.ratios *= factor;
    pair.loadedSamples *= factor;
    pair.countedAt = now;
}

// The report's age is reckoned from the fastest report of the same incarnation: a long poll may be
// answered long after it was sent, with fresh values.
void Interference::beginReport(std::string_view id, const ReportMark &mark, TimePoint now)
{
    auto found = m_runners.find(id);
    if (found == m_runners.end()) {
        if (m_runners.size() >= m_options.maxRunners)
            return;
        found = m_runners.emplace(id, RunnerState()).first;
    }
    RunnerState &state = found->second;
    const std::int64_t offset = now.time_since_epoch().count() - mark.clock * 1'000;
    const Duration gap = now - state.reportedAt;
    const bool isFirst = state.reportedAt == TimePoint{} || state.bornAt != mark.bornAt;
    const auto drifted = state.offset
        + std::int64_t(ClockRateMargin * double(std::max<std::int64_t>(gap.count(), 0)));
    state.offset = isFirst ? offset : std::min(offset, drifted);
    state.bornAt = mark.bornAt;
    state.reportedAt = now;
    state.isUsable = !mark.isExcluded && Duration(offset - state.offset) <= m_options.maxAge;
    state.areEndsUsable = state.isUsable && !isFirst && gap <= m_options.maxReportGap;
    if (isFirst || gap > m_options.maxReportGap)
        state.ended.clear();
    // What an excluded report tells of the paces may be wrong, and must not be in the window of a
    // later one.
    if (isFirst || gap > m_options.maxReportGap || !state.isUsable) {
        state.watchedSince = now;
        state.mixes.clear();
    }
}

void Interference::observe(std::string_view id, std::span<const RunSample> runs, TimePoint now)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end())
        return;
    RunnerState &state = found->second;
    const Presence all = presenceInTailWindow(state, runs, now);
    if (!state.isUsable || now < state.watchedSince + m_options.tailWindow)
        return;
    for (const RunSample &run : runs) {
        if (run.ratio <= 0 || !isTracked(run.image))
            continue;
        Presence beside = all;
        beside[run.image] -= run.percent / 100.0; // Other tasks of the same image stay.
        add(id, run.image, run.ratio, beside, now);
    }
}

// Records what is on the runner now, and returns the greatest presence of each image in the window.
Interference::Presence Interference::presenceInTailWindow(RunnerState &state,
                                                          std::span<const RunSample> runs,
                                                          TimePoint now) const
{
    Mix mix{.since = now};
    for (const RunSample &run : runs) {
        if (isTracked(run.image))
            mix.presence.try_emplace(std::string(run.image)).first->second += run.percent / 100.0;
    }
    if (state.mixes.empty() || state.mixes.back().presence != mix.presence)
        state.mixes.push_back(std::move(mix));
    // A mix lasts until the next one.
    while (state.mixes.size() > MaxMixes
           || (state.mixes.size() > 1 && state.mixes[1].since <= now - m_options.tailWindow)) {
        state.mixes.erase(state.mixes.begin());
    }
    Presence greatest;
    for (const Mix &recent : state.mixes) {
        for (const auto &[image, presence] : recent.presence)
            greatest[image] = std::max(greatest[image], presence);
    }
    return greatest;
}

// Counts each other image by the part of the run during which it was on the runner.
void Interference::observeEnd(std::string_view id, const RunSample &ended, double ratio,
                              std::span<const RunSample> beside, TimePoint now)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end() || !isTracked(ended.image) || ended.startedAt == TimePoint{})
        return;
    RunnerState &state = found->second;
    if (state.areEndsUsable && ratio > 0) {
        Presence presence;
        for (const RunSample &run : beside) {
            if (isTracked(run.image) && run.startedAt != TimePoint{}) {
                presence[run.image]
                    += run.percent / 100.0 * overlap(ended.startedAt, now, run.startedAt, now);
            }
        }
        for (const EndedRun &run : state.ended)
            presence[run.image] += overlap(ended.startedAt, now, run.startedAt, run.endedAt);
        add(id, ended.image, ratio, presence, now);
    }
    if (state.ended.size() >= MaxEndedRuns)
        state.ended.erase(state.ended.begin());
    state.ended.push_back({std::string(ended.image), ended.startedAt, now});
}

void Interference::forgetRunner(std::string_view runner)
{
    const auto found = m_runners.find(runner);
    if (found != m_runners.end())
        m_runners.erase(found);
}

bool Interference::isStronger(const Pair &a, std::string_view imageA, const Pair &b,
                              std::string_view imageB)
{
    return std::tie(a.excess, imageA) > std::tie(b.excess, imageB);
}

void Interference::add(std::string_view runner, std::string_view slowed, double ratio,
                       const Presence &presence, TimePoint now)
{
    auto found = m_images.find(slowed);
    if (found == m_images.end()) {
        if (m_images.size() >= m_options.maxPairs)
            return;
        found = m_images.emplace(slowed, Image{.countedAt = now}).first;
    }
    Image &image = found->second;
    ratio = std::min(ratio, MaxRatio);
    struct Beside
    {
        std::string_view name;
        double presence = 0;
        Pair *pair = nullptr;
    };
    std::vector<Beside> beside;
    double all = 0; // Excess due to all interfering pairs.
    for (const auto &[name, amount] : presence) {
        if (amount < MinPresence)
            continue;
        Pair *pair = findOrAdd(image, name, now);
        if (pair == nullptr)
            continue;
        beside.push_back({name, std::min(amount, 1.0), pair});
        all += pair->isInterfering ? pair->excess * beside.back().presence : 0;
    }
    decayTo(image, now);
    ++image.all.count;
    const double rest = std::max(ratio - all, 0.0);
    image.all.ratios += rest;
    for (const Beside &own : beside) {
        double others = 0;
        for (const Beside &other : beside) {
            if (other.pair != own.pair && other.pair->isInterfering
                && isStronger(*other.pair, other.name, *own.pair, own.name)) {
                others += other.pair->excess * other.presence;
            }
        }
        decayTo(*own.pair, now);
        ++own.pair->with.count;
        own.pair->with.ratios += rest;
        addTo(*own.pair, runner, own.presence, std::max(ratio - others, 0.0));
    }
}

Interference::Pair *Interference::findOrAdd(Image &image, std::string_view beside, TimePoint now)
{
    const auto found = image.beside.find(beside);
    if (found != image.beside.end())
        return &found->second;
    if (m_pairs >= m_options.maxPairs)
        return nullptr; // update() makes room.
    ++m_pairs;
    return &image.beside.emplace(beside, Pair{.slots = {}, .countedAt = now}).first->second;
}

void Interference::addTo(Pair &pair, std::string_view runner, double presence, double ratio)
{
    const std::uint64_t hash = hashOf(runner);
    Slot *slot = &pair.slots.front();
    for (Slot &next : pair.slots) {
        if (next.runner == hash) {
            slot = &next;
            break;
        }
        if (next.samples < slot->samples)
            slot = &next;
    }
    if (slot->runner != hash)
        *slot = {.runner = hash};
    slot->samples += presence * presence;
    slot->presence += presence;
    ++slot->count;
    slot->weighted += presence * ratio;
    slot->ratios += ratio;
    slot->squares += ratio * ratio;
    if (slot->samples > MaxSlotSamples) {
        const double factor = MaxSlotSamples / slot->samples;
        for (double *sum : {&slot->samples, &slot->presence, &slot->count, &slot->weighted,
                            &slot->ratios, &slot->squares}) {
            *sum *= factor;
        }
    }
}

double Interference::sampleCount(const Pair &pair)
{
    double samples = 0;
    for (const Slot &slot : pair.slots)
        samples += slot.samples;
    return samples;
}

// Compares the samples with the other image, without the runner on which the pair looks worst, to
// those without it.
void Interference::evaluate(const Image &image, Pair &pair) const
{
    const double without = image.all.count - pair.with.count;
    const double base = without > 0 ? (image.all.ratios - pair.with.ratios) / without : 0;
    // Part of the usual numbers of samples that is needed.
    const double needed = pair.isInterfering && pair.loadedSamples == 0 ? ForgetFactor : 1;
    std::vector<std::pair<double, const Slot *>> runners;
    for (const Slot &slot : pair.slots) {
        if (slot.samples >= needed * MinSlotSamples && base > 0) {
            const double excess = (slot.weighted - base * slot.presence) / slot.samples;
            runners.emplace_back(excess, &slot);
        }
    }
    pair.isTrusted = runners.size() >= m_options.minRunners
        && sampleCount(pair) >= needed * m_options.minSamples
        && without >= needed * m_options.minSamples;
    if (!pair.isTrusted) {
        const bool isLoaded = pair.loadedSamples >= ForgetFactor * m_options.minSamples;
        pair.excess = isLoaded ? pair.loadedExcess : 0;
        pair.isInterfering = isLoaded && pair.excess >= m_options.minExcess;
        return;
    }
    pair.loadedSamples = 0;
    std::sort(runners.begin(), runners.end());
    double excess = 0;
    double samples = 0;
    double variance = 0;
    for (std::size_t i = 0; i + 1 < runners.size(); ++i) {
        const Slot &slot = *runners[i].second;
        const double mean = slot.ratios / slot.count;
        excess += runners[i].first * slot.samples;
        variance += std::max(0.0, slot.squares / slot.count - mean * mean) * slot.samples;
        samples += slot.samples;
    }
    const double error = std::sqrt(variance / samples * (1 / samples + 1 / without));
    pair.excess = std::max(0.0, excess / samples);
    pair.isInterfering
        = pair.excess >= m_options.minExcess && pair.excess >= StandardErrors * error;
}

// Returns when the samples will have decayed below the minimum if there are no new ones.
TimePoint Interference::trustedUntil(const Pair &pair) const
{
    const double samples = std::max(sampleCount(pair), pair.loadedSamples);
    const double halves = std::log2(std::max(samples / (ForgetFactor * m_options.minSamples), 1.0));
    return pair.countedAt + Duration(std::int64_t(halves * double(m_options.halfLife.count())));
}

void Interference::addEffect(const std::string &image, const std::string &other, const Pair &pair)
{
    Effect &effect = m_effects[image][other];
    effect.excess += pair.excess;
    effect.until = std::max(effect.until, trustedUntil(pair));
}

// Drops a pair that is known to be harmless, or else the one with the fewest samples, or else the
// one with the least excess.
void Interference::dropWeakest(TimePoint now)
{
    using Key = std::tuple<int, double>;
    Image *owner = nullptr;
    std::string_view weakest;
    Key least;
    for (auto &[name, image] : m_images) {
        for (auto &[beside, pair] : image.beside) {
            const int kind = pair.isInterfering ? 2 : pair.isTrusted ? 0 : 1;
            const Key key(kind,
                          kind == 1 ? sampleCount(pair) * decay(pair.countedAt, now) : pair.excess);
            if (owner == nullptr || key < least) {
                owner = &image;
                weakest = beside;
                least = key;
            }
        }
    }
    if (owner == nullptr)
        return;
    owner->beside.erase(owner->beside.find(weakest));
    --m_pairs;
}

// Evaluates the image's pairs. If several are found to interfere at once, their samples may
// overlap, so that only the strongest is learned. All others that don't interfere are judged by
// samples from now on, of which its effect is removed.
void Interference::evaluate(Image &image) const
{
    const auto isLearned = [](const Pair &pair, bool wasInterfering) {
        return pair.isInterfering && !wasInterfering && pair.isTrusted;
    };
    Pair *strongest = nullptr;
    std::vector<std::pair<Pair *, std::string_view>> others;
    std::string_view strongestName;
    for (auto &[beside, pair] : image.beside) {
        const bool wasInterfering = pair.isInterfering;
        evaluate(image, pair);
        // A pair that is tried again is judged by new samples only.
        if (wasInterfering && !pair.isInterfering && !pair.isTrusted)
            pair.slots = {};
        if (wasInterfering)
            continue;
        others.emplace_back(&pair, beside);
        const bool isStrongest
            = strongest == nullptr || isStronger(pair, beside, *strongest, strongestName);
        if (isLearned(pair, wasInterfering) && isStrongest) {
            strongest = &pair;
            strongestName = beside;
        }
    }
    for (const auto &[pair, beside] : others) {
        if (strongest == nullptr || pair == strongest || pair->loadedSamples > 0)
            continue;
        pair->slots = {};
        pair->isInterfering = false;
        pair->isTrusted = false;
        pair->excess = 0;
    }
}

std::vector<Interference::Change> Interference::update(TimePoint now)
{
    std::vector<Change> changes;
    if (now < m_nextUpdate || m_images.empty())
        return changes;
    m_nextUpdate = now + m_options.updateInterval;
    m_effects.clear();
    m_interfering = 0;
    for (auto next = m_images.begin(); next != m_images.end();) {
        const std::string &slowed = next->first;
        Image &image = next->second;
        decayTo(image, now);
        std::map<std::string_view, std::pair<bool, double>> earlier;
        for (auto &[beside, pair] : image.beside) {
            earlier[beside] = {pair.isInterfering, pair.excess};
            decayTo(pair, now);
        }
        evaluate(image);
        for (auto pair = image.beside.begin(); pair != image.beside.end();) {
            const std::string &beside = pair->first;
            Pair &state = pair->second;
            const auto [wasInterfering, before] = earlier[beside];
            if (state.isInterfering != wasInterfering) {
                changes.push_back({.slowed = slowed,
                                   .beside = beside,
                                   .excess = state.isInterfering ? state.excess : before,
                                   .isLearned = state.isInterfering});
            }
            if (state.isInterfering) {
                ++m_interfering;
                addEffect(slowed, beside, state);
                if (slowed != beside)
                    addEffect(beside, slowed, state);
            }
            const bool isForgotten = state.with.count < MinCount && state.loadedSamples < MinCount;
            m_pairs -= isForgotten ? 1 : 0;
            pair = isForgotten ? image.beside.erase(pair) : std::next(pair);
        }
        const bool isForgotten = image.beside.empty() && image.all.count < MinCount;
        next = isForgotten ? m_images.erase(next) : std::next(next);
    }
    // Makes room for pairs that have not been tried yet.
    if (m_pairs >= m_options.maxPairs && now >= m_nextDrop) {
        m_nextDrop = now + m_options.updateInterval;
        dropWeakest(now);
    }
    return changes;
}

double Interference::penalty(std::string_view image,
                             std::span<const std::string_view> imagesOnRunner, TimePoint now) const
{
    const auto effects = m_effects.find(image);
    if (effects == m_effects.end())
        return 0;
    double sum = 0;
    for (std::size_t i = 0; i < imagesOnRunner.size(); ++i) {
        const auto before = imagesOnRunner.first(i);
        if (std::find(before.begin(), before.end(), imagesOnRunner[i]) != before.end())
            continue;
        const auto effect = effects->second.find(imagesOnRunner[i]);
        if (effect != effects->second.end() && now <= effect->second.until)
            sum += effect->second.excess;
    }
    return sum;
}

std::string Interference::encode(TimePoint now) const
{
    struct Entry
    {
        std::string_view slowed;
        std::string_view beside;
        double excess = 0;
        double samples = 0;
    };
    std::vector<Entry> entries;
    for (const auto &[slowed, image] : m_images) {
        for (const auto &[beside, pair] : image.beside) {
            const double samples
                = std::max(sampleCount(pair), pair.loadedSamples) * decay(pair.countedAt, now);
            if (pair.isInterfering && samples >= ForgetFactor * m_options.minSamples)
                entries.push_back({slowed, beside, pair.excess, samples});
        }
    }
    if (entries.empty())
        return {};
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) {
        return std::lround(a.excess * 10) > std::lround(b.excess * 10);
    });
    std::string text = "{\"format\":" + std::to_string(RowFormat) + ",\"pairs\":[";
    for (std::size_t i = 0; i < entries.size() && i < m_options.maxPairs; ++i) {
        const Entry &entry = entries[i];
        const json row
            = json::array({entry.slowed, entry.beside, std::lround(entry.excess * 10),
                           std::int64_t(std::exp2(std::round(std::log2(entry.samples))))});
        const std::string next
            = (i > 0 ? "," : "") + row.dump(-1, ' ', false, json::error_handler_t::replace);
        if (text.size() + next.size() + 2 > m_options.maxEncodedBytes)
            break;
        text += next;
    }
    return text + "]}";
}

Result<void> Interference::parse(std::string_view bytes, TimePoint now)
{
    if (bytes.empty())
        return boost::outcome_v2::success();
    if (bytes.size() > m_options.maxEncodedBytes)
        return malformed();
    const json document = parseJson(bytes);
    struct Entry
    {
        std::string slowed;
        std::string beside;
        double excess = 0;
        double samples = 0;
    };
    std::vector<Entry> entries;
    try {
        if (document.at("format") != RowFormat || !document.at("pairs").is_array()
            || document.at("pairs").size() > m_options.maxPairs) {
            return malformed();
        }
        for (const json &row : document.at("pairs")) {
            const Entry entry{row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                              row.at(2).get<double>() / 10, row.at(3).get<double>()};
            const bool isInRange = isTracked(entry.slowed) && isTracked(entry.beside)
                && entry.excess >= 0 && entry.excess <= MaxLoadedExcess && entry.samples >= 0
                && entry.samples <= MaxLoadedSamples;
            if (row.size() != 4 || !isInRange)
                return malformed();
            entries.push_back(entry);
        }
    } catch (const json::exception &) {
        return malformed();
    }
    for (const Entry &entry : entries) {
        Image &image = m_images.try_emplace(entry.slowed, Image{.countedAt = now}).first->second;
        Pair *pair = findOrAdd(image, entry.beside, now);
        if (pair == nullptr)
            break;
        decayTo(*pair, now);
        pair->loadedExcess = entry.excess;
        pair->loadedSamples = entry.samples;
    }
    m_nextUpdate = {};
    return boost::outcome_v2::success();
}

} // namespace sequoiapier::jobs

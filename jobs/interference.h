// Interference: learns which images slow down the tasks of which other images on the same runner.
//
//   interference.beginReport("i-1", {.clock = report.clock, .bornAt = report.bornAt}, now);
//   interference.observe("i-1", runs, now);          // tails of serving tasks, relative to target
//   interference.observeEnd("i-1", run, ratio, beside, now);  // run time, relative to the queue's
//   for (const Change &change : interference.update(now)) ...  // log what was learned or forgotten
//   score -= interference.penalty(image, imagesOnRunner, now);
//   std::string row = interference.encode(now);      // for the next owner, which calls parse()
//
// Load it answers: pools with up to 85 runners and 100 images, whose tasks run for about a second,
// and whose serving tasks share runners with filling tasks. Some images double the tail or the run
// time of others, and which do changes within minutes.
//
// For each pair, the samples of the slowed image with the other image beside it are compared with
// its samples without it; the difference is the pair's excess. A sample counts by the presence of
// the other image: a filling task that is paced to a tenth is expected to do a tenth of its harm,
// so that pacing doesn't make a pair look harmless. The effect of stronger pairs is removed from a
// sample first, so that a harmless image that is often beside a harmful one isn't blamed for it.
// The runner on which a pair looks worst is left out of its estimate: a single slow runner is no
// evidence against a pair.
//
// Cost: a report is O(r log n) in runs on the runner and pairs; an update, made every 100 ms at
// most, is O(pairs); a penalty is O(r log n). Memory: maxPairs pairs with 8 runners each, and the
// state of maxRunners runners.
#pragma once

#include "sequoiapier/bootclock.h"
#include "sequoiapier/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier::jobs {

class Interference
{
public:
    struct Options
    {
        double minSamples = 8; // Samples that a pair needs in order to be trusted.
        std::size_t minRunners = 2; // A single runner may be slow by itself.
        // Smaller excesses cost a job less than its objective leaves (a stretch of 1.6).
        double minExcess = 0.2;
        Duration halfLife = std::chrono::seconds(30);
        Duration maxAge = std::chrono::seconds(1); // Older reports are ignored.
        // A tail covers the last half second, and an image that was there for a part of it shows in
        // full. The greatest presence in that time counts.
        Duration tailWindow = std::chrono::milliseconds(500);
        // Busy runners report once a second. After a longer gap the ends may be old.
        Duration maxReportGap = std::chrono::milliseconds(1'500);
        Duration updateInterval = std::chrono::milliseconds(100);
        std::size_t maxPairs = 256;
        std::size_t maxRunners = 1'024;
        std::size_t maxImageBytes = 200; // Images with longer names are not tracked.
        std::size_t maxEncodedBytes = 16'384;
    };

    struct ReportMark
    {
        std::int64_t clock = 0; // Milliseconds on the runner's own clock.
        std::int64_t bornAt = 0;
        bool isExcluded = false; // The runner is cold or quarantined.
    };

    // A run on the runner.
    struct RunSample
    {
        std::string_view image;
        std::uint32_t percent = 100; // Pace of a filling task.
        TimePoint startedAt{};
        // Tail of a serving task relative to its target; 0 if there is none to learn from.
        double ratio = 0;
    };

    struct Change
    {
        std::string slowed;
        std::string beside;
        double excess = 0; // Of the tail in targets, or of the run time in usual run times.
        bool isLearned = false; // False if the pair was forgotten.
    };

    explicit Interference(Options options)
        : m_options(options)
    { }

    // Must be called before the samples of a report are passed; it tells whether they count.
    void beginReport(std::string_view runner, const ReportMark &mark, TimePoint now);
    // `runs` are all runs on the runner that have an image.
    void observe(std::string_view runner, std::span<const RunSample> runs, TimePoint now);
    // Called when `ended` has ended successfully. `ratio` is its run time relative to the usual
    // one, 0 if it is not to be learned from; `beside` are the other runs on the runner.
    void observeEnd(std::string_view runner, const RunSample &ended, double ratio,
                    std::span<const RunSample> beside, TimePoint now);
    void forgetRunner(std::string_view runner);

    // Evaluates the pairs, at most once per updateInterval. Returns those that are newly trusted to
    // interfere or are so no more.
    std::vector<Change> update(TimePoint now);
    // Returns whether the image slows down another one or is slowed down, as of the last update.
    bool hasEffect(std::string_view image) const { return m_effects.contains(image); }
    // Returns by how much the runs on the runner and a task of the image would slow each other
    // down, as a sum of excesses: 1 is a tail that is longer by its target, or twice the run time.
    double penalty(std::string_view image, std::span<const std::string_view> imagesOnRunner,
                   TimePoint now) const;
    // Number of pairs trusted to interfere, as of the last update.
    std::size_t interferingCount() const { return m_interfering; }
    std::size_t pairCount() const { return m_pairs; }

    // Encodes the pairs that interfere, the strongest first; empty if there are none. The counts
    // are powers of two, so that the result changes rarely.
    std::string encode(TimePoint now) const;
    // Adds what an earlier owner has encoded. Returns RowMalformed and adds nothing if `bytes` were
    // not written by encode().
    Result<void> parse(std::string_view bytes, TimePoint now);

private:
    static constexpr std::size_t MaxSlots = 8; // Runners for each pair.
    // A runner counts for at most as many samples, so that none outweighs the others and a pair
    // that is kept apart is tried again after about a minute.
    static constexpr double MaxSlotSamples = 8;

    // Sums over the samples of a pair on one runner. The presence of the other image is the weight
    // w; the ratio is r.
    struct Slot
    {
        std::uint64_t runner = 0; // Hash of the identifier; 0 if unused.
        double samples = 0; // Sum of w^2.
        double presence = 0; // Sum of w.
        double count = 0;
        double weighted = 0; // Sum of w r.
        double ratios = 0; // Sum of r.
        double squares = 0; // Sum of r^2.
    };

    struct Sums
    {
        double count = 0;
        double ratios = 0; // Sum of r without the effects of all pairs that interfere.
    };

    struct Pair
    {
        std::array<Slot, MaxSlots> slots;
        Sums with; // Share of the image's own sums that has the other image beside it.
        TimePoint countedAt{};
        // What an earlier owner has learned, until this one has learned itself.
        double loadedExcess = 0;
        double loadedSamples = 0;
        // As of the last update.
        double excess = 0;
        bool isInterfering = false;
        bool isTrusted = false;
    };

    struct Image
    {
        Sums all;
        TimePoint countedAt{};
        std::map<std::string, Pair, std::less<>> beside;
    };

    struct EndedRun
    {
        std::string image;
        TimePoint startedAt{};
        TimePoint endedAt{};
    };

    // Images on a runner with their presence, from the given time until the next mix.
    struct Mix
    {
        TimePoint since{};
        std::map<std::string, double, std::less<>> presence;
    };

    struct RunnerState
    {
        std::int64_t bornAt = 0;
        // Least difference seen between this clock and the runner's, in microseconds.
        std::int64_t offset = 0;
        TimePoint reportedAt{};
        bool isUsable = false; // The samples of the current report count.
        bool areEndsUsable = false;
        TimePoint watchedSince{}; // Reports have followed each other without a gap since.
        std::vector<Mix> mixes; // Latest mixes, the newest last.
        std::vector<EndedRun> ended; // Latest ended runs.
    };

    struct Effect
    {
        double excess = 0; // Of both directions together.
        TimePoint until{}; // The pair is not trusted any longer then.
    };

    using Presence = std::map<std::string_view, double>; // By image; 1 for each run at full pace.

    Presence presenceInTailWindow(RunnerState &state, std::span<const RunSample> runs,
                                  TimePoint now) const;
    double decay(TimePoint from, TimePoint to) const;
    void decayTo(Image &image, TimePoint now) const;
    void decayTo(Pair &pair, TimePoint now) const;
    void add(std::string_view runner, std::string_view slowed, double ratio,
             const Presence &presence, TimePoint now);
    Pair *findOrAdd(Image &image, std::string_view beside, TimePoint now);
    void dropWeakest(TimePoint now);
    static bool isStronger(const Pair &a, std::string_view imageA, const Pair &b,
                           std::string_view imageB);
    static void addTo(Pair &pair, std::string_view runner, double presence, double ratio);
    void evaluate(Image &image) const;
    void evaluate(const Image &image, Pair &pair) const;
    TimePoint trustedUntil(const Pair &pair) const;
    void addEffect(const std::string &image, const std::string &other, const Pair &pair);
    static double sampleCount(const Pair &pair);
    bool isTracked(std::string_view image) const
    {
        return !image.empty() && image.size() <= m_options.maxImageBytes;
    }

    Options m_options;
    std::map<std::string, Image, std::less<>> m_images;
    std::map<std::string, RunnerState, std::less<>> m_runners;
    std::map<std::string, std::map<std::string, Effect, std::less<>>, std::less<>> m_effects;
    std::size_t m_pairs = 0;
    std::size_t m_interfering = 0;
    TimePoint m_nextUpdate{};
    TimePoint m_nextDrop{};
};

} // namespace sequoiapier::jobs

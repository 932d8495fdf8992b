// UpstreamPicker: chooses the runner for the next request of one service on one gateway.
//
//   UpstreamPicker picker({}, seed);
//   picker.setRunners(runners, now);
//   if (const auto runner = picker.pick(now)) {
//       picker.onStarted(*runner);
//       ...
//       picker.onEnded(*runner, UpstreamOutcome::Answered, now);
//   }
//
// A pick takes the least busy runner among those that take work and have a free slot, or with
// LeastOfTwo the less busy of two drawn at random. A runner gets nothing new while it is leaving
// (the live list or its own refusals say so) or ejected (it failed ejectAfter times in a row). No
// more than maxEjectedPart of the runners is ejected at once. After its time an ejected runner is
// on probation: one request at a time until probationSuccesses of them are answered. Memory: about
// 200 bytes a runner.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

// How an attempt on a runner ended.
enum class UpstreamOutcome : std::uint8_t {
    Answered, // a whole answer, also one that reports a fault of the request
    Failed, // no connection, connection lost, partial answer, server error or timeout
    RefusedLeaving, // "not run": the runner is leaving
    RefusedBusy, // "not run": the runner has no free slot; says nothing about its health
    Unjudged, // nothing that tells of the runner's health: not sent, or counted by onOverdue()
};

struct UpstreamRunner
{
    std::string name; // unique; the endpoint
    std::uint32_t slots = 8; // that this gateway may fill
    std::uint32_t connections = 64; // that this gateway may open
};

class UpstreamPicker
{
public:
    enum class Choice : std::uint8_t { RoundRobin, LeastOfTwo, LeastOfAll };

    struct Options
    {
        Choice choice = Choice::LeastOfAll;
        unsigned ejectAfter = 3; // failures in a row; 0: never
        double maxEjectedPart = 0.3;
        Duration ejectTime = std::chrono::seconds(5); // doubled for each ejection in a row
        Duration maxEjectTime = std::chrono::minutes(1);
        unsigned probationSuccesses = 3;
        Duration refusalMemory = std::chrono::seconds(10);
        // A runner that said that it has no free slot comes last for so long, or until a run ends.
        Duration busyMemory = std::chrono::milliseconds(50);
    };

    UpstreamPicker(Options options, std::uint64_t seed);

    // The runners of the service. One no longer named gets nothing new and is forgotten when its
    // last request has ended. O(n log n).
    void setRunners(std::span<const UpstreamRunner> runners);
    // What the live list says. It lags, so a runner's own refusals count as well.
    void setLeaving(std::string_view name, bool isLeaving);

    // nullopt if no runner takes one more. `avoid` (the runner of the failed attempt) is picked
    // only if there is no other. The view is valid until setRunners() or onEnded(). Expected O(1),
    // O(n) when most runners are busy.
    std::optional<std::string_view> pick(TimePoint now, std::string_view avoid = {});
    void onStarted(std::string_view name);
    void onEnded(std::string_view name, UpstreamOutcome outcome, TimePoint now);
    // A request that still runs there was not answered in time: counts as a failure. Report its end
    // as UpstreamOutcome::Unjudged unless it is answered.
    void onOverdue(std::string_view name, TimePoint now);

    std::uint32_t outstanding(std::string_view name) const;
    bool isEjected(std::string_view name, TimePoint now) const;
    std::size_t size() const { return m_runners.size(); }

private:
    struct Runner
    {
        UpstreamRunner limits;
        std::uint32_t outstanding = 0;
        bool isNamed = false; // by the last setRunners()
        bool isLeaving = false; // by the live list
        TimePoint refusedUntil; // by its own refusals
        TimePoint ejectedUntil;
        TimePoint busyUntil; // by its own refusals
        unsigned failuresInRow = 0;
        unsigned ejectionsInRow = 0;
        unsigned successesToProve = 0; // > 0: on probation
    };

    bool takesWork(const Runner &runner, TimePoint now) const;
    Runner *pickInTurn(TimePoint now, std::string_view avoid);
    Runner *pickLeastOfTwo(TimePoint now, std::string_view avoid);
    Runner *pickLeastOfAll(TimePoint now, std::string_view avoid);
    static Runner *lessBusy(Runner *first, Runner *second, TimePoint now);
    Runner *choose(TimePoint now, std::string_view avoid);
    Runner *find(std::string_view name);
    const Runner *find(std::string_view name) const;
    void onAnswered(Runner &runner, TimePoint now);
    void onFailed(Runner &runner, TimePoint now);
    bool mayEject(TimePoint now) const;

    Options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Runner, std::less<>> m_runners;
    std::vector<Runner *> m_named;
    std::size_t m_nextInTurn = 0;
};

} // namespace sequoiapier

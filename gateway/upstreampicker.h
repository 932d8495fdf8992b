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
// pick() returns the least busy of the available runners with a free slot, or with LeastOfTwo the
// less busy of two chosen at random. A runner gets no new requests while it is leaving (according
// to the live list or its own refusals) or ejected (it failed ejectAfter times in a row). At most
// maxEjectedFraction of the runners is ejected at once. After its ejection a runner is on
// probation: it gets one request at a time until probationSuccesses of them are answered. Memory:
// about 200 bytes per runner.
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
    Answered, // a complete answer, also one that reports an error in the request
    Failed, // no connection, lost connection, partial answer, server error or timeout
    RefusedLeaving, // the runner answered "not run" because it is leaving
    RefusedBusy, // the runner answered "not run" for lack of a free slot; no sign of bad health
    Inconclusive, // no sign of the runner's health: not sent, or already counted by onOverdue()
};

struct UpstreamRunner
{
    std::string name; // the endpoint, unique
    std::uint32_t slots = 8; // number of slots that this gateway may fill
    std::uint32_t connections = 64; // number of connections that this gateway may open
};

class UpstreamPicker
{
public:
    enum class Choice : std::uint8_t { RoundRobin, LeastOfTwo, LeastOfAll };

    struct Options
    {
        Choice choice = Choice::LeastOfAll;
        unsigned ejectAfter = 3; // failures in a row; 0 disables ejection
        double maxEjectedFraction = 0.3;
        Duration ejectTime
            = std::chrono::seconds(5); // first ejection; doubled for each further one in a row
        Duration maxEjectTime = std::chrono::minutes(1);
        unsigned probationSuccesses = 3;
        // Time for which a runner gets no new requests after a refusal because it is leaving.
        Duration refusalBackoff = std::chrono::seconds(10);
        // A runner that refused a request for lack of a free slot is picked last for this time, or
        // until a request on it is answered.
        Duration busyBackoff = std::chrono::milliseconds(50);
    };

    UpstreamPicker(Options options, std::uint64_t seed);

    // Sets the runners of the service. A runner that is not among them gets no new requests and is
    // removed when its last request has ended. O(n log n).
    void setRunners(std::span<const UpstreamRunner> runners);
    // Sets whether the live list reports the runner as leaving. The list lags, so a runner's own
    // refusals count as well.
    void setLeaving(std::string_view name, bool isLeaving);

    // Returns nullopt if no runner is available. `avoid` (the runner of the failed attempt) is
    // picked only if there is no other. The view is valid until setRunners() or onEnded(). O(n);
    // with LeastOfTwo expected O(1), and O(n) when most runners are busy.
    std::optional<std::string_view> pick(TimePoint now, std::string_view avoid = {});
    void onStarted(std::string_view name);
    void onEnded(std::string_view name, UpstreamOutcome outcome, TimePoint now);
    // Counts a failure because a request that still runs there was not answered in time. Report the
    // end of that request as UpstreamOutcome::Inconclusive unless it is answered.
    void onOverdue(std::string_view name, TimePoint now);

    std::uint32_t outstanding(std::string_view name) const;
    bool isEjected(std::string_view name, TimePoint now) const;
    std::size_t size() const { return m_runners.size(); }

private:
    struct Runner
    {
        UpstreamRunner limits;
        std::uint32_t outstanding = 0;
        bool isConfigured = false; // whether the last setRunners() had this runner
        bool isLeaving = false; // according to the live list
        TimePoint refusedUntil; // set by its refusals because it is leaving
        TimePoint ejectedUntil;
        TimePoint busyUntil; // set by its refusals for lack of a free slot
        unsigned failuresInRow = 0;
        unsigned ejectionsInRow = 0;
        unsigned probationSuccessesLeft = 0; // greater than 0 while on probation
    };

    bool isAvailable(const Runner &runner, TimePoint now) const;
    Runner *pickRoundRobin(TimePoint now, std::string_view avoid);
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
    std::vector<Runner *> m_configured;
    std::size_t m_nextRoundRobin = 0;
};

} // namespace sequoiapier

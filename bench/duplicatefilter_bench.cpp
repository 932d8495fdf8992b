// Measures how callers' repeated requests are handled while gateways restart, with records in one
// gateway's memory, at one home gateway or at two, and the cost of a check.
#include "bench/support/report.h"
#include "gateway/duplicatehomes.h"
#include "testing/support/virtualtime.h"

#include <array>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::size_t GatewayCount = 8;
constexpr std::uint64_t RequestCount = 100'000;
constexpr Duration RequestGap = 2ms;
constexpr Duration RepeatDelay = 1s;
constexpr Duration RestartGap = 5s; // gateways restart one at a time
constexpr Duration ZoneGap = 60s; // three gateways restart at once

enum class Variant { OwnMemory, OneHome, TwoHomes };

struct Outcome
{
    std::uint64_t newOnes = 0;
    std::uint64_t seen = 0;
    std::uint64_t unknown = 0;

    void count(DuplicateVerdict verdict)
    {
        newOnes += verdict == DuplicateVerdict::New ? 1 : 0;
        seen += verdict == DuplicateVerdict::Seen ? 1 : 0;
        unknown += verdict == DuplicateVerdict::Unknown ? 1 : 0;
    }
};

class RecordRun
{
public:
    RecordRun(Variant variant, bool tellsAge)
        : m_variant(variant)
        , m_tellsAge(tellsAge)
        , m_now(TimePoint(1h))
        , m_filters(GatewayCount, DuplicateFilter({}, m_now))
    {
        for (std::uint64_t i = 0; i < RequestCount; ++i)
            step(i);
    }

    Outcome first;
    Outcome repeats;

private:
    void step(std::uint64_t i)
    {
        m_now += RequestGap;
        const std::uint64_t steps = std::uint64_t(RestartGap / RequestGap);
        const std::uint64_t zoneSteps = std::uint64_t(ZoneGap / RequestGap);
        if (i % steps == steps - 1)
            restart(i / steps % GatewayCount);
        for (std::size_t j = 0; i % zoneSteps == zoneSteps - 1 && j < 3; ++j)
            restart((i / zoneSteps + j) % GatewayCount);
        first.count(check(i, m_now));
        const std::uint64_t delay = std::uint64_t(RepeatDelay / RequestGap);
        if (i >= delay)
            repeats.count(check(i - delay, m_tellsAge ? m_now - RepeatDelay : m_now));
    }

    void restart(std::size_t index) { m_filters[index] = DuplicateFilter({}, m_now); }

    // The load balancer sends the request to any gateway.
    DuplicateVerdict check(std::uint64_t id, TimePoint firstSent)
    {
        const RequestDigest digest = requestDigest("team", "queue", std::to_string(id));
        if (m_variant == Variant::OwnMemory) {
            std::uniform_int_distribution<std::size_t> any(0, GatewayCount - 1);
            return m_filters[any(m_random)].checkAndRecord(digest, firstSent, m_now);
        }
        const DuplicateHomes homes = duplicateHomes(digest, Names);
        std::vector<DuplicateVerdict> verdicts{ask(homes.first, digest, firstSent)};
        if (m_variant == Variant::TwoHomes)
            verdicts.push_back(ask(homes.second, digest, firstSent));
        return combinedVerdict(verdicts);
    }

    DuplicateVerdict ask(std::string_view home, const RequestDigest &digest, TimePoint firstSent)
    {
        return m_filters[std::size_t(home[1] - '0')].checkAndRecord(digest, firstSent, m_now);
    }

    static constexpr std::array<std::string_view, GatewayCount> Names{"g0", "g1", "g2", "g3",
                                                                      "g4", "g5", "g6", "g7"};
    Variant m_variant;
    bool m_tellsAge;
    TimePoint m_now;
    std::vector<DuplicateFilter> m_filters;
    std::mt19937_64 m_random{20261204};
};

void sweepWays(Report &report)
{
    const std::array<std::pair<std::string, Variant>, 3> variants{
        {{"own memory", Variant::OwnMemory},
         {"one home", Variant::OneHome},
         {"two homes", Variant::TwoHomes}}};
    for (const bool tellsAge : {false, true}) {
        for (const auto &[name, variant] : variants) {
            const RecordRun run(variant, tellsAge);
            report.add(name + (tellsAge ? ", age told" : ", no age told"),
                       {{"repeats_called_new", double(run.repeats.newOnes)},
                        {"repeats_seen", double(run.repeats.seen)},
                        {"repeats_unknown", double(run.repeats.unknown)},
                        {"first_refused", double(run.first.seen + run.first.unknown)}});
        }
    }
}

void measureCost(Report &report)
{
    constexpr std::uint64_t Checks = 1'000'000;
    DuplicateFilter filter({}, TimePoint(1h));
    const auto from = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < Checks; ++i) {
        const TimePoint now = TimePoint(1h) + Duration(i);
        filter.checkAndRecord(requestDigest("team", "queue", std::to_string(i)), now, now);
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - from;
    report.add("check and record, full record of 100000",
               {{"ns", spent.count() / double(Checks)}, {"entries", double(filter.size())}});
}

} // namespace

int main(int argc, char **argv)
{
    Report report("duplicatefilter", argc, argv);
    sweepWays(report);
    measureCost(report);
    return report.finish();
}

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
constexpr Duration RequestInterval = 2ms;
constexpr Duration RepeatDelay = 1s;
constexpr Duration RestartInterval = 5s; // gateways restart one at a time
constexpr Duration ZoneRestartInterval = 60s; // three gateways restart at once

enum class Variant { OwnMemory, OneHome, TwoHomes };

struct VerdictCounts
{
    std::uint64_t newCount = 0;
    std::uint64_t seenCount = 0;
    std::uint64_t unknownCount = 0;

    void record(DuplicateVerdict verdict)
    {
        newCount += verdict == DuplicateVerdict::New ? 1 : 0;
        seenCount += verdict == DuplicateVerdict::Seen ? 1 : 0;
        unknownCount += verdict == DuplicateVerdict::Unknown ? 1 : 0;
    }
};

class RestartRun
{
public:
    RestartRun(Variant variant, bool sendsAge)
        : m_variant(variant)
        , m_sendsAge(sendsAge)
        , m_now(TimePoint(1h))
        , m_filters(GatewayCount, DuplicateFilter({}, m_now))
    {
        for (std::uint64_t i = 0; i < RequestCount; ++i)
            step(i);
    }

    VerdictCounts first;
    VerdictCounts repeats;

private:
    void step(std::uint64_t i)
    {
        m_now += RequestInterval;
        const std::uint64_t restartSteps = std::uint64_t(RestartInterval / RequestInterval);
        const std::uint64_t zoneRestartSteps = std::uint64_t(ZoneRestartInterval / RequestInterval);
        if (i % restartSteps == restartSteps - 1)
            restart(i / restartSteps % GatewayCount);
        for (std::size_t j = 0; i % zoneRestartSteps == zoneRestartSteps - 1 && j < 3; ++j)
            restart((i / zoneRestartSteps + j) % GatewayCount);
        first.record(check(i, m_now));
        const std::uint64_t delay = std::uint64_t(RepeatDelay / RequestInterval);
        if (i >= delay)
            repeats.record(check(i - delay, m_sendsAge ? m_now - RepeatDelay : m_now));
    }

    void restart(std::size_t index) { m_filters[index] = DuplicateFilter({}, m_now); }

    // The load balancer sends the request to any gateway.
    DuplicateVerdict check(std::uint64_t id, TimePoint firstSent)
    {
        const RequestDigest digest = requestDigest("team", "queue", std::to_string(id));
        if (m_variant == Variant::OwnMemory) {
            std::uniform_int_distribution<std::size_t> anyGateway(0, GatewayCount - 1);
            return m_filters[anyGateway(m_random)].checkAndRecord(digest, firstSent, m_now);
        }
        const DuplicateHomes homes = duplicateHomes(digest, Names);
        std::vector<DuplicateVerdict> verdicts{checkAtHome(homes.first, digest, firstSent)};
        if (m_variant == Variant::TwoHomes)
            verdicts.push_back(checkAtHome(homes.second, digest, firstSent));
        return combinedVerdict(verdicts);
    }

    DuplicateVerdict checkAtHome(std::string_view home, const RequestDigest &digest,
                                 TimePoint firstSent)
    {
        return m_filters[std::size_t(home[1] - '0')].checkAndRecord(digest, firstSent, m_now);
    }

    static constexpr std::array<std::string_view, GatewayCount> Names{"g0", "g1", "g2", "g3",
                                                                      "g4", "g5", "g6", "g7"};
    Variant m_variant;
    bool m_sendsAge;
    TimePoint m_now;
    std::vector<DuplicateFilter> m_filters;
    std::mt19937_64 m_random{20261204};
};

void measureVariants(Report &report)
{
    const std::array<std::pair<std::string, Variant>, 3> variants{
        {{"own memory", Variant::OwnMemory},
         {"one home", Variant::OneHome},
         {"two homes", Variant::TwoHomes}}};
    for (const bool sendsAge : {false, true}) {
        for (const auto &[name, variant] : variants) {
            const RestartRun run(variant, sendsAge);
            report.add(name + (sendsAge ? ", age told" : ", no age told"),
                       {{"repeats_called_new", double(run.repeats.newCount)},
                        {"repeats_seen", double(run.repeats.seenCount)},
                        {"repeats_unknown", double(run.repeats.unknownCount)},
                        {"first_refused", double(run.first.seenCount + run.first.unknownCount)}});
        }
    }
}

void measureCost(Report &report)
{
    constexpr std::uint64_t CheckCount = 1'000'000;
    DuplicateFilter filter({}, TimePoint(1h));
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < CheckCount; ++i) {
        const TimePoint now = TimePoint(1h) + Duration(i);
        filter.checkAndRecord(requestDigest("team", "queue", std::to_string(i)), now, now);
    }
    const std::chrono::duration<double, std::nano> elapsed
        = std::chrono::steady_clock::now() - start;
    report.add("check and record, full record of 100000",
               {{"ns", elapsed.count() / double(CheckCount)}, {"entries", double(filter.size())}});
}

} // namespace

int main(int argc, char **argv)
{
    Report report("duplicatefilter", argc, argv);
    measureVariants(report);
    measureCost(report);
    return report.finish();
}

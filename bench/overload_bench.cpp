// Offers three times the capacity for 30 s and compares shedding by deadline and by standing delay
// with no shedding. Also measures the fraction of a short burst that each setting answers.
#include "bench/support/gatewaymodel.h"
#include "bench/support/report.h"
#include "bench/support/svgchart.h"

#include <algorithm>
#include <random>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::size_t SlotCount = 80;
constexpr Duration MeanRunTime = 100ms;
constexpr Duration WarmUpTime = 10s;
constexpr Duration OverloadTime = 30s;
constexpr Duration RecoveryTime = 60s;
constexpr Duration SettledDelay = 250ms; // start delay that counts as back to normal
constexpr double NormalLoad = 0.8; // offered slot time divided by capacity
constexpr double OverloadLoad = 3;

struct Policy
{
    std::string label;
    TeamQueues::Options options;
    bool knowsDeadlines = true;
};

using LoadFunction = std::function<double(Duration sinceStart)>;

class OverloadRun
{
public:
    OverloadRun(const Policy &policy, Duration deadline, LoadFunction load, Duration length)
        : m_knowsDeadlines(policy.knowsDeadlines)
        , m_deadline(deadline)
        , m_load(std::move(load))
        , m_start(m_time.now())
        , m_end(m_start + length)
        , m_gateway(m_time, {.queues = policy.options, .slots = SlotCount}, hooks())
    {
        scheduleArrival();
        repeat(m_time, 10ms, m_end, [this] { m_gateway.poll(); });
        m_time.runUntil(m_end);
    }

    // Slot time of the answers in time, as a part of the slot time during the overload.
    double goodput() const
    {
        return m_goodSlotTime / (double(SlotCount) * double(OverloadTime.count()));
    }
    double secondsUntilSettled() const { return m_lastSlowStartSeconds; }
    double answeredFraction() const { return double(m_answered) / double(m_offered); }

private:
    GatewayModel::Hooks hooks()
    {
        GatewayModel::Hooks hooks;
        hooks.runTime = [this](const QueuedRequest &request) { return drawRunTime(request); };
        hooks.ended = [this](const QueuedRequest &request, TimePoint started) {
            onEnded(request, started);
        };
        hooks.refused = [](const RefusedRequest &) {};
        return hooks;
    }

    Duration drawRunTime(const QueuedRequest &request)
    {
        const std::chrono::duration<double> sinceEnd
            = m_time.now() - (m_start + WarmUpTime + OverloadTime);
        if (m_time.now() - request.arrival > SettledDelay)
            m_lastSlowStartSeconds = std::max(m_lastSlowStartSeconds, sinceEnd.count());
        std::exponential_distribution<double> distribution(1.0 / double(MeanRunTime.count()));
        return Duration(std::int64_t(distribution(m_random)) + 1);
    }

    void onEnded(const QueuedRequest &request, TimePoint started)
    {
        if (m_time.now() > request.arrival + m_deadline)
            return;
        ++m_answered;
        const TimePoint from = m_start + WarmUpTime;
        const TimePoint until = from + OverloadTime;
        const TimePoint now = m_time.now();
        const Duration overlap = std::min(now, until) - std::max(started, from);
        m_goodSlotTime += std::max(0.0, double(overlap.count()));
    }

    void scheduleArrival()
    {
        const double perMicrosecond
            = m_load(m_time.now() - m_start) * double(SlotCount) / double(MeanRunTime.count());
        std::exponential_distribution<double> distribution(perMicrosecond);
        m_time.after(Duration(std::int64_t(distribution(m_random)) + 1), [this] {
            ++m_offered;
            const Duration sentTimeout = m_knowsDeadlines ? m_deadline : Duration(1h);
            m_gateway.submit({.id = m_offered,
                              .team = "t",
                              .arrival = m_time.now(),
                              .deadline = m_time.now() + sentTimeout});
            scheduleArrival();
        });
    }

    VirtualTime m_time;
    std::mt19937_64 m_random{20261204};
    bool m_knowsDeadlines;
    Duration m_deadline;
    LoadFunction m_load;
    TimePoint m_start;
    TimePoint m_end;
    GatewayModel m_gateway;
    std::uint64_t m_offered = 0;
    std::uint64_t m_answered = 0;
    double m_goodSlotTime = 0;
    double m_lastSlowStartSeconds = 0;
};

double overloadLoadAt(Duration sinceStart)
{
    const bool isOverload = sinceStart >= WarmUpTime && sinceStart < WarmUpTime + OverloadTime;
    return isOverload ? OverloadLoad : NormalLoad;
}

// Demand swings of the users' brief: five times the mean for 3 s of each 15 s, a twentieth of it in
// between.
double swingLoadAt(Duration sinceStart)
{
    constexpr double Mean = 0.4;
    return sinceStart % Duration(15s) < Duration(3s) ? 5 * Mean : Mean / 20;
}

TeamQueues::Options unboundedOptions(Duration overloadAfter, Duration overloadDelay,
                                     bool refusesEarly)
{
    return {.maxCount = 200'000,
            .maxBytes = 1'000'000'000,
            .overloadAfter = overloadAfter,
            .overloadDelay = overloadDelay,
            .refusesEarly = refusesEarly};
}

std::vector<Policy> policies()
{
    std::vector<Policy> all{
        {"none", unboundedOptions(1h, 1h, false), false},
        {"expired ones only", unboundedOptions(1h, 1h, false)},
        {"by latest start", unboundedOptions(1h, 1h, true)},
    };
    for (const Duration after : {Duration(500ms), Duration(2s), Duration(5s)}) {
        for (const Duration delay : {Duration(50ms), Duration(200ms), Duration(1s)}) {
            const std::string label = "latest start, " + std::to_string(delay.count() / 1000)
                + " ms after " + std::to_string(after.count() / 1000) + " ms";
            all.push_back({label, unboundedOptions(after, delay, true)});
        }
    }
    all.push_back({"default options", {}});
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    Report report("overload", argc, argv);
    std::vector<ChartSeries> series;
    for (const Duration deadline : {Duration(2s), Duration(10s)}) {
        const std::string suffix
            = ", deadline " + std::to_string(deadline.count() / 1'000'000) + " s";
        ChartSeries settled{.name
                            = "deadline " + std::to_string(deadline.count() / 1'000'000) + " s"};
        for (const Policy &policy : policies()) {
            const OverloadRun overload(policy, deadline, overloadLoadAt,
                                       WarmUpTime + OverloadTime + RecoveryTime);
            const OverloadRun swing(policy, deadline, swingLoadAt, 90s);
            report.add(policy.label + suffix,
                       {{"goodput_pct", 100 * overload.goodput()},
                        {"settled_after_s", overload.secondsUntilSettled()},
                        {"swing_answered_pct", 100 * swing.answeredFraction()}});
            settled.points.push_back({double(settled.points.size() + 1), 100 * overload.goodput()});
        }
        series.push_back(std::move(settled));
    }
    writeSvgChart(report.outputPath("overload.svg"),
                  {.title = "Goodput at three times the capacity",
                   .xLabel = "row of the table",
                   .yLabel = "goodput (% of capacity)"},
                  series);
    return report.finish();
}

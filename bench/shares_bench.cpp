// Measures closeness to share, ceilings, start delays of urgent requests and goodput of a whole
// system in real processes on loopback, computed from the runners' records of what ran.
//
// The sizes are set by --gateways N, --runners N (for each of two services), --seconds N and
// --ceiling N (for one small team).
#include "bench/support/report.h"
#include "testing/support/fullsystem.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <map>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::uint64_t Seed = 20261204;
constexpr Duration FillTime = 2s; // from the first request until all slots are in use

unsigned numberOption(int argc, char **argv, const char *name, unsigned defaultValue)
{
    for (int i = 1; i + 1 < argc; ++i) {
        if (std::strcmp(argv[i], name) == 0)
            return unsigned(std::atoi(argv[i + 1]));
    }
    return defaultValue;
}

void printTeams(const FullSystem &system, const RunSpans &spans, TimePoint from, TimePoint until)
{
    const double seconds = std::chrono::duration<double>(until - from).count();
    for (const std::string &queue : system.services()) {
        double total = 0;
        for (const TeamSetup &team : system.options().teams) {
            const double slots = spans.slotSeconds({team.name, queue}, from, until) / seconds;
            total += slots;
            std::printf("  %s.%s: %.2f slots\n", team.name.c_str(), queue.c_str(), slots);
        }
        std::printf("  %s: %.2f of %d slots\n", queue.c_str(), total,
                    int(system.slotsPerService()));
    }
}

} // namespace

int main(int argc, char **argv)
{
    Report report("shares", argc, argv);
    const auto length = std::chrono::seconds(numberOption(argc, argv, "--seconds", 30));
    FullSystem system("shares-bench",
                      {.gateways = numberOption(argc, argv, "--gateways", 8),
                       .runnersPerService = numberOption(argc, argv, "--runners", 10),
                       .teams = FullSystem::sixTeams(numberOption(argc, argv, "--ceiling", 0))});
    if (!system.start()) {
        std::fprintf(stderr, "the system did not start\n");
        return 1;
    }
    std::vector<TeamStream> streams = system.streams(2);
    streams.push_back(system.urgentStream("vans"));
    TeamLoad load(streams, Seed);
    const TimePoint loadStart = BootClock::now();
    load.run({{.length = FillTime + length}});
    const auto spans = system.spans();
    if (!spans) {
        std::fprintf(stderr, "a runner's record could not be read\n");
        return 1;
    }
    std::map<std::string, TimePoint> startTimes;
    for (const RunSpan &span : spans->all())
        startTimes.emplace(span.id, span.start);
    double worstWait = 0;
    std::map<std::string, int> codes;
    for (const LoadedRequest &request : load.requests()) {
        ++codes[std::to_string(request.status) + "/" + request.code];
        if (!load.streams()[request.stream].isUrgent)
            continue;
        const auto start = startTimes.find(request.id);
        const double waited = start == startTimes.end()
            ? 1e9
            : std::chrono::duration<double>(start->second - request.sentAt).count();
        worstWait = std::max(worstWait, waited);
        if (start == startTimes.end())
            std::printf("  urgent %s not run: %d/%s\n", request.id.c_str(), request.status,
                        request.code.c_str());
    }
    for (const auto &[code, count] : codes)
        std::printf("  %s: %d\n", code.c_str(), count);
    printTeams(system, *spans, loadStart + FillTime, loadStart + FillTime + length);
    const WorstShare worst
        = worstShare(system, *spans, loadStart + FillTime, loadStart + FillTime + length);
    std::printf("  worst: %s\n", worst.what.c_str());
    report.add("full",
               {{"worst_share_pct", 100 * worst.fraction},
                {"ceiling_peak", double(spans->peak({.team = "recalls"}))},
                {"urgent_start_worst_s", worstWait}});
    return report.finish();
}

// Measures the cost of a task for the node that owns its pool: the processor time of everything
// that a task needs (caller's calls, store, start, lease, end, log), with a stand-in of the users'
// platform on loopback. One node owns everything, so its figure covers both the owner and the
// callers' entry. Jobs are sent at their due times, however many have not been answered yet.
#include "bench/support/processuse.h"
#include "bench/support/report.h"
#include "net/httpclient.h"
#include "net/timer.h"
#include "testing/support/localsystem.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace sequoiapier;
using nlohmann::json;
using std::chrono::seconds;

struct Load
{
    const char *label;
    int runners;
    int jobsPerSecond;
    int tasks; // per job
};

constexpr std::array<Load, 4> Loads{{
    {"11 runners, idle", 11, 0, 0},
    {"11 runners, 20 jobs of 10 tasks a second", 11, 20, 10},
    {"60 runners, 40 jobs of 13 tasks a second", 60, 40, 13},
    // The peak of the largest pool of the users' deployment with 97 hosts.
    {"120 runners, 125 jobs of 8 tasks a second", 120, 125, 8},
}};
constexpr int MeasuredSeconds = 8;
constexpr int RunMilliseconds = 1'000; // per task

HttpRequest submission(int number, int tasks)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", unsigned(number));
    const json step{{"count", tasks}, {"cpu", 4'000}, {"mem_mb", 1'024}, {"estimate_ms", 1'000}};
    const json body{{"spec", json{{"runMs", RunMilliseconds}}.dump()},
                    {"steps", json::array({step})}};
    return {.method = "POST",
            .path = std::string("/quotes/") + id,
            .headers = {{"authorization", "Token good-key"}, {"deadline-ms", "3000"}},
            .body = body.dump()};
}

// Sends the jobs of one measurement at their due times and returns how many were accepted.
int sendJobs(std::uint16_t port, const Load &load)
{
    const int jobs = load.jobsPerSecond * MeasuredSeconds;
    if (jobs == 0)
        return 0;
    Loop loop({});
    HttpClient http(loop, {.maxConnections = 128});
    const TimePoint begin = BootClock::now();
    int sent = 0;
    int answered = 0;
    int accepted = 0;
    std::unique_ptr<Timer> timer;
    const auto sendDue = [&] {
        for (; sent < jobs && BootClock::now() >= begin + seconds(sent) / load.jobsPerSecond;
             ++sent) {
            HttpCall call{.address = "127.0.0.1",
                          .port = port,
                          .request = submission(sent, load.tasks),
                          .deadline = BootClock::now() + seconds(5)};
            http.call(std::move(call), [&](const HttpAnswer &answer) {
                accepted += answer.isOk();
                if (++answered == jobs)
                    loop.stop();
            });
        }
        if (sent < jobs)
            timer->startAt(begin + seconds(sent) / load.jobsPerSecond);
    };
    timer = std::make_unique<Timer>(loop, sendDue);
    sendDue();
    loop.run();
    return accepted;
}

bool measure(Report &report, const Load &load)
{
    LocalSystem system("platform-bench");
    const std::string pools = "vanload:" + std::to_string(load.runners) + ",sundries:1";
    if (!system.startPlatform(pools, load.runners + 1, 64))
        return false;
    if (!system.configureOneQueue())
        return false;
    if (!system.startNode("node-1") || !system.waitReady("node-1"))
        return false;
    // Leaves time for the node to take the pool and query its runners.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const Member &node = system.member("node-1");
    const auto begin = std::chrono::steady_clock::now();
    const double secondsBefore = processUse(node.process.pid()).processorSeconds;
    const int accepted = sendJobs(node.workPort, load);
    std::this_thread::sleep_until(begin + std::chrono::seconds(MeasuredSeconds + 2));
    const double usedSeconds = processUse(node.process.pid()).processorSeconds - secondsBefore;
    const double tasks = double(accepted) * load.tasks;
    report.add(load.label,
               {{"accepted", double(accepted)},
                {"core_percent", usedSeconds / (MeasuredSeconds + 2) * 100},
                {"us_per_task", tasks > 0 ? usedSeconds * 1e6 / tasks : 0}});
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    Report report("platform", argc, argv);
    for (const Load &load : Loads) {
        if (!measure(report, load)) {
            std::fprintf(stderr, "the system did not start\n");
            return 1;
        }
    }
    return report.finish();
}

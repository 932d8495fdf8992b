// The cases of the review. Usage: cases CASE FOLDER, from the root of the repository.
#include "platform.hh"

#include <algorithm>
#include <cstdio>
#include <iostream>

using namespace sim;

namespace {

std::string jobId(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0x5c0e0000 + number);
    return id;
}

// The limits of the site file, which each case measures itself against at its end.
constexpr double CrashShare = 0.14; // srv_crash
constexpr std::int64_t CrashMs = 4'500;
constexpr double LateShare = 0.055; // applied_late, of the orders within LateSpanMs
constexpr std::int64_t LateSpanMs = 5'500;
constexpr std::int64_t MinLateMs = 2'000; // fleetbench kinds
constexpr std::int64_t MaxLateMs = 12'000;
constexpr double CutShare = 0.17; // node_cut
constexpr std::int64_t CutLimitMs = 5'500;
constexpr double BurstPerSecond = 2.6 * 1.71; // burst of territory-plan
constexpr std::int64_t BurstMs = 4'000;

void measure(World &world, const std::string &what, double value, double least, double most)
{
    record("measured: " + what + " " + std::to_string(value) + ", allowed "
           + std::to_string(least) + " to " + std::to_string(most));
    if (value < least || value > most)
        world.giveUp(what + " is outside the limit");
}

// Measures the crashes and the late orders of the case.
void measureRunners(World &world, std::size_t runners)
{
    const std::vector<Outage> all = outages();
    for (const Outage &outage : all) {
        measure(world, "share of the runners that crash", double(all.size()) / double(runners), 0,
                CrashShare);
        measure(world, "ms that " + outage.runner + " is down",
                double((outage.to < 0 ? nowMs() : outage.to) - outage.from), 0, CrashMs);
    }
    const std::vector<LateCall> late = lateCalls();
    for (const LateCall &call : late) {
        measure(world, "ms by which an order is late", double(call.doneAt - call.sentAt),
                MinLateMs, MaxLateMs);
        std::size_t orders = 0;
        for (const std::int64_t at : orderTimes())
            orders += at >= call.sentAt && at < call.sentAt + LateSpanMs ? 1 : 0;
        measure(world, "share of the orders that are late", double(late.size()) / double(orders), 0,
                LateShare);
    }
}

// An order to start a task is left unanswered and carried out 8 s later. Meanwhile its runner
// crashes and starts again under its id. Another job loads a second runner, so that the task goes
// there.
void lateStart(World &world)
{
    const std::vector<Queue> queues{{"/quotes/", "vanload"}};
    world.configure(queues, 0);
    for (int i = 1; i <= 9; ++i) {
        world.addRunner({.id = "i-" + std::to_string(i),
                         .service = "vanload",
                         .kind = i == 1 ? "a" : "b"});
    }
    world.addNode("node-1");
    world.addNode("node-2");
    Runner &runner = world.runner("i-1");
    std::atomic<std::int64_t> lateAt{-1};
    if (isTroubled()) {
        runner.lateness = [&](const std::string &path, const json &) {
            std::int64_t unset = -1;
            const bool isFirst
                = path == "/v1/run-start" && lateAt.compare_exchange_strong(unset, nowMs());
            return std::int64_t(isFirst ? 8'000 : 0);
        };
    }
    world.begin(queues);
    json task = oneStep(1, 15'000);
    if (!world.submit("/quotes/", jobId(1), task))
        world.giveUp("the job isn't accepted");
    sleepMs(300);
    json other = oneStep(1, 60'000, 4'000);
    other["steps"][0]["constraints"] = "b";
    if (!world.submit("/quotes/", jobId(2), other))
        world.giveUp("the second job isn't accepted");
    if (isTroubled()) {
        if (lateAt < 0)
            world.giveUp("no start was sent to " + runner.id());
        sleepUntil(lateAt + 4'000);
        runner.crash();
        sleepMs(1'000);
        runner.start();
        sleepUntil(lateAt + 14'000);
    } else {
        sleepMs(14'000);
    }
    measureRunners(world, 9);
    const std::string twice = findTwice();
    world.finish(!twice.empty(), twice.empty() ? "no task ran twice" : twice);
}

// A queue of large tasks and one of small tasks share a pool whose runners need tickets. Large jobs
// come at once for which no runner has room.
void largeJobs(World &world)
{
    constexpr int DecideMs = 500;
    constexpr int EachMs = 50;
    const json policy{{"recommendation",
                       {{"decide_ms", DecideMs}, {"each_ms", EachMs}, {"valid_ms", 3'000}}}};
    json urgent = policy;
    urgent["priority"] = 0;
    json normal = policy;
    normal["priority"] = 1;
    const std::vector<Queue> queues{{"/rounds/", "vanload", urgent}, {"/quotes/", "vanload", normal}};
    world.configure(queues, 0);
    for (int i = 1; i <= 8; ++i) {
        Runner &runner
            = world.addRunner({.id = "i-" + std::to_string(i), .service = "vanload"});
        runner.needsTicket = true;
        runner.isTicketValid = Advice::isValid;
    }
    Advice first(DecideMs, EachMs, 3'000);
    Advice second(DecideMs, EachMs, 3'000);
    world.addNode("node-1", first.port());
    world.addNode("node-2", second.port());
    world.begin(queues);
    json lasting = oneStep(8, 3'600'000, 3'000);
    lasting["spec"] = json{{"ms", 3'600'000}, {"cpu", 3'000}, {"lasting", true}}.dump();
    lasting["steps"][0]["long_running"] = true;
    lasting["steps"][0]["anti_affinity"] = 1;
    if (!world.submit("/rounds/", jobId(1), lasting))
        world.giveUp("the lasting job isn't accepted");
    const std::int64_t until = nowMs() + 15'000;
    while (spans().size() < 8 && nowMs() < until)
        sleepMs(100);
    if (spans().size() < 8)
        world.giveUp("the lasting job isn't at work");
    if (isTroubled()) {
        std::vector<std::int64_t> sent;
        for (int i = 0; i < 5; ++i) {
            sent.push_back(nowMs());
            world.submit("/rounds/", jobId(100 + i), oneStep(2, 1'000, 6'000));
            sleepUntil(sent.back() + 300);
        }
        for (const std::int64_t from : sent) {
            const auto count = std::count_if(sent.begin(), sent.end(), [&](std::int64_t at) {
                return at >= from && at < from + 1'000;
            });
            measure(world, "large jobs within a second", double(count), 0, BurstPerSecond);
        }
        measure(world, "ms of the burst", double(sent.back() - sent.front()), 0, BurstMs);
        sleepMs(3'000);
    }
    std::vector<std::string> accepted;
    for (int i = 0; i < 5; ++i) {
        if (world.submit("/quotes/", jobId(200 + i), oneStep(1, 500)))
            accepted.push_back(jobId(200 + i));
        sleepMs(1'000);
    }
    record("traffic ends");
    if (accepted.empty())
        world.giveUp("no job was accepted");
    sleepMs(14'000 + 6'000);
    std::set<std::string> begun;
    for (const RunSpan &span : spans())
        begun.insert(span.task.substr(0, span.task.find('.')));
    std::size_t missing = 0;
    for (const std::string &id : accepted)
        missing += begun.contains(id) ? 0 : 1;
    world.finish(missing > 0,
                 std::to_string(missing) + " of " + std::to_string(accepted.size())
                     + " accepted small jobs have not begun 20 s after the end of the traffic");
}

// The node that orders machines is cut off from the platform as its first order is on its way.
void lateUpkeep(World &world)
{
    constexpr int CutMs = 5'450;
    std::int64_t cutEnd = 0;
    const std::vector<Queue> queues{{"/quotes/", "vanload"}};
    world.configure(queues, 0);
    Cloud cloud(world);
    for (int i = 1; i <= 7; ++i)
        cloud.addMachine("m-" + std::to_string(i), "vanload");
    struct Links
    {
        Links(int storePort, int cloudPort)
            : store(storePort)
            , cloud(cloudPort)
        { }
        Link store;
        Link cloud;
    };
    std::vector<std::unique_ptr<Links>> links;
    std::atomic<std::int64_t> cutAt{-1};
    Links *cut = nullptr;
    for (int i = 1; i <= 6; ++i) {
        links.push_back(std::make_unique<Links>(world.store().port(), cloud.port()));
        Links *own = links.back().get();
        world.addNode("node-" + std::to_string(i), own->store.port(), own->cloud.port());
        if (!isTroubled())
            continue;
        own->cloud.onBytes = [&, own, i](const std::string &bytes) {
            std::int64_t unset = -1;
            if (bytes.find("/v1/machine-upkeep") == std::string::npos
                || !cutAt.compare_exchange_strong(unset, nowMs()))
                return;
            cut = own;
            own->store.setCut(true);
            own->cloud.setCut(true);
            record("node-" + std::to_string(i) + " is cut off from the platform");
        };
    }
    world.begin(queues);
    sleepMs(3'250); // The orders for machines have a holder.
    world.store().put("op", "wave/1",
                      {{"wave", 1},
                       {"machines", {"m-1", "m-2", "m-3", "m-4"}},
                       {"duration_s", 60},
                       {"cap", 1}});
    record("operator: wave 1");
    if (isTroubled()) {
        const std::int64_t until = nowMs() + 20'000;
        while (cutAt < 0 && nowMs() < until)
            sleepMs(5);
        if (cutAt < 0)
            world.giveUp("no machine was ordered");
        sleepUntil(cutAt + CutMs);
        cut->store.setCut(false);
        cut->cloud.setCut(false);
        cutEnd = nowMs();
        record("the cut is over");
    }
    sleepMs(20'000);
    if (isTroubled()) {
        measure(world, "ms that a node is cut off", double(cutEnd - cutAt), 0, CutLimitMs);
        measure(world, "share of the nodes that are cut off", 1 / double(world.nodes().size()), 0,
                CutShare);
    }
    const std::string conflict = cloud.findConflict();
    world.finish(!conflict.empty(),
                 conflict.empty() ? "each machine had its orders in the order of the tokens"
                                  : conflict);
}

// No case: a task of 250 s in a queue of short ones is stopped as stalled again and again.
void longTask(World &world)
{
    const std::vector<Queue> queues{{"/quotes/", "vanload"}};
    world.configure(queues, 0);
    for (int i = 1; i <= 4; ++i)
        world.addRunner({.id = "i-" + std::to_string(i), .service = "vanload"});
    world.addNode("node-1");
    world.addNode("node-2");
    world.begin(queues);
    world.submit("/quotes/", jobId(1), oneStep(12, 300));
    sleepMs(3'000);
    world.submit("/quotes/", jobId(2), oneStep(1, 250'000));
    for (int i = 0; i < 40; ++i) {
        if (isTroubled())
            world.submit("/quotes/", jobId(10 + i), oneStep(3, 300));
        sleepMs(1'000);
    }
    int runs = 0;
    for (const RunSpan &span : spans())
        runs += span.task.starts_with(jobId(2)) ? 1 : 0;
    world.finish(runs > 1, std::to_string(runs) + " runs of the long task in 40 s");
}

} // namespace

int main(int count, char **words)
{
    const std::map<std::string, void (*)(World &)> all{
        {"late-start", lateStart}, {"late-upkeep", lateUpkeep}, {"large-jobs", largeJobs},
        {"long-task", longTask}};
    const auto found = count == 3 ? all.find(words[1]) : all.end();
    if (found == all.end()) {
        std::cerr << "usage: cases CASE FOLDER\n";
        return 2;
    }
    World world(words[2]);
    found->second(world);
}

// A runner is cut off for a second, crashes behind the cut and starts again under its id. It gets a
// task that lasts. Seconds later it is cut off for 4.9 s and runs on. Nine other runners of its
// pool are not disturbed.
#include "../support/harness.hh"

using namespace review;

int main(int count, char **arguments)
{
    const std::string directory = begin(count, arguments);
    Store store;
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < 10; ++i) {
        runners.push_back(std::make_unique<Runner>(
            store, RunnerOptions{.id = "i-7f3a91c" + std::to_string(i),
                                 .service = "vanload",
                                 .rack = "r1-" + std::to_string(1 + i / 4)}));
    }
    configure(store, 3, {route("/settle/", "vanload")}, {"vanload"});
    auto nodes = startNodes(3, store, directory);
    if (!waitReady(nodes))
        finish(cannotRun("the nodes did not become ready"), nodes);
    const Node &client = *nodes[0];
    if (!submit(client, "/settle/00000000000000aa",
                {{"spec", json{{"ms", 300}}.dump()},
                 {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 256}}}}})) {
        finish(cannotRun("the first job was not accepted"), nodes);
    }
    sleepMs(3'000);
    const auto used = ledger.runs();
    if (used.size() != 1)
        finish(cannotRun("the first job's task was not started once"), nodes);
    // Among idle runners, the same one is taken again.
    Runner &first = *runners[std::size_t(used[0].runner.back() - '0')];

    // The crash comes while the owner of the pool waits for the answer to a hold.
    const std::int64_t last = first.lastHoldAt();
    if (!waitFor([&] { return first.lastHoldAt() > last; }, 5'000, 2))
        finish(cannotRun("the runner gets no holds"), nodes);
    sleepMs(50);
    if (hasTrouble()) {
        first.cut(true);
        first.crash();
        sleepMs(500);
        first.restart();
        sleepMs(500);
        first.cut(false);
    }
    const std::string job = "5c0e7a21d94b36f8";
    if (!submit(client, "/settle/" + job,
                {{"spec", json{{"lasts", true}}.dump()},
                 {"steps",
                  {{{"count", 1}, {"cpu", 5'400}, {"mem_mb", 2'048}, {"long_running", true}}}}})) {
        finish(cannotRun("the job was not accepted"), nodes);
    }
    if (!waitFor([&] { return ledger.runningCount(job) == 1; }, 4'000))
        finish(cannotRun("the task was not started"), nodes);
    sleepMs(2'700);
    if (hasTrouble()) {
        first.cut(true);
        sleepMs(4'900);
        first.cut(false);
    } else {
        sleepMs(4'900);
    }
    sleepMs(4'000);
    finish(judge("TWICE", ledger.twice()), nodes);
}

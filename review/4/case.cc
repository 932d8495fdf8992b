// A job with many small tasks runs on one runner. The node that owns the pool is killed, and the
// tasks, which wait for one event, end before the pool has an owner again.
#include "../support/harness.hh"

using namespace review;

constexpr int Tasks = 640;

int main(int count, char **arguments)
{
    const std::string directory = begin(count, arguments);
    Store store;
    ledger.isQuiet = true;
    Runner one(store, {.id = "i-7f3a91c2", .service = "vanload"});
    Runner two(store, {.id = "i-51d0be77", .service = "vanload", .rack = "r1-2"});
    one.isQuiet = two.isQuiet = true;
    configure(store, 3, {route("/settle/", "vanload")}, {"vanload"});
    auto nodes = startNodes(3, store, directory);
    if (!waitReady(nodes))
        finish(cannotRun("the nodes did not become ready"), nodes);
    waitFor([&] { return !ownerOf(store, "vanload").empty(); }, 5'000);
    const std::string owner = ownerOf(store, "vanload");
    const auto isOwner = [&](const auto &node) { return node->name() == owner; };
    const auto owning = std::find_if(nodes.begin(), nodes.end(), isOwner);
    const auto other = std::find_if_not(nodes.begin(), nodes.end(), isOwner);
    if (owning == nodes.end())
        finish(cannotRun("no node owns the pool"), nodes);
    const std::string path = "/settle/5c0e7a21d94b36f8";
    const std::int64_t endsAt = nowMs() + 12'000;
    const json body{{"spec", json{{"endsAt", endsAt}}.dump()},
                    {"steps", {{{"count", Tasks}, {"cpu", 100}, {"mem_mb", 64}}}}};
    if (!submit(**other, path, body))
        finish(cannotRun("the job was not accepted"), nodes);
    const auto endedCount = [&] {
        const auto runs = ledger.runs();
        return std::count_if(runs.begin(), runs.end(),
                             [](const auto &run) { return run.endedAt >= 0; });
    };
    if (!waitFor([&] { return ledger.runs().size() == Tasks; }, 11'000))
        finish(cannotRun("the tasks were not started in time"), nodes);
    sleepMs(endsAt - 300 - nowMs());
    record.line("runs begun: " + std::to_string(ledger.runs().size()));
    if (hasTrouble()) {
        (*owning)->kill();
        record.line(owner + ": killed; ends so far: " + std::to_string(endedCount()));
        sleepMs(500);
        (*owning)->start();
    }
    waitFor([&] { return stateOf(**other, path) == "completed"; }, 20'000, 1'000);
    sleepMs(2'000);
    record.line("runs begun: " + std::to_string(ledger.runs().size()));
    finish(judge("TWICE", ledger.twice()), nodes);
}

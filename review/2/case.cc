// A tenant hands in four jobs at once, one for each of four services. Nothing else is asked for. The
// first job runs; the others are not started, though all runners are idle.
#include "../support/harness.hh"

using namespace review;

constexpr int FinishMs = 14'000; // finish_s
constexpr int WaitMs = 3'000; // the rule's 3 s

int main(int count, char **arguments)
{
    const std::string directory = begin(count, arguments);
    const Tenant drivers{.name = "drivers", .key = "sjnbanfqasnmgkcuyj8p", .cpu = 24'000};
    const std::vector<std::string> services{"vanload", "roundsman", "depotline", "patchwork"};
    const std::vector<std::string> queues{"/quotes/", "/rounds/", "/depots/", "/plans/"};
    Store store;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<json> routes;
    for (std::size_t i = 0; i < services.size(); ++i) {
        routes.push_back(route(queues[i], services[i]));
        for (const char *id : {"a", "b"}) {
            runners.push_back(std::make_unique<Runner>(
                store, RunnerOptions{.id = "i-7f3a91c" + std::to_string(i) + id,
                                     .service = services[i]}));
        }
    }
    configure(store, 3, routes, services, {drivers});
    auto nodes = startNodes(3, store, directory);
    if (!waitReady(nodes))
        finish(cannotRun("the nodes did not become ready"), nodes);
    const json body{{"spec", json{{"ms", 1'000}, {"cpu", 10'000}}.dump()},
                    {"steps", {{{"count", 2}, {"cpu", 10'000}, {"mem_mb", 1'024}}}}};
    const std::string id = "5c0e7a21d94b36f";
    std::vector<std::string> paths;
    for (std::size_t i = 0; i < queues.size(); ++i) {
        paths.push_back(queues[i] + id + std::to_string(i));
        if (!submit(*nodes[i % 3], paths.back(), body))
            finish(cannotRun("a job was not accepted"), nodes);
        // Without the burst, each job comes when the one before it is done.
        if (!hasTrouble()
            && !waitFor([&] { return stateOf(*nodes[i % 3], paths.back()) == "completed"; }, 17'000,
                        500)) {
            finish(cannotRun("a job by itself was not completed"), nodes);
        }
    }
    waitFor([&] { return ledger.runs().size() >= 2 * queues.size(); }, FinishMs + WaitMs);
    const auto runs = ledger.runs();
    const std::int64_t now = nowMs();
    const bool hasRun = std::any_of(runs.begin(), runs.end(), [&](const auto &run) {
        return run.endedAt < 0 || run.endedAt > now - WaitMs;
    });
    std::vector<std::string> breaches;
    for (std::size_t i = 0; i < queues.size(); ++i) {
        const bool hasBegun = std::any_of(runs.begin(), runs.end(), [&](const auto &run) {
            return run.task.starts_with(id + std::to_string(i));
        });
        stateOf(*nodes[i % 3], paths[i]);
        if (!hasBegun && !hasRun) {
            breaches.push_back(paths[i] + ": none of its 2 tasks of 10 cores was started in "
                               + std::to_string(FinishMs + WaitMs) + " ms; " + services[i]
                               + " has 128 cores, all free; the tenant may use 24, and used none in "
                                 "the last 3 s");
        }
    }
    finish(judge("LOST", breaches), nodes);
}

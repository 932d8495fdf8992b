// A tenant hands in many jobs to two services that are full with the work of another tenant, and
// one job to a service that is idle. Nothing of the tenant runs.
#include "../support/harness.hh"

using namespace review;

constexpr int FinishMs = 14'000; // finish_s
constexpr int WaitMs = 3'000; // the rule's 3 s

int main(int count, char **arguments)
{
    const std::string directory = begin(count, arguments);
    const Tenant drivers{.name = "drivers", .key = "sjnbanfqasnmgkcuyj8p", .cpu = 24'000};
    const Tenant clerks{.name = "clerks", .key = "jbvk9m68k7b2ex5wa5xw"};
    const std::vector<std::string> fullQueues{"/rounds/", "/depots/"};
    Store store;
    Runner fullOne(store, {.id = "i-51d0be77", .service = "roundsman"});
    Runner fullTwo(store, {.id = "i-62e1cf88", .service = "depotline"});
    Runner idleOne(store, {.id = "i-7f3a91c2", .service = "vanload"});
    Runner idleTwo(store, {.id = "i-7f3a91c3", .service = "vanload"});
    configure(store, 3,
              {route("/quotes/", "vanload"), route("/rounds/", "roundsman"),
               route("/depots/", "depotline")},
              {"vanload", "roundsman", "depotline"}, {drivers, clerks});
    auto nodes = startNodes(3, store, directory);
    if (!waitReady(nodes))
        finish(cannotRun("the nodes did not become ready"), nodes);
    const Node &client = *nodes[0];
    // Fills 60 of the 64 cores of each of the two services.
    for (const std::string &queue : fullQueues) {
        if (!submit(client, queue + "00000000000000c1",
                    {{"spec", json{{"lasts", true}, {"cpu", 12'000}}.dump()},
                     {"steps",
                      {{{"count", 5},
                        {"cpu", 12'000},
                        {"mem_mb", 1'024},
                        {"long_running", true}}}}},
                    clerks.key)) {
            finish(cannotRun("a job of the other tenant was not accepted"), nodes);
        }
    }
    if (!waitFor([] { return ledger.runs().size() == 10; }, 5'000))
        finish(cannotRun("the other tenant's tasks were not started"), nodes);
    if (hasTrouble()) {
        for (int i = 0; i < 6; ++i) {
            for (const std::string &queue : fullQueues) {
                if (!submit(client, queue + "00000000000000d" + std::to_string(i),
                            {{"spec", json{{"ms", 1'000}, {"cpu", 8'000}}.dump()},
                             {"steps", {{{"count", 4}, {"cpu", 8'000}, {"mem_mb", 1'024}}}}},
                            drivers.key)) {
                    finish(cannotRun("a job of the burst was not accepted"), nodes);
                }
                sleepMs(140);
            }
        }
    }
    sleepMs(2'000);
    const std::string job = "5c0e7a21d94b36f8";
    if (!submit(client, "/quotes/" + job,
                {{"spec", json{{"ms", 1'000}, {"cpu", 10'000}}.dump()},
                 {"steps", {{{"count", 1}, {"cpu", 10'000}, {"mem_mb", 1'024}}}}},
                drivers.key)) {
        finish(cannotRun("the job was not accepted"), nodes);
    }
    const auto hasBegun = [&] {
        const auto runs = ledger.runs();
        return std::any_of(runs.begin(), runs.end(),
                           [&](const auto &run) { return run.task.starts_with(job); });
    };
    std::vector<std::string> breaches;
    if (!waitFor(hasBegun, FinishMs + WaitMs)) {
        breaches.push_back("the job's task of 10 cores was not started "
                           + std::to_string(FinishMs + WaitMs)
                           + " ms after it was accepted; its service has 128 cores, all free; its "
                             "tenant may use 24 and uses none");
    }
    stateOf(client, "/quotes/" + job);
    finish(judge("LOST", breaches), nodes);
}

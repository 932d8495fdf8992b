// A job is handed in, runs to its end, and its queue is sent to another service. Then the request
// of its client arrives once more under the same id.
#include "../support/harness.hh"

using namespace review;

int main(int count, char **arguments)
{
    const std::string directory = begin(count, arguments);
    Store store;
    Runner vanload(store, {.id = "i-7f3a91c2", .service = "vanload"});
    Runner roundsman(store, {.id = "i-51d0be77", .service = "roundsman"});
    const std::vector<std::string> services{"vanload", "roundsman"};
    configure(store, 3, {route("/settle/", "vanload")}, services);
    auto nodes = startNodes(3, store, directory);
    if (!waitReady(nodes))
        finish(cannotRun("the nodes did not become ready"), nodes);

    const std::string job = "5c0e7a21d94b36f8";
    const json body{{"spec", json{{"ms", 500}}.dump()},
                    {"steps", {{{"count", 2}, {"cpu", 3'500}, {"mem_mb", 1'024}}}}};
    if (!submit(*nodes[0], "/settle/" + job, body))
        finish(cannotRun("the job was not accepted"), nodes);
    if (!waitFor([&] { return stateOf(*nodes[0], "/settle/" + job) == "completed"; }, 10'000, 200))
        finish(cannotRun("the job was not completed"), nodes);

    if (hasTrouble())
        configure(store, 8, {route("/settle/", "roundsman")}, services);
    sleepMs(2'500); // config_apply_ms is 2 s
    send(*nodes[1], "POST", "/settle/" + job, body.dump());
    sleepMs(4'000);
    stateOf(*nodes[2], "/settle/" + job);
    finish(judge("TWICE", ledger.twice()), nodes);
}

// While a job runs, the operator removes its route and adds it again. One run of its task fails;
// the route allows three.
#include "../support/harness.hh"

using namespace review;

int main(int count, char **arguments)
{
    const std::string directory = begin(count, arguments);
    Store store;
    Runner runner(store, {.id = "i-7f3a91c2", .service = "vanload"});
    const json settle = route("/settle/", "vanload");
    const json quotes = route("/quotes/", "vanload");
    configure(store, 3, {settle, quotes}, {"vanload"});
    auto nodes = startNodes(3, store, directory);
    if (!waitReady(nodes))
        finish(cannotRun("the nodes did not become ready"), nodes);
    const std::string path = "/settle/5c0e7a21d94b36f8";
    const json body{{"spec", json{{"ms", 2'000}, {"fails", 1}}.dump()},
                    {"steps", {{{"count", 1}, {"cpu", 3'500}, {"mem_mb", 1'024}}}}};
    if (!submit(*nodes[0], path, body))
        finish(cannotRun("the job was not accepted"), nodes);
    if (hasTrouble())
        configure(store, 8, {quotes}, {"vanload"});
    sleepMs(4'000);
    if (hasTrouble())
        configure(store, 11, {settle, quotes}, {"vanload"});
    sleepMs(4'000);
    const std::string state = stateOf(*nodes[1], path);
    const auto runs = ledger.runs();
    const auto failed = std::count_if(runs.begin(), runs.end(),
                                      [](const auto &run) { return run.how == "failed"; });
    std::vector<std::string> breaches;
    if (state == "failed" && failed < 3)
        breaches.push_back("the accepted job is shown as failed after "
                           + std::to_string(failed) + " failed run; max_attempts is 3");
    else if (state != "completed")
        finish(cannotRun("the job is " + state), nodes);
    finish(judge("LOST", breaches), nodes);
}

// The demo behind `make run`. It runs one job through nodes on a stand-in of the users' platform,
// then starts the trial's whole system on loopback, sends real requests with valid, withdrawn and
// missing keys, prints a merged timeline and stops everything gracefully. It exits with a non-zero
// status if any step fails.
#include "testing/support/localsystem.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace sequoiapier;

bool allPassed = true;

std::string firstLine(const std::string &text)
{
    return text.substr(0, text.find('\n'));
}

void check(bool passed, const std::string &step)
{
    std::cout << (passed ? "ok    " : "FAIL  ") << step << std::endl;
    allPassed = allPassed && passed;
}

void checkAnswer(const HttpAnswer &answer, int status, const std::string &step)
{
    check(answer.outcome == HttpOutcome::Answered && answer.response.status == status,
          step + " -> " + std::to_string(answer.response.status) + " "
              + firstLine(answer.response.body));
}

Configuration makeConfiguration(LocalSystem &system)
{
    Configuration configuration;
    configuration.teams = {{.name = "settlements", .share = 2}, {.name = "pricing", .share = 1}};
    configuration.keys = {{.digest = keyDigest("good-key"), .team = "pricing"},
                          {.digest = keyDigest("other-key"), .team = "settlements"}};
    ServiceConfig service{.name = "prices"};
    for (const char *runner : {"runner-1", "runner-2"})
        service.runners.push_back({"127.0.0.1", system.member(runner).workPort});
    configuration.services = {service};
    configuration.queues = {{.name = "prices", .service = "prices"},
                            {.name = "public", .service = "prices", .isOpen = true}};
    return configuration;
}

void stopAll(LocalSystem &system)
{
    for (const std::string &name : system.memberNames()) {
        ChildProcess &process = system.member(name).process;
        process.signal(SIGTERM);
        check(process.waitExit(LocalSystem::Timeout) == 0, name + " stops gracefully");
    }
}

std::string stateOf(LocalSystem &system, const std::string &path)
{
    const HttpRequest request{
        .method = "GET", .path = path, .headers = {{"authorization", "Token good-key"}}};
    const HttpAnswer answer = system.call(system.member("node-2").workPort, request);
    return nlohmann::json::parse(answer.response.body, nullptr, false).value("state", "");
}

void runPlatformDemo(LocalSystem &system)
{
    check(system.startPlatform("vanload:3,sundries:1", 4), "stand-in of the platform");
    check(system.configureOneQueue(), "operator's row");
    for (const char *name : {"node-1", "node-2", "node-3"})
        check(system.startNode(name) && system.waitReady(name), std::string(name) + " is ready");
    const std::string path = "/quotes/5c0e7a21d94b36f8";
    const std::string body = R"({"spec":"{\"runMs\":200}","steps":[{"count":4,"cpu":500},)"
                             R"({"count":2,"cpu":2000,"after":[0]}]})";
    const HttpRequest submission{.method = "POST",
                                 .path = path,
                                 .headers = {{"authorization", "Token good-key"}},
                                 .body = body};
    checkAnswer(system.call(system.member("node-1").workPort, submission), 200, "submit a job");
    check(LocalSystem::waitUntil([&] { return stateOf(system, path) == "completed"; }),
          "the job is completed, as another node tells");
    const HttpAnswer record = system.fetch("platform", "/record");
    const nlohmann::json platformRecord = nlohmann::json::parse(record.response.body);
    for (const nlohmann::json &run : platformRecord["runs"])
        std::cout << "      " << run.dump() << "\n";
    check(platformRecord["runs"].size() == 6 && platformRecord["breaches"].empty(),
          "each of its 6 tasks ran once");
}

void runDemo(LocalSystem &system)
{
    check(system.startTable(), "table stand-in");
    for (const char *name : {"runner-1", "runner-2"})
        check(system.startRunner(name), name);
    check(system.startController("controller-1"), "controller-1");
    check(system.startScheduler("scheduler-1"), "scheduler-1");
    for (const char *name : {"gateway-1", "gateway-2", "gateway-3"})
        check(system.startGateway(name), name);

    Configuration configuration = makeConfiguration(system);
    int status = system.applyConfiguration(toJson(configuration), 0, "first");
    check(status == 0, "ctl apply: " + firstLine(system.output()));
    for (const char *name : {"gateway-1", "gateway-2", "gateway-3"}) {
        check(system.waitReady(name), std::string(name) + " is ready");
        checkAnswer(system.work(name, "prices", "good-key", "crate of 12"), 200, "good key");
    }
    checkAnswer(system.work("gateway-1", "prices", "", "x"), 401, "missing key");
    checkAnswer(system.work("gateway-1", "prices", "wrong", "x"), 403, "wrong key");
    checkAnswer(system.work("gateway-1", "public", "", "open"), 200, "open queue, no key");

    status = system.applyConfiguration(toJson(configuration), 0, "second");
    check(status != 0, "change from an old version: " + firstLine(system.output()));
    check(system.ctl({"configuration"}) == 0, "ctl configuration");
    const auto version = std::stoull(system.output().substr(system.output().find(' ') + 1));
    configuration.keys.erase(configuration.keys.begin());
    status = system.applyConfiguration(toJson(configuration), version, "withdraw");
    check(status == 0, "withdraw the key: " + firstLine(system.output()));
    const bool isWithdrawn = LocalSystem::waitUntil(
        [&] { return system.work("gateway-2", "prices", "good-key", "x").response.status == 403; });
    check(isWithdrawn, "the withdrawn key is refused");
    check(system.timeline() == 0, "time line");
    std::cout << system.output();
}

} // namespace

int main()
{
    LocalSystem platform("platform-demo");
    runPlatformDemo(platform);
    stopAll(platform);
    LocalSystem system("demo");
    runDemo(system);
    stopAll(system);
    std::cout << (allPassed ? "demo passed" : "demo FAILED") << std::endl;
    return allPassed ? 0 : 1;
}

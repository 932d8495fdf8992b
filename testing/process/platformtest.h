// PlatformTest is a fixture with the users' platform on loopback, three nodes and one team with the
// key "good-key". The queue "/quotes/" runs on the pool "vanload". The host of its route is the
// nodes' own address, which the client sends as the host name.
#pragma once

#include "testing/process/testname.h"
#include "testing/support/localsystem.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <map>
#include <string>
#include <vector>

namespace sequoiapier {

class PlatformTest : public testing::Test
{
protected:
    explicit PlatformTest(const std::string &name = testName())
        : m_system(name)
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_system.startPlatform("vanload:3,sundries:1", 4, 8, nodes()));
        configure(1, {"good-key"});
        for (const std::string &node : nodes())
            ASSERT_TRUE(m_system.startNode(node));
        for (const std::string &node : nodes())
            ASSERT_TRUE(m_system.waitReady(node)) << node;
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return get("/quotes/").response.status == 200; }));
    }

    static std::vector<std::string> nodes() { return {"node-1", "node-2", "node-3"}; }
    LocalSystem &system() { return m_system; }

    void configure(int version, const std::vector<std::string> &keys,
                   const std::vector<std::string> &prefixes = {"/quotes/"})
    {
        std::map<std::string, std::string> services;
        for (const std::string &prefix : prefixes)
            services[prefix] = "vanload";
        configureQueues(version, services, {"vanload"}, 16'000, keys);
    }

    // Sends each queue, named by its prefix, to a service. `ceiling` is the team's, in thousandths
    // of a core.
    void configureQueues(int version, const std::map<std::string, std::string> &queues,
                         const std::vector<std::string> &services, int ceiling,
                         const std::vector<std::string> &keys = {"good-key"})
    {
        nlohmann::json routes = nlohmann::json::array();
        for (const auto &[prefix, service] : queues) {
            routes.push_back({{"name", "r" + prefix},
                              {"host", "127.0.0.1"},
                              {"prefix", prefix},
                              {"timeout_ms", 8'000},
                              {"slo_ms", 600},
                              {"priority", 0},
                              {"service", service},
                              {"max_attempts", 3},
                              {"stretch", 1.6},
                              {"public", false}});
        }
        nlohmann::json pools{{{"name", "sundries"}, {"standby", true}}};
        for (const std::string &service : services)
            pools.push_back({{"name", service}, {"rejects_overload", true}});
        const nlohmann::json tenants{
            {{"name", "drivers"}, {"api_keys", keys}, {"weight", 1}, {"cap", {{"cpu", ceiling}}}}};
        writeOperatorRow(
            "config",
            {{"version", version}, {"routes", routes}, {"services", pools}, {"tenants", tenants}});
    }

    void writeOperatorRow(const std::string &key, const nlohmann::json &value)
    {
        EXPECT_EQ(m_system.writeOperatorRow(key, value.dump()), 200);
    }

    HttpAnswer call(const std::string &node, const std::string &method, const std::string &path,
                    const std::string &body = {}, const std::string &key = "good-key",
                    int deadlineMilliseconds = 6'000)
    {
        std::vector<HttpHeader> headers{{"deadline-ms", std::to_string(deadlineMilliseconds)},
                                        {"content-type", "application/json"}};
        if (!key.empty())
            headers.push_back({"authorization", "Token " + key});
        return m_system.call(m_system.member(node).workPort,
                             {.method = method, .path = path, .headers = headers, .body = body});
    }
    HttpAnswer get(const std::string &path) { return call("node-1", "GET", path); }

    static std::string jobBody(int tasks, int runMilliseconds)
    {
        const nlohmann::json payload{{"runMs", runMilliseconds}};
        const nlohmann::json first{{"count", tasks}, {"cpu", 1'000}, {"mem_mb", 256}};
        nlohmann::json second = first;
        second["after"] = {0};
        return nlohmann::json{{"spec", payload.dump()}, {"steps", {first, second}}}.dump();
    }

    int submit(const std::string &node, const std::string &id, int tasks = 2, int runMs = 50)
    {
        return call(node, "POST", "/quotes/" + id, jobBody(tasks, runMs)).response.status;
    }

    std::string stateOf(const std::string &node, const std::string &id)
    {
        const HttpAnswer answer = call(node, "GET", "/quotes/" + id);
        if (answer.response.status != 200)
            return std::to_string(answer.response.status);
        return nlohmann::json::parse(answer.response.body).value("state", "");
    }
    bool waitState(const std::string &node, const std::string &id, const std::string &state)
    {
        return LocalSystem::waitUntil([&] { return stateOf(node, id) == state; },
                                      std::chrono::milliseconds(15'000));
    }

    nlohmann::json record()
    {
        return nlohmann::json::parse(m_system.fetch("platform", "/record").response.body);
    }
    std::vector<nlohmann::json> runsOf(const std::string &id)
    {
        std::vector<nlohmann::json> runs;
        const nlohmann::json all = record();
        for (const nlohmann::json &run : all["runs"]) {
            if (run["job"] == id)
                runs.push_back(run);
        }
        return runs;
    }
    std::string violations() { return record()["breaches"].dump(); }
    // The node that owns the pool, which is the one that logged the highest epoch.
    std::string owner()
    {
        std::string latest;
        std::uint64_t highest = 0;
        for (const std::string &node : nodes()) {
            for (const nlohmann::json &line : logOf(node)) {
                if (line.value("event", "") != "pool.owned")
                    continue;
                const std::uint64_t epoch = std::stoull(line.value("epoch", "0"));
                if (epoch >= highest) {
                    highest = epoch;
                    latest = node;
                }
            }
        }
        return latest;
    }
    // Highest epoch in which a node has owned the pool.
    std::uint64_t highestEpoch()
    {
        std::uint64_t highest = 0;
        for (const std::string &node : nodes()) {
            for (const nlohmann::json &line : logOf(node)) {
                if (line.value("event", "") == "pool.owned")
                    highest
                        = std::max<std::uint64_t>(highest, std::stoull(line.value("epoch", "0")));
            }
        }
        return highest;
    }

    // Name of the node that acquired the resource last; empty if none has.
    std::string lastToAcquire(const std::string &resource)
    {
        std::string latest;
        std::uint64_t highest = 0;
        for (const std::string &node : nodes()) {
            for (const nlohmann::json &line : logOf(node)) {
                if (line.value("event", "") != "resource.acquired"
                    || line.value("resource", "") != resource)
                    continue;
                const std::uint64_t epoch = std::stoull(line.value("epoch", "0"));
                if (epoch > highest) {
                    highest = epoch;
                    latest = node;
                }
            }
        }
        return latest;
    }
    // While nodes join, the first one may hand its pool over. Afterwards the pool and the fleet
    // have different owners, and no resource changes hands until a node ends or loses the store.
    bool haveOwnersSettled()
    {
        const std::string fleetOwner = lastToAcquire("fleet");
        return !fleetOwner.empty() && fleetOwner != lastToAcquire("pool/vanload")
            && owner() == lastToAcquire("pool/vanload");
    }
    std::string otherThan(const std::string &name)
    {
        return name == "node-1" ? "node-2" : "node-1";
    }
    std::vector<nlohmann::json> logOf(const std::string &node);

private:
    LocalSystem m_system;
};

} // namespace sequoiapier

// JobTest is a fixture with a table, a task service with four workers, and two controllers. All
// workers are in the pool "batch". The teams are "pricing" (key "key") and "rounds" (key
// "rounds-key").
#pragma once

#include "cli/blockingcall.h"
#include "controller/hostrow.h"
#include "gen/JobService.h"
#include "platform/remotetable.h"
#include "testing/process/testname.h"
#include "testing/support/localsystem.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <set>
#include <sstream>
#include <thread>

namespace sequoiapier {

class JobTest : public testing::Test
{
protected:
    JobTest()
        : m_system(testName())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_system.startTable());
        ASSERT_TRUE(m_system.startTasks(taskFlags()));
        addHosts();
        ASSERT_TRUE(m_system.startController("controller-1", controllerFlags()));
        ASSERT_TRUE(m_system.startController("controller-2", controllerFlags()));
        ASSERT_EQ(m_system.applyConfiguration(toJson(configuration()), 0, "first"), 0)
            << m_system.output();
        for (const char *name : {"controller-1", "controller-2"}) {
            ASSERT_TRUE(LocalSystem::waitUntil([&] { return isServing(name); })) << name;
        }
    }

    virtual std::vector<std::string> taskFlags() const { return {}; }

    // Task lease, longer than a takeover, so that runs outlive the controller that started them.
    virtual std::string leaseMilliseconds() const { return "8000"; }

    std::vector<std::string> controllerFlags() const
    {
        return {"--job-turn-ms", "50", "--task-lease-ms", leaseMilliseconds()};
    }

    static Configuration configuration()
    {
        Configuration configuration;
        configuration.teams = {{.name = "pricing"}, {.name = "rounds", .ceiling = 3}};
        configuration.keys = {{.digest = keyDigest("key"), .team = "pricing"},
                              {.digest = keyDigest("rounds-key"), .team = "rounds"}};
        configuration.pools = {{.name = "batch"}};
        return configuration;
    }

    void addHosts()
    {
        Commit commit{.writeId = "test-hosts"};
        for (int i = 1; i <= 4; ++i) {
            const HostRow row{
                .host = "w" + std::to_string(i), .rack = "r1", .zone = "zone-1", .pool = "batch"};
            commit.writes.push_back({.key = hostKey(row.host), .value = toJson(row)});
        }
        BlockingCall call;
        RemoteTable table(call.http(), {{"127.0.0.1", m_system.member("table").adminPort}});
        call.run([&] {
            table.hooks().commit(commit, BootClock::now() + LocalSystem::Timeout,
                                 [&](const CommitAnswer &) { call.done(); });
        });
    }

    template<typename Args, typename Reply>
    RpcAnswer<Reply> callJobs(const std::string &controller, const std::string &method,
                              const Args &args)
    {
        BlockingCall call;
        RpcClient rpc(call.http());
        RpcAnswer<Reply> answer;
        call.run([&] {
            rpc.call<Args, Reply>({"127.0.0.1", m_system.member(controller).adminPort}, "/jobs",
                                  method, args, BootClock::now() + LocalSystem::Timeout,
                                  [&](RpcAnswer<Reply> reply) {
                                      answer = std::move(reply);
                                      call.done();
                                  });
        });
        return answer;
    }

    static api::JobRequest job(const std::string &id, const std::string &payload = "{}")
    {
        api::JobRequest request;
        request.id = id;
        request.pool = "batch";
        request.processors = 1;
        request.memory = 1;
        request.payload = payload;
        return request;
    }

    static api::JobRequest rerunnable(const std::string &id, const std::string &payload = "{}")
    {
        api::JobRequest request = job(id, payload);
        request.isRerunnable = true;
        return request;
    }

    // Submits the jobs and returns the result code of each; empty if no answer arrived.
    std::vector<int> submit(const std::vector<api::JobRequest> &jobs,
                            const std::string &key = "key",
                            const std::string &controller = "controller-1")
    {
        api::JobService_submit_args args;
        args.key = key;
        args.jobs = jobs;
        return codes(callJobs<api::JobService_submit_args, api::JobService_submit_result>(
            controller, "submit", args));
    }

    std::vector<int> cancel(const std::vector<std::string> &ids, const std::string &key = "key")
    {
        api::JobService_cancel_args args;
        args.key = key;
        args.pool = "batch";
        args.ids = ids;
        return codes(callJobs<api::JobService_cancel_args, api::JobService_cancel_result>(
            "controller-1", "cancel", args));
    }

    template<typename Reply>
    static std::vector<int> codes(const RpcAnswer<Reply> &answer)
    {
        std::vector<int> codes;
        if (answer.reply) {
            for (const api::JobAnswer &job : answer.reply->success)
                codes.push_back(job.code);
        }
        return codes;
    }

    api::JobStatus status(const std::string &id, const std::string &key = "key",
                          const std::string &controller = "controller-1")
    {
        api::JobService_status_args args;
        args.key = key;
        args.id = id;
        const auto answer = callJobs<api::JobService_status_args, api::JobService_status_result>(
            controller, "status", args);
        return answer.reply ? answer.reply->success : api::JobStatus();
    }

    bool isServing(const std::string &controller)
    {
        return status("none", "key", controller).code == int(ResultCode::NotFound);
    }

    bool waitState(const std::string &id, const std::string &state, const std::string &key = "key",
                   std::chrono::milliseconds timeout = LocalSystem::Timeout)
    {
        return LocalSystem::waitUntil([&] { return status(id, key).state == state; }, timeout);
    }

    nlohmann::json record()
    {
        return nlohmann::json::parse(m_system.fetch("tasks", "/record").response.body);
    }

    // Runs of one job that began, from the workers' record.
    nlohmann::json runs(const std::string &id, const std::string &team = "pricing")
    {
        return record().at("runs").value("batch/" + team + "/" + id, nlohmann::json::array());
    }

    // Whether the controller owns the pool according to its own event log.
    bool hasPool(const std::string &controller)
    {
        const std::string events = m_system.fetch(controller, "/events").response.body;
        const std::size_t taken = events.rfind("jobs.taken");
        const std::size_t left = events.rfind("jobs.left");
        return taken != std::string::npos && (left == std::string::npos || left < taken);
    }

    // Waits until the two controllers know each other and agree on the owner of the pool, and
    // returns the owner. A controller takes all pools until it has heard of others.
    std::string waitOwner()
    {
        constexpr std::chrono::milliseconds SettleTime{2'500}; // Two scans of the members.
        auto since = std::chrono::steady_clock::now();
        EXPECT_TRUE(LocalSystem::waitUntil([&] {
            if (hasPool("controller-1") == hasPool("controller-2"))
                since = std::chrono::steady_clock::now();
            return std::chrono::steady_clock::now() - since > SettleTime;
        }));
        return hasPool("controller-1") ? "controller-1" : "controller-2";
    }

    static std::string otherThan(const std::string &controller)
    {
        return controller == "controller-1" ? "controller-2" : "controller-1";
    }

    void kill(const std::string &name)
    {
        ChildProcess &process = m_system.member(name).process;
        process.signal(SIGKILL);
        EXPECT_TRUE(process.waitExit(LocalSystem::Timeout).has_value());
    }

    LocalSystem &system() { return m_system; }

private:
    LocalSystem m_system;
};

} // namespace sequoiapier

// Configuration changes by operators and their distribution to gateways, with each role in its own
// process.
#include "cli/blockingcall.h"
#include "platform/remotetable.h"
#include "testing/process/oneservicetest.h"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

// Longest time from the operator's answer to the last request that starts under a withdrawn key.
constexpr auto WithdrawalBound = 5s;

class ConfigurationProcess : public OneServiceTest
{
protected:
    void SetUp() override
    {
        OneServiceTest::SetUp();
        if (HasFatalFailure())
            return;
        m_document = toJson(configuration());
        m_version = answeredVersion();
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return status("key") == 200; }));
    }

    // The result code of the last answer, which has the form "200 committed version 7 ".
    std::string answeredCode() { return system().output().substr(0, 3); }
    std::uint64_t answeredVersion()
    {
        const std::size_t word = system().output().find("version ");
        return word == std::string::npos ? 0 : std::stoull(system().output().substr(word + 8));
    }
    int status(const std::string &key)
    {
        return system().work("gateway-1", "prices", key, "x").response.status;
    }
    std::string events(const std::string &name)
    {
        return system().fetch(name, "/events").response.body;
    }
    // Writes the configuration row directly to the table, bypassing the controllers.
    CommitOutcome writeRow(const std::string &value, std::uint64_t base)
    {
        BlockingCall call;
        RemoteTable remote(call.http(), {{"127.0.0.1", system().member("table").adminPort}});
        const Table table = remote.hooks();
        CommitOutcome outcome = CommitOutcome::Unknown;
        call.run([&] {
            table.commit({.writeId = "test/" + std::to_string(base),
                          .writes = {{std::string(ConfigurationKey), value, base}}},
                         BootClock::now() + 5s, [&](const CommitAnswer &answer) {
                             outcome = answer.outcome;
                             call.done();
                         });
        });
        return outcome;
    }

    std::string m_document;
    std::uint64_t m_version = 0;
};

TEST_F(ConfigurationProcess, RacingOperatorsGetOneCommitAndOneConflict)
{
    const std::string base = std::to_string(m_version);
    EXPECT_EQ(system().ctl({"team", "set", "returns", "--base-version", base, "--operation-id",
                            "operator-a"}),
              0)
        << system().output();
    const std::uint64_t committed = answeredVersion();
    EXPECT_NE(system().ctl(
                  {"team", "set", "tills", "--base-version", base, "--operation-id", "operator-b"}),
              0);
    EXPECT_EQ(answeredCode(), "201") << system().output();
    EXPECT_EQ(answeredVersion(), committed);
    EXPECT_EQ(system().ctl({"team", "set", "returns", "--operation-id", "operator-a"}), 0);
    EXPECT_EQ(answeredVersion(), committed) << "a repeat has the first outcome";
    EXPECT_NE(system().ctl({"team", "set", "tills", "--operation-id", "operator-b"}), 0);
    EXPECT_EQ(answeredCode(), "201") << system().output();
}

TEST_F(ConfigurationProcess, AnswerLostAfterTheWriteIsStillCommitted)
{
    const auto setTeam = [&](const std::string &name) {
        return system().ctl({"team", "set", name, "--operation-id", name, "--base-version",
                             std::to_string(m_version)});
    };
    // The first round loses the answer of the change. The second also loses the answer of the
    // refusal that is written after it.
    for (const int lost : {1, 2}) {
        const std::string name = "lost-" + std::to_string(lost);
        ASSERT_TRUE(system().setFaults("table",
                                       R"({"lostCommitsOf": "operator/", "lostCommits": )"
                                           + std::to_string(lost) + "}"));
        setTeam(name);
        EXPECT_EQ(answeredCode(), lost == 1 ? "200" : "203") << system().output();
        EXPECT_EQ(setTeam(name), 0) << system().output();
        m_version = answeredVersion();
        ASSERT_NE(m_version, 0U);
    }
    EXPECT_EQ(system().ctl({"configuration"}), 0);
    for (const char *team : {"lost-1", "lost-2"})
        EXPECT_NE(system().output().find(team), std::string::npos) << team;
}

TEST_F(ConfigurationProcess, OutageIsAnsweredTruthfully)
{
    ASSERT_TRUE(system().setFaults("table", "{\"outage\": true}"));
    EXPECT_NE(system().applyConfiguration(m_document, m_version, "during"), 0);
    EXPECT_EQ(answeredCode(), "203") << system().output();
    ASSERT_TRUE(system().setFaults("table", "{}"));
    EXPECT_EQ(system().applyConfiguration(m_document, m_version, "during"), 0);
    EXPECT_GT(answeredVersion(), m_version);
    EXPECT_EQ(status("key"), 200);
}

TEST_F(ConfigurationProcess, MalformedRowIsRejectedWholeAndTheLastGoodOneServes)
{
    ASSERT_EQ(writeRow("{\"teams\": [{\"name\": \"x\"}], \"keys\": 3}", m_version),
              CommitOutcome::Committed);
    ASSERT_TRUE(LocalSystem::waitUntil(
        [&] { return events("gateway-1").find("configuration.rejected") != std::string::npos; }));
    EXPECT_EQ(status("key"), 200);
    EXPECT_NE(system().ctl({"team", "set", "x"}), 0) << "no edit of what can't be parsed";
    ASSERT_EQ(system().ctl({"configuration"}), 0);
    const std::uint64_t malformed = answeredVersion();
    EXPECT_EQ(system().applyConfiguration(m_document, malformed, "mend"), 0) << system().output();
    EXPECT_EQ(status("key"), 200);
}

TEST_F(ConfigurationProcess, GrantedKeyWorksAndWithdrawnKeyIsRefusedWithinTheBound)
{
    const std::string file = testing::TempDir() + "sequoiapier-key-" + std::to_string(getpid());
    std::filesystem::remove(file);
    ASSERT_EQ(system().ctl({"key", "grant", "pricing", file}), 0) << system().output();
    std::ifstream stream(file);
    std::string key;
    std::getline(stream, key);
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return status(key) == 200; }));
    ASSERT_EQ(system().ctl({"configuration"}), 0);
    EXPECT_EQ(system().output().find(key), std::string::npos) << "the key itself travelled";
    ASSERT_EQ(system().ctl({"key", "withdraw", file}), 0) << system().output();
    const auto answeredAt = std::chrono::steady_clock::now();
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return status(key) == 403; }, WithdrawalBound));
    EXPECT_LE(std::chrono::steady_clock::now() - answeredAt, WithdrawalBound);
    EXPECT_EQ(status("key"), 200) << "the team's other key";
    std::filesystem::remove(file);
}

TEST_F(ConfigurationProcess, PausedGatewayDoesNotServeAWithdrawnKeyWhenResumed)
{
    const auto call = [&](const std::string &id) {
        return system().work("gateway-1", "prices", "key", "x", {{"x-request-id", id}}).response;
    };
    const auto hasRun = [&](const std::string &id) {
        return system().fetch("runner-1", "/record").response.body.find(id) != std::string::npos;
    };
    EXPECT_EQ(call("before-the-pause").status, 200);
    EXPECT_TRUE(hasRun("before-the-pause"));
    ChildProcess &gateway = system().member("gateway-1").process;
    gateway.signal(SIGSTOP);
    ASSERT_EQ(system().ctl({"key", "withdraw-digest", keyDigest("key")}), 0) << system().output();
    const auto answeredAt = std::chrono::steady_clock::now();
    // A request that arrives during the pause waits in the gateway's socket. It is refused as not
    // run, and it has not run.
    HttpResponse paused;
    std::thread caller([&] { paused = call("during-the-pause"); });
    std::this_thread::sleep_until(answeredAt + WithdrawalBound);
    gateway.signal(SIGCONT);
    caller.join();
    EXPECT_TRUE(paused.status == 403 || paused.status == 503) << paused.status;
    EXPECT_NE(paused.body.find("\"run\":\"not-run\""), std::string::npos) << paused.body;
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return status("key") == 403; }));
    EXPECT_FALSE(hasRun("during-the-pause"));
}

} // namespace
} // namespace sequoiapier

// Tests of runners that restart under their ids and are then cut off from the store and from the
// owner of their pool. Orders that were meant for the life before are carried out at the new one,
// which grants them its longest lease, 10 s, where the owner means 5 s. Their tasks must not be
// started elsewhere before that lease has expired, whether the runner is listed or not.
#include "testing/process/platformtest.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <set>
#include <thread>

namespace sequoiapier {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char *JobA = "5c0e7a21d94b36f8";
constexpr const char *JobB = "00000000000000bb";

class RestartAndCut : public PlatformTest
{
protected:
    static inline const std::vector<std::string> Runners{"i-0", "i-1", "i-2"};

    static constexpr milliseconds LongestOutage{16'000};

    explicit RestartAndCut(const std::string &name = testName())
        : PlatformTest(name)
    { }

    void SetUp() override
    {
        PlatformTest::SetUp();
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return haveOwnersSettled(); }));
    }

    void setFaults(const json &faults)
    {
        EXPECT_TRUE(system().setFaults("platform", faults.dump()));
    }

    // Restarts all runners, so that the owner has not heard of it when it sends the next orders.
    void restartRunners()
    {
        for (const std::string &runner : Runners)
            EXPECT_TRUE(system().post("platform", "/crash", json{{"runner", runner}}.dump()));
    }

    // Starts a job with a task on each of `count` runners.
    void startTasks(const std::string &job, std::size_t count, milliseconds runTime)
    {
        const json step{{"count", count}, {"cpu", 1'000}, {"mem_mb", 256}, {"anti_affinity", 1}};
        const json body{{"spec", json{{"runMs", runTime.count()}}.dump()}, {"steps", {step}}};
        EXPECT_EQ(call("node-1", "POST", "/quotes/" + job, body.dump()).response.status, 200);
        EXPECT_TRUE(LocalSystem::waitUntil([&] { return runsOf(job).size() == count; }));
    }

    // Starts a job of one task, and returns the runner of its run.
    std::string startTask(const std::string &job)
    {
        startTasks(job, 1, milliseconds(60'000));
        return runsOf(job).at(0)["runner"];
    }

    // Cuts the runner off from the store and from all nodes.
    void cut(const std::string &runner)
    {
        setFaults({{"silentRunners", {runner}}, {"hiddenRunners", {runner}}});
    }

    // Kills the pool's owner and waits for the next one, which knows that the former one has ended.
    void replaceOwner()
    {
        const std::string killed = owner();
        const std::uint64_t epoch = highestEpoch();
        system().member(killed).process.signal(SIGKILL);
        system().replace(killed);
        ASSERT_TRUE(
            LocalSystem::waitUntil([&] { return highestEpoch() > epoch; }, milliseconds(15'000)));
    }

    void expectMovedWithoutOverlap(const std::string &job)
    {
        EXPECT_TRUE(LocalSystem::waitUntil([&] { return runsOf(job).size() == 2; }, LongestOutage));
        EXPECT_EQ(violations(), "[]");
    }
};

TEST_F(RestartAndCut, RunIsNotDoubledWhenItsStartWasNotAnswered)
{
    restartRunners();
    setFaults({{"lostStarts", 1}});
    cut(startTask(JobA));
    expectMovedWithoutOverlap(JobA);
}

TEST_F(RestartAndCut, RunIsNotDoubledByTheNextOwner)
{
    restartRunners();
    cut(startTask(JobA));
    replaceOwner();
    expectMovedWithoutOverlap(JobA);
}

// A lease is the runner's: that of the former owner's task also keeps the next owner's task going.
TEST_F(RestartAndCut, RunOfTheNextOwnerIsNotDoubledWhileTheFormerOwnersLeaseGoesOn)
{
    restartRunners();
    startTasks(JobB, Runners.size(), milliseconds(50));
    replaceOwner();
    cut(startTask(JobA));
    expectMovedWithoutOverlap(JobA);
}

unsigned numberFromEnvironment(const char *name, unsigned standard)
{
    const char *text = std::getenv(name);
    return text != nullptr ? unsigned(std::stoul(text)) : standard;
}

// Restarts, cuts and loses answers of runners, kills and freezes nodes and changes the
// configuration, in series that overlap, while jobs with short and long tasks are submitted.
// RESTART_SOAK_SEED and RESTART_SOAK_SECONDS choose another run by hand.
class RestartSoak : public RestartAndCut
{
protected:
    RestartSoak()
        : RestartAndCut(testName() + "-" + std::to_string(seed()))
    { }

    static unsigned seed() { return numberFromEnvironment("RESTART_SOAK_SEED", 1); }

    void run(milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        for (unsigned i = 0; std::chrono::steady_clock::now() < end; ++i) {
            submitJob(std::to_string(1'000'000'000'000'000 + seed() * 10'000 + i));
            for (std::uint32_t changes = m_random() % 4; changes > 0; --changes) {
                change();
                std::this_thread::sleep_for(milliseconds(m_random() % 300));
            }
            std::this_thread::sleep_for(milliseconds(m_random() % 900));
        }
        wakeNode();
        setFaults(json::object());
        for (const std::string &id : m_accepted) {
            EXPECT_TRUE(LocalSystem::waitUntil([&] { return stateOf("node-1", id) == "completed"; },
                                               milliseconds(60'000)))
                << id << " " << stateOf("node-1", id);
        }
        std::cout << "seed " << seed() << ": " << m_accepted.size() << " jobs accepted, "
                  << record()["runs"].size() << " runs\n";
        EXPECT_FALSE(m_accepted.empty());
        EXPECT_EQ(violations(), "[]");
    }

private:
    std::string pick(const std::vector<std::string> &names)
    {
        return names[m_random() % names.size()];
    }

    void submitJob(const std::string &id)
    {
        const json payload{{"runMs", 200 + m_random() % 12'000}, {"failures", m_random() % 2}};
        const json step{{"count", 1 + m_random() % 3}, {"cpu", 1'000}, {"mem_mb", 256}};
        const json body{{"spec", payload.dump()}, {"steps", {step}}};
        const std::string node = pick(nodes());
        if (node != m_frozenNode
            && call(node, "POST", "/quotes/" + id, body.dump(), "good-key", 900).response.status
                == 200) {
            m_accepted.insert(id);
        }
    }

    void toggle(std::set<std::string> &names, std::size_t most)
    {
        const std::string name = pick(Runners);
        if (names.erase(name) == 0 && names.size() < most)
            names.insert(name);
    }

    void change()
    {
        switch (m_random() % 9) {
        case 0:
        case 1:
            for (const std::string &runner : Runners) {
                if (m_random() % 2 == 0)
                    system().post("platform", "/crash", json{{"runner", runner}}.dump());
            }
            return;
        case 2:
        case 3:
            toggle(m_silentRunners, 2);
            break;
        case 4:
            toggle(m_hiddenRunners, 2);
            break;
        case 5:
            m_lostStarts = int(m_random() % 3);
            break;
        case 6:
            wakeNode();
            system().replace(pick(nodes()));
            return;
        case 7:
            if (m_frozenNode.empty())
                freezeNode(pick(nodes()));
            else
                wakeNode();
            return;
        default:
            configure(++m_configurationVersion, {"good-key"});
            return;
        }
        setFaults({{"silentRunners", m_silentRunners},
                   {"hiddenRunners", m_hiddenRunners},
                   {"lostStarts", m_lostStarts}});
    }

    void freezeNode(const std::string &node)
    {
        m_frozenNode = node;
        system().member(node).process.signal(SIGSTOP);
    }

    void wakeNode()
    {
        if (!m_frozenNode.empty())
            system().member(m_frozenNode).process.signal(SIGCONT);
        m_frozenNode.clear();
    }

    std::mt19937 m_random{seed()};
    std::set<std::string> m_accepted;
    std::set<std::string> m_silentRunners;
    std::set<std::string> m_hiddenRunners;
    int m_lostStarts = 0;
    int m_configurationVersion = 1;
    std::string m_frozenNode;
};

TEST_F(RestartSoak, AcceptedJobsRunOnceWhileRunnersRestartAndAreCutOff)
{
    run(milliseconds(1'000 * numberFromEnvironment("RESTART_SOAK_SECONDS", 40)));
}

} // namespace
} // namespace sequoiapier

// Tests of pools whose nodes and runners are cut off from the store one by one, while owners and
// runners still reach one another. A run that a cut-off owner keeps alive must not be started again
// by the next owner, which neither sees the run's runner in the live list nor may reach it.
#include "testing/process/platformtest.h"

#include <algorithm>
#include <cstdlib>
#include <future>
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

class CutLinks : public PlatformTest
{
protected:
    static inline const std::vector<std::string> Runners{"i-0", "i-1", "i-2"};

    explicit CutLinks(const std::string &name = testName())
        : PlatformTest(name)
    { }

    // The tests cut off the node that owns the pool when they begin.
    void SetUp() override
    {
        PlatformTest::SetUp();
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return haveOwnersSettled(); }));
    }

    void setFaults(const json &faults)
    {
        EXPECT_TRUE(system().setFaults("platform", faults.dump()));
    }

    // Starts a job of one task, and returns the runner of its run.
    std::string startTask(milliseconds runTime)
    {
        const json step{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 256}};
        const json body{{"spec", json{{"runMs", runTime.count()}}.dump()}, {"steps", {step}}};
        EXPECT_EQ(
            call("node-1", "POST", std::string("/quotes/") + JobA, body.dump()).response.status,
            200);
        EXPECT_TRUE(LocalSystem::waitUntil([&] { return runsOf(JobA).size() == 1; }));
        return runsOf(JobA).at(0)["runner"];
    }

    bool waitNextOwner(const std::string &former)
    {
        return LocalSystem::waitUntil([&] { return owner() != former; }, milliseconds(15'000));
    }

    // Cuts the former owner and the runner off together: the runner from the store and from later
    // owners, the owner from the store and from all other runners.
    json islandOf(const std::string &runner, const std::string &former)
    {
        const std::uint64_t next = highestEpoch() + 1;
        json lowest;
        for (const std::string &other : Runners) {
            if (other != runner)
                lowest[other] = next;
        }
        return {{"hiddenRunners", {runner}},
                {"deafRunners", {{runner, next}}},
                {"lowestFences", lowest},
                {"cutNodes", {former}}};
    }

    std::size_t countEvents(const std::string &node, const std::string &event)
    {
        const std::vector<json> lines = logOf(node);
        return std::size_t(std::count_if(lines.begin(), lines.end(), [&](const json &line) {
            return line.value("event", "") == event;
        }));
    }

    void expectOneRun(milliseconds timeout)
    {
        EXPECT_TRUE(
            LocalSystem::waitUntil([&] { return stateOf(owner(), JobA) == "completed"; }, timeout));
        EXPECT_EQ(runsOf(JobA).size(), 1U) << runsOf(JobA);
        EXPECT_EQ(violations(), "[]");
    }
};

// The next owner fences the runner at its address, and the run goes on.
TEST_F(CutLinks, RunGoesOnAfterItsRunnerAndThenItsOwnerLostTheStore)
{
    const std::string runner = startTask(milliseconds(14'000));
    const std::string former = owner();
    setFaults({{"hiddenRunners", {runner}}});
    std::this_thread::sleep_for(milliseconds(700));
    setFaults({{"hiddenRunners", {runner}}, {"cutNodes", {former}}});
    ASSERT_TRUE(waitNextOwner(former));
    expectOneRun(milliseconds(25'000));
}

TEST_F(CutLinks, RunGoesOnAfterItsOwnerAndThenItsRunnerLostTheStore)
{
    const std::string runner = startTask(milliseconds(14'000));
    const std::string former = owner();
    setFaults({{"rejectedNodes", {former}}});
    std::this_thread::sleep_for(milliseconds(700));
    setFaults({{"hiddenRunners", {runner}}, {"rejectedNodes", {former}}});
    ASSERT_TRUE(waitNextOwner(former));
    expectOneRun(milliseconds(25'000));
}

// The owner after the next one finds the address as well.
TEST_F(CutLinks, RunGoesOnUnderTwoMoreOwnersThatDoNotSeeItsRunnerListed)
{
    const std::string runner = startTask(milliseconds(18'000));
    const std::string first = owner();
    setFaults({{"hiddenRunners", {runner}}, {"cutNodes", {first}}});
    ASSERT_TRUE(waitNextOwner(first));
    const std::string second = owner();
    setFaults({{"hiddenRunners", {runner}}, {"cutNodes", {first, second}}});
    ASSERT_TRUE(waitNextOwner(second));
    expectOneRun(milliseconds(30'000));
}

// The owner wakes after its term and must not go on as before.
TEST_F(CutLinks, RunGoesOnAfterItsRunnerLostTheStoreAndItsOwnerFroze)
{
    const std::string runner = startTask(milliseconds(16'000));
    const std::string former = owner();
    setFaults({{"hiddenRunners", {runner}}});
    std::this_thread::sleep_for(milliseconds(700));
    system().member(former).process.signal(SIGSTOP);
    ASSERT_TRUE(waitNextOwner(former));
    std::this_thread::sleep_for(milliseconds(3'000));
    system().member(former).process.signal(SIGCONT);
    expectOneRun(milliseconds(25'000));
}

TEST_F(CutLinks, RunGoesOnAfterItsOwnerWasStoppedWhileItsRunnerIsNotListed)
{
    const std::string runner = startTask(milliseconds(14'000));
    const std::string former = owner();
    setFaults({{"hiddenRunners", {runner}}});
    std::this_thread::sleep_for(milliseconds(700));
    system().member(former).process.signal(SIGTERM);
    ASSERT_TRUE(waitNextOwner(former));
    expectOneRun(milliseconds(25'000));
}

// Both links are cut while the configuration changes, and come back one after the other.
TEST_F(CutLinks, RunGoesOnWhileTheConfigurationChangesAndTheLinksComeBack)
{
    const std::string runner = startTask(milliseconds(16'000));
    const std::string former = owner();
    setFaults({{"hiddenRunners", {runner}}, {"cutNodes", {former}}});
    configure(2, {"good-key", "other-key"});
    ASSERT_TRUE(waitNextOwner(former));
    configure(3, {"good-key"}, {"/quotes/", "/levies/"});
    std::this_thread::sleep_for(milliseconds(2'000));
    setFaults({{"hiddenRunners", {runner}}});
    std::this_thread::sleep_for(milliseconds(2'000));
    setFaults(json::object());
    expectOneRun(milliseconds(25'000));
}

// The task stalls between the end of the owner's term and that of its renewals. An owner with a
// term would stop it.
TEST_F(CutLinks, OwnerWithoutATermSendsNoOrders)
{
    const std::string runner = startTask(milliseconds(60'000));
    const std::string former = owner();
    json faults = islandOf(runner, former);
    setFaults(faults);
    std::this_thread::sleep_for(milliseconds(1'000));
    faults["hangingRunners"] = {runner};
    setFaults(faults);
    const auto how = [&] { return runsOf(JobA).at(0).value("how", std::string()); };
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return !how().empty(); }));
    EXPECT_EQ(how(), "lapsed");
    EXPECT_EQ(violations(), "[]");
}

// Nothing tells the next owner of the runner, so that it waits until the former one renews no more.
TEST_F(CutLinks, TaskWaitsForARunnerThatOnlyTheFormerOwnerReaches)
{
    const std::string runner = startTask(milliseconds(60'000));
    const std::string former = owner();
    setFaults(islandOf(runner, former));
    ASSERT_TRUE(waitNextOwner(former));
    EXPECT_TRUE(
        LocalSystem::waitUntil([&] { return runsOf(JobA).size() == 2; }, milliseconds(25'000)));
    EXPECT_EQ(violations(), "[]");
}

// A runner tells the former owner of the next one before the store does.
TEST_F(CutLinks, FencedOwnerGivesThePoolUpAtOnce)
{
    startTask(milliseconds(60'000));
    const std::string former = owner();
    const std::size_t before = countEvents(former, "pool.deposed");
    setFaults({{"cutNodes", {former}}});
    ASSERT_TRUE(waitNextOwner(former));
    EXPECT_TRUE(
        LocalSystem::waitUntil([&] { return countEvents(former, "pool.deposed") == before + 1; }));
    std::this_thread::sleep_for(milliseconds(2'000));
    EXPECT_EQ(countEvents(former, "pool.fenced"), 1U);
    EXPECT_EQ(runsOf(JobA).size(), 1U);
}

// Two requests for one job wait for a write whose outcome is not known. Neither may be told that
// the job never runs when the owner is deposed, as a caller would hand in the work anew.
TEST_F(CutLinks, RepeatedRequestOfADeposedOwnerIsNotSaidToHaveNotRun)
{
    startTask(milliseconds(60'000));
    std::this_thread::sleep_for(milliseconds(2'500)); // No earlier write is under way any more.
    const std::string former = owner();
    setFaults({{"cutNodes", {former}}});
    auto first = std::async(std::launch::async, [&] { return submit(former, JobB, 1); });
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return countEvents(former, "job.taken") == 2; }));
    EXPECT_EQ(submit(former, JobB, 1), 504);
    EXPECT_EQ(first.get(), 504);
    EXPECT_EQ(countEvents(former, "pool.fenced"), 1U);
}

// An owner that has not read the row of the job's queue yet takes no job of it, so that the refusal
// of both requests has to be true.
TEST_F(CutLinks, RequestsOfAnOwnerThatIsCutOffBeforeItKnowsTheQueueNeverRun)
{
    startTask(milliseconds(60'000));
    const std::string first = owner();
    system().member(first).process.signal(SIGTERM);
    ASSERT_TRUE(waitNextOwner(first));
    const std::string second = owner();
    setFaults({{"cutNodes", {second}}});
    const auto submitB = [&] { // Ends after the takeover, before which the outcome is not known.
        const std::string path = std::string("/quotes/") + JobB;
        return call(second, "POST", path, jobBody(1, 50), "good-key", 8'000).response.status;
    };
    auto refused = std::async(std::launch::async, submitB);
    EXPECT_EQ(submitB(), 503);
    EXPECT_EQ(refused.get(), 503);
    EXPECT_EQ(countEvents(second, "job.taken"), 0U);
    setFaults(json::object());
    ASSERT_TRUE(waitNextOwner(second));
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return stateOf(owner(), JobB) == "410"; }));
    EXPECT_TRUE(runsOf(JobB).empty());
    EXPECT_EQ(violations(), "[]");
}

// The next owner waits for renewals by the former one, but not by one that is known to have ended.
class TakeoverTime : public CutLinks
{
protected:
    static constexpr milliseconds LeaseAndGrace{6'900};
};

TEST_F(TakeoverTime, TaskOfALostRunnerIsBackAfterALeaseOnceItsKilledOwnerHasRestarted)
{
    const std::string runner = startTask(milliseconds(60'000));
    std::this_thread::sleep_for(milliseconds(2'500)); // The owner says that none before it renews.
    const std::string killed = owner();
    const std::uint64_t epoch = highestEpoch();
    setFaults({{"silentRunners", {runner}}, {"hiddenRunners", {runner}}});
    system().member(killed).process.signal(SIGKILL);
    system().replace(killed);
    ASSERT_TRUE(
        LocalSystem::waitUntil([&] { return highestEpoch() > epoch; }, milliseconds(15'000)));
    const auto owned = std::chrono::steady_clock::now();
    ASSERT_TRUE(
        LocalSystem::waitUntil([&] { return runsOf(JobA).size() == 2; }, milliseconds(15'000)));
    EXPECT_LT(std::chrono::steady_clock::now() - owned, LeaseAndGrace);
    EXPECT_EQ(violations(), "[]");
}

// Hosts of nodes are replaced one by one, so that the pool changes its owner again before the wait
// for the lease of the lost runner is over. The wait must not begin anew with each owner; each
// change may cost the hand-over and the age of the row that tells of the runner.
TEST_F(TakeoverTime, TaskOfALostRunnerIsBackAfterALeaseThoughOwnersChange)
{
    constexpr milliseconds ChangeCost{1'000}; // scan, claim and age of the row
    const std::string runner = startTask(milliseconds(60'000));
    std::this_thread::sleep_for(milliseconds(2'500)); // The owner says that none before it renews.
    setFaults({{"silentRunners", {runner}}, {"hiddenRunners", {runner}}});
    const auto isBack = [&] { return runsOf(JobA).size() == 2; };
    const auto changed = std::chrono::steady_clock::now();
    int changes = 0;
    while (changes < 5 && !isBack()) {
        const std::string former = owner();
        system().member(former).process.signal(SIGTERM);
        ASSERT_TRUE(waitNextOwner(former));
        ++changes;
        LocalSystem::waitUntil(isBack, milliseconds(2'500));
        system().replace(former);
        ASSERT_TRUE(system().waitReady(former));
    }
    ASSERT_TRUE(LocalSystem::waitUntil(isBack, milliseconds(20'000)));
    EXPECT_LT(std::chrono::steady_clock::now() - changed, LeaseAndGrace + changes * ChangeCost);
    EXPECT_EQ(violations(), "[]");
}

class StoreOutage : public CutLinks, public testing::WithParamInterface<const char *>
{
};

// A lease and the time for which it is renewed without the store cover the outage.
TEST_P(StoreOutage, OfFiveSecondsEndsNoRun)
{
    startTask(milliseconds(9'000));
    setFaults({{GetParam(), true}});
    std::this_thread::sleep_for(milliseconds(5'000));
    setFaults(json::object());
    expectOneRun(milliseconds(20'000));
}

INSTANTIATE_TEST_SUITE_P(CutLinks, StoreOutage, testing::Values("storeDown", "storeSilent"));

unsigned numberFromEnvironment(const char *name, unsigned standard)
{
    const char *text = std::getenv(name);
    return text != nullptr ? unsigned(std::stoul(text)) : standard;
}

// Cuts and restores links at random, in any order and overlap, while jobs are submitted.
// LINK_SOAK_SEED and LINK_SOAK_SECONDS choose another run by hand.
class LinkSoak : public CutLinks
{
protected:
    LinkSoak()
        : CutLinks(testName() + "-" + std::to_string(seed()))
    { }

    void change(std::mt19937 &random)
    {
        const auto pick
            = [&](const std::vector<std::string> &names) { return names[random() % names.size()]; };
        const auto toggle = [](std::set<std::string> &names, const std::string &name) {
            if (names.erase(name) == 0)
                names.insert(name);
        };
        switch (random() % 8) {
        case 0:
        case 1:
            toggle(m_cutNodes, pick(nodes()));
            break;
        case 2:
            toggle(m_rejectedNodes, pick(nodes()));
            break;
        case 3:
        case 4:
            toggle(m_hiddenRunners, pick(Runners));
            break;
        case 5:
            if (m_deafRunners.empty())
                m_deafRunners[pick(Runners)] = highestEpoch() + 1;
            else
                m_deafRunners.clear();
            break;
        case 6:
            system().replace(pick(nodes()));
            break;
        default:
            m_isStoreDown = !m_isStoreDown;
            break;
        }
        setFaults({{"cutNodes", m_cutNodes},
                   {"rejectedNodes", m_rejectedNodes},
                   {"hiddenRunners", m_hiddenRunners},
                   {"deafRunners", m_deafRunners},
                   {"storeDown", m_isStoreDown}});
    }

    void run(milliseconds duration)
    {
        std::mt19937 random(seed());
        const auto end = std::chrono::steady_clock::now() + duration;
        std::set<std::string> accepted;
        for (unsigned i = 0; std::chrono::steady_clock::now() < end; ++i) {
            const std::string id = std::to_string(1'000'000'000'000'000 + seed() * 10'000 + i);
            const json payload{{"runMs", 200 + random() % 6'000}, {"failures", random() % 2}};
            const json step{{"count", 1 + random() % 3}, {"cpu", 1'000}, {"mem_mb", 256}};
            const json body{{"spec", payload.dump()}, {"steps", {step}}};
            const std::string node = nodes()[random() % nodes().size()];
            if (call(node, "POST", "/quotes/" + id, body.dump(), "good-key", 900).response.status
                == 200) {
                accepted.insert(id);
            }
            if (random() % 2 == 0)
                change(random);
            std::this_thread::sleep_for(milliseconds(random() % 900));
        }
        setFaults(json::object());
        for (const std::string &id : accepted) {
            EXPECT_TRUE(LocalSystem::waitUntil([&] { return stateOf("node-1", id) == "completed"; },
                                               milliseconds(60'000)))
                << id << " " << stateOf("node-1", id);
        }
        std::cout << "seed " << seed() << ": " << accepted.size() << " jobs accepted, "
                  << record()["runs"].size() << " runs\n";
        EXPECT_FALSE(accepted.empty());
        EXPECT_EQ(violations(), "[]");
    }

    static unsigned seed() { return numberFromEnvironment("LINK_SOAK_SEED", 1); }

private:
    std::set<std::string> m_cutNodes;
    std::set<std::string> m_rejectedNodes;
    std::set<std::string> m_hiddenRunners;
    std::map<std::string, std::uint64_t> m_deafRunners;
    bool m_isStoreDown = false;
};

TEST_F(LinkSoak, AcceptedJobsRunOnceWhileLinksAreCutInAnyOrder)
{
    run(milliseconds(1'000 * numberFromEnvironment("LINK_SOAK_SECONDS", 40)));
}

} // namespace
} // namespace sequoiapier

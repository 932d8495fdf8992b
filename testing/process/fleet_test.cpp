// Hosts and maintenance waves with each role and the platform in its own process. Every test also
// checks the budgets against the record of the hosts (FleetTest::expectBudgetsHeld).
#include "testing/process/fleettest.h"

#include <random>
#include <thread>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

// Longer than any call that is in flight when a fault begins.
constexpr auto MaxCallDuration = 1s;
constexpr auto FaultDuration = 1500ms;

TEST_F(FleetTest, MovesAHostFromDrainToAdmission)
{
    ASSERT_EQ(ctl({"host", "move", "h00", "--pool", "benches", "--operation-id", "move-1"}), 0);
    EXPECT_TRUE(waitFor([&] {
        const nlohmann::json moved = host("h00");
        return moved.at("pool") == "benches" && moved.at("state") == "serving";
    })) << hosts();
    EXPECT_EQ(ctl({"host", "move", "h00", "--pool", "benches", "--operation-id", "move-1"}), 0)
        << "a repeat has the first outcome";
    EXPECT_EQ(ctl({"host", "move", "h00", "--pool", "nowhere"}), 7);
    EXPECT_EQ(answeredCode(), "205") << system().output();
    EXPECT_TRUE(waitFor([&] {
        return ctl({"host", "move", "h00", "--pool", "dawn"}) == 0;
    })) << system().output();
    EXPECT_TRUE(waitFor([&] { return host("h00").at("state") == "serving"; }));
    EXPECT_EQ(host("h00").at("pool"), "dawn");
    EXPECT_EQ(reboots(), 0);
}

// A wave takes the budget units that become free, so that few moves get one. The test declares one
// wave after another until a move succeeds.
TEST_F(FleetTest, MovesDuringAWaveKeepTheBudgets)
{
    constexpr int MaxWaves = 20;
    int waves = 0;
    int moved = 0;
    while (moved == 0 && waves < MaxWaves) {
        const std::string id = "spring-" + std::to_string(++waves);
        declareWave(id);
        for (int attempt = 0; !isFinished(id) && attempt < 200; ++attempt) {
            const std::string name = hostName(attempt % HostCount);
            const nlohmann::json before = host(name);
            const std::string target = before.at("pool") == "dawn" ? "benches" : "dawn";
            moved += ctl({"host", "move", name, "--pool", target}) == 0 ? 1 : 0;
            EXPECT_TRUE(std::set<std::string>({"200", "307", "400"}).contains(answeredCode()))
                << system().output();
        }
        ASSERT_TRUE(waitFor([&] { return isFinished(id); })) << wave(id);
        // A host maintained in the second in which a wave is declared counts as maintained by that
        // wave.
        std::this_thread::sleep_for(1100ms);
    }
    EXPECT_GT(moved, 0);
    EXPECT_TRUE(waitFor([&] { return countHosts("serving") == HostCount; })) << hosts();
    EXPECT_EQ(reboots(), waves * HostCount);
}

TEST_F(FleetTest, WaveEndsThoughAControllerIsKilled)
{
    declareWave("spring");
    ASSERT_TRUE(waitFor([&] { return doneOf("spring") >= 2; })) << wave("spring");
    kill("controller-1");
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(doneOf("spring"), HostCount);
    EXPECT_EQ(reboots(), HostCount) << "each host is rebooted once";
}

TEST_F(FleetTest, WaveGoesOnFromTheTableAloneAfterAllControllersDied)
{
    declareWave("spring");
    ASSERT_TRUE(waitFor([&] { return doneOf("spring") >= 2; })) << wave("spring");
    kill("controller-1");
    kill("controller-2");
    startController("controller-3");
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(doneOf("spring"), HostCount);
    EXPECT_EQ(reboots(), HostCount);
}

TEST_F(FleetTest, WaveEndsThoughAControllerIsPaused)
{
    declareWave("spring");
    ASSERT_TRUE(waitFor([&] { return doneOf("spring") >= 1; })) << wave("spring");
    const ChildProcess &paused = system().member("controller-2").process;
    paused.signal(SIGSTOP);
    EXPECT_TRUE(waitFor([&] { return doneOf("spring") >= HostCount / 2; })) << wave("spring");
    paused.signal(SIGCONT);
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(reboots(), HostCount);
}

TEST_F(FleetTest, OutageOfTheTableStopsDisruptionUntilItIsBack)
{
    declareWave("spring");
    ASSERT_TRUE(waitFor([&] { return doneOf("spring") >= 1; })) << wave("spring");
    ASSERT_TRUE(system().setFaults("table", R"({"outage": true})"));
    std::this_thread::sleep_for(MaxCallDuration);
    const std::size_t before = drainedCount();
    std::this_thread::sleep_for(FaultDuration);
    EXPECT_EQ(drainedCount(), before);
    EXPECT_EQ(ctl({"wave", "list"}), 6) << system().output();
    EXPECT_EQ(ctl({"wave", "pause", "spring", "--operation-id", "pause-1"}), 6);
    EXPECT_EQ(answeredCode(), "203") << system().output();
    ASSERT_TRUE(system().setFaults("table", "{}"));
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(reboots(), HostCount);
}

TEST_F(FleetTest, OutageOfTheHostInterfaceIsWaitedFor)
{
    declareWave("spring");
    ASSERT_TRUE(waitFor([&] { return doneOf("spring") >= 1; })) << wave("spring");
    ASSERT_TRUE(system().setFaults("hosts", R"({"outage": true})"));
    EXPECT_TRUE(waitFor([&] {
        return reasons("spring").find("host interface") != std::string::npos;
    })) << reasons("spring");
    EXPECT_EQ(stateOf("spring"), "running");
    ASSERT_TRUE(system().setFaults("hosts", R"({"lostAnswers": 30})"));
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(reboots(), HostCount);
}

TEST_F(FleetTest, TwoOperatorsDeclareWavesAtOnce)
{
    const auto declare = [](const std::string &id, const std::string &operation) {
        return std::vector<std::string>{"wave",    "declare",        id,
                                        "--pools", "dawn,benches",   "--max-out",
                                        "3",       "--operation-id", operation};
    };
    const std::vector<std::string> same = system().ctlAtOnce(
        {{"controller-1", declare("spring", "op-1")}, {"controller-2", declare("spring", "op-2")}});
    EXPECT_EQ(std::set<std::string>({same[0].substr(0, 3), same[1].substr(0, 3)}),
              std::set<std::string>({"200", "201"}))
        << same[0] << same[1];
    ASSERT_EQ(ctl(declare("summer", "op-3")), 0) << system().output();
    EXPECT_TRUE(waitFor([&] { return isFinished("spring") && isFinished("summer"); }))
        << wave("spring") << wave("summer");
    EXPECT_GE(reboots(), HostCount);
    EXPECT_LE(reboots(), 2 * HostCount);
}

TEST_F(FleetTest, HostThatDoesNotDrainIsSkippedAndReported)
{
    ASSERT_TRUE(system().setFaults("hosts", R"({"neverDrain": ["h05"]})"));
    declareWave("spring", {"--drain-s", "2"});
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(wave("spring").at("skipped"), nlohmann::json::array({"h05"}));
    EXPECT_EQ(doneOf("spring"), HostCount - 1);
    EXPECT_TRUE(waitFor([&] { return host("h05").at("state") == "serving"; })) << host("h05");
    ASSERT_EQ(ctl({"wave", "list"}), 0);
    EXPECT_NE(system().output().find("h05 did not drain in time"), std::string::npos)
        << system().output();
}

TEST_F(FleetTest, HostThatDoesNotDrainStopsTheWaveWhereDeclaredSo)
{
    ASSERT_TRUE(system().setFaults("hosts", R"({"neverDrain": ["h00"]})"));
    declareWave("spring", {"--drain-s", "1", "--overdue", "stop"});
    ASSERT_TRUE(waitFor([&] { return stateOf("spring") == "stopped"; })) << wave("spring");
    EXPECT_NE(reasons("spring").find("h00 did not drain in time"), std::string::npos)
        << reasons("spring");
    EXPECT_NE(host("h00").at("waitsFor").get<std::string>().find("3 tasks still run"),
              std::string::npos)
        << host("h00");
    ASSERT_EQ(ctl({"wave", "cancel", "spring"}), 0) << system().output();
    EXPECT_TRUE(waitFor([&] { return countHosts("serving") == HostCount; })) << hosts();
    EXPECT_EQ(ctl({"wave", "resume", "spring"}), 7);
    EXPECT_EQ(answeredCode(), "204") << system().output();
}

TEST_F(FleetTest, PausedWaveTakesNothingOutAndADrainIsCancelled)
{
    ASSERT_TRUE(system().setFaults("hosts", R"({"neverDrain": ["h00"]})"));
    declareWave("spring");
    ASSERT_TRUE(waitFor([&] { return host("h00").at("state") == "draining"; })) << hosts();
    ASSERT_EQ(ctl({"wave", "pause", "spring"}), 0) << system().output();
    ASSERT_TRUE(waitFor([&] { return countHosts("serving") == HostCount - 1; })) << hosts();
    const std::size_t before = drainedCount();
    ASSERT_EQ(ctl({"host", "cancel-drain", "h00"}), 0) << system().output();
    EXPECT_TRUE(waitFor([&] { return countHosts("serving") == HostCount; })) << hosts();
    EXPECT_EQ(drainedCount(), before);
    ASSERT_TRUE(system().setFaults("hosts", "{}"));
    ASSERT_EQ(ctl({"wave", "resume", "spring"}), 0) << system().output();
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(reboots(), HostCount);
}

TEST_F(FleetTest, LostAnswersOfTheTableDelayNothingForGood)
{
    ASSERT_TRUE(system().setFaults("table", R"({"lostCommits": 1, "lostCommitsOf": "operator/"})"));
    declareWave("spring");
    for (int round = 0; round < 3; ++round) {
        ASSERT_TRUE(
            system().setFaults("table", R"({"lostCommits": 2, "lostCommitsOf": "controller-"})"));
        std::this_thread::sleep_for(500ms);
    }
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(reboots(), HostCount);
}

TEST_F(FleetTest, LostHostsAreCountedAndAFailedRackStopsTheWave)
{
    declareWave("spring", {"--resume-after-repair"});
    ASSERT_TRUE(waitFor([&] { return doneOf("spring") >= 1; })) << wave("spring");
    ASSERT_TRUE(system().setFaults("hosts", R"({"dead": ["h08", "h09", "h10"]})"));
    EXPECT_TRUE(waitFor([&] { return stateOf("spring") == "stopped"; })) << wave("spring");
    EXPECT_NE(reasons("spring").find("rack/r2 has failed"), std::string::npos) << reasons("spring");
    ASSERT_TRUE(system().setFaults("hosts", "{}"));
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_TRUE(waitFor([&] { return countHosts("serving") == HostCount; })) << hosts();
    EXPECT_EQ(doneOf("spring"), HostCount);
}

TEST_F(FleetTest, LostHostDoesNotHoldUpTheOthers)
{
    ASSERT_TRUE(system().setFaults("hosts", R"({"dead": ["h05"]})"));
    // A host of the same rack may go out until the loss is seen.
    ASSERT_TRUE(waitFor([&] { return seesLost("controller-1", "h05"); })) << hosts();
    ASSERT_TRUE(waitFor([&] { return seesLost("controller-2", "h05"); })) << hosts();
    declareWave("spring");
    EXPECT_TRUE(waitFor([&] { return doneOf("spring") == HostCount - HostsOfRack; }))
        << "nothing else goes out of the rack of the lost host: " << wave("spring");
    EXPECT_TRUE(waitFor([&] { return wave("spring").at("out") == 0; })) << wave("spring");
    EXPECT_EQ(stateOf("spring"), "running");
    EXPECT_NE(reasons("spring").find("hosts lost by accident: 1"), std::string::npos)
        << reasons("spring");
    EXPECT_NE(reasons("spring").find("rack/r1 has no unit free"), std::string::npos)
        << reasons("spring");
    ASSERT_TRUE(system().setFaults("hosts", "{}"));
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
}

TEST_F(FleetTest, LimitOfAPoolFollowsTheConfiguration)
{
    const auto limitOfDawn = [&] {
        const nlohmann::json all = list("pool");
        for (const nlohmann::json &domain : all.value("domains", nlohmann::json::array())) {
            if (domain.at("domain") == "pool/dawn")
                return domain.at("limit").get<int>();
        }
        return -1;
    };
    ASSERT_EQ(ctl({"pool", "set", "dawn", "--max-unavailable", "0"}), 0) << system().output();
    ASSERT_TRUE(waitFor([&] { return limitOfDawn() == 0; }));
    declareWave("spring");
    EXPECT_TRUE(waitFor([&] { return doneOf("spring") == HostCount / 2; })) << wave("spring");
    EXPECT_NE(reasons("spring").find("pool/dawn has no unit free"), std::string::npos)
        << reasons("spring");
    ASSERT_EQ(ctl({"pool", "set", "dawn", "--max-unavailable", "2"}), 0) << system().output();
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(reboots(), HostCount);
}

TEST_F(FleetTest, WaveEndsUnderRandomFaults)
{
    std::mt19937 random(20'261'204);
    declareWave("spring");
    for (int round = 0; round < 8; ++round) {
        const std::string controller = random() % 2 == 0 ? "controller-1" : "controller-2";
        switch (random() % 6) {
        case 0:
            kill(controller);
            startController(controller);
            break;
        case 1:
            system().member(controller).process.signal(SIGSTOP);
            break;
        case 2:
            ASSERT_TRUE(system().setFaults("table", R"({"outage": true})"));
            break;
        case 3:
            ASSERT_TRUE(system().setFaults("table", R"({"lostAnswers": 3})"));
            break;
        case 4:
            ASSERT_TRUE(system().setFaults("hosts", R"({"outage": true, "silent": true})"));
            break;
        default:
            ASSERT_TRUE(system().setFaults("hosts", R"({"lostAnswers": 5})"));
            break;
        }
        std::this_thread::sleep_for(300ms);
        system().member(controller).process.signal(SIGCONT);
        ASSERT_TRUE(system().setFaults("table", "{}"));
        ASSERT_TRUE(system().setFaults("hosts", "{}"));
    }
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(doneOf("spring"), HostCount);
    EXPECT_EQ(reboots(), HostCount);
}

} // namespace
} // namespace sequoiapier

// Hosts and maintenance waves with each role and the platform in its own process.
#include "testing/process/fleettest.h"

#include <thread>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

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
    ASSERT_EQ(ctl({"host", "move", "h00", "--pool", "dawn"}), 0);
    EXPECT_TRUE(waitFor([&] { return host("h00").at("state") == "serving"; }));
    EXPECT_EQ(host("h00").at("pool"), "dawn");
    EXPECT_EQ(reboots(), 0);
}

TEST_F(FleetTest, WaveEndsThoughAControllerIsKilled)
{
    ASSERT_EQ(ctl({"wave", "declare", "spring", "--pools", "dawn,benches", "--max-out", "3"}), 0)
        << system().output();
    ASSERT_TRUE(waitFor([&] { return doneOf("spring") >= 2; })) << wave("spring");
    kill("controller-1");
    EXPECT_TRUE(waitFor([&] { return isFinished("spring"); })) << wave("spring");
    EXPECT_EQ(doneOf("spring"), HostCount);
    EXPECT_EQ(reboots(), HostCount) << "each host is rebooted once";
}

} // namespace
} // namespace sequoiapier

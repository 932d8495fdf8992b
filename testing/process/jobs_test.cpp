// Jobs with each role in its own process, checked against the workers' record of the runs.
#include "testing/process/jobtest.h"

#include <fstream>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int Committed = int(ResultCode::Committed);
constexpr milliseconds UrgentStart{2'600};

class Jobs : public JobTest
{
};

TEST_F(Jobs, SubmittedJobRunsOnceAndIsDone)
{
    ASSERT_EQ(submit({job("a")}), std::vector<int>{Committed});
    ASSERT_TRUE(waitState("a", "done"));
    EXPECT_EQ(runs("a").size(), 1U);
    EXPECT_EQ(submit({job("a")}, "key", "controller-2"), std::vector<int>{Committed});
    EXPECT_EQ(submit({job("a", R"({"runMs": 7})")}), std::vector<int>{int(ResultCode::Conflict)});
    EXPECT_EQ(status("a").state, "done");
    EXPECT_EQ(runs("a").size(), 1U);
}

TEST_F(Jobs, ControllerKilledBetweenRowAndStartIsSucceeded)
{
    const std::string owner = waitOwner();
    const std::string other = otherThan(owner);
    ASSERT_TRUE(system().setFaults("tasks", R"({"lostStarts": 1000000})"));
    ASSERT_EQ(submit({job("a")}), std::vector<int>{Committed});
    ASSERT_TRUE(waitState("a", "placed"));
    kill(owner);
    ASSERT_TRUE(system().setFaults("tasks", "{}"));
    EXPECT_EQ(runs("a").size(), 0U);
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return status("a", "key", other).state == "done"; }));
    EXPECT_EQ(runs("a").size(), 1U);
    EXPECT_EQ(status("a", "key", other).attempt, 1);
}

TEST_F(Jobs, ControllerKilledBetweenStartAndAnswerIsSucceeded)
{
    const std::string owner = waitOwner();
    const std::string other = otherThan(owner);
    ASSERT_TRUE(system().setFaults("tasks", R"({"lostStartAnswers": 1000000})"));
    ASSERT_EQ(submit({job("a", R"({"runMs": 1000})")}), std::vector<int>{Committed});
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return runs("a").size() == 1; }));
    kill(owner);
    ASSERT_TRUE(system().setFaults("tasks", "{}"));
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return status("a", "key", other).state == "done"; }));
    EXPECT_EQ(runs("a").size(), 1U);
}

TEST_F(Jobs, ControllerPausedUntilItIsSucceededStartsNothingTwice)
{
    const std::string owner = waitOwner();
    const std::string other = otherThan(owner);
    std::vector<std::string> ids;
    const auto submitSome = [&] {
        for (int i = 0; i < 8; ++i) {
            ids.push_back("j" + std::to_string(ids.size()));
            EXPECT_EQ(submit({job(ids.back())}, "key", other), std::vector<int>{Committed});
        }
    };
    submitSome();
    system().member(owner).process.signal(SIGSTOP);
    submitSome();
    ASSERT_TRUE(
        LocalSystem::waitUntil([&] { return status(ids.back(), "key", other).state == "done"; }));
    EXPECT_TRUE(hasPool(other));
    system().member(owner).process.signal(SIGCONT);
    submitSome();
    for (const std::string &id : ids) {
        EXPECT_TRUE(LocalSystem::waitUntil([&] {
            return status(id, "key", other).state == "done";
        })) << id;
        EXPECT_EQ(runs(id).size(), 1U) << id;
    }
    EXPECT_EQ(record().at("overlaps"), 0);
}

TEST_F(Jobs, LostAnswersOfTheTableStartNothingTwice)
{
    ASSERT_TRUE(
        system().setFaults("table", R"({"lostCommits": 6, "lostCommitsOf": "controller"})"));
    std::vector<api::JobRequest> jobs;
    jobs.reserve(4);
    for (int i = 0; i < 4; ++i)
        jobs.push_back(job("j" + std::to_string(i)));
    EXPECT_EQ(submit(jobs), std::vector<int>(4, Committed));
    for (const api::JobRequest &request : jobs) {
        EXPECT_TRUE(waitState(request.id, "done")) << request.id;
        EXPECT_EQ(runs(request.id).size(), 1U) << request.id;
    }
}

TEST_F(Jobs, TaskServiceOutageDelaysOnly)
{
    ASSERT_TRUE(system().setFaults("tasks", R"({"outage": true})"));
    ASSERT_EQ(submit({job("a")}), std::vector<int>{Committed});
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(status("a").state, "waiting");
    ASSERT_TRUE(system().setFaults("tasks", R"({"lostAnswers": 1})"));
    EXPECT_TRUE(waitState("a", "done"));
    EXPECT_EQ(runs("a").size(), 1U);
}

TEST_F(Jobs, ImpossibleJobIsToldSoWithTheReason)
{
    api::JobRequest huge = job("huge");
    huge.accelerators = 1;
    ASSERT_EQ(submit({huge, job("a")}), std::vector<int>(2, Committed));
    ASSERT_TRUE(waitState("huge", "impossible"));
    EXPECT_EQ(status("huge").code, int(ResultCode::JobNeverFits));
    EXPECT_NE(status("huge").detail.find("1 accelerators"), std::string::npos);
    EXPECT_TRUE(waitState("a", "done"));
    EXPECT_EQ(runs("huge").size(), 0U);
}

TEST_F(Jobs, CeilingHoldsWithBothControllersPlacing)
{
    std::vector<std::string> ids;
    for (int i = 0; i < 24; ++i) {
        api::JobRequest request = job("j" + std::to_string(i), R"({"runMs": 150})");
        request.isUrgent = true; // Placed by the controller that accepts it.
        ids.push_back(request.id);
        ASSERT_EQ(submit({request}, "rounds-key", i % 2 == 0 ? "controller-1" : "controller-2"),
                  std::vector<int>{Committed});
    }
    for (const std::string &id : ids)
        EXPECT_TRUE(waitState(id, "done", "rounds-key")) << id;
    EXPECT_EQ(record().at("peakOfTeam").at("rounds"), 3);
    EXPECT_EQ(record().at("overlaps"), 0);
}

TEST_F(Jobs, UrgentJobStartsInTimeWhenThePoolsControllerHasJustDied)
{
    const std::string owner = waitOwner();
    kill(owner);
    api::JobRequest urgent = job("urgent");
    urgent.isUrgent = true;
    const auto begin = steady_clock::now();
    ASSERT_EQ(submit({urgent}, "key", otherThan(owner)), std::vector<int>{Committed});
    ASSERT_TRUE(LocalSystem::waitUntil([&] { return runs("urgent").size() == 1; }, UrgentStart));
    EXPECT_LE(steady_clock::now() - begin, UrgentStart);
}

TEST_F(Jobs, UrgentJobStartsInTimeOnAFullPool)
{
    std::vector<api::JobRequest> jobs;
    for (int i = 0; i < 8; ++i) {
        jobs.push_back(rerunnable("j" + std::to_string(i), R"({"runMs": 60000})"));
        jobs.back().processors = 7; // 2 jobs fit on a worker.
        jobs.back().hasCheckpoints = true;
    }
    ASSERT_EQ(submit(jobs), std::vector<int>(8, Committed));
    for (const api::JobRequest &request : jobs)
        ASSERT_TRUE(waitState(request.id, "running")) << request.id;
    api::JobRequest urgent = job("urgent");
    urgent.processors = 7;
    urgent.isUrgent = true;
    const auto begin = steady_clock::now();
    ASSERT_EQ(submit({urgent}, "rounds-key"), std::vector<int>{Committed});
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return runs("urgent", "rounds").size() == 1; }));
    EXPECT_LE(steady_clock::now() - begin, UrgentStart);
    int stopped = 0;
    const nlohmann::json allRuns = record().at("runs");
    for (const auto &[id, attempts] : allRuns.items()) {
        if (attempts[0].at("state") == "stopped") {
            ++stopped;
            EXPECT_EQ(attempts[0].at("isCheckpointed"), true) << id;
        }
    }
    EXPECT_EQ(stopped, 1);
}

TEST_F(Jobs, CancelledRunningJobIsCheckpointedThenStopped)
{
    api::JobRequest longJob = job("long", R"({"runMs": 60000})");
    longJob.hasCheckpoints = true;
    ASSERT_EQ(submit({longJob}), std::vector<int>{Committed});
    ASSERT_TRUE(waitState("long", "running"));
    EXPECT_EQ(cancel({"long"}, "rounds-key"), std::vector<int>{int(ResultCode::NotFound)});
    EXPECT_EQ(cancel({"long", "none"}), (std::vector<int>{Committed, int(ResultCode::NotFound)}));
    ASSERT_TRUE(waitState("long", "cancelled"));
    EXPECT_EQ(cancel({"long"}), std::vector<int>{Committed});
    EXPECT_EQ(runs("long")[0].at("state"), "stopped");
    EXPECT_EQ(runs("long")[0].at("isCheckpointed"), true);
}

TEST_F(Jobs, TenThousandCancellationsDoNotStarveAnotherTeam)
{
    constexpr int Wave = 10'000;
    constexpr int PerCall = 200;
    std::vector<std::string> ids;
    for (int i = 0; i < Wave; i += PerCall) {
        std::vector<api::JobRequest> jobs;
        for (int k = 0; k < PerCall; ++k) {
            ids.push_back("j" + std::to_string(i + k));
            jobs.push_back(job(ids.back(), R"({"runMs": 60000})"));
        }
        ASSERT_EQ(submit(jobs), std::vector<int>(PerCall, Committed));
    }
    std::vector<int> answers;
    std::thread wave([&] { answers = cancel(ids); });
    api::JobRequest urgent = job("urgent");
    urgent.isUrgent = true;
    const auto begin = steady_clock::now();
    EXPECT_EQ(submit({urgent}, "rounds-key", "controller-2"), std::vector<int>{Committed});
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return !runs("urgent", "rounds").empty(); }));
    EXPECT_LE(steady_clock::now() - begin, UrgentStart);
    wave.join();
    EXPECT_EQ(answers, std::vector<int>(Wave, Committed));
    EXPECT_TRUE(LocalSystem::waitUntil([&] { return record().at("running") == 0; }));
    for (const char *id : {"j0", "j5000", "j9999"})
        EXPECT_TRUE(waitState(id, "cancelled")) << id;
}

TEST_F(Jobs, WithdrawnKeyIsRefused)
{
    ASSERT_EQ(submit({job("a")}), std::vector<int>{Committed});
    EXPECT_EQ(submit({job("b")}, "none"), std::vector<int>{int(ResultCode::KeyRejected)});
    EXPECT_EQ(submit({job("b")}, ""), std::vector<int>{int(ResultCode::KeyMissing)});
    ASSERT_EQ(system().ctl({"key", "withdraw-digest", keyDigest("key")}), 0) << system().output();
    for (const char *controller : {"controller-1", "controller-2"}) {
        EXPECT_TRUE(LocalSystem::waitUntil([&] {
            return status("a", "key", controller).code == int(ResultCode::KeyRejected);
        })) << controller;
        EXPECT_EQ(submit({job("b")}, "key", controller),
                  std::vector<int>{int(ResultCode::KeyRejected)});
    }
}

TEST_F(Jobs, CommandsOfTeamsSubmitShowAndCancel)
{
    const std::string key = system().directory() + "/key";
    const std::string jobs = system().directory() + "/jobs";
    std::ofstream(key) << "key\n";
    std::ofstream(jobs) << R"({"id": "a", "pool": "batch", "processors": 1})"
                        << "\n"
                        << R"({"id": "b", "pool": "batch", "processors": 1,)"
                        << R"( "payload": "{\"runMs\": 60000}"})"
                        << "\n";
    EXPECT_EQ(system().ctl({"job", "submit", jobs, "--key-file", key}), 0) << system().output();
    ASSERT_TRUE(waitState("a", "done"));
    ASSERT_TRUE(waitState("b", "running"));
    EXPECT_EQ(system().ctl({"job", "status", "a", "--key-file", key}), 0);
    EXPECT_NE(system().output().find("a 0 ok done pool batch"), std::string::npos)
        << system().output();
    EXPECT_EQ(system().ctl({"job", "list", "--pool", "batch", "--key-file", key}), 0);
    EXPECT_EQ(system().output().find("a 0"), std::string::npos) << system().output();
    EXPECT_NE(system().output().find("b 0 ok running"), std::string::npos) << system().output();
    EXPECT_EQ(system().ctl({"job", "cancel", "b", "--pool", "batch", "--key-file", key}), 0);
    EXPECT_TRUE(waitState("b", "cancelled"));
}

// Job tests whose leases are shorter than the injected faults.
class JobLeases : public JobTest
{
protected:
    std::string leaseMilliseconds() const override { return "1500"; }
};

TEST_F(JobLeases, RunsOutliveATableOutageAndNothingIsAcceptedInIt)
{
    ASSERT_EQ(submit({job("a", R"({"runMs": 2500})")}), std::vector<int>{Committed});
    ASSERT_TRUE(waitState("a", "running"));
    ASSERT_TRUE(system().setFaults("table", R"({"outage": true})"));
    EXPECT_EQ(submit({job("b")}), std::vector<int>{int(ResultCode::CommitUnknown)});
    std::this_thread::sleep_for(milliseconds(3'000)); // Longer than two leases.
    ASSERT_TRUE(system().setFaults("table", "{}"));
    EXPECT_TRUE(waitState("a", "done"));
    EXPECT_EQ(runs("a").size(), 1U);
    EXPECT_TRUE(
        LocalSystem::waitUntil([&] { return submit({job("b")}) == std::vector<int>{Committed}; }));
    EXPECT_TRUE(waitState("b", "done"));
}

TEST_F(JobLeases, DeadWorkersJobsAreReportedOrRunAgain)
{
    const std::string payload = R"({"runMs": 1000})";
    ASSERT_EQ(submit({job("once", payload), rerunnable("again", payload)}),
              std::vector<int>(2, Committed));
    ASSERT_TRUE(waitState("once", "running"));
    ASSERT_TRUE(waitState("again", "running"));
    const std::set<std::string> dead{status("once").worker, status("again").worker};
    ASSERT_TRUE(system().setFaults("tasks", nlohmann::json{{"deadWorkers", dead}}.dump()));
    ASSERT_TRUE(waitState("again", "done"));
    ASSERT_TRUE(waitState("once", "unknown"));
    EXPECT_EQ(status("once").code, int(ResultCode::JobOutcomeUnknown));
    EXPECT_EQ(runs("once").size(), 1U);
    ASSERT_EQ(runs("again").size(), 2U);
    EXPECT_FALSE(dead.contains(runs("again")[1].at("worker")));
    EXPECT_EQ(record().at("overlaps"), 0);
}

TEST_F(JobLeases, WorkerThatFailsEverythingIsQuarantined)
{
    waitOwner();
    ASSERT_TRUE(system().setFaults("tasks", R"({"failingWorkers": ["w1"]})"));
    std::vector<api::JobRequest> jobs;
    for (int i = 0; i < 40; ++i) {
        jobs.push_back(rerunnable("j" + std::to_string(i), R"({"runMs": 200})"));
        jobs.back().processors = 4; // 3 jobs fit on a worker.
    }
    ASSERT_EQ(submit(jobs), std::vector<int>(40, Committed));
    for (const api::JobRequest &request : jobs)
        EXPECT_TRUE(waitState(request.id, "done")) << request.id;
    ASSERT_EQ(submit({job("after-1"), job("after-2"), job("after-3")}),
              std::vector<int>(3, Committed));
    for (const char *id : {"after-1", "after-2", "after-3"})
        EXPECT_TRUE(waitState(id, "done")) << id;
    int onBad = 0;
    const nlohmann::json allRuns = record().at("runs");
    for (const auto &[id, attempts] : allRuns.items()) {
        for (const auto &attempt : attempts)
            onBad += attempt.at("worker") == "w1" ? 1 : 0;
    }
    EXPECT_GE(onBad, 5) << "before it can be judged";
    EXPECT_LE(onBad, 20) << "half of the jobs at the most met it";
}

} // namespace
} // namespace sequoiapier

// EnginePool: runs an Engine with simulated runners and a simulated store in virtual time, and
// injects faults between them.
//
//   EnginePool pool({.runners = 3});
//   pool.submit("5c0e7a21d94b36f8", spec);
//   pool.run(seconds(2));
//   EXPECT_EQ(pool.phaseOf("5c0e7a21d94b36f8"), jobs::JobPhase::Completed);
//   EXPECT_EQ(pool.violations(), "");
//
// Calls to runners take CallTime. Faults strike random calls with the given probabilities: a call
// is lost, or an order is carried out late and not answered. Two faults that no owner can prevent
// are left out. A late renewal that reaches the next incarnation of a runner under the same
// identifier would make that incarnation forget ends. An incarnation knows neither the stop of a
// late order to the previous one nor its fence. So renewals are never late, and an order is dropped
// when its runner's incarnation ends.
#pragma once

#include "jobs/engine.h"
#include "testing/standin/runledger.h"
#include "testing/standin/simulatedrunner.h"
#include "testing/support/virtualtime.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

class EnginePool
{
public:
    static constexpr Duration CallTime = std::chrono::milliseconds(2);
    static constexpr Duration CommitTime = std::chrono::milliseconds(8);
    static constexpr Duration RestartTime = std::chrono::milliseconds(700);
    static constexpr Duration CallTimeout = std::chrono::milliseconds(500);

    struct Options
    {
        int runners = 3;
        Resources capacity{.processors = 8, .memory = 64, .accelerators = 2};
        std::uint32_t seed = 1;
        std::vector<TeamConfig> teams{}; // Teams that have a share.
        std::size_t maxRowBytes = 65'536; // Maximum size of a row in the store.
        Duration renewInterval = std::chrono::milliseconds(50);
        bool isInterferenceAvoided = true;
        jobs::Admission::Options admission{};
        QueueConfig queue{.name = "queue", .service = "pool", .maxAttempts = 3, .stretch = 2};
    };

    explicit EnginePool(Options options);

    // Submits to Options::queue if `queue` is empty.
    jobs::SubmitVerdict submit(const std::string &id, jobs::JobSpec spec,
                               const std::string &team = "team", const std::string &queue = {});
    // Like submit(), but also returns the time to return of a refused job.
    jobs::SubmitResult submitForResult(const std::string &id, jobs::JobSpec spec,
                                       const std::string &team = "team",
                                       const std::string &queue = {});
    // Changes the queues of the configuration, for this owner and the next ones.
    void setQueues(std::vector<QueueConfig> queues);
    bool cancel(const std::string &id) { return m_engine->cancel(id); }
    std::optional<jobs::JobPhase> phaseOf(const std::string &id) const
    {
        return m_engine->phaseOf(id);
    }
    void run(Duration duration);
    // Runs until the job's phase is shown as ended, but no longer than `timeout`; returns the time
    // taken.
    Duration runUntilEnded(const std::string &id, Duration timeout);

    // Ends the owner; after `gap`, another owner takes over with the contents of the store. It
    // counts `renewedFor` for renewals by the earlier owner.
    void replaceOwner(Duration gap, Duration renewedFor = {});
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    // The store refuses each batch with a row of one of these jobs.
    void refuse(std::set<std::string> jobs) { m_refusedJobs = std::move(jobs); }
    void setReachable(int runner, bool isReachable);
    void setListed(int runner, bool isListed);
    void setDraining(int runner, bool isDraining);
    // Reads of the live list fail while this is false.
    void setListReadable(bool isReadable);
    // The runner loses its state and answers again after RestartTime as another incarnation.
    void crash(int runner);
    // Like crash(), but the next incarnation answers at once.
    void restart(int runner);
    // Runners carry out calls, but their answers are lost while this is true.
    void setAnswersLost(bool areLost) { m_areAnswersLost = areLost; }
    // Runs until the owner has just got a report from the runner.
    void runUntilReport(int runner);
    SimulatedRunner &runner(int index) { return *m_runners[std::size_t(index)]; }
    static std::string runnerId(int index) { return "i-" + std::to_string(index); }

    void setLostShare(double share) { m_lostShare = share; }
    void setLateShare(double share) { m_lateShare = share; }
    void setCeiling(std::optional<Resources> ceiling) { m_ceiling = ceiling; }

    jobs::Engine &engine() { return *m_engine; }
    VirtualTime &time() { return m_time; }
    const RunLedger &ledger() const { return m_ledger; }
    // Log of the engine's decisions, one line each.
    const std::string &trace() const { return m_trace; }
    // All violations recorded by the ledger, one line each.
    std::string violations() const;
    // Highest use of any runner as a fraction of its capacity.
    double peakUse() const { return m_peakUse; }
    std::size_t commitCount() const { return m_commitCount; }
    // Number of batches that the store has refused for their rows.
    std::size_t refusalCount() const { return m_refusalCount; }
    // Size in bytes of the largest job state and of the largest batch that were stored.
    std::size_t largestRow() const { return m_largestRow; }
    std::size_t largestBatch() const { return m_largestBatch; }

private:
    struct StoredJob
    {
        std::string spec;
        std::string state;
    };
    struct RunnerStatus
    {
        bool isReachable = true;
        TimePoint downUntil{};
        bool isListed = true;
        bool isDraining = false;
        bool isRenewing = false; // True while a renewal is being sent.
        TimePoint nextRenewal{};
        // The owner's latest reading of the runner's clock, in milliseconds, and its time.
        std::int64_t clock = 0;
        TimePoint clockReadAt{};
    };

    void makeEngine(std::uint64_t epoch);
    void configure();
    void tick();
    void writeBatch();
    bool isRefused(const jobs::Batch &batch) const;
    void apply(const jobs::Batch &batch);
    void sendOrders();
    void send(const jobs::StartOrder &order);
    void send(const jobs::StopOrder &order);
    void send(const jobs::PaceOrder &order);
    void renew(int index);
    // Carries out `call` on the runner at once, late or never; returns whether its answer arrives.
    bool deliverCall(int index, const std::function<void()> &call, bool mayBeLate = true);
    void listRunners();
    int indexOf(const std::string &runner) const;
    // Returns the end of a lease from now on, on the runner's clock as the owner knows it.
    std::int64_t leaseEnd(int runner) const;
    void recordPeakUse();

    Options m_options;
    std::vector<QueueConfig> m_queues; // Queues of the newest configuration.
    VirtualTime m_time;
    RunLedger m_ledger;
    std::vector<std::unique_ptr<SimulatedRunner>> m_runners;
    std::vector<RunnerStatus> m_runnerStatus;
    std::unique_ptr<jobs::Engine> m_engine;
    std::uint64_t m_epoch = 1;
    std::map<std::string, StoredJob> m_storedJobs;
    std::string m_interferencePairs; // What the last owner has learned.
    std::optional<jobs::Batch> m_batch;
    bool m_isStoreDown = false;
    bool m_isListReadable = true;
    double m_lostShare = 0;
    double m_lateShare = 0;
    bool m_areAnswersLost = false;
    std::optional<Resources> m_ceiling;
    std::mt19937 m_random;
    std::string m_trace;
    double m_peakUse = 0;
    std::size_t m_commitCount = 0;
    std::size_t m_refusalCount = 0;
    std::set<std::string> m_refusedJobs;
    std::size_t m_largestRow = 0;
    std::size_t m_largestBatch = 0;
};

} // namespace sequoiapier

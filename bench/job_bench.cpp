// Measures one tick of a pool's jobs: the decision alone, and the runner's whole tick over a table
// in memory, with the rows parsed anew (first tick after a takeover) and with parsed rows kept
// (later ticks). Half of the jobs run, half wait; the hosts are almost full.
#include "bench/support/report.h"
#include "controller/hostrow.h"
#include "controller/jobrunner.h"
#include "testing/standin/memorytable.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <random>

namespace sequoiapier {
namespace {

constexpr Resources HostCapacity{.processors = 64, .memory = 256};
constexpr std::size_t JobsPerHost = 40;
constexpr int Teams = 6;
constexpr int ClassCount = 20;
constexpr int RepeatCount = 30;

// A pool that keeps its jobs' rows and reports in memory and answers every call at once.
struct BenchPool
{
    MemoryTable rows;
    std::vector<WorkerReport> workers;
    std::vector<TaskReport> reports;
    Configuration configuration;

    explicit BenchPool(std::size_t hostCount)
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            const HostRow host{
                .host = "h" + std::to_string(i), .rack = "r", .zone = "z", .pool = "p"};
            rows.commit({{hostKey(host.host), toJson(host), 0}});
            workers.push_back({host.host, HostCapacity});
        }
        for (int i = 0; i < Teams; ++i)
            configuration.teams.push_back(
                {.name = "t" + std::to_string(i), .share = unsigned(1 + i)});
        std::mt19937_64 random(1);
        for (std::size_t i = 0; i < hostCount * JobsPerHost; ++i)
            addJob(i, i % 2 == 0 ? "h" + std::to_string(i / JobsPerHost) : "", random);
    }

    void addJob(std::size_t index, const std::string &worker, std::mt19937_64 &random)
    {
        std::uniform_real_distribution<double> processors(0.5, 5);
        std::uniform_real_distribution<double> memory(2, 20);
        JobRow row{.id = "job-" + std::to_string(index),
                   .team = "t" + std::to_string(index % Teams),
                   .pool = "p",
                   .jobClass = "class-" + std::to_string(index % ClassCount),
                   .size = {processors(random), memory(random), 0}};
        if (!worker.empty()) {
            row.state = JobState::Running;
            row.worker = worker;
            row.attempt = 1;
            row.code = ResultCode::Ok;
            reports.push_back({.id = {taskName(row), 1}, .worker = worker, .used = row.size * 0.8});
        }
        rows.commit({{liveJobKey(row), toJson(row), 0}});
    }

    Table table(bool canCommit)
    {
        return {.read = [](std::string_view, TimePoint, const Table::ReadCallback &) {},
                .scan
                = [this](std::string_view prefix, TimePoint,
                         const Table::ScanCallback &done) { done(rows.scan(std::string(prefix))); },
                .commit =
                    [this, canCommit](const Commit &commit, TimePoint,
                                      const Table::CommitCallback &done) {
                        done(canCommit ? rows.commit(commit.writes)
                                       : CommitAnswer{CommitOutcome::NotCommitted, {}});
                    }};
    }

    Tasks tasks()
    {
        const auto ignore = [](const std::vector<TaskId> &, TimePoint) {};
        return {.workers = [this](TimePoint, const Tasks::WorkersCallback &done) { done(workers); },
                .reports = [this](TimePoint, const Tasks::ReportsCallback &done) { done(reports); },
                .start = [](const std::vector<TaskStart> &, TimePoint) {},
                .renew = ignore,
                .checkpoint = ignore,
                .stop = ignore,
                .acknowledge = ignore};
    }

    JobRunner makeRunner(bool canCommit)
    {
        return {table(canCommit),
                tasks(),
                {.now = &BootClock::now,
                 .configuration = [this]() -> const Configuration & { return configuration; },
                 .changed = [](const JobRow &) {},
                 .ticked = [](std::string_view, bool) {},
                 .later = [](const std::function<void()> &step) { step(); }},
                {.process = "c"}};
    }
};

// Returns the median and the maximum time in milliseconds.
std::pair<double, double> measureTimes(const std::function<void()> &action)
{
    std::vector<double> times;
    for (int i = 0; i < RepeatCount; ++i) {
        const auto start = std::chrono::steady_clock::now();
        action();
        const std::chrono::duration<double, std::milli> elapsed
            = std::chrono::steady_clock::now() - start;
        times.push_back(elapsed.count());
    }
    std::sort(times.begin(), times.end());
    return {times[times.size() / 2], times.back()};
}

// Measures the decision alone, on parsed rows.
std::pair<double, double> measureDecision(BenchPool &pool)
{
    std::vector<LiveJob> jobs;
    for (const TableRow &row : pool.rows.scan(liveJobPrefix("p")))
        jobs.push_back({parseJobRow(row.value).value(), row.version});
    std::vector<JobHost> hosts;
    for (const WorkerReport &worker : pool.workers)
        hosts.push_back({.name = worker.name, .capacity = worker.capacity});
    std::vector<JobTeam> teams;
    for (const TeamConfig &team : pool.configuration.teams)
        teams.push_back({team.name, double(team.share), team.ceiling});
    UsageLearner learner({});
    TaskReports reports;
    for (const TaskReport &report : pool.reports)
        reports[report.id.job] = report;
    for (const LiveJob &job : jobs)
        learner.observe(usageClass(job.row), job.row.size, job.row.size * 0.8);
    const std::map<std::string, TeamCount> counts;
    const std::set<std::string, std::less<>> quarantined;
    return measureTimes([&] {
        planJobTick({.jobs = jobs,
                     .hosts = hosts,
                     .teams = teams,
                     .teamCounts = counts,
                     .reports = reports,
                     .quarantined = quarantined,
                     .learner = learner,
                     .now = BootClock::now(),
                     .startedAt = [](const TaskId &) { return TimePoint(); }},
                    {});
    });
}

void measure(Report &report, std::size_t hostCount)
{
    BenchPool pool(hostCount);
    const auto [decision, worstDecision] = measureDecision(pool);
    const auto [first, worstFirst] = measureTimes([&] { pool.makeRunner(false).tick("p"); });
    JobRunner runner = pool.makeRunner(false);
    runner.tick("p");
    const auto [later, worstLater] = measureTimes([&] { runner.tick("p"); });
    report.add(std::to_string(hostCount) + " hosts, " + std::to_string(hostCount * JobsPerHost)
                   + " jobs",
               {{"decision_ms", decision},
                {"decision_max_ms", worstDecision},
                {"first_turn_ms", first},
                {"first_turn_max_ms", worstFirst},
                {"later_turn_ms", later},
                {"later_turn_max_ms", worstLater}});
}

} // namespace
} // namespace sequoiapier

int main(int argc, char **argv)
{
    using namespace sequoiapier;
    Report report("job", argc, argv);
    for (const std::size_t hosts : {50, 100, 200, 400})
        measure(report, hosts);
    return report.finish();
}

// Queues with a policy, and all nodes but one lost: see claim.txt.
#include "../support-2/world.hh"

using namespace world;

namespace {

constexpr int NodeCount = 8;
constexpr std::int64_t DecideMs = 1'000;
constexpr std::int64_t EachMs = 20;
constexpr std::int64_t ValidMs = 3'000;
constexpr std::int64_t FinishMs = 14'000; // finish_s of the site
constexpr std::int64_t IdleMs = 3'000; // of the rule LOST
constexpr int JobsPerQueue = 4;
constexpr std::int64_t JobInterval = 10'000; // of one queue

const std::vector<std::pair<std::string, int>> Pools{
    {"vanload", 9}, {"roundsman", 9}, {"depotline", 11}, {"patchwork", 12}};

// Time that one call of each pool takes the service, one after the other.
std::int64_t roundMs()
{
    std::int64_t sum = 0;
    for (const auto &[pool, count] : Pools)
        sum += DecideMs + EachMs * count;
    return sum;
}

json configuration()
{
    json routes = json::array();
    json services{{{"name", "sundries"}, {"rejects_overload", true}, {"standby", true}}};
    for (const auto &[pool, count] : Pools) {
        routes.push_back(
            {{"name", "r-" + pool},
             {"host", "127.0.0.1"},
             {"prefix", "/" + pool + "/"},
             {"kind", "non_idempotent"},
             {"timeout_ms", 3'000},
             {"slo_ms", 600},
             {"priority", 0},
             {"service", pool},
             {"max_attempts", 3},
             {"stretch", 1.6},
             {"public", false},
             {"recommendation",
              {{"decide_ms", DecideMs}, {"each_ms", EachMs}, {"valid_ms", ValidMs}}}});
        services.push_back({{"name", pool}, {"rejects_overload", true}, {"standby", false}});
    }
    const json tenants{{{"name", "drivers"},
                        {"api_keys", {"key-1"}},
                        {"weight", 100},
                        {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}};
    return {{"version", 1},
            {"routes", routes},
            {"services", services},
            {"tenants", tenants},
            {"limits", json::object()}};
}

json step(const json &after)
{
    json step{{"count", 2}, {"cpu", 3'500}, {"mem_mb", 9'400}, {"estimate_ms", 1'000}};
    if (!after.empty())
        step["after"] = after;
    return step;
}

struct Job
{
    std::string id;
    std::string pool;
    std::int64_t acceptedAt = 0; // 0: not accepted
};

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0xabc0 + number);
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : "/tmp";
    const bool hasTrouble = std::getenv("TROUBLE") == nullptr
        || std::string(std::getenv("TROUBLE")) != "0";
    record.open(argc > 2 ? argv[2] : "record.txt");
    World world(folder, argc > 3 ? argv[3] : "target/sequoiapier");
    world.advice = std::make_unique<AdviceService>(DecideMs, EachMs, ValidMs);
    world.bounds = {{"grace_s", 6},      {"revoke_ms", 5'000}, {"drain_ms", 2'000},
                    {"hold_max_ms", 10'000}, {"stop_ms", 200},     {"status_s", 120},
                    {"notice_ms", 4'500},    {"move_s", 1.5},      {"upkeep_s", 2},
                    {"lease_ms", 3'000},     {"require_fence", false}};
    for (const auto &[pool, count] : Pools)
        world.addMachines(pool, count, true, false);
    world.store.put("op", "config", configuration().dump());
    world.begin();
    for (int i = 1; i <= NodeCount; ++i)
        world.startNode("front-" + std::to_string(i));
    if (!world.waitReady(15'000)) {
        world.killAll();
        return 2;
    }
    sleepMs(8'000); // owners settle
    std::string survivor = "front-1";
    if (hasTrouble) {
        for (int i = 2; i <= NodeCount; ++i)
            world.signalNode("front-" + std::to_string(i), SIGKILL, "is lost for good");
        sleepMs(10'000); // the rest takes over
    }
    std::vector<Job> jobs;
    const std::int64_t trafficFrom = nowMs();
    for (int round = 0; round < JobsPerQueue; ++round) {
        for (const auto &[pool, count] : Pools) {
            Job job{jobId(int(jobs.size())), pool};
            const json body{{"spec", "{}"},
                            {"steps", {step(json::array()), step({0})}}};
            for (int attempt = 0; attempt < 5 && job.acceptedAt == 0; ++attempt) {
                const Answer answer = world.call(survivor, "POST", "/" + pool + "/" + job.id,
                                                 "key-1", body.dump());
                if (answer.status == 200)
                    job.acceptedAt = nowMs();
                else
                    sleepMs(1'000);
            }
            jobs.push_back(job);
        }
        while (nowMs() < trafficFrom + (round + 1) * JobInterval)
            sleepMs(20);
    }
    const std::int64_t trafficUntil = nowMs();
    record.line("the traffic has ended");
    sleepMs(FinishMs + roundMs());
    int accepted = 0;
    int done = 0;
    int idle = 0;
    for (const Job &job : jobs) {
        if (job.acceptedAt == 0)
            continue;
        ++accepted;
        const std::string state
            = world.stateOf(survivor, "/" + job.pool + "/" + job.id, "key-1");
        done += state == "completed" ? 1 : 0;
        if (state == "completed")
            continue;
        // Time at which the job has run last, or was accepted.
        std::int64_t last = job.acceptedAt;
        const std::lock_guard lock(world.mutex);
        for (const RunRecord &run : world.runs) {
            if (run.task.starts_with(job.id))
                last = std::max(last, run.endedAt == 0 ? nowMs() : run.endedAt);
        }
        const std::int64_t idleMs = nowMs() - last;
        record.line("job " + job.id + " of " + job.pool + " is " + state
                    + ", nothing of it has run for " + std::to_string(idleMs) + " ms");
        // One call of each pool is allowed for besides the time of the rule.
        idle += idleMs > IdleMs + roundMs() ? 1 : 0;
    }
    const std::string summary = std::to_string(jobs.size()) + " jobs sent in "
        + std::to_string(trafficUntil - trafficFrom) + " ms, " + std::to_string(accepted)
        + " accepted, " + std::to_string(done) + " completed, " + std::to_string(idle)
        + " without any run for more than " + std::to_string(IdleMs + roundMs())
        + " ms with idle runners; calls for advice: " + std::to_string(world.advice->answered)
        + " answered, " + std::to_string(world.advice->abandoned) + " given up by their caller";
    record.line(summary);
    std::cout << summary << std::endl;
    world.killAll();
    if (accepted == 0)
        return 2;
    std::_Exit(idle > 0 ? 1 : 0);
}

// Upkeep of the only host of a pool, which has all tasks of a lasting step: REPORT-2.md, Withdrawn. It
// is no case: the other service is at its peak for some 60 s, where the sheet says "some seconds".
//
//   g++ -std=c++20 -O1 -g -pthread review/support-2/standstill.cc -o target/standstill
//   target/standstill "$(mktemp -d)" target/standstill.txt target/sequoiapier
#include "world.hh"

using namespace world;

namespace {

constexpr int NodeCount = 3;
constexpr std::uint32_t TaskCount = 4;
constexpr std::int64_t WaveSeconds = 26; // for_s of the site
constexpr int WaveCap = 3;
constexpr std::int64_t WatchMs = 50'000; // from the declaration of the wave
constexpr std::int64_t LostAfterRunMs = 6'000; // "from 6 s after its last run"
constexpr std::int64_t IdleMs = 3'000; // "for 3 s"

json configuration()
{
    const json route{{"name", "r-1"},
                     {"host", "127.0.0.1"},
                     {"prefix", "/tally/"},
                     {"kind", "non_idempotent"},
                     {"timeout_ms", 3'000},
                     {"slo_ms", 2'500},
                     {"priority", 0},
                     {"service", "vanload"},
                     {"max_attempts", 3},
                     {"stretch", 2.2},
                     {"public", false}};
    json other = route;
    other["name"] = "r-2";
    other["prefix"] = "/rebuild/";
    other["slo_ms"] = 600;
    other["service"] = "roundsman";
    const json services{{{"name", "sundries"}, {"rejects_overload", true}, {"standby", true}},
                        {{"name", "vanload"}, {"rejects_overload", true}, {"standby", false}},
                        {{"name", "roundsman"}, {"rejects_overload", true}, {"standby", false}}};
    const json tenants{{{"name", "drivers"},
                        {"api_keys", {"key-1"}},
                        {"weight", 100},
                        {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}};
    return {{"version", 1},
            {"routes", {route, other}},
            {"services", services},
            {"tenants", tenants},
            {"limits", json::object()}};
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : "/tmp";
    const bool hasTrouble = std::getenv("TROUBLE") == nullptr
        || std::string(std::getenv("TROUBLE")) != "0";
    record.open(argc > 2 ? argv[2] : "record.txt");
    World world(folder, argc > 3 ? argv[3] : "target/sequoiapier");
    world.bounds = {{"grace_s", 6},          {"revoke_ms", 5'000}, {"drain_ms", 2'000},
                    {"hold_max_ms", 10'000}, {"stop_ms", 200},     {"status_s", 120},
                    {"notice_ms", 4'500},    {"move_s", 1.5},      {"upkeep_s", 2},
                    {"lease_ms", 3'000},     {"require_fence", false}};
    const std::string id = "00000000000abc01";
    world.runMs = [&](const std::string &task) {
        return std::int64_t(task.starts_with(id) ? 0 : 1'300); // 0: lasts
    };
    world.addMachines("vanload", 9, false, false);
    world.addMachines("roundsman", 9, false, false);
    world.addMachines("sundries", 8, false, true);
    world.store.put("op", "config", configuration().dump());
    world.begin();
    for (int i = 1; i <= NodeCount; ++i)
        world.startNode("front-" + std::to_string(i));
    if (!world.waitReady(15'000)) {
        world.killAll();
        return 2;
    }
    sleepMs(3'000); // owners settle
    // The other service is at its peak: it asks for more hosts than there are.
    std::atomic<bool> isPeak{true};
    std::thread peak([&] {
        // The sheet's `territory-plan`: 2 steps of 8 tasks, each 1.3 s on 7.7 cores.
        json first{{"count", 8}, {"cpu", 7'700}, {"mem_mb", 37'000}, {"estimate_ms", 1'300}};
        json second = first;
        second["after"] = {0};
        const json work{{"spec", "{}"}, {"steps", {first, second}}};
        for (int i = 0; isPeak; ++i) {
            char text[17];
            std::snprintf(text, sizeof text, "%016x", 0xf0000 + i);
            world.call("front-" + std::to_string(1 + i % NodeCount), "POST",
                       std::string("/rebuild/") + text, "key-1", work.dump());
            sleepMs(120);
        }
    });
    sleepMs(6'000); // hosts without work leave the pool
    const json body{{"spec", "{}"},
                    {"steps",
                     {{{"count", TaskCount},
                       {"cpu", 5'300},
                       {"mem_mb", 22'800},
                       {"estimate_ms", 900},
                       {"max_unavailable", 1},
                       {"long_running", true}}}}};
    bool isAccepted = false;
    for (int i = 0; i < 5 && !isAccepted; ++i)
        isAccepted = world.call("front-1", "POST", "/tally/" + id, "key-1", body.dump()).status
            == 200;
    sleepMs(4'000);
    const std::int64_t declaredAt = nowMs();
    if (hasTrouble) {
        json machines = json::array();
        const std::lock_guard lock(world.mutex);
        for (const Machine &machine : world.machines) {
            if (machine.name.starts_with("m-vanload"))
                machines.push_back(machine.name);
        }
        world.store.put("op", "wave/1",
                        json{{"wave", 1},
                             {"machines", machines},
                             {"duration_s", WaveSeconds},
                             {"cap", WaveCap}}
                            .dump());
        record.line("wave 1 of " + std::to_string(machines.size()) + " machines is declared");
    }
    sleepMs(WatchMs);
    isPeak = false;
    peak.join();
    // Longest time without a run of each task, and since when the last one has lasted.
    int broken = 0;
    std::int64_t worst = 0;
    const std::int64_t end = nowMs();
    {
        const std::lock_guard lock(world.mutex);
        for (std::uint32_t index = 0; index < TaskCount; ++index) {
            const std::string task = id + ".0.0." + std::to_string(index);
            std::int64_t idleFrom = declaredAt;
            std::int64_t longest = 0;
            for (const RunRecord &run : world.runs) {
                if (run.task != task)
                    continue;
                longest = std::max(longest, run.beganAt - idleFrom);
                idleFrom = run.endedAt == 0 ? end : run.endedAt;
            }
            longest = std::max(longest, end - idleFrom);
            worst = std::max(worst, longest);
            if (longest > LostAfterRunMs + IdleMs) {
                ++broken;
                record.line("task " + task + " had nothing running for " + std::to_string(longest)
                            + " ms" + (idleFrom != end ? ", up to the end" : ""));
            }
        }
        for (const Machine &machine : world.machines)
            record.line("machine " + machine.name + (machine.isDown ? " is lost, was in " : " is in ")
                        + machine.pool
                        + (machine.waves.empty() ? ", without upkeep" : ", had its upkeep"));
    }
    const std::string summary = std::string(isAccepted ? "the job was accepted" : "not accepted")
        + ", " + std::to_string(broken) + " of " + std::to_string(TaskCount)
        + " tasks had nothing running for longer than the rule allows; the longest time was "
        + std::to_string(worst) + " ms";
    record.line(summary);
    std::cout << summary << std::endl;
    world.killAll();
    if (!isAccepted)
        return 2;
    std::_Exit(broken > 0 ? 1 : 0);
}

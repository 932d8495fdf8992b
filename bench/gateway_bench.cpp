// Compares latency and throughput of one gateway with direct calls to the runner, by the same
// client in the same run.
#include "bench/support/report.h"
#include "testing/support/loadclient.h"
#include "testing/support/localsystem.h"

#include <cstdio>

namespace {

using namespace sequoiapier;

constexpr unsigned Concurrency = 16;
constexpr unsigned RequestCount = 40'000;

bool startSystem(LocalSystem &system)
{
    if (!system.startTable() || !system.startRunner("runner-1", {"--slots", "64"})
        || !system.startController("controller-1") || !system.startScheduler("scheduler-1")
        || !system.startGateway("gateway-1")) {
        return false;
    }
    Configuration configuration;
    configuration.teams = {{.name = "bench"}};
    configuration.keys = {{.digest = keyDigest("key"), .team = "bench"}};
    configuration.services = {{.name = "bench",
                               .slotsPerRunner = 64,
                               .runners = {{"127.0.0.1", system.member("runner-1").workPort}}}};
    configuration.queues = {{.name = "bench", .service = "bench"}};
    return system.applyConfiguration(toJson(configuration), 0, "bench") == 0
        && system.waitReady("gateway-1");
}

void addRow(Report &report, const std::string &label, const LoadResult &result)
{
    report.add(label,
               {{"requests_per_s", result.requestsPerSecond},
                {"p50_us", result.p50Microseconds},
                {"p99_us", result.p99Microseconds},
                {"ok", double(result.okCount)},
                {"other", double(result.otherCount)}});
}

} // namespace

int main(int argc, char **argv)
{
    Report report("gateway", argc, argv);
    LocalSystem system("gateway-bench");
    if (!startSystem(system)) {
        std::fprintf(stderr, "the system did not start\n");
        return 1;
    }
    LoadOptions direct{.ports = {system.member("runner-1").workPort}, .path = "/work"};
    LoadOptions idempotent{.ports = {system.member("gateway-1").workPort},
                           .path = "/v1/queues/bench",
                           .headers = {{"authorization", "Bearer key"}, {"x-idempotent", "true"}}};
    LoadOptions nonIdempotent = idempotent;
    nonIdempotent.headers.pop_back();
    for (LoadOptions *options : {&direct, &idempotent, &nonIdempotent}) {
        options->concurrency = Concurrency;
        options->requestCount = RequestCount;
    }
    const LoadResult directResult = runLoad(direct);
    const LoadResult idempotentResult = runLoad(idempotent);
    addRow(report, "direct, closed loop", directResult);
    addRow(report, "gateway, idempotent", idempotentResult);
    addRow(report, "gateway, non-idempotent", runLoad(nonIdempotent));
    direct.requestsPerSecond = idempotent.requestsPerSecond
        = idempotentResult.requestsPerSecond / 2;
    addRow(report, "direct, half load", runLoad(direct));
    addRow(report, "gateway, half load", runLoad(idempotent));
    return report.finish();
}

#include "node/clientlimits.h"

#include <algorithm>
#include <string>

namespace sequoiapier {

namespace {

constexpr Duration ReportInterval = std::chrono::milliseconds(200);
constexpr std::int64_t Mebibyte = 1024 * 1024;
// Enough for one body of 512 KiB that is being handled, and for connections.
constexpr std::int64_t MinMemoryBytes = 4 * Mebibyte;
constexpr std::int64_t MaxConnections = 1'000'000;
constexpr std::int64_t MaxTime = 600'000; // ms

Error invalid(const std::string &flag, std::int64_t value, const std::string &reason)
{
    return {ResultCode::InvalidSettings,
            "--" + flag + ": '" + std::to_string(value) + "' is " + reason};
}

} // namespace

void addClientLimitSettings(SettingsParser &parser, ClientLimits &limits)
{
    parser.addInteger("client-memory-bytes", limits.memoryBytes,
                      {.unit = "bytes",
                       .min = MinMemoryBytes,
                       .help = "Memory for clients' requests and answers; 0 stands for a quarter "
                               "of limits.memory_mb"});
    parser.addInteger("client-connections", limits.connections,
                      {.min = 1,
                       .max = MaxConnections,
                       .help = "Most connections of callers; 0 stands for a quarter of "
                               "limits.max_fds"});
    parser.addInteger("client-connections-per-address", limits.connectionsPerAddress,
                      {.min = 0,
                       .max = MaxConnections,
                       .help = "Most connections of one address; 0 is unlimited"});
    parser.addInteger("readiness-connections", limits.readinessConnections,
                      {.min = 1,
                       .max = MaxConnections,
                       .help = "Most connections to the readiness address; 0 stands for 1/32 of "
                               "limits.max_fds, 8 to 64"});
    parser.addInteger("admin-connections", limits.adminConnections,
                      {.min = 1,
                       .max = MaxConnections,
                       .help = "Most connections of peers and operators; 0 stands for an eighth "
                               "of limits.max_fds, at most 1024"});
    parser.addInteger("client-header-ms", limits.headerMilliseconds,
                      {.unit = "ms",
                       .min = 100,
                       .max = MaxTime,
                       .help = "Longest wait for the headers of a request"});
    parser.addInteger("client-rate-grace-ms", limits.rateGraceMilliseconds,
                      {.unit = "ms",
                       .min = 100,
                       .max = MaxTime,
                       .help = "Time after which a body or a reader needs the minimum rate"});
    parser.addInteger("client-min-rate", limits.minBytesPerSecond,
                      {.unit = "bytes/s",
                       .min = 1,
                       .max = 1'000'000'000,
                       .help = "Minimum rate of a body and of a reader"});
    parser.addInteger("client-json-values", limits.jsonValues,
                      {.min = std::int64_t(LargestJobValues),
                       .max = 1'000'000,
                       .help = "Most values in the JSON body of a request"});
}

Result<void> ClientLimits::resolve(const NodeSettings &settings)
{
    const std::int64_t memory = settings.maxMemoryMegabytes * Mebibyte;
    const std::int64_t descriptors = settings.maxDescriptors;
    if (memoryBytes == 0)
        memoryBytes = std::max(memory / 4, MinMemoryBytes);
    else if (memoryBytes > memory)
        return invalid("client-memory-bytes", memoryBytes, "more than limits.memory_mb");
    if (connections == 0)
        connections = std::max<std::int64_t>(descriptors / 4, 1);
    if (readinessConnections == 0)
        readinessConnections = std::clamp<std::int64_t>(descriptors / 32, 8, 64);
    if (adminConnections == 0)
        adminConnections = std::clamp<std::int64_t>(descriptors / 4, 8, 1'024);
    // Half of the descriptors are for the node's own calls.
    if (connections > descriptors / 2)
        return invalid("client-connections", connections, "more than half of limits.max_fds");
    if (readinessConnections > descriptors / 2)
        return invalid("readiness-connections", readinessConnections,
                       "more than half of limits.max_fds");
    if (adminConnections > descriptors / 2)
        return invalid("admin-connections", adminConnections, "more than half of limits.max_fds");
    return boost::outcome_v2::success();
}

ClientBudget::Options ClientLimits::budgetOptions() const
{
    return {.maxBytes = std::size_t(memoryBytes),
            .maxConnectionsPerAddress = std::size_t(connectionsPerAddress),
            .headerTime = std::chrono::milliseconds(headerMilliseconds),
            .rateGrace = std::chrono::milliseconds(rateGraceMilliseconds),
            .minBytesPerSecond = std::size_t(minBytesPerSecond)};
}

ClientLimitReport::ClientLimitReport(Daemon &daemon, ClientBudget &budget)
    : m_logger(daemon.logger())
    , m_budget(budget)
    , m_timer(daemon.loop(), [this] { report(); })
{
    prometheus::Family<prometheus::Counter> &family
        = prometheus::BuildCounter()
              .Name("sequoiapier_client_limits_total")
              .Help("Cases in which a client met a limit, by limit")
              .Register(daemon.metrics());
    for (std::size_t i = 0; i < ClientLimitCount; ++i)
        m_counters[i] = &family.Add({{"limit", std::string(clientLimitName(ClientLimit(i)))}});
    m_timer.startAt(BootClock::now() + ReportInterval);
}

void ClientLimitReport::report()
{
    const TimePoint now = BootClock::now();
    m_timer.startAt(now + ReportInterval);
    for (std::size_t i = 0; i < ClientLimitCount; ++i) {
        const auto total = double(m_budget.total(ClientLimit(i)));
        m_counters[i]->Increment(total - m_counters[i]->Value());
    }
    for (const ClientBudget::Notice &notice : m_budget.takeNotices(now)) {
        m_logger.warn("client.refused",
                      {{"limit", std::string(clientLimitName(notice.limit))},
                       {"count", std::to_string(notice.count)},
                       {"held", std::to_string(m_budget.heldBytes())},
                       {"connections", std::to_string(m_budget.connectionCount())}});
    }
}

} // namespace sequoiapier

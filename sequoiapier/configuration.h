// Configuration: the settings that operators manage, as one versioned document.
//
//   Result<Configuration> parsed = parseConfiguration(row.value);
//   if (!parsed) ... // the whole document is rejected; the last valid one stays in force
//
// The document is JSON (docs/OPERATIONS.md shows one). Its version is the version of its table row.
// Keys are stored as SHA-256 digests, never in the clear.
#pragma once

#include "sequoiapier/resources.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct TeamConfig
{
    std::string name;
    std::uint32_t share = 1; // weight of the team when the fleet is fully used
    // Maximum number of the team's requests that run at once in the whole fleet; 0: unlimited.
    std::uint32_t ceiling = 0;
    // Maximum resources that the team's tasks use in the whole fleet; 0: unlimited.
    Resources resourceCeiling;
};

struct KeyConfig
{
    std::string digest; // lower-case hexadecimal SHA-256 of the key
    std::string team;
};

struct RunnerConfig
{
    std::string address; // IP address
    std::uint16_t port = 0;
};

struct ServiceConfig
{
    std::string name;
    std::string pool;
    std::uint32_t slotsPerRunner = 8;
    std::uint32_t connectionsPerRunner = 64;
    std::vector<RunnerConfig> runners;
    bool runnersRejectOverload = true; // a runner refuses a task that exceeds its free capacity
    bool isStandby = false; // the hosts in the service's pool are switched off
};

struct QueueConfig
{
    std::string name;
    std::string service;
    bool isOpen = false; // accepts requests without a key
    std::uint32_t maxQueued = 1024; // maximum number of requests waiting on one gateway
    // The following members apply to job queues only.
    std::string host; // host name that callers address
    std::string pathPrefix; // ends with a slash
    std::uint32_t priority = 0; // 0 is the highest priority
    std::uint32_t maxAttempts = 1; // maximum number of attempts of one task
    // The objective for a job's duration is `stretch` times the work on its longest chain of steps,
    // plus `objectiveMilliseconds`.
    double stretch = 1;
    std::int64_t objectiveMilliseconds = 0;
    std::int64_t timeoutMilliseconds = 0; // timeout of one call; 0: only the caller's applies
    bool needsAdvice = false; // only the recommendation service knows which runners may run a step
    // The recommendation service takes `adviceBaseMilliseconds` for an answer, plus
    // `advicePerRunnerMilliseconds` for each runner in the question.
    std::int64_t adviceBaseMilliseconds = 0;
    std::int64_t advicePerRunnerMilliseconds = 0;
    std::int64_t adviceValidMilliseconds = 0; // time for which an answer may be used
};

struct PoolConfig
{
    std::string name;
    std::uint32_t maxUnavailable = 1; // maximum number of hosts out at once, planned and failed
};

struct Configuration
{
    std::uint64_t version = 0;
    std::vector<TeamConfig> teams;
    std::vector<KeyConfig> keys;
    std::vector<ServiceConfig> services;
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;
    // Maximum number of gateways that run at once; 0: no work is accepted in a table outage.
    std::uint32_t maxGateways = 0;

    const QueueConfig *findQueue(std::string_view name) const;
    const ServiceConfig *findService(std::string_view name) const;
    const TeamConfig *findTeam(std::string_view name) const;
    const KeyConfig *findKey(std::string_view digest) const;
};

// Table key of the configuration row.
inline constexpr std::string_view ConfigurationKey = "configuration";

// Parses a configuration document in O(n log n). Fails with RowMalformed if `document` is not a
// valid configuration; the detail says where.
Result<Configuration> parseConfiguration(std::string_view document, std::uint64_t version);

// Inverse of parseConfiguration(): JSON document of the members that it reads.
std::string toJson(const Configuration &configuration);

// Lower-case hexadecimal SHA-256 of `key`.
std::string keyDigest(std::string_view key);

} // namespace sequoiapier

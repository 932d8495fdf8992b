// HostsStandin simulates the platform's host interface: a delayed list of live and leaving hosts,
// epoch-fenced commands to one host, and the observation of one host.
//
// GET /record returns, in order, the hosts that went out of service and came back, and the number
// of reboots that interrupted work. A host is out of service from the drain command it accepts, or
// its failure, until it is admitted. A failed host restarts without state and takes no work until
// it is admitted.
#pragma once

#include "cli/daemon.h"
#include "testing/standin/faults.h"

#include <nlohmann/json.hpp>

#include <map>

namespace sequoiapier {

struct HostsSettings
{
    std::string names; // Host names, separated by commas.
    std::int64_t lagMilliseconds = 200;
    std::int64_t endMilliseconds = 100;
    std::int64_t rebootMilliseconds = 200;
};

class HostsStandin
{
public:
    HostsStandin(Daemon &daemon, const HostsSettings &settings);

private:
    struct Host
    {
        std::uint64_t epoch = 0; // Highest epoch of a command so far.
        std::uint64_t fencedEpoch = 0;
        std::uint64_t admittedEpoch = 0;
        std::uint64_t maintainedEpoch = 0;
        std::uint64_t rebootEpoch = 0; // Epoch of the reboot in progress, 0 if none.
        std::uint32_t running = 0;
        std::string pool;
        bool isDead = false;
        std::unique_ptr<Timer> workEndTimer;
        std::unique_ptr<Timer> rebootEndTimer;
    };

    struct DelayedSnapshot
    {
        TimePoint visibleAt;
        nlohmann::json hosts;
    };

    using Handler = nlohmann::json (HostsStandin::*)(const nlohmann::json &request);

    void serve(const std::shared_ptr<HttpExchange> &exchange, Handler handler);
    nlohmann::json list(const nlohmann::json &request);
    nlohmann::json observe(const nlohmann::json &request);
    nlohmann::json command(const nlohmann::json &request);
    void drain(const std::string &name, Host &host);
    void maintain(const std::string &name, Host &host);
    void admit(const std::string &name, Host &host, const std::string &pool);
    void applyFaults(const Faults &faults);
    void takeSnapshot();
    nlohmann::json snapshot() const;
    void recordEvent(const std::string &host, bool isOut);

    Daemon &m_daemon;
    HostsSettings m_settings;
    Faults m_faults;
    std::map<std::string, Host> m_hosts;
    std::vector<DelayedSnapshot> m_snapshots; // Oldest first.
    nlohmann::json m_record;
    Timer m_snapshotTimer;
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

} // namespace sequoiapier

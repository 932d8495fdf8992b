// HostsStandin: the platform's host interface: a lagging list of live and leaving hosts, commands
// to one host under an epoch, and an observation of one host.
//
// GET /record is its own account: what went out of service and came back, in order, and work that
// was disturbed by a reboot. A host is out from the drain it obeys, or its death, until it is
// admitted. A failed host comes back without memory and takes no work until it is admitted.
#pragma once

#include "cli/daemon.h"
#include "testing/standin/faults.h"

#include <nlohmann/json.hpp>

#include <map>

namespace sequoiapier {

struct HostsSettings
{
    std::string names; // separated by commas
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
        std::uint64_t epoch = 0; // the highest seen
        std::uint64_t fencedEpoch = 0;
        std::uint64_t admittedEpoch = 0;
        std::uint64_t maintainedEpoch = 0;
        std::uint64_t rebootEpoch = 0; // of the reboot under way, 0 if there is none
        std::uint32_t running = 0;
        std::string pool;
        bool isDead = false;
        std::unique_ptr<Timer> workEnd;
        std::unique_ptr<Timer> rebootEnd;
    };

    struct LaggingList
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
    void takeFaults(const Faults &faults);
    void takeSnapshot();
    nlohmann::json snapshot() const;
    void record(const std::string &host, bool isOut);

    Daemon &m_daemon;
    HostsSettings m_settings;
    Faults m_faults;
    std::map<std::string, Host> m_hosts;
    std::vector<LaggingList> m_lists; // oldest first
    nlohmann::json m_record;
    Timer m_snapshotTimer;
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
};

} // namespace sequoiapier

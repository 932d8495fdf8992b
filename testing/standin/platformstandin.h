// PlatformStandin simulates the users' platform on loopback: the row store, runners in pools, the
// fleet interface and the operator. Each one speaks the published protocol.
//
// The store and the fleet interface are served on the admin port, and for nodes with a link also on
// the link's port, so that each node can be cut off by itself. Each runner has its own port. For
// tests, the admin port also serves:
//   POST /operator {"key": "config", "value": {...}}   writes a row of the operator's table
//   POST /entry {"key": "i-9", "text": "..."}          writes a row of the runners' table
//   POST /crash {"runner": "i-0"}                      the runner loses its state and restarts
//   POST /drain {"runner": "i-0"}                      the runner announces that it is leaving
//   POST /advice {...}                                 configures the recommendation service, see
//                                                      AdviceStandin::configure()
//   GET /record                                        runs, and violations of the run rules
//   POST /faults {...}                                 replaces all earlier faults:
//     "storeDown": true          every call to the store gets 503
//     "storeSilent": true        every call to the store gets no answer
//     "listDown": true           reads of the runners' table are refused with 429
//     "ordersRefused": true      orders for hosts are refused with 429
//     "lostCommits": 2           the next 2 transactions take effect but get no answer
//     "lostStarts": 2            the next 2 starts take effect but get no answer
//     "silentRunners": ["i-1"]   these runners answer no call
//     "deafRunners": {"i-1": 2}  these runners answer no call with this fence or a higher one, as
//     if
//                                the links to later owners were cut
//     "lowestFences": {"i-1": 2} these runners answer no call with a lower fence, as if the links
//     to
//                                earlier owners were cut
//     "hangingRunners": ["i-1"]  the tasks on these runners make no progress
//     "hiddenRunners": ["i-1"]   these runners run on, but the store has no entry of them
//     "cutNodes": ["node-1"]     the store leaves calls on these nodes' links unanswered
//     "rejectedNodes": ["n"]     the store answers calls on these nodes' links with 503
#pragma once

#include "cli/daemon.h"
#include "fleet/fleethost.h"
#include "testing/standin/advicestandin.h"
#include "testing/standin/memoryrows.h"
#include "testing/standin/runledger.h"
#include "testing/standin/simulatedrunner.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

struct PlatformStandinSettings
{
    std::string pools; // Pools with host counts, "vanload:3,sundries:1".
    std::string runnerPorts; // One port per host, "7101,7102,...".
    std::string links; // TCP ports of the nodes' links, "node-1=7201,node-2=7202"; may be empty.
    std::int64_t processors = 8;
    std::int64_t moveMilliseconds = 300; // Time of a host's move or maintenance.
};

class PlatformStandin
{
public:
    PlatformStandin(Daemon &daemon, const PlatformStandinSettings &settings);
    ~PlatformStandin();

private:
    using ExchangePtr = std::shared_ptr<HttpExchange>;

    struct Host
    {
        FleetHost fleet;
        std::unique_ptr<SimulatedRunner> runner;
        std::unique_ptr<HttpServer> server;
        std::uint16_t port = 0;
        bool isDraining = false;
        int incarnations = 0;
        TimePoint availableAt{}; // End of a move or maintenance.
        std::string nextPool;
        std::set<std::uint64_t> maintenanceWaves; // Includes a wave in progress.
    };
    struct Renewal // Waits for the end of a run, until the deadline.
    {
        ExchangePtr exchange;
        std::size_t host = 0;
        nlohmann::json body;
        TimePoint deadline;
    };
    struct Watch
    {
        ExchangePtr exchange;
        std::string node; // Node whose link the call came on; empty for the admin port.
        std::string table;
        std::uint64_t after = 0;
        TimePoint deadline;
    };
    struct Faults
    {
        bool storeDown = false;
        bool storeSilent = false;
        bool listDown = false;
        bool ordersRefused = false;
        int lostCommits = 0;
        int lostStarts = 0;
        std::set<std::string> silentRunners;
        std::map<std::string, std::uint64_t> deafRunners; // Lowest fence that is not answered.
        std::map<std::string, std::uint64_t> lowestFences; // Lowest fence that is answered.
        std::set<std::string> hangingRunners;
        std::set<std::string> hiddenRunners;
        std::set<std::string> cutNodes;
        std::set<std::string> rejectedNodes;
        std::set<std::string> refusedKeys; // Rows that can't be written.
    };

    void addHosts(const std::string &pools);
    void addRoutes();
    void addLinks();
    void addAdviceRoutes();
    void serveLink(const std::string &node, const ExchangePtr &exchange);
    void startIncarnation(std::size_t host);
    void writeHeartbeat(const Host &host);
    void tick();

    // Returns true if a store fault is set, which refuses the exchange or leaves it unanswered.
    bool applyStoreFaults(const ExchangePtr &exchange, const std::string &node = {});
    void commit(const ExchangePtr &exchange);
    void readRows(const ExchangePtr &exchange);
    void watch(const ExchangePtr &exchange) { watchOn(exchange, {}); }
    void watchOn(const ExchangePtr &exchange, const std::string &node);
    bool answerWatch(const Watch &watch, bool isDue);
    void answerWatches();

    void serveRunner(std::size_t host, const ExchangePtr &exchange);
    bool isCut(const std::string &runner, const nlohmann::json &call) const;
    void startRun(Host &host, const ExchangePtr &exchange, const nlohmann::json &body);
    void stopRun(Host &host, const ExchangePtr &exchange, const nlohmann::json &body);
    void renew(std::size_t host, const ExchangePtr &exchange, const nlohmann::json &body);
    bool answerRenewal(const Renewal &renewal, bool isDue);
    void leaveUnanswered(const std::function<bool(const Renewal &renewal)> &isLost);

    void listHosts(const ExchangePtr &exchange);
    void orderHost(const ExchangePtr &exchange, bool isMove);
    void serveOperator(const ExchangePtr &exchange);
    void writeEntry(const ExchangePtr &exchange);
    void serveRecord(const ExchangePtr &exchange) const;
    void replaceFaults(const ExchangePtr &exchange);
    void crash(const ExchangePtr &exchange);
    void drain(const ExchangePtr &exchange);
    Host *findRunner(const ExchangePtr &exchange);

    Daemon &m_daemon;
    PlatformStandinSettings m_settings;
    MemoryRows m_rows;
    AdviceStandin m_advice;
    RunLedger m_ledger;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<HttpServer>> m_links;
    std::vector<Renewal> m_renewals;
    std::vector<Watch> m_watches;
    std::vector<ExchangePtr> m_unanswered;
    Faults m_faults;
    TimePoint m_nextHeartbeat{};
    std::uint64_t m_heartbeatCount = 0;
    Timer m_timer;
};

} // namespace sequoiapier

// PlatformStandin: the users' platform on loopback: the store of rows, runners in pools, the fleet
// interface, and the operator, each speaking the published protocol.
//
// The store and the fleet answer on the admin port; each runner on a port of its own. Beside them:
//   POST /operator {"key": "config", "value": {...}}   writes a row of the operator's table
//   POST /entry {"key": "i-9", "text": "..."}          writes a row of the runners' table
//   POST /crash {"runner": "i-0"}                      the runner loses everything and starts again
//   POST /drain {"runner": "i-0"}                      the runner says that it will leave
//   GET /record                                        runs and breaches of the rules on runs
//   POST /faults {...}, which replaces the faults before:
//     "storeDown": true          every call to the store is refused with 503
//     "storeSilent": true        or is not answered
//     "listDown": true           reads of the runners' table are refused with 429
//     "ordersRefused": true      orders for hosts are refused with 429
//     "lostCommits": 2           the next 2 transactions are carried out and not answered
//     "lostStarts": 2            the next 2 starts are carried out and not answered
//     "silentRunners": ["i-1"]   they answer nothing
#pragma once

#include "cli/daemon.h"
#include "fleet/fleethost.h"
#include "testing/standin/memoryrows.h"
#include "testing/standin/runledger.h"
#include "testing/standin/simulatedrunner.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiapier {

struct PlatformStandinSettings
{
    std::string pools; // "vanload:3,sundries:1"
    std::string runnerPorts; // "7101,7102,...", one a host
    std::int64_t processors = 8;
    std::int64_t moveMilliseconds = 300; // of a host to another pool, and of a maintenance
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
        int lives = 0;
        TimePoint backAt{}; // from a move or maintenance
        std::string nextPool;
        std::set<std::uint64_t> waves; // had
    };
    struct Renewal // that waits for an end
    {
        ExchangePtr exchange;
        std::size_t host = 0;
        nlohmann::json body;
        TimePoint deadline;
    };
    struct Watch
    {
        ExchangePtr exchange;
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
    };

    void addHosts(const std::string &pools);
    void addRoutes();
    void startLife(std::size_t host);
    void writeBeat(const Host &host);
    void tick();

    bool isStoreAway(const ExchangePtr &exchange);
    void commit(const ExchangePtr &exchange);
    void readRows(const ExchangePtr &exchange);
    void watch(const ExchangePtr &exchange);
    bool answerWatch(const Watch &watch, bool isDue);
    void answerWatches();

    void serveRunner(std::size_t host, const ExchangePtr &exchange);
    void startRun(Host &host, const ExchangePtr &exchange, const nlohmann::json &body);
    void stopRun(Host &host, const ExchangePtr &exchange, const nlohmann::json &body);
    void renew(std::size_t host, const ExchangePtr &exchange, const nlohmann::json &body);
    bool answerRenewal(const Renewal &renewal, bool isDue);

    void listHosts(const ExchangePtr &exchange);
    void orderHost(const ExchangePtr &exchange, bool isMove);
    void serveOperator(const ExchangePtr &exchange);
    void writeEntry(const ExchangePtr &exchange);
    void serveRecord(const ExchangePtr &exchange) const;
    void takeFaults(const ExchangePtr &exchange);
    void crash(const ExchangePtr &exchange);
    void drain(const ExchangePtr &exchange);
    Host *findRunner(const ExchangePtr &exchange);

    Daemon &m_daemon;
    PlatformStandinSettings m_settings;
    MemoryRows m_rows;
    RunLedger m_ledger;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Renewal> m_renewals;
    std::vector<Watch> m_watches;
    std::vector<ExchangePtr> m_unanswered;
    Faults m_faults;
    TimePoint m_nextBeat{};
    std::uint64_t m_beats = 0;
    Timer m_timer;
};

} // namespace sequoiapier

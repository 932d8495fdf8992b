// Shows on the classes of controller/ why FleetTest.MovesDuringAWaveKeepTheBudgets fails: a host
// that is moved again before the units of its first move are released drains without units, so that
// another host of its rack may drain as well. Exits with 1 if two hosts of the rack are out (limit
// 1).
//
//   make build
//   g++ -std=c++20 -I. -Igen review/support-2/moveagain.cc -o target/moveagain \
//     build/libsequoiapier_daemon.a build/libsequoiapier_gen.a build/libsequoiapier_core.a \
//     -lthrift -lwebsockets -lssl -lcrypto -llog4cplus -lprometheus-cpp-core -lxxhash
//   target/moveagain
#include "controller/fleetedit.h"
#include "controller/hostmove.h"
#include "controller/moveunits.h"

#include <iostream>
#include <map>

using namespace sequoiapier;

namespace {

constexpr std::int64_t Now = 100;

class Fleet
{
public:
    Fleet()
    {
        Configuration configuration;
        configuration.pools
            = {{.name = "dawn", .maxUnavailable = 2}, {.name = "benches", .maxUnavailable = 2}};
        put(std::string(ConfigurationKey), toJson(configuration));
        for (const auto &[domain, limit] : std::map<std::string, std::uint32_t>{
                 {"pool/dawn", 2}, {"pool/benches", 2}, {"rack/r0", 1}, {"zone/z0", 1}})
            put(budgetKey(domain), toJson(BudgetRow{.domain = domain, .limit = limit}));
        addHost("h00", "dawn");
        addHost("h03", "benches");
    }

    void move(const std::string &name, const std::string &pool, const std::string &operation)
    {
        api::HostMoveEdit move;
        move.host = name;
        move.pool = pool;
        move.drainSeconds = 60;
        api::FleetEdit edit;
        edit.__set_moveHost(move);
        const FleetEditPlan plan = planFleetEdit(edit, operation, Now).value();
        KeyedRows rows;
        read(rows, plan.keys);
        read(rows, plan.dependentKeys(rows));
        const auto values = plan.build(rows);
        std::cout << operation << ": " << name << " to " << pool << ": ";
        if (!values) {
            std::cout << "refused, " << values.error().detail << "\n";
            return;
        }
        std::cout << "accepted, writes";
        for (const auto &[key, value] : values.value()) {
            put(key, value);
            std::cout << " " << key;
        }
        std::cout << "\n";
    }

    // The host drains, and is admitted to its new pool.
    void finishMove(const std::string &name)
    {
        HostRow row = host(name);
        HostObservation observation{.fencedEpoch = row.epoch, .running = 0};
        row = nextHostStep(row, observation, Now).row;
        observation.admittedEpoch = row.epoch;
        row = nextHostStep(row, observation, Now).row;
        put(hostKey(name), toJson(row));
        std::cout << name << " serves in " << row.pool << "\n";
    }

    // FleetDriver::releaseUnits()
    void releaseUnits()
    {
        FleetRows rows;
        for (const auto &[key, row] : m_rows) {
            if (key.starts_with(BudgetKeyPrefix))
                rows.budgets.push_back({parseBudgetRow(row.value).value(), row.version});
            if (key.starts_with(HostKeyPrefix)) {
                rows.hosts.push_back(parseHostRow(row.value).value());
                rows.hostVersions.push_back(row.version);
            }
        }
        for (const RowWrite &write : releaseMoveUnits(rows))
            put(write.key, *write.value);
        std::cout << "tick; " << m_rows[budgetKey("rack/r0")].value << "\n";
    }

    bool isOut(const std::string &name) { return host(name).state != HostState::Serving; }

private:
    void put(const std::string &key, const std::string &value)
    {
        m_rows[key] = {.key = key, .value = value, .version = ++m_version};
    }

    void addHost(const std::string &name, const std::string &pool)
    {
        put(hostKey(name),
            toJson(HostRow{.host = name,
                           .rack = "r0",
                           .zone = "z0",
                           .pool = pool,
                           .state = HostState::Serving,
                           .epoch = 1}));
    }

    HostRow host(const std::string &name)
    {
        return parseHostRow(m_rows[hostKey(name)].value).value();
    }

    void read(KeyedRows &rows, const std::vector<std::string> &keys)
    {
        for (const std::string &key : keys) {
            const auto found = m_rows.find(key);
            rows[key]
                = found != m_rows.end() ? std::optional<TableRow>(found->second) : std::nullopt;
        }
    }

    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace

int main()
{
    Fleet fleet;
    fleet.move("h00", "benches", "first");
    fleet.finishMove("h00");
    fleet.move("h00", "dawn", "second");
    fleet.releaseUnits();
    fleet.move("h03", "dawn", "third");
    const int out = int(fleet.isOut("h00")) + int(fleet.isOut("h03"));
    std::cout << out << " hosts of rack r0 are out, limit 1\n";
    return out > 1 ? 1 : 0;
}

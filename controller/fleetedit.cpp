// A host is registered in the state Joining, so that it serves only after it has been admitted
// under its first epoch. The budget of a domain is created with its first host: a pool's budget
// with the configured limit, that of a rack or zone with a limit of one host.
#include "controller/fleetedit.h"

#include "controller/availabilitybudget.h"
#include "controller/hostmove.h"
#include "controller/moveunits.h"
#include "controller/waverow.h"

#include <algorithm>

namespace sequoiapier {

namespace {

using Values = std::map<std::string, std::string>;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::int64_t MaxDurationSeconds = 10LL * 365 * 24 * 3600;

// Names are components of table keys, which are separated by '/'.
bool isValidName(const std::string &name)
{
    const auto isAllowed = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= MaxNameBytes
        && std::all_of(name.begin(), name.end(), isAllowed);
}

bool areValidNames(const std::vector<std::string> &names)
{
    return std::all_of(names.begin(), names.end(), isValidName);
}

bool isValidDuration(std::int64_t seconds, std::int64_t minimum)
{
    return seconds >= minimum && seconds <= MaxDurationSeconds;
}

Error invalid(std::string detail)
{
    return {ResultCode::ChangeInvalid, std::move(detail)};
}

const std::optional<TableRow> &rowOf(const KeyedRows &rows, const std::string &key)
{
    return rows.find(key)->second;
}

Result<PoolConfig> configuredPool(const KeyedRows &rows, const std::string &name)
{
    const std::optional<TableRow> &row = rowOf(rows, std::string(ConfigurationKey));
    const Result<Configuration> configuration
        = parseConfiguration(row ? row->value : "{}", row ? row->version : 0);
    if (!configuration)
        return configuration.error();
    for (const PoolConfig &pool : configuration.value().pools) {
        if (pool.name == name)
            return pool;
    }
    return Error{ResultCode::NotFound, "pool " + name + " is not configured"};
}

// Adds a budget row for `domain` unless it has one already.
void addBudget(Values &values, const KeyedRows &rows, const std::string &domain,
               std::uint32_t limit)
{
    if (!rowOf(rows, budgetKey(domain)))
        values[budgetKey(domain)] = toJson(BudgetRow{.domain = domain, .limit = limit});
}

Result<Values> buildHosts(const std::vector<HostRow> &hosts, const KeyedRows &rows)
{
    Values values;
    for (const HostRow &host : hosts) {
        const Result<PoolConfig> pool = configuredPool(rows, host.pool);
        if (!pool)
            return pool.error();
        if (rowOf(rows, hostKey(host.host)))
            return Error{ResultCode::Conflict, "host " + host.host + " is registered already"};
        values[hostKey(host.host)] = toJson(host);
        for (const std::string &domain : domainsOf(host)) {
            const bool isPool = domain.starts_with("pool/");
            addBudget(values, rows, domain, isPool ? pool.value().maxUnavailable : 1);
        }
    }
    return values;
}

Result<FleetEditPlan> planRegistration(const std::vector<api::HostEntry> &entries,
                                       const std::string &operationId)
{
    if (entries.empty() || entries.size() > MaxHostsOfEdit)
        return invalid("register 1 to 256 hosts at once");
    FleetEditPlan plan{.keys = {std::string(ConfigurationKey)}};
    std::vector<HostRow> hosts;
    for (const api::HostEntry &entry : entries) {
        if (!areValidNames({entry.name, entry.rack, entry.zone, entry.pool}))
            return invalid("host, rack, zone and pool are names of letters, digits, '-_.'");
        hosts.push_back({.host = entry.name,
                         .rack = entry.rack,
                         .zone = entry.zone,
                         .pool = entry.pool,
                         .state = HostState::Joining,
                         .purpose = HostPurpose::Move,
                         .operationId = "register/" + operationId});
        plan.keys.push_back(hostKey(entry.name));
        for (const std::string &domain : domainsOf(hosts.back()))
            plan.keys.push_back(budgetKey(domain));
    }
    std::sort(plan.keys.begin(), plan.keys.end());
    plan.keys.erase(std::unique(plan.keys.begin(), plan.keys.end()), plan.keys.end());
    plan.build = [hosts](const KeyedRows &rows) { return buildHosts(hosts, rows); };
    return plan;
}

// Plans a change of a single host row.
FleetEditPlan planHostChange(const std::string &name,
                             const std::function<Result<HostRow>(const HostRow &)> &change)
{
    const std::string key = hostKey(name);
    return {.keys = {key}, .build = [=](const KeyedRows &rows) -> Result<Values> {
                const std::optional<TableRow> &row = rowOf(rows, key);
                if (!row)
                    return Error{ResultCode::NotFound, "host " + name + " is not registered"};
                const Result<HostRow> host = parseHostRow(row->value);
                const Result<HostRow> next = host ? change(host.value()) : host;
                if (!next)
                    return next.error();
                return Values{{key, toJson(next.value())}};
            }};
}

std::vector<std::string> budgetKeysOf(const KeyedRows &rows, const std::string &name)
{
    const std::optional<TableRow> &row = rowOf(rows, hostKey(name));
    const Result<HostRow> host = parseHostRow(row ? row->value : "");
    std::vector<std::string> keys;
    if (host) {
        for (const std::string &domain : domainsOf(host.value()))
            keys.push_back(budgetKey(domain));
    }
    return keys;
}

// The budget rows of `host` after `holder` has acquired its units. Those of a finished move of the
// host are given back in the same commit.
Result<Values> acquireUnits(const HostRow &host, const KeyedRows &rows, const std::string &holder)
{
    std::vector<VersionedBudgetRow> budgets;
    for (const std::string &domain : domainsOf(host)) {
        const std::optional<TableRow> &row = rowOf(rows, budgetKey(domain));
        const Result<BudgetRow> budget = parseBudgetRow(row ? row->value : "");
        if (!budget)
            return budget.error();
        budgets.push_back({budget.value(), row->version});
    }
    AvailabilityBudget budget(budgets);
    const BudgetUnit *held = budget.unitOf(host);
    if (held != nullptr && isOfFinishedMove(*held, host))
        budget.release(host);
    if (const Result<void> acquired = budget.acquire(host, holder); !acquired)
        return acquired.error();
    Values values;
    for (const RowWrite &write : budget.writes())
        values[write.key] = *write.value;
    return values;
}

Result<Values> buildMove(const api::HostMoveEdit &move, const std::string &holder,
                         std::int64_t drainDeadline, const KeyedRows &rows)
{
    const Result<PoolConfig> pool = configuredPool(rows, move.pool);
    if (!pool)
        return pool.error();
    const std::optional<TableRow> &row = rowOf(rows, hostKey(move.host));
    if (!row)
        return Error{ResultCode::NotFound, "host " + move.host + " is not registered"};
    const Result<HostRow> host = parseHostRow(row->value);
    if (!host)
        return host.error();
    const Result<HostRow> next = beginMove(host.value(), move.pool, holder, drainDeadline);
    if (!next)
        return next.error();
    Result<Values> values = acquireUnits(host.value(), rows, holder);
    if (!values)
        return values;
    values.value()[hostKey(move.host)] = toJson(next.value());
    addBudget(values.value(), rows, "pool/" + move.pool, pool.value().maxUnavailable);
    return values;
}

Result<FleetEditPlan> planMove(const api::HostMoveEdit &move, const std::string &operationId,
                               std::int64_t now)
{
    if (!areValidNames({move.host, move.pool}) || !isValidDuration(move.drainSeconds, 1))
        return invalid("a move needs a host, a pool and the seconds of its drain");
    return FleetEditPlan{
        .keys = {std::string(ConfigurationKey), hostKey(move.host), budgetKey("pool/" + move.pool)},
        .dependentKeys
        = [name = move.host](const KeyedRows &rows) { return budgetKeysOf(rows, name); },
        .build =
            [=](const KeyedRows &rows) {
                return buildMove(move, moveHolder(operationId), now + move.drainSeconds, rows);
            }};
}

Result<FleetEditPlan> planBudget(const api::BudgetEdit &budget)
{
    if (budget.limit < 0)
        return invalid("a limit is not negative");
    if (!budget.domain.starts_with("rack/") && !budget.domain.starts_with("zone/"))
        return invalid("the domain is rack/NAME or zone/NAME; a pool has its maxUnavailable");
    const std::string key = budgetKey(budget.domain);
    return FleetEditPlan{.keys = {key}, .build = [=](const KeyedRows &rows) -> Result<Values> {
                             const std::optional<TableRow> &row = rowOf(rows, key);
                             if (!row)
                                 return Error{ResultCode::NotFound, budget.domain + " has no host"};
                             Result<BudgetRow> next = parseBudgetRow(row->value);
                             if (!next)
                                 return next.error();
                             next.value().limit = std::uint32_t(budget.limit);
                             return Values{{key, toJson(next.value())}};
                         }};
}

Result<Values> buildWave(const WaveRow &wave, const KeyedRows &rows)
{
    if (rowOf(rows, waveKey(wave.id)))
        return Error{ResultCode::Conflict, "wave " + wave.id + " exists"};
    for (const std::string &pool : wave.pools) {
        const Result<PoolConfig> known = configuredPool(rows, pool);
        if (!known)
            return known.error();
    }
    for (const std::string &host : wave.hosts) {
        if (!rowOf(rows, hostKey(host)))
            return Error{ResultCode::NotFound, "host " + host + " is not registered"};
    }
    return Values{{waveKey(wave.id), toJson(wave)}};
}

Result<FleetEditPlan> planWave(const api::WaveDeclaration &declared, std::int64_t now)
{
    if (!isValidName(declared.id) || !areValidNames(declared.pools)
        || !areValidNames(declared.hosts))
        return invalid("wave, pools and hosts are names of letters, digits, '-_.'");
    if (declared.pools.empty() && declared.hosts.empty())
        return invalid("a wave needs pools or hosts");
    if (declared.maxOut < 1 || !isValidDuration(declared.drainSeconds, 1)
        || !isValidDuration(declared.deadlineSeconds, 0)
        || !isValidDuration(declared.periodSeconds, 0))
        return invalid("a number of the wave is out of range");
    const WaveRow wave{
        .id = declared.id,
        .pools = declared.pools,
        .hosts = declared.hosts,
        .startedAt = now,
        .deadline = declared.deadlineSeconds > 0 ? now + declared.deadlineSeconds : 0,
        .period = declared.periodSeconds,
        .drainTimeout = declared.drainSeconds,
        .maxOut = std::uint32_t(declared.maxOut),
        .overduePolicy = declared.stopsWhenOverdue ? OverduePolicy::Stop : OverduePolicy::Skip,
        .resumesAfterRepair = declared.resumesAfterRepair};
    FleetEditPlan plan{.keys = {std::string(ConfigurationKey), waveKey(wave.id)}};
    for (const std::string &host : wave.hosts)
        plan.keys.push_back(hostKey(host));
    plan.build = [wave](const KeyedRows &rows) { return buildWave(wave, rows); };
    return plan;
}

Result<FleetEditPlan> planWaveChange(const std::string &id,
                                     Result<WaveRow> (*change)(const WaveRow &))
{
    if (!isValidName(id))
        return invalid("a wave's name is of letters, digits, '-_.'");
    const std::string key = waveKey(id);
    return FleetEditPlan{.keys = {key}, .build = [=](const KeyedRows &rows) -> Result<Values> {
                             const std::optional<TableRow> &row = rowOf(rows, key);
                             if (!row)
                                 return Error{ResultCode::NotFound, "there is no wave " + id};
                             const Result<WaveRow> wave = parseWaveRow(row->value);
                             const Result<WaveRow> next = wave ? change(wave.value()) : wave;
                             if (!next)
                                 return next.error();
                             return Values{{key, toJson(next.value())}};
                         }};
}

} // namespace

Result<FleetEditPlan> planFleetEdit(const api::FleetEdit &edit, const std::string &operationId,
                                    std::int64_t now)
{
    if (edit.__isset.registerHosts)
        return planRegistration(edit.registerHosts, operationId);
    if (edit.__isset.moveHost)
        return planMove(edit.moveHost, operationId, now);
    if (edit.__isset.cancelDrain && isValidName(edit.cancelDrain))
        return planHostChange(edit.cancelDrain, undoDrain);
    if (edit.__isset.setBudget)
        return planBudget(edit.setBudget);
    if (edit.__isset.declareWave)
        return planWave(edit.declareWave, now);
    if (edit.__isset.pauseWave)
        return planWaveChange(edit.pauseWave, pauseWave);
    if (edit.__isset.resumeWave)
        return planWaveChange(edit.resumeWave, resumeWave);
    if (edit.__isset.cancelWave)
        return planWaveChange(edit.cancelWave, cancelWave);
    return invalid("the edit is empty");
}

} // namespace sequoiapier

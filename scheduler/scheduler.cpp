#include "scheduler/scheduler.h"

#include "cli/command.h"

#include <iostream>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
// Minimum time between computations of the shares, per borrower. A computation takes less than
// a microsecond per borrower, so at most a tenth of the time.
constexpr Duration PlanInterval = std::chrono::microseconds(10);
constexpr std::size_t MaxBorrowers = 8'192; // 45 gateways with 101 teams each make 4,545
constexpr Duration DeficitPeriod = std::chrono::milliseconds(500);
// The gateways of a team divide its share by demand. Requests without a team count as one team.
constexpr const char *TeamGroupPrefix = "team/";

} // namespace

Scheduler::Scheduler(Daemon &daemon, const SchedulerSettings &settings)
    : m_daemon(daemon)
    , m_settings(settings)
    , m_node(daemon, {.role = "scheduler", .table = parseEndpoint(settings.tableEndpoint).value()},
             {.apply = [this](const Configuration &c) { applyConfiguration(c); },
              .joined = [this] { join(); }})
    , m_tickTimer(daemon.loop(), [this] { tick(); })
{
    m_node.rpcServer().add<api::PeerService_lend_args, api::PeerService_lend_result>(
        "lend", [this](const auto &args, const auto &answer) {
            m_node.observe(args.sender);
            api::PeerService_lend_result result;
            result.success.sender = m_node.sender();
            for (const api::LoanReportMessage &report : args.reports) {
                result.success.grants.push_back(toWire(lend(fromWire(report))));
                result.success.grants.back().borrower = report.borrower;
            }
            result.__isset.success = true;
            answer(result);
        });
    m_node.start();
}

void Scheduler::join()
{
    Ownership::Options options{.self = m_node.self(),
                               .zone = m_daemon.settings().zone,
                               .address = m_daemon.settings().address + ":"
                                   + std::to_string(m_daemon.settings().port)};
    m_ownership = std::make_unique<Ownership>(
        std::move(options), m_node.table(),
        Ownership::Hooks{.now = BootClock::now,
                         .onAcquired
                         = [this](const OwnedResource &resource) { startLender(resource); },
                         .onLost = [this](const std::string &resource) { stopLender(resource); }});
    tick();
}

void Scheduler::applyConfiguration(const Configuration &configuration)
{
    m_capacities.clear();
    m_shares.clear();
    for (const TeamConfig &team : configuration.teams)
        m_shares[team.name] = team.share;
    std::vector<std::string> names;
    for (const LendableResource &resource : lendableResources(configuration)) {
        m_capacities[resource.name] = resource.capacity;
        names.push_back(resource.name);
        const auto lender = m_lenders.find(resource.name);
        if (lender != m_lenders.end())
            lender->second.setCapacity(resource.capacity);
    }
    m_ownership->setResources(std::move(names));
    m_daemon.setReady(true);
}

void Scheduler::tick()
{
    m_ownership->tick();
    const TimePoint now = BootClock::now();
    for (auto &[name, lender] : m_lenders) {
        lender.setOwnedUntil(m_ownership->ownedUntil());
        lender.tick(now);
    }
    if (m_drained && m_ownership->hasLeft())
        std::exchange(m_drained, nullptr)();
    else
        m_tickTimer.startAt(now + TickInterval);
}

void Scheduler::startLender(const OwnedResource &resource)
{
    using std::chrono::milliseconds;
    const std::int64_t capacity = m_capacities[resource.name];
    Lender::Options options{.resource = resource.name,
                            .capacity = capacity,
                            .epoch = resource.epoch,
                            .term = milliseconds(m_settings.leaseMilliseconds),
                            .outageTerm = milliseconds(m_settings.outageLeaseMilliseconds),
                            .outageTermLead = milliseconds(m_settings.leaseMilliseconds / 2),
                            .longestWork = milliseconds(m_settings.longestWorkMilliseconds),
                            .maxBorrowers = MaxBorrowers,
                            .deficitPeriod = DeficitPeriod,
                            .planInterval = PlanInterval};
    if (resource.epoch > 1) {
        options.priorCapacity = capacity;
        options.priorBorrowers = teamBorrowers(resource);
    }
    m_lenders.erase(resource.name);
    m_lenders.emplace(resource.name, Lender(std::move(options), BootClock::now()));
    m_daemon.report("ownership.acquired", {.subject = resource.name, .epoch = resource.epoch});
}

void Scheduler::stopLender(const std::string &resource)
{
    m_lenders.erase(resource);
    m_daemon.report("ownership.lost", {.subject = resource});
}

// Returns the borrowers of the resource. Gateways borrow slots separately for each team, and once
// for work without a team.
std::vector<MemberId> Scheduler::teamBorrowers(const OwnedResource &resource) const
{
    std::vector<MemberId> borrowers = resource.borrowers;
    if (!isSlotResource(resource.name))
        return borrowers;
    for (const MemberId &gateway : resource.borrowers) {
        for (const auto &[team, share] : m_shares)
            borrowers.push_back({teamBorrowerName(gateway.name, team), gateway.incarnation});
    }
    return borrowers;
}

LoanGrant Scheduler::lend(LoanReport report)
{
    const auto lender = m_lenders.find(report.resource);
    if (lender == m_lenders.end()) {
        return {
            .resource = report.resource, .sequence = report.sequence, .code = ResultCode::NotOwner};
    }
    const TimePoint now = BootClock::now();
    const std::string team = teamOfBorrower(report.borrower.name);
    const auto share = m_shares.find(team);
    report.weight = share != m_shares.end() ? share->second : 1;
    report.group = TeamGroupPrefix + team;
    lender->second.setOwnedUntil(m_ownership->ownedUntil());
    return lender->second.report(report, now);
}

void Scheduler::drain(std::function<void()> done)
{
    if (!m_ownership) {
        done();
        return;
    }
    m_drained = std::move(done);
    m_ownership->leave();
}

int runScheduler(CommandArgs args)
{
    const auto settings = parseSchedulerSettings(args);
    if (!settings) {
        std::cerr << settings.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (!settings.value())
        return int(ResultCode::Ok);
    Daemon daemon(settings.value()->common);
    Scheduler scheduler(daemon, *settings.value());
    daemon.onDrain([&](std::function<void()> done) { scheduler.drain(std::move(done)); });
    return daemon.run();
}

} // namespace sequoiapier

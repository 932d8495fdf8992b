#include "testing/support/lendingworld.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr std::chrono::milliseconds LenderTick{100};
constexpr std::chrono::milliseconds WorkTick{20};
constexpr std::chrono::milliseconds OwnerReadInterval{500};
constexpr std::chrono::milliseconds TableTimeout{800};
constexpr double MaxClockDrift = 0.005; // borrowers' clock drift; half the classes' margin

std::string lenderName(std::size_t index)
{
    return "scheduler-" + std::to_string(index);
}

} // namespace

LendingWorld::LendingWorld(Options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
    m_lenders.resize(std::size_t(options.lenders));
    m_borrowers.resize(std::size_t(options.borrowers));
    for (std::size_t i = 0; i < m_lenders.size(); ++i)
        startLender(i);
    for (std::size_t i = 0; i < m_borrowers.size(); ++i)
        startBorrower(i);
}

void LendingWorld::enqueue(const std::shared_ptr<ActionQueue> &actions,
                           std::function<void()> action)
{
    if (!actions->isAlive)
        return;
    if (actions->isPaused)
        actions->waiting.push_back(std::move(action));
    else
        action();
}

void LendingWorld::every(const std::shared_ptr<ActionQueue> &actions, Duration interval,
                         const std::function<void()> &action)
{
    if (!actions->isAlive)
        return;
    if (!actions->isPaused)
        action();
    m_time.after(interval, [=, this] { every(actions, interval, action); });
}

void LendingWorld::send(const std::shared_ptr<ActionQueue> &receiver,
                        const std::function<void()> &deliver)
{
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<Duration::rep> delay(m_network.minDelay.count(),
                                                       m_network.maxDelay.count());
    const int copies = chance(m_random) < m_network.repeatRate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        ++m_messages;
        if (chance(m_random) < m_network.dropRate)
            continue;
        m_time.after(Duration(delay(m_random)), [=, this] { enqueue(receiver, deliver); });
    }
}

void LendingWorld::setPaused(ActionQueue &actions, bool paused)
{
    actions.isPaused = paused;
    while (!actions.isPaused && !actions.waiting.empty()) {
        const std::function<void()> action = std::move(actions.waiting.front());
        actions.waiting.pop_front();
        action();
    }
}

void LendingWorld::startLender(std::size_t index)
{
    auto process = std::make_unique<LenderProcess>();
    LenderProcess *self = process.get();
    self->name = lenderName(index);
    self->actions = std::make_shared<ActionQueue>();
    Ownership::Options options{.self = {self->name, m_nextIncarnation += 1'000}};
    options.term = m_options.ownershipTerm;
    options.tableTimeout = TableTimeout;
    options.isSticky = m_options.isSticky;
    if (int(index) < m_options.largeLenders)
        options.capacity = LargeCapacity;
    Table table = m_table.hooks(self->name);
    // The table's answers are queued while the process is paused.
    const auto actions = self->actions;
    Table queuedTable;
    queuedTable.scan = [=, this](std::string_view prefix, TimePoint deadline, auto callback) {
        table.scan(prefix, deadline,
                   [=, this](auto rows) { enqueue(actions, [=] { callback(rows); }); });
    };
    queuedTable.read = [=, this](std::string_view key, TimePoint deadline, auto callback) {
        table.read(key, deadline,
                   [=, this](auto row) { enqueue(actions, [=] { callback(row); }); });
    };
    queuedTable.commit = [=, this](const Commit &commit, TimePoint deadline, auto callback) {
        table.commit(commit, deadline,
                     [=, this](auto answer) { enqueue(actions, [=] { callback(answer); }); });
    };
    Ownership::Hooks hooks{.now = [this] { return m_time.now(); }};
    hooks.onAcquired = [=, this](const OwnedResource &owned) { onAcquired(*self, owned); };
    hooks.onLost = [=](const std::string &resource) { self->lenders.erase(resource); };
    self->ownership = std::make_unique<Ownership>(options, queuedTable, hooks);
    std::vector<std::string> resources;
    resources.reserve(std::size_t(m_options.resources));
    for (int i = 0; i < m_options.resources; ++i)
        resources.push_back(resourceName(i));
    self->ownership->setResources(std::move(resources));
    m_lenders[index] = std::move(process);
    every(actions, LenderTick, [=, this] {
        self->ownership->tick();
        for (auto &[resource, lender] : self->lenders) {
            lender.setOwnedUntil(self->ownership->ownedUntil());
            lender.tick(m_time.now());
        }
    });
}

void LendingWorld::onAcquired(LenderProcess &process, const OwnedResource &resource)
{
    process.acquired[resource.name] = resource;
    Lender::Options options{.resource = resource.name, .capacity = m_options.capacity};
    options.epoch = resource.epoch;
    options.term = m_options.term;
    options.outageTerm = m_options.outageTerm;
    options.outageTermLead = m_options.ownershipTerm / 3;
    options.longestWork = m_options.longestWork;
    options.priorCapacity = resource.epoch > 1 ? m_options.capacity : 0;
    options.priorBorrowers = resource.borrowers;
    options.faults = m_options.lenderFaults;
    Lender lender(options, m_time.now());
    lender.setOwnedUntil(process.ownership->ownedUntil());
    process.lenders.emplace(resource.name, std::move(lender));
}

void LendingWorld::startBorrower(std::size_t index)
{
    std::uniform_real_distribution<double> drift(-MaxClockDrift, MaxClockDrift);
    auto process = std::make_unique<BorrowerProcess>();
    BorrowerProcess *self = process.get();
    self->self = {"gateway-" + std::to_string(index), ++m_nextIncarnation};
    self->actions = std::make_shared<ActionQueue>();
    self->table = m_table.hooks(self->self.name);
    self->clockRate = 1 + drift(m_random);
    for (int i = 0; i < m_options.resources; ++i) {
        Borrower::Options options{.resource = resourceName(i), .self = self->self};
        options.faults = m_options.borrowerFaults;
        self->loans.emplace(resourceName(i), Loan{Borrower(options), {}});
        self->loans.at(resourceName(i)).floor = m_options.floor;
    }
    m_borrowers[index] = std::move(process);
    every(self->actions, OwnerReadInterval, [=, this] { readOwners(*self); });
    every(self->actions, m_options.reportInterval, [=, this] { report(*self); });
    every(self->actions, WorkTick, [=, this] { startWork(*self); });
}

// Registers before it reads the epochs, so that it accepts no lender of an earlier epoch.
void LendingWorld::readOwners(BorrowerProcess &process)
{
    BorrowerProcess *self = &process;
    const TimePoint deadline = m_time.now() + TableTimeout;
    if (!process.isRegistered) {
        Commit commit{.writeId = "register/" + toString(process.self)};
        commit.writeId += "/" + std::to_string(++m_nextIncarnation);
        commit.writes = {{borrowerKey(process.self), "{}", 0}};
        process.table.commit(std::move(commit), deadline, [=](const CommitAnswer &answer) {
            // A conflict means that an earlier attempt took effect.
            self->isRegistered = self->isRegistered || answer.outcome == CommitOutcome::Committed
                || answer.outcome == CommitOutcome::Conflict;
        });
        return;
    }
    process.table.scan(OwnerPrefix, deadline, [=](const Result<std::vector<TableRow>> &rows) {
        if (!rows)
            return;
        self->isReady = true;
        for (const TableRow &row : rows.value()) {
            const std::string resource = row.key.substr(OwnerPrefix.size());
            const OwnerRow owner = parseOwnerRow(row.value).value();
            self->owners[resource] = owner;
            self->loans.at(resource).borrower.requireEpoch(owner.epoch);
        }
    });
}

TimePoint LendingWorld::localNow(const BorrowerProcess &process) const
{
    const Duration elapsed = m_time.now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(elapsed * process.clockRate));
}

void LendingWorld::report(BorrowerProcess &process)
{
    if (!process.isReady)
        return;
    for (auto &[resource, loan] : process.loans) {
        const auto owner = process.owners.find(resource);
        if (owner == process.owners.end())
            continue;
        const LoanReport report = loan.borrower.makeReport(loan.demand, localNow(process));
        loan.sentAt[report.sequence] = localNow(process);
        sendReport(process, report, owner->second.owner.name);
    }
}

void LendingWorld::sendReport(BorrowerProcess &process, const LoanReport &report,
                              const std::string &owner)
{
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::size_t> anyLender(0, m_lenders.size() - 1);
    const bool isMisrouted = chance(m_random) < m_network.misrouteRate;
    const std::string name = isMisrouted ? m_lenders[anyLender(m_random)]->name : owner;
    for (auto &lender : m_lenders) {
        if (lender->name != name || m_network.cutLinks.contains({process.self.name, name}))
            continue;
        send(lender->actions,
             [=, this, &process, target = lender.get()] { answer(*target, process, report); });
    }
}

void LendingWorld::answer(LenderProcess &process, BorrowerProcess &borrower,
                          const LoanReport &report)
{
    const auto found = process.lenders.find(report.resource);
    if (found == process.lenders.end())
        return;
    Lender &lender = found->second;
    lender.setOwnedUntil(process.ownership->ownedUntil());
    if (!m_options.lendsPastTerm && !lender.isOwner(m_time.now()))
        return;
    const LoanGrant grant = lender.report(report, m_time.now());
    send(borrower.actions, [=, this, &borrower] {
        Loan &loan = borrower.loans.at(grant.resource);
        const TimePoint now = localNow(borrower);
        loan.borrower.accept(grant, loan.sentAt[grant.sequence], now);
        checkCapacity(grant.resource);
        startWork(borrower);
    });
}

void LendingWorld::startWork(BorrowerProcess &process)
{
    for (auto &[resource, loan] : process.loans) {
        while (loan.running < loan.demand) {
            const TimePoint now = localNow(process);
            const bool isOnFloor = loan.floorInUse < loan.floor;
            if (!isOnFloor && !loan.borrower.tryAcquire(now))
                break;
            startUnit(process, resource, loan, isOnFloor);
        }
    }
}

void LendingWorld::startUnit(BorrowerProcess &process, const std::string &resource, Loan &loan,
                             bool isOnFloor)
{
    std::uniform_int_distribution<Duration::rep> length(m_options.minWork.count(),
                                                        m_options.maxWork.count());
    ++loan.running;
    loan.floorInUse += isOnFloor ? 1 : 0;
    checkCapacity(resource);
    m_time.after(Duration(length(m_random)), [=, this, &process, &loan] {
        --loan.running;
        enqueue(process.actions, [=, this, &process, &loan] {
            if (isOnFloor)
                --loan.floorInUse;
            else
                loan.borrower.release(localNow(process));
            startWork(process);
        });
    });
}

void LendingWorld::setDemand(int borrower, int resource, std::int64_t units)
{
    m_borrowers[std::size_t(borrower)]->loans.at(resourceName(resource)).demand = units;
}

void LendingWorld::killLender(int index)
{
    lender(index).actions->isAlive = false;
}

void LendingWorld::restartLender(int index)
{
    killLender(index);
    m_deadLenders.push_back(std::move(m_lenders[std::size_t(index)]));
    startLender(std::size_t(index));
}

void LendingWorld::killBorrower(int index)
{
    borrower(index).actions->isAlive = false;
}

void LendingWorld::restartBorrower(int index)
{
    killBorrower(index);
    m_deadBorrowers.push_back(std::move(m_borrowers[std::size_t(index)]));
    startBorrower(std::size_t(index));
}

std::int64_t LendingWorld::running(const std::string &resource) const
{
    std::int64_t units = 0;
    for (const auto *processes : {&m_borrowers, &m_deadBorrowers}) {
        for (const auto &process : *processes)
            units += process->loans.at(resource).running;
    }
    return units;
}

std::int64_t LendingWorld::leased(const std::string &resource) const
{
    std::int64_t units = 0;
    for (const auto &process : m_borrowers) {
        const Borrower &borrower = process->loans.at(resource).borrower;
        if (process->actions->isAlive && borrower.isLeased(localNow(*process)))
            units += borrower.held();
    }
    return units;
}

void LendingWorld::checkCapacity(const std::string &resource)
{
    std::int64_t units = running(resource);
    for (const auto &process : m_borrowers) {
        if (process->actions->isAlive)
            units += process->loans.at(resource).borrower.available(localNow(*process));
    }
    const std::int64_t totalFloor = m_options.floor * m_options.borrowers;
    if (units > m_options.capacity + totalFloor && m_overload.empty())
        m_overload = resource + ": " + std::to_string(units) + " units may run at once";
}

} // namespace sequoiapier

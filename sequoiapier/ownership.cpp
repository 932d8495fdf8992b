// Each cycle renews this member's row, scans the rows of members and owners, compares the owner
// rows with what is owned here, and writes at most one transaction with all changes that this
// member has to make:
//   - remove the rows of dead members, at the version at which they were seen unchanged
//   - take over resources whose owner no longer has a row, with the next epoch
//   - hand over resources that are assigned to another live member
// Table calls per second and member: 1 / renewInterval writes and 1 / scanInterval reads, whatever
// the number of resources. With sticky resources, members that are neither owners nor successors
// make a quarter of them. A cycle costs O(r * m) for r resources and m members.
#include "sequoiapier/ownership.h"

#include "sequoiapier/rendezvous.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sequoiapier {

namespace {

constexpr std::size_t MaxWritesPerCommit = 64;
constexpr std::size_t MaxObservedEpochs = 16;
// Number of incarnations reserved for each start of a process. The process uses the next one
// whenever it was declared dead, and a later start must never be mistaken for one of them.
constexpr std::uint64_t IncarnationsPerStart = 1 << 16;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

Ownership::Ownership(Options options, Table table, Hooks hooks)
    : m_options(std::move(options))
    , m_table(std::move(table))
    , m_hooks(std::move(hooks))
    , m_members({.term = scaled(m_options.term, 1 + m_options.clockRateMargin),
                 .maxScanGap = 2 * m_options.scanInterval + m_options.tableTimeout})
{
    m_options.self.incarnation *= IncarnationsPerStart;
}

void Ownership::setResources(std::vector<std::string> resources)
{
    std::sort(resources.begin(), resources.end());
    m_resources = std::move(resources);
    release([&](const std::string &resource, std::uint64_t) { return !isConfigured(resource); });
}

bool Ownership::isConfigured(const std::string &resource) const
{
    return std::binary_search(m_resources.begin(), m_resources.end(), resource);
}

const OwnerRow *Ownership::ownerOf(const std::string &resource) const
{
    const auto found = m_owners.find(resource);
    return found != m_owners.end() ? &found->second.row : nullptr;
}

bool Ownership::hasEnded(const MemberId &member) const
{
    return latestIncarnation(member.name).incarnation > member.incarnation;
}

bool Ownership::ownsAny(const MemberId &member) const
{
    return std::any_of(m_owners.begin(), m_owners.end(),
                       [&](const auto &item) { return item.second.row.owner == member; });
}

TimePoint Ownership::deadline() const
{
    return m_hooks.now() + m_options.tableTimeout;
}

std::string Ownership::nextWriteId()
{
    return "ownership/" + toString(m_options.self) + "/" + std::to_string(++m_writeIdCount);
}

void Ownership::tick()
{
    const TimePoint now = m_hooks.now();
    if (!m_hasLeft && !m_isRenewing && now >= m_nextRenewal)
        renew();
    if (!m_isScanning && now >= m_nextScan)
        scan();
}

void Ownership::leave()
{
    m_isLeaving = true;
    m_leavingSince = m_hooks.now();
    m_nextRenewal = m_leavingSince;
}

void Ownership::renew()
{
    const TimePoint sentAt = m_hooks.now();
    m_isRenewing = true;
    const int terms = intervalFactor();
    m_nextRenewal = sentAt + terms * m_options.renewInterval;
    // From now on the other members may see a renewal with a shorter lease than the previous one.
    m_ownedUntil = std::min(m_ownedUntil, leaseEnd(sentAt, terms));
    const LenderRow row{.zone = m_options.zone,
                        .address = m_options.address,
                        .renewal = ++m_renewalCount,
                        .isLeaving = m_isLeaving,
                        .capacity = m_options.capacity,
                        .terms = std::uint64_t(terms)};
    Commit commit{.writeId = nextWriteId()};
    commit.writes = {{lenderKey(m_options.self), toJson(row), m_memberVersion}};
    const std::string writeId = commit.writeId;
    m_table.commit(std::move(commit), deadline(), [=, this](const CommitAnswer &answer) {
        onRenewed(answer, writeId, sentAt, terms);
    });
}

void Ownership::onRenewed(const CommitAnswer &answer, const std::string &writeId, TimePoint sentAt,
                          int terms)
{
    if (answer.outcome == CommitOutcome::Unknown) {
        readBackRenewal(writeId, sentAt, terms);
        return;
    }
    m_isRenewing = false;
    if (answer.outcome == CommitOutcome::Committed) {
        m_memberVersion = std::max(m_memberVersion, answer.versions.front());
        extendLease(sentAt, terms);
    } else if (answer.outcome == CommitOutcome::Conflict) {
        m_nextScan = m_hooks.now();
    }
}

// If the row that records the write exists, the renewal took effect. The next scan returns the
// version of the member row.
void Ownership::readBackRenewal(const std::string &writeId, TimePoint sentAt, int terms)
{
    const auto onRead = [=, this](const Result<std::optional<TableRow>> &row) {
        m_isRenewing = false;
        m_nextScan = m_hooks.now();
        if (row && row.value())
            extendLease(sentAt, terms);
    };
    m_table.read(writeRecordKey(writeId), deadline(), onRead);
}

// Time until which a renewal sent at `sentAt` keeps other members from taking over.
TimePoint Ownership::leaseEnd(TimePoint sentAt, int terms) const
{
    return sentAt + scaled(terms * m_options.term, 1 - m_options.clockRateMargin);
}

void Ownership::extendLease(TimePoint sentAt, int terms)
{
    m_ownedUntil = std::max(m_ownedUntil, leaseEnd(sentAt, terms));
    if (m_isLeaving && !m_isLeavingAnnounced && sentAt >= m_leavingSince) {
        m_isLeavingAnnounced = true;
        m_nextScan = m_hooks.now();
    }
}

// Joins again under a new incarnation after another member declared this one dead.
void Ownership::rejoin()
{
    release([](const std::string &, std::uint64_t) { return true; });
    ++m_options.self.incarnation;
    m_memberVersion = 0;
    m_ownedUntil = {};
    m_nextRenewal = m_hooks.now();
}

void Ownership::scan()
{
    m_isScanning = true;
    m_lastScan = m_hooks.now();
    m_nextScan = m_lastScan + intervalFactor() * m_options.scanInterval;
    const MemberId self = m_options.self;
    const bool hadRow = m_memberVersion != 0;
    const auto onScan = [=, this](const Result<std::vector<TableRow>> &rows) {
        if (!rows) {
            m_isScanning = false;
            return;
        }
        m_members.setIntervalFactor(intervalFactor());
        m_members.observe(rows.value(), m_hooks.now());
        const MemberView::Entry *entry = m_members.find(m_options.self);
        if (entry != nullptr)
            m_memberVersion = std::max(m_memberVersion, entry->version);
        else if (hadRow && !m_hasLeft && self == m_options.self)
            m_isLeaving ? void(m_hasLeft = true) : rejoin();
        m_isScanning = false;
        onScanned(rows.value());
    };
    m_table.scan(OwningPrefix, deadline(), onScan);
}

void Ownership::refresh()
{
    m_nextScan = std::min(m_nextScan, m_lastScan + m_options.scanInterval);
}

void Ownership::observeOwners(const std::vector<TableRow> &rows)
{
    std::map<std::string, Owner> owners;
    for (const TableRow &row : rows) {
        if (!row.key.starts_with(OwnerPrefix))
            continue;
        const std::string resource = row.key.substr(OwnerPrefix.size());
        const auto previous = m_owners.find(resource);
        if (previous != m_owners.end() && previous->second.version == row.version) {
            owners.insert(m_owners.extract(previous));
            continue;
        }
        const Result<OwnerRow> value = parseOwnerRow(row.value);
        if (!value)
            continue;
        Owner &owner = owners[resource];
        if (previous != m_owners.end())
            owner.observed = std::move(previous->second.observed);
        owner.row = value.value();
        owner.version = row.version;
        observeEpoch(owner.observed, owner.row.epoch);
    }
    m_owners = std::move(owners);
}

void Ownership::observeEpoch(std::vector<ObservedEpoch> &observed, std::uint64_t epoch) const
{
    if (!observed.empty() && observed.back().epoch > epoch)
        observed.clear(); // The row was removed and written anew.
    if (!observed.empty() && observed.back().epoch == epoch)
        return;
    if (observed.size() == MaxObservedEpochs)
        observed.erase(observed.begin());
    observed.push_back({epoch, m_hooks.now()});
}

void Ownership::onScanned(const std::vector<TableRow> &rows)
{
    observeOwners(rows);
    release([&](const std::string &resource, std::uint64_t epoch) {
        const OwnerRow *row = ownerOf(resource);
        return row == nullptr || row->owner != m_options.self || row->epoch != epoch;
    });
    scanBorrowers();
    planChanges();
}

void Ownership::release(const IsLost &isLost)
{
    for (auto entry = m_owned.begin(); entry != m_owned.end();) {
        if (!isLost(entry->first, entry->second)) {
            ++entry;
            continue;
        }
        const std::string resource = entry->first;
        m_releasedEpochs[resource] = entry->second;
        entry = m_owned.erase(entry);
        m_hooks.onLost(resource);
    }
}

// Resources that the owner rows assign to this member and that it does not lend yet.
std::vector<std::string> Ownership::newlyOwned() const
{
    std::vector<std::string> resources;
    for (const auto &[resource, owner] : m_owners) {
        const auto released = m_releasedEpochs.find(resource);
        const bool wasReleased
            = released != m_releasedEpochs.end() && owner.row.epoch <= released->second;
        if (owner.row.owner == m_options.self && !owns(resource) && isConfigured(resource)
            && !wasReleased) {
            resources.push_back(resource);
        }
    }
    return resources;
}

// Scans the borrowers that may hold loans of earlier epochs. The scan follows the change of the
// owner row, so that a borrower that registers later finds the new epoch in that row.
void Ownership::scanBorrowers()
{
    if (m_isAcquiring || newlyOwned().empty())
        return;
    m_isAcquiring = true;
    const auto onScan = [this](const Result<std::vector<TableRow>> &rows) {
        m_isAcquiring = false;
        if (!rows)
            return;
        std::vector<MemberId> borrowers;
        for (const TableRow &row : rows.value()) {
            const Result<MemberId> borrower = parseMemberKey(row.key, BorrowerPrefix);
            if (borrower)
                borrowers.push_back(borrower.value());
        }
        acquire(borrowers);
    };
    // Resources whose owner row is seen after the start of this scan wait for the next one.
    m_acquiring = newlyOwned();
    m_table.scan(BorrowerPrefix, deadline(), onScan);
}

void Ownership::acquire(const std::vector<MemberId> &borrowers)
{
    if (m_hooks.now() >= m_ownedUntil)
        return;
    const std::vector<std::string> valid = newlyOwned();
    for (const std::string &resource : m_acquiring) {
        if (!std::binary_search(valid.begin(), valid.end(), resource))
            continue;
        const Owner &owner = m_owners[resource];
        const std::uint64_t epoch = owner.row.epoch;
        m_owned[resource] = epoch;
        const auto takeover = m_takeovers.find(resource);
        const bool isTakenOver = takeover != m_takeovers.end() && takeover->second.epoch == epoch;
        m_hooks.onAcquired(
            {.name = resource,
             .epoch = epoch,
             .borrowers = borrowers,
             .takenFrom = isTakenOver ? std::optional(takeover->second.from) : std::nullopt,
             .observed = owner.observed});
    }
}

// Whether `member` is an earlier incarnation of this member. It ended before this one began,
// however recent its row is.
bool Ownership::isEarlierIncarnation(const MemberId &member) const
{
    return member.name == m_options.self.name && member < m_options.self;
}

// Members that may own resources, with the number that the owner rows assign to each.
std::vector<OwnerCandidate> Ownership::candidates() const
{
    std::vector<OwnerCandidate> members;
    const TimePoint now = m_hooks.now();
    std::map<MemberId, std::size_t> owned;
    for (const auto &[resource, owner] : m_owners)
        owned[owner.row.owner] += isConfigured(resource) ? 1 : 0;
    for (const auto &[member, entry] : m_members.entries()) {
        const bool isSelf = member == m_options.self;
        const bool isAlive = m_members.isAlive(member, now) && !isEarlierIncarnation(member)
            && !entry.row.isLeaving;
        if (!(isSelf ? !m_isLeaving : isAlive))
            continue;
        const bool isWatching = isSelf ? m_isWatching : entry.row.terms == 1;
        members.push_back({member.name, entry.row.capacity, owned[member], isWatching});
    }
    return members;
}

// Highest incarnation of the member `name`; an empty MemberId if it has no row.
MemberId Ownership::latestIncarnation(const std::string &name) const
{
    MemberId latest;
    for (const auto &[member, entry] : m_members.entries()) {
        if (member.name == name)
            latest = member;
    }
    return latest;
}

// The member that rendezvous hashing selects for `resource`; an empty MemberId if `names` is empty.
MemberId Ownership::pickByHash(const std::string &resource,
                               std::span<const std::string> names) const
{
    return names.empty() ? MemberId() : latestIncarnation(names[rendezvousPick(resource, names)]);
}

// Index of the resource's owner; members.size() if the owner is not among `members`.
std::size_t Ownership::ownerIndex(const std::string &resource,
                                  std::span<const OwnerCandidate> members) const
{
    const OwnerRow *row = ownerOf(resource);
    if (row == nullptr || row->owner != latestIncarnation(row->owner.name))
        return members.size();
    const auto owner = std::find_if(members.begin(), members.end(), [&](const auto &member) {
        return member.name == row->owner.name;
    });
    return std::size_t(owner - members.begin());
}

// Whether this member is an owner or a successor. Any member may be the successor for a resource
// that is not sticky.
bool Ownership::mustWatch(const std::vector<OwnerCandidate> &members) const
{
    if (!m_options.isSticky || m_isLeaving || m_resources.empty())
        return true;
    std::vector<std::size_t> owners;
    owners.reserve(m_resources.size());
    for (const std::string &resource : m_resources)
        owners.push_back(ownerIndex(resource, members));
    const std::vector<std::size_t> watching = watchers(m_resources, owners, members);
    return std::any_of(watching.begin(), watching.end(), [&](std::size_t index) {
        return members[index].name == m_options.self.name;
    });
}

void Ownership::updateWatching(const std::vector<OwnerCandidate> &members)
{
    const bool wasWatching = std::exchange(m_isWatching, mustWatch(members));
    if (m_isWatching && !wasWatching) {
        m_nextRenewal = m_hooks.now();
        m_nextScan = m_hooks.now();
    }
}

// Chooses the owner of a sticky resource and counts the resource as its load in `members`.
MemberId Ownership::chooseOwner(const std::string &resource,
                                std::vector<OwnerCandidate> &members) const
{
    const std::size_t owner = ownerIndex(resource, members);
    const bool isOwned = owner != members.size();
    if (isOwned && ownerOf(resource)->owner != m_options.self)
        return ownerOf(resource)->owner; // only the owner hands its resource over
    const std::size_t next = leastLoaded(resource, members);
    if (next == members.size())
        return {};
    if (isOwned) {
        if (mostLoaded(members) != owner || !isWorthHandingOver(members[owner], members[next]))
            return m_options.self;
        --members[owner].owned;
    }
    ++members[next].owned;
    return latestIncarnation(members[next].name);
}

void Ownership::planChanges()
{
    const bool isLeavingUnannounced = m_isLeaving && !m_isLeavingAnnounced;
    if (m_hasLeft || m_isChanging || m_memberVersion == 0 || isLeavingUnannounced
        || m_hooks.now() >= m_ownedUntil) {
        return;
    }
    std::vector<OwnerCandidate> members = candidates();
    updateWatching(members);
    // The failure of a member that renews at the longer interval is detected late, so the other
    // members, if there are any, make the changes and own the resources.
    if (std::any_of(members.begin(), members.end(), [](const auto &m) { return m.isWatching; }))
        std::erase_if(members, [](const auto &member) { return !member.isWatching; });
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const OwnerCandidate &member : members)
        names.push_back(member.name);
    Commit commit;
    for (const auto &[member, entry] : m_members.entries()) {
        const std::string key = lenderKey(member);
        const bool isDead = member != m_options.self && !m_members.isAlive(member, m_hooks.now());
        if (isEarlierIncarnation(member) || (isDead && pickByHash(key, names) == m_options.self))
            commit.writes.push_back({key, std::nullopt, entry.version});
    }
    for (std::size_t i = m_resources.size();
         i-- > 0 && commit.writes.size() < MaxWritesPerCommit;) {
        const std::string &resource = m_resources[i];
        const MemberId next
            = m_options.isSticky ? chooseOwner(resource, members) : pickByHash(resource, names);
        planResource(resource, next, commit);
    }
    if (m_isLeaving && commit.writes.empty()) {
        release([](const std::string &, std::uint64_t) { return true; });
        commit.writes.push_back({lenderKey(m_options.self), std::nullopt, m_memberVersion});
    }
    if (!commit.writes.empty())
        commitChanges(std::move(commit));
}

void Ownership::planResource(const std::string &resource, const MemberId &next, Commit &commit)
{
    const auto found = m_owners.find(resource);
    if (found == m_owners.end()) {
        if (next == m_options.self)
            commit.writes.push_back({ownerKey(resource), toJson(OwnerRow{next, 1}), 0});
        return;
    }
    const OwnerRow &row = found->second.row;
    const bool isOwnedHere = row.owner == m_options.self;
    const bool isOwnerGone = m_members.find(row.owner) == nullptr;
    const auto released = m_releasedEpochs.find(resource);
    const bool wasReleased = released != m_releasedEpochs.end() && row.epoch <= released->second;
    const bool isHandedOver = isOwnedHere && next != m_options.self && !next.name.empty();
    const bool isTakenOver = next == m_options.self && (isOwnedHere ? wasReleased : isOwnerGone);
    if (!isHandedOver && !isTakenOver)
        return;
    release([&](const std::string &owned, std::uint64_t) { return owned == resource; });
    const OwnerRow changed{next, row.epoch + 1};
    if (isTakenOver)
        m_takeovers[resource] = {row.owner, changed.epoch};
    commit.writes.push_back({ownerKey(resource), toJson(changed), found->second.version});
}

// Commits the changes. The answer does not matter: the next scan shows what the table holds.
void Ownership::commitChanges(Commit commit)
{
    m_isChanging = true;
    commit.writeId = nextWriteId();
    m_table.commit(std::move(commit), deadline(), [this](const CommitAnswer &) {
        m_isChanging = false;
        m_nextScan = m_hooks.now();
    });
}

} // namespace sequoiapier

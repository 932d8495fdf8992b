// Start-time fair queueing over slot time (Goyal, Vin, Cheng). Each team has a start tag in virtual
// time. The team with the smallest tag is served, virtual time advances to that tag, and the tag
// advances by the charge divided by the weight. A team that was idle restarts at virtual time. The
// slot times of two teams with waiting requests, divided by their weights, stay within one charge
// (divided by weight) of each other.
//
// Teams are kept in ordered sets by start tag, by urgency and by load, and requests in a set by
// latest start. Every change moves a team once in each set: O(log teams + log requests).
#include "gateway/teamqueues.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr double SmallestWeight = 1e-3;
constexpr std::size_t UrgentClass = 1;

double microseconds(Duration duration)
{
    return double(duration.count());
}

Error notQueued(ResultCode code, std::string_view team)
{
    return {code, "team '" + std::string(team) + "'"};
}

} // namespace

TeamQueues::TeamQueues(Options options)
    : m_options(options)
{
    m_classes[0].maxCount = options.maxCount;
    m_classes[0].maxBytes = options.maxBytes;
    m_classes[UrgentClass].maxCount = options.maxUrgentCount;
    m_classes[UrgentClass].maxBytes = options.maxUrgentBytes;
}

TeamQueues::Team *TeamQueues::findOrAddTeam(std::string_view name)
{
    if (const auto found = m_teams.find(name); found != m_teams.end())
        return &found->second;
    if (m_teams.size() >= m_options.maxTeams)
        forgetIdleTeam();
    if (m_teams.size() >= m_options.maxTeams)
        return nullptr;
    const auto [added, isNew] = m_teams.try_emplace(std::string(name));
    added->second.name = added->first;
    added->second.order = m_nextOrder++;
    added->second.startTag = m_virtualTime;
    return &added->second;
}

void TeamQueues::forgetIdleTeam()
{
    const auto idle = std::find_if(m_teams.begin(), m_teams.end(), [this](const auto &entry) {
        return entry.second.isEmpty() && entry.second.startTag <= m_virtualTime;
    });
    if (idle != m_teams.end())
        m_teams.erase(idle);
}

// Keeps the slot time by which the team is ahead of its share.
void TeamQueues::setWeight(std::string_view team, double weight)
{
    Team *found = findOrAddTeam(team);
    if (found == nullptr)
        return;
    const double before = found->weight;
    unrank(*found);
    found->weight = std::max(weight, SmallestWeight);
    found->startTag = m_virtualTime + (found->startTag - m_virtualTime) * before / found->weight;
    rank(*found);
}

double TeamQueues::load(const Team &team, std::size_t priority) const
{
    const TeamBacklog &backlog = team.backlogs[priority];
    const double count = double(backlog.requests.size()) / double(m_classes[priority].maxCount);
    const double bytes = double(backlog.bytes) / double(m_classes[priority].maxBytes);
    return std::max(count, bytes) / team.weight;
}

Duration TeamQueues::startCharge(const Team &team) const
{
    return Duration(std::int64_t(m_options.startCharge * microseconds(team.runTime.mean())));
}

// Returns the virtual time from which the team's urgent requests go first. The advance is at least
// two charges, because a team with a steady backlog is up to one charge ahead.
double TeamQueues::urgentRank(const Team &team) const
{
    const Duration advance = std::max(m_options.urgentAdvance, 2 * startCharge(team));
    return team.startTag - microseconds(advance) / team.weight;
}

void TeamQueues::unrank(Team &team)
{
    for (std::size_t priority = 0; priority < PriorityClassCount; ++priority)
        m_classes[priority].byLoad.erase({load(team, priority), team.order, &team});
    m_byStartTag.erase({team.startTag, team.order, &team});
    m_byUrgentRank.erase({urgentRank(team), team.order, &team});
}

void TeamQueues::rank(Team &team)
{
    for (std::size_t priority = 0; priority < PriorityClassCount; ++priority) {
        if (!team.backlogs[priority].requests.empty())
            m_classes[priority].byLoad.insert({load(team, priority), team.order, &team});
    }
    if (!team.isEmpty())
        m_byStartTag.insert({team.startTag, team.order, &team});
    if (!team.backlogs[UrgentClass].requests.empty())
        m_byUrgentRank.insert({urgentRank(team), team.order, &team});
}

Result<void> TeamQueues::push(QueuedRequest request, TimePoint now)
{
    const std::size_t priority = request.isUrgent ? UrgentClass : 0;
    if (request.deadline <= now)
        return notQueued(ResultCode::DeadlineExpired, request.team);
    if (m_index.contains(request.id))
        return notQueued(ResultCode::InternalError, request.team);
    Team *team = findOrAddTeam(request.team);
    if (team == nullptr)
        return notQueued(ResultCode::QueueFull, request.team);
    if (isTooLate(*team, request, now))
        return notQueued(ResultCode::DeadlineTooClose, request.team);
    if (!makeRoom(*team, priority, request.bytes))
        return notQueued(ResultCode::QueueFull, request.team);
    insert(*team, std::move(request), now);
    return boost::outcome_v2::success();
}

// Refuses the newest requests of the most loaded team until the new request fits. Returns false if
// the request exceeds the bounds alone or if `team` would itself be the most loaded with it.
bool TeamQueues::makeRoom(const Team &team, std::size_t priority, std::size_t bytes)
{
    PriorityClass &bounded = m_classes[priority];
    if (bytes > bounded.maxBytes || bounded.maxCount == 0)
        return false;
    const TeamBacklog &backlog = team.backlogs[priority];
    const double count = double(backlog.requests.size() + 1) / double(bounded.maxCount);
    const double byteFraction = double(backlog.bytes + bytes) / double(bounded.maxBytes);
    const double loadWithIt = std::max(count, byteFraction) / team.weight;
    while (bounded.count >= bounded.maxCount || bounded.bytes + bytes > bounded.maxBytes) {
        const RankedTeam &mostLoaded = *bounded.byLoad.rbegin();
        if (mostLoaded.team == &team || mostLoaded.rank <= loadWithIt)
            return false;
        refuse(mostLoaded.team->backlogs[priority].requests.back().id, ResultCode::QueueFull);
    }
    return true;
}

void TeamQueues::insert(Team &team, QueuedRequest request, TimePoint now)
{
    const std::size_t priority = request.isUrgent ? UrgentClass : 0;
    const std::uint64_t id = request.id;
    const Duration margin = m_options.refusesEarly ? team.runTime.upperBound(now) : Duration(0);
    const TimePoint latestStart = request.deadline - margin;
    unrank(team);
    if (team.isEmpty())
        team.startTag = std::max(team.startTag, m_virtualTime);
    if (team.backlogs[0].requests.empty())
        team.overloadedFrom = now + m_options.overloadAfter;
    m_classes[priority].count += 1;
    m_classes[priority].bytes += request.bytes;
    team.backlogs[priority].bytes += request.bytes;
    std::list<QueuedRequest> &requests = team.backlogs[priority].requests;
    requests.push_back(std::move(request));
    rank(team);
    m_index.emplace(id, Position{&team, priority, std::prev(requests.end()), latestStart});
    m_byLatestStart.emplace(latestStart, id);
}

QueuedRequest TeamQueues::extract(std::unordered_map<std::uint64_t, Position>::iterator entry)
{
    const Position position = entry->second;
    Team &team = *position.team;
    unrank(team);
    m_byLatestStart.erase({position.latestStart, entry->first});
    m_index.erase(entry);
    QueuedRequest request = std::move(*position.request);
    team.backlogs[position.priority].requests.erase(position.request);
    team.backlogs[position.priority].bytes -= request.bytes;
    m_classes[position.priority].count -= 1;
    m_classes[position.priority].bytes -= request.bytes;
    rank(team);
    return request;
}

void TeamQueues::refuse(std::uint64_t id, ResultCode code)
{
    m_refused.push_back({extract(m_index.find(id)), code});
}

bool TeamQueues::isTooLate(const Team &team, const QueuedRequest &request, TimePoint now) const
{
    const Duration margin = m_options.refusesEarly ? team.runTime.upperBound(now) : Duration(0);
    return now + margin >= request.deadline;
}

// Refuses the requests whose latest start has passed. If the run time estimate has changed since
// then so that a request is not too late, updates its latest start.
void TeamQueues::refuseLate(TimePoint now)
{
    while (!m_byLatestStart.empty() && m_byLatestStart.begin()->first <= now) {
        const std::uint64_t id = m_byLatestStart.begin()->second;
        Position &position = m_index.at(id);
        const TimePoint deadline = position.request->deadline;
        if (isTooLate(*position.team, *position.request, now)) {
            refuse(id,
                   deadline <= now ? ResultCode::DeadlineExpired : ResultCode::DeadlineTooClose);
            continue;
        }
        m_byLatestStart.erase(m_byLatestStart.begin());
        position.latestStart = deadline - position.team->runTime.upperBound(now);
        m_byLatestStart.emplace(position.latestStart, id);
    }
}

void TeamQueues::shedStale(Team &team, TimePoint now)
{
    std::list<QueuedRequest> &requests = team.backlogs[0].requests;
    while (!requests.empty() && now >= team.overloadedFrom
           && now - requests.front().arrival > m_options.overloadDelay) {
        refuse(requests.front().id, ResultCode::Overloaded);
    }
}

std::vector<RefusedRequest> TeamQueues::takeRefused(TimePoint now)
{
    refuseLate(now);
    const Ranking teams = m_classes[0].byLoad;
    for (const RankedTeam &ranked : teams)
        shedStale(*ranked.team, now);
    return std::exchange(m_refused, {});
}

TeamQueues::Team *TeamQueues::pickUrgent(const MayStart &mayStart)
{
    for (const RankedTeam &ranked : m_byUrgentRank) {
        if (ranked.rank > m_virtualTime)
            return nullptr;
        if (mayStart(ranked.team->name))
            return ranked.team;
    }
    return nullptr;
}

// Teams skipped because of their ceilings get the chosen team's tag, so that they accumulate no
// credit.
TeamQueues::Team *TeamQueues::pickByShare(const MayStart &mayStart)
{
    std::vector<Team *> skipped;
    for (const RankedTeam &ranked : m_byStartTag) {
        if (!mayStart(ranked.team->name)) {
            skipped.push_back(ranked.team);
            continue;
        }
        m_virtualTime = std::max(m_virtualTime, ranked.rank);
        const double chosenTag = ranked.rank;
        Team *chosen = ranked.team;
        for (Team *team : skipped) {
            unrank(*team);
            team->startTag = chosenTag;
            rank(*team);
        }
        return chosen;
    }
    return nullptr;
}

QueuedRequest TeamQueues::start(Team &team)
{
    const std::size_t priority = team.backlogs[UrgentClass].requests.empty() ? 0 : UrgentClass;
    QueuedRequest request = extract(m_index.find(team.backlogs[priority].requests.front().id));
    request.charged = startCharge(team);
    unrank(team);
    team.startTag += microseconds(request.charged) / team.weight;
    rank(team);
    return request;
}

std::optional<QueuedRequest> TeamQueues::pop(TimePoint now, const MayStart &mayStart,
                                             const MayStart &mayStartUrgent)
{
    refuseLate(now);
    const MayStart &mayUrgent = mayStartUrgent ? mayStartUrgent : mayStart;
    if (Team *team = pickUrgent(mayUrgent); team != nullptr)
        return start(*team);
    while (Team *team = pickByShare(mayStart)) {
        shedStale(*team, now);
        if (!team->isEmpty())
            return start(*team);
    }
    return std::nullopt;
}

std::optional<QueuedRequest> TeamQueues::remove(std::uint64_t id)
{
    const auto entry = m_index.find(id);
    if (entry == m_index.end())
        return std::nullopt;
    return extract(entry);
}

std::vector<QueuedRequest> TeamQueues::takeAll()
{
    std::vector<QueuedRequest> all;
    all.reserve(m_index.size());
    while (!m_index.empty())
        all.push_back(extract(m_index.begin()));
    return all;
}

void TeamQueues::adjustCharge(const QueuedRequest &request, Duration ran)
{
    const auto found = m_teams.find(request.team);
    if (found == m_teams.end())
        return;
    Team &team = found->second;
    unrank(team);
    team.startTag += microseconds(ran - request.charged) / team.weight;
    rank(team);
}

void TeamQueues::onFinished(const QueuedRequest &request, Duration ran, TimePoint now)
{
    adjustCharge(request, ran);
    const auto found = m_teams.find(request.team);
    if (found == m_teams.end())
        return;
    // If other runs of the team ended, a run that exceeded its deadline indicates a slow runner and
    // not a slow team.
    RunTimeEstimate &runTime = found->second.runTime;
    if (now > request.deadline && runTime.hasSampleSince(now - ran))
        return;
    unrank(found->second);
    runTime.learn(ran, now);
    rank(found->second);
}

void TeamQueues::onNotRun(const QueuedRequest &request)
{
    adjustCharge(request, Duration(0));
}

std::optional<TimePoint> TeamQueues::nextRefusal() const
{
    if (m_byLatestStart.empty())
        return std::nullopt;
    return m_byLatestStart.begin()->first;
}

std::vector<TeamQueues::Waiting> TeamQueues::waiting() const
{
    std::vector<Waiting> teams;
    for (const RankedTeam &ranked : m_byStartTag)
        teams.push_back({ranked.team->name, count(ranked.team->name)});
    return teams;
}

std::size_t TeamQueues::count(std::string_view team) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return 0;
    return found->second.backlogs[0].requests.size()
        + found->second.backlogs[UrgentClass].requests.size();
}

bool TeamQueues::isOverloaded(std::string_view team, TimePoint now) const
{
    const auto found = m_teams.find(team);
    return found != m_teams.end() && !found->second.backlogs[0].requests.empty()
        && now >= found->second.overloadedFrom;
}

} // namespace sequoiapier

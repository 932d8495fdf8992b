// Start-time fair queueing over slot time (Goyal, Vin, Cheng). Each team has a start tag in virtual
// time; the team with the least tag is served, virtual time moves to that tag, and the tag moves on
// by the charge over the weight. A team that comes back from idleness starts at virtual time. Two
// teams with work get slot time within one charge (over weight) of each other.
//
// Teams stand in ordered sets by start tag, by urgency and by load; a request's latest start stands
// in another. Every change moves a team in each set once: O(log teams + log requests).
#include "gateway/teamqueues.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr double SmallestWeight = 1e-3;
constexpr std::size_t UrgentLane = 1;

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
    m_lanes[0].maxCount = options.maxCount;
    m_lanes[0].maxBytes = options.maxBytes;
    m_lanes[UrgentLane].maxCount = options.maxUrgentCount;
    m_lanes[UrgentLane].maxBytes = options.maxUrgentBytes;
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

// The slot time that the team is ahead of its share stays the same.
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

double TeamQueues::load(const Team &team, std::size_t lane) const
{
    const TeamLane &held = team.lanes[lane];
    const double count = double(held.requests.size()) / double(m_lanes[lane].maxCount);
    const double bytes = double(held.bytes) / double(m_lanes[lane].maxBytes);
    return std::max(count, bytes) / team.weight;
}

Duration TeamQueues::startCharge(const Team &team) const
{
    return Duration(std::int64_t(m_options.startCharge * microseconds(team.runTime.mean())));
}

// Virtual time from which the team's urgent work goes first. Two charges are the least advance, as
// a team with a steady backlog is up to one ahead.
double TeamQueues::urgentRank(const Team &team) const
{
    const Duration advance = std::max(m_options.urgentAdvance, 2 * startCharge(team));
    return team.startTag - microseconds(advance) / team.weight;
}

void TeamQueues::unrank(Team &team)
{
    for (std::size_t lane = 0; lane < LaneCount; ++lane)
        m_lanes[lane].byLoad.erase({load(team, lane), team.order, &team});
    m_byStartTag.erase({team.startTag, team.order, &team});
    m_byUrgentRank.erase({urgentRank(team), team.order, &team});
}

void TeamQueues::rank(Team &team)
{
    for (std::size_t lane = 0; lane < LaneCount; ++lane) {
        if (!team.lanes[lane].requests.empty())
            m_lanes[lane].byLoad.insert({load(team, lane), team.order, &team});
    }
    if (!team.isEmpty())
        m_byStartTag.insert({team.startTag, team.order, &team});
    if (!team.lanes[UrgentLane].requests.empty())
        m_byUrgentRank.insert({urgentRank(team), team.order, &team});
}

Result<void> TeamQueues::push(QueuedRequest request, TimePoint now)
{
    const std::size_t lane = request.isUrgent ? UrgentLane : 0;
    if (request.deadline <= now)
        return notQueued(ResultCode::DeadlineExpired, request.team);
    if (m_index.contains(request.id))
        return notQueued(ResultCode::InternalError, request.team);
    Team *team = findOrAddTeam(request.team);
    if (team == nullptr)
        return notQueued(ResultCode::QueueFull, request.team);
    if (isTooLate(*team, request, now))
        return notQueued(ResultCode::DeadlineTooClose, request.team);
    if (!makeRoom(*team, lane, request.bytes))
        return notQueued(ResultCode::QueueFull, request.team);
    insert(*team, std::move(request), now);
    return boost::outcome_v2::success();
}

// Lets the newest requests of the most loaded team give way, while that is another one than `team`
// would be with one more.
bool TeamQueues::makeRoom(const Team &team, std::size_t lane, std::size_t bytes)
{
    Lane &bounded = m_lanes[lane];
    if (bytes > bounded.maxBytes || bounded.maxCount == 0)
        return false;
    const TeamLane &held = team.lanes[lane];
    const double count = double(held.requests.size() + 1) / double(bounded.maxCount);
    const double part = double(held.bytes + bytes) / double(bounded.maxBytes);
    const double loadWithIt = std::max(count, part) / team.weight;
    while (bounded.count >= bounded.maxCount || bounded.bytes + bytes > bounded.maxBytes) {
        const RankedTeam &most = *bounded.byLoad.rbegin();
        if (most.team == &team || most.rank <= loadWithIt)
            return false;
        refuse(most.team->lanes[lane].requests.back().id, ResultCode::QueueFull);
    }
    return true;
}

void TeamQueues::insert(Team &team, QueuedRequest request, TimePoint now)
{
    const std::size_t lane = request.isUrgent ? UrgentLane : 0;
    const std::uint64_t id = request.id;
    const Duration margin = m_options.refusesEarly ? team.runTime.upper(now) : Duration(0);
    const TimePoint latestStart = request.deadline - margin;
    unrank(team);
    if (team.isEmpty())
        team.startTag = std::max(team.startTag, m_virtualTime);
    if (team.lanes[0].requests.empty())
        team.overloadedFrom = now + m_options.overloadAfter;
    m_lanes[lane].count += 1;
    m_lanes[lane].bytes += request.bytes;
    team.lanes[lane].bytes += request.bytes;
    std::list<QueuedRequest> &requests = team.lanes[lane].requests;
    requests.push_back(std::move(request));
    rank(team);
    m_index.emplace(id, Position{&team, lane, std::prev(requests.end()), latestStart});
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
    team.lanes[position.lane].requests.erase(position.request);
    team.lanes[position.lane].bytes -= request.bytes;
    m_lanes[position.lane].count -= 1;
    m_lanes[position.lane].bytes -= request.bytes;
    rank(team);
    return request;
}

void TeamQueues::refuse(std::uint64_t id, ResultCode code)
{
    m_refused.push_back({extract(m_index.find(id)), code});
}

bool TeamQueues::isTooLate(const Team &team, const QueuedRequest &request, TimePoint now) const
{
    const Duration margin = m_options.refusesEarly ? team.runTime.upper(now) : Duration(0);
    return now + margin >= request.deadline;
}

// The estimate may have changed since a request's latest start was noted: then it is noted anew.
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
        position.latestStart = deadline - position.team->runTime.upper(now);
        m_byLatestStart.emplace(position.latestStart, id);
    }
}

void TeamQueues::dropStale(Team &team, TimePoint now)
{
    std::list<QueuedRequest> &requests = team.lanes[0].requests;
    while (!requests.empty() && now >= team.overloadedFrom
           && now - requests.front().arrival > m_options.overloadDelay) {
        refuse(requests.front().id, ResultCode::Overloaded);
    }
}

std::vector<RefusedRequest> TeamQueues::takeRefused(TimePoint now)
{
    refuseLate(now);
    const Ranking teams = m_lanes[0].byLoad;
    for (const RankedTeam &ranked : teams)
        dropStale(*ranked.team, now);
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

// Teams passed over for their ceiling move up to the chosen one, so that they save nothing up.
TeamQueues::Team *TeamQueues::pickByShare(const MayStart &mayStart)
{
    std::vector<Team *> passedOver;
    for (const RankedTeam &ranked : m_byStartTag) {
        if (!mayStart(ranked.team->name)) {
            passedOver.push_back(ranked.team);
            continue;
        }
        m_virtualTime = std::max(m_virtualTime, ranked.rank);
        const double chosenTag = ranked.rank;
        Team *chosen = ranked.team;
        for (Team *team : passedOver) {
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
    const std::size_t lane = team.lanes[UrgentLane].requests.empty() ? 0 : UrgentLane;
    QueuedRequest request = extract(m_index.find(team.lanes[lane].requests.front().id));
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
        dropStale(*team, now);
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

void TeamQueues::settle(const QueuedRequest &request, Duration ran)
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
    settle(request, ran);
    const auto found = m_teams.find(request.team);
    if (found == m_teams.end())
        return;
    // A run that outlived its deadline while others of the team ended tells of its runner alone.
    RunTimeEstimate &runTime = found->second.runTime;
    if (now > request.deadline && runTime.hasLearntSince(now - ran))
        return;
    unrank(found->second);
    runTime.learn(ran, now);
    rank(found->second);
}

void TeamQueues::onNotRun(const QueuedRequest &request)
{
    settle(request, Duration(0));
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
    return found->second.lanes[0].requests.size() + found->second.lanes[UrgentLane].requests.size();
}

bool TeamQueues::isOverloaded(std::string_view team, TimePoint now) const
{
    const auto found = m_teams.find(team);
    return found != m_teams.end() && !found->second.lanes[0].requests.empty()
        && now >= found->second.overloadedFrom;
}

} // namespace sequoiapier

// TeamQueues: the requests that wait for one queue's runners on one gateway, shared among teams.
//
//   TeamQueues queues({.maxCount = 1024});
//   queues.setWeight("depot", 3);
//   if (const auto pushed = queues.push(request, now); !pushed)
//       refuse(pushed.error());
//   while (hasFreeUnit()) {
//       std::optional<QueuedRequest> next = queues.pop(now, mayStart);
//       ...
//   }
//   for (const RefusedRequest &refused : queues.takeRefused(now))
//       refuse(refused);
//
// What is shared is slot time: a team's start is charged its mean run time, corrected when the run
// ends. Each team with work gets slot time in proportion to its weight; a team without work saves
// nothing up. Within a team the order is that of arrival, urgent requests first. Urgent requests
// also go before other teams' work, as long as their team is at most Options::urgentAdvance of slot
// time ahead of its share.
//
// A request leaves exactly once: by pop(), takeRefused(), remove() or takeAll(). Each lane (urgent
// or not) is bounded in count and bytes; when one is full, the newest request of the team with the
// most waiting for its weight gives way. Memory: the bounds plus about 400 bytes a team.
#pragma once

#include "gateway/queuedrequest.h"
#include "gateway/runtimeestimate.h"
#include "sequoiapier/result.h"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiapier {

class TeamQueues
{
public:
    struct Options
    {
        std::size_t maxCount = 1024;
        std::size_t maxBytes = 64 * 1024 * 1024;
        std::size_t maxUrgentCount = 64;
        std::size_t maxUrgentBytes = 8 * 1024 * 1024;
        std::size_t maxTeams = 256;
        // Mean run times charged for a run until it ends. More keeps the teams' running counts
        // closer to their shares, less evens out past run times sooner.
        double startCharge = 2;
        Duration urgentAdvance = std::chrono::seconds(2); // slot time
        // A team whose queue has not been empty for overloadAfter is overloaded: its requests that
        // waited longer than overloadDelay are shed until its queue is empty once. Urgent ones
        // are left out of this.
        Duration overloadAfter = std::chrono::seconds(5);
        Duration overloadDelay = std::chrono::milliseconds(200);
        // Refuses what can't finish by its deadline, judged by learned run times.
        bool refusesEarly = true;
    };

    // Whether a team may start one more request now (its ceiling). Must not change anything: a call
    // of pop() may ask about a team more than once.
    using MayStart = std::function<bool(std::string_view team)>;

    struct Waiting
    {
        std::string_view team;
        std::size_t count = 0;
    };

    explicit TeamQueues(Options options);

    // The part of `team`: its share, or the units lent to this gateway for it. 1 if never set; not
    // positive counts as the smallest part.
    void setWeight(std::string_view team, double weight);

    // QueueFull, DeadlineExpired or DeadlineTooClose, all "not run". O(log n).
    Result<void> push(QueuedRequest request, TimePoint now);
    // The next request to send; `mayStartUrgent`, if set, is asked for urgent ones in place of
    // `mayStart`. O(log n), plus O(log n) for each team that may not start.
    std::optional<QueuedRequest> pop(TimePoint now, const MayStart &mayStart,
                                     const MayStart &mayStartUrgent = {});
    // Requests that expired, were shed or gave way. O(log n) each plus O(teams with
    // work).
    std::vector<RefusedRequest> takeRefused(TimePoint now);
    // For a caller that went away; nullopt if `id` is not waiting. O(log n).
    std::optional<QueuedRequest> remove(std::uint64_t id);
    // Everything, for a shutdown.
    std::vector<QueuedRequest> takeAll();

    // After the run of a popped request: corrects what was charged and learns the run time, unless
    // it outlived its deadline while others of the team ended.
    void onFinished(const QueuedRequest &request, Duration ran, TimePoint now);
    // After a popped request that certainly did not run: takes the charge back.
    void onNotRun(const QueuedRequest &request);

    // When the next request will be too late to start; nullopt if nothing waits.
    std::optional<TimePoint> nextRefusal() const;
    // Teams with waiting requests. Views are valid until the next change.
    std::vector<Waiting> waiting() const;
    std::size_t count() const { return m_index.size(); }
    std::size_t count(std::string_view team) const;
    std::size_t bytes() const { return m_lanes[0].bytes + m_lanes[1].bytes; }
    bool isOverloaded(std::string_view team, TimePoint now) const;

private:
    static constexpr std::size_t LaneCount = 2;

    struct TeamLane
    {
        std::list<QueuedRequest> requests;
        std::size_t bytes = 0;
    };

    struct Team
    {
        std::string_view name; // the key in m_teams
        std::uint64_t order = 0; // of creation; breaks ties
        double weight = 1;
        double startTag = 0; // virtual time at which its next request is due, microseconds
        std::array<TeamLane, LaneCount> lanes; // by isUrgent
        RunTimeEstimate runTime;
        TimePoint overloadedFrom; // valid while it has requests that are not urgent

        bool isEmpty() const { return lanes[0].requests.empty() && lanes[1].requests.empty(); }
    };

    struct RankedTeam
    {
        double rank = 0;
        std::uint64_t order = 0;
        Team *team = nullptr;

        bool operator<(const RankedTeam &other) const
        {
            return rank != other.rank ? rank < other.rank : order < other.order;
        }
    };
    using Ranking = std::set<RankedTeam>;

    struct Lane
    {
        std::size_t maxCount = 0;
        std::size_t maxBytes = 0;
        std::size_t count = 0;
        std::size_t bytes = 0;
        Ranking byLoad; // by part of the bounds taken, per weight
    };

    struct Position
    {
        Team *team = nullptr;
        std::size_t lane = 0;
        std::list<QueuedRequest>::iterator request;
        TimePoint latestStart;
    };

    Team *findOrAddTeam(std::string_view name);
    void forgetIdleTeam();
    double load(const Team &team, std::size_t lane) const;
    Duration startCharge(const Team &team) const;
    double urgentRank(const Team &team) const;
    void unrank(Team &team);
    void rank(Team &team);
    bool makeRoom(const Team &team, std::size_t lane, std::size_t bytes);
    void insert(Team &team, QueuedRequest request, TimePoint now);
    QueuedRequest extract(std::unordered_map<std::uint64_t, Position>::iterator entry);
    void refuse(std::uint64_t id, ResultCode code);
    bool isTooLate(const Team &team, const QueuedRequest &request, TimePoint now) const;
    void refuseLate(TimePoint now);
    void dropStale(Team &team, TimePoint now);
    QueuedRequest start(Team &team);
    Team *pickUrgent(const MayStart &mayStart);
    Team *pickByShare(const MayStart &mayStart);
    void settle(const QueuedRequest &request, Duration ran);

    Options m_options;
    std::map<std::string, Team, std::less<>> m_teams;
    std::array<Lane, LaneCount> m_lanes; // by isUrgent
    Ranking m_byStartTag; // teams with work
    Ranking m_byUrgentRank; // teams with urgent work
    std::unordered_map<std::uint64_t, Position> m_index;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byLatestStart;
    std::vector<RefusedRequest> m_refused;
    double m_virtualTime = 0; // microseconds of slot time per unit of weight
    std::uint64_t m_nextOrder = 0;
};

} // namespace sequoiapier

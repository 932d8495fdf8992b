// TeamQueues: the requests that wait in one queue of one gateway, scheduled fairly among teams.
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
// Teams share slot time. Each start charges the team Options::startCharge mean run times, which is
// corrected when the run ends. Each team with waiting requests gets slot time in proportion to its
// weight; a team without any accumulates no credit. Within a team, urgent requests go first, then
// the order is that of arrival. Urgent requests also go before other teams' requests, as long as
// their team is at most Options::urgentAdvance of slot time ahead of its share.
//
// A request leaves exactly once: by pop(), takeRefused(), remove() or takeAll(). Each priority
// class (urgent or not) is bounded in count and bytes. When one is full, it refuses the newest
// request of the team whose waiting requests are the most for its weight. Memory: the bounds plus
// about 400 bytes per team.
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
        // Number of mean run times charged for a run until it ends. A larger value keeps the
        // teams' numbers of running requests closer to their shares. A smaller value compensates
        // sooner for past run times.
        double startCharge = 2;
        Duration urgentAdvance = std::chrono::seconds(2); // maximum lead in slot time
        // A team whose queue has not been empty for overloadAfter is overloaded: its requests that
        // have waited longer than overloadDelay are shed until its queue becomes empty. Urgent
        // requests neither count for this nor are shed.
        Duration overloadAfter = std::chrono::seconds(5);
        Duration overloadDelay = std::chrono::milliseconds(200);
        // Whether to refuse requests that can't finish by their deadlines, by the learned run
        // times.
        bool refusesEarly = true;
    };

    // Whether a team's ceiling allows one more request to start now. Must not have side effects:
    // one call of pop() may ask about a team more than once.
    using MayStart = std::function<bool(std::string_view team)>;

    struct Waiting
    {
        std::string_view team;
        std::size_t count = 0;
    };

    explicit TeamQueues(Options options);

    // Sets the weight of `team`: its share, or the number of units lent to this gateway for it. The
    // weight is 1 if never set. A weight that is not positive counts as the smallest weight.
    void setWeight(std::string_view team, double weight);

    // Fails with QueueFull, DeadlineExpired or DeadlineTooClose, all with the run state "not run".
    // O(log n).
    Result<void> push(QueuedRequest request, TimePoint now);
    // Takes the next request to send. `mayStartUrgent`, if set, replaces `mayStart` for urgent
    // requests. O(log n), plus O(log n) for each team that may not start.
    std::optional<QueuedRequest> pop(TimePoint now, const MayStart &mayStart,
                                     const MayStart &mayStartUrgent = {});
    // Takes the requests that expired, were shed, or were refused to make room for others. O(log n)
    // each plus O(teams with waiting requests).
    std::vector<RefusedRequest> takeRefused(TimePoint now);
    // Removes a request whose caller disconnected. Returns nullopt if `id` is not waiting. O(log
    // n).
    std::optional<QueuedRequest> remove(std::uint64_t id);
    // Takes all waiting requests, for a shutdown.
    std::vector<QueuedRequest> takeAll();

    // Call after the run of a popped request. Corrects the charge and learns the run time, unless
    // the run exceeded its deadline while other runs of the team ended.
    void onFinished(const QueuedRequest &request, Duration ran, TimePoint now);
    // Call for a popped request that certainly did not run. Takes the charge back.
    void onNotRun(const QueuedRequest &request);

    // Returns the time when the next request will be too late to start; nullopt if none waits.
    std::optional<TimePoint> nextRefusal() const;
    // Returns the teams with waiting requests. The views are valid until the next change.
    std::vector<Waiting> waiting() const;
    std::size_t count() const { return m_index.size(); }
    std::size_t count(std::string_view team) const;
    std::size_t bytes() const { return m_classes[0].bytes + m_classes[1].bytes; }
    bool isOverloaded(std::string_view team, TimePoint now) const;

private:
    static constexpr std::size_t PriorityClassCount = 2;

    struct TeamBacklog
    {
        std::list<QueuedRequest> requests;
        std::size_t bytes = 0;
    };

    struct Team
    {
        std::string_view name; // view of the key in m_teams
        std::uint64_t order = 0; // order of creation, which breaks ties
        double weight = 1;
        double startTag = 0; // virtual time at which the next request is due, in microseconds
        std::array<TeamBacklog, PriorityClassCount> backlogs; // index: isUrgent
        RunTimeEstimate runTime;
        TimePoint overloadedFrom; // valid while requests wait that are not urgent

        bool isEmpty() const
        {
            return backlogs[0].requests.empty() && backlogs[1].requests.empty();
        }
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

    struct PriorityClass
    {
        std::size_t maxCount = 0;
        std::size_t maxBytes = 0;
        std::size_t count = 0;
        std::size_t bytes = 0;
        Ranking byLoad; // rank: used fraction of the bounds divided by the weight
    };

    struct Position
    {
        Team *team = nullptr;
        std::size_t priority = 0;
        std::list<QueuedRequest>::iterator request;
        TimePoint latestStart;
    };

    Team *findOrAddTeam(std::string_view name);
    void forgetIdleTeam();
    double load(const Team &team, std::size_t priority) const;
    Duration startCharge(const Team &team) const;
    double urgentRank(const Team &team) const;
    void unrank(Team &team);
    void rank(Team &team);
    bool makeRoom(const Team &team, std::size_t priority, std::size_t bytes);
    void insert(Team &team, QueuedRequest request, TimePoint now);
    QueuedRequest extract(std::unordered_map<std::uint64_t, Position>::iterator entry);
    void refuse(std::uint64_t id, ResultCode code);
    bool isTooLate(const Team &team, const QueuedRequest &request, TimePoint now) const;
    void refuseLate(TimePoint now);
    void shedStale(Team &team, TimePoint now);
    QueuedRequest start(Team &team);
    Team *pickUrgent(const MayStart &mayStart);
    Team *pickByShare(const MayStart &mayStart);
    void adjustCharge(const QueuedRequest &request, Duration ran);

    Options m_options;
    std::map<std::string, Team, std::less<>> m_teams;
    std::array<PriorityClass, PriorityClassCount> m_classes; // index: isUrgent
    Ranking m_byStartTag; // teams with waiting requests
    Ranking m_byUrgentRank; // teams with urgent waiting requests
    std::unordered_map<std::uint64_t, Position> m_index;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byLatestStart;
    std::vector<RefusedRequest> m_refused;
    double m_virtualTime = 0; // microseconds of slot time per unit of weight
    std::uint64_t m_nextOrder = 0;
};

} // namespace sequoiapier

#include "jobs/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiapier::jobs {

namespace {

using std::chrono::seconds;

Duration toDuration(double length)
{
    constexpr double MaxSeconds = 1e6; // Keeps the conversion within the range of Duration.
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::clamp(length, -MaxSeconds, MaxSeconds)));
}

// A smaller change of the number of usable runners is no growth of the pool.
constexpr double GrowthFactor = 1.05;

double toSeconds(Duration length)
{
    return std::chrono::duration<double>(length).count();
}

Duration wholeSeconds(Duration length)
{
    return std::chrono::ceil<seconds>(length);
}

} // namespace

std::size_t Admission::bucketOf(double work)
{
    if (work <= 1)
        return 0;
    return std::min(std::size_t(4 * std::log2(work)), BucketCount - 1);
}

void Admission::start(TimePoint now)
{
    m_startedAt = now;
}

void Admission::beginSnapshot(const Room &room, TimePoint now)
{
    // After a pause it is not known how long the backlog has lasted.
    if (now - m_snapshotAt > m_options.maxSnapshotAge) {
        m_backloggedSince = {};
        m_teamsBackloggedSince.clear();
    }
    m_room = room;
    m_snapshotAt = now;
    m_backlog = {};
    m_teamBacklogs.clear();
}

void Admission::Backlog::add(const Load &load, double amount)
{
    WorkClass &group = classes[load.priority][load.isBeyondShare ? 1 : 0];
    if (!load.isLate)
        group.inTime[bucketOf(load.work)] += amount;
    group.total += amount;
    total += amount;
}

double Admission::Backlog::before(const Load &load, bool isLate) const
{
    double work = 0;
    for (const auto &[priority, groups] : classes) {
        if (priority > load.priority)
            break;
        const auto &[within, beyond] = groups;
        if (priority < load.priority) {
            work += within.total + beyond.total;
            continue;
        }
        if (load.isBeyondShare)
            work += within.total;
        const WorkClass &own = load.isBeyondShare ? beyond : within;
        if (isLate) {
            work += own.total;
            continue;
        }
        for (std::size_t i = 0; i <= bucketOf(load.work); ++i)
            work += own.inTime[i];
    }
    return work;
}

double Admission::teamBacklog(std::string_view team) const
{
    const auto found = m_teamBacklogs.find(team);
    return found != m_teamBacklogs.end() ? found->second.total : 0;
}

void Admission::addBacklog(std::string_view team, const Load &load)
{
    if (teamBacklog(team) <= toSeconds(m_options.teamHorizon))
        m_backlog.add(load, load.runnerSeconds);
    if (load.teamSeconds > 0) {
        m_teamBacklogs.try_emplace(std::string(team)).first->second.add(load, load.teamSeconds);
    }
}

void Admission::endSnapshot(double running, TimePoint now)
{
    m_running = running;
    updateBacklogged(now);
    forgetRefusals(now);
    if (m_backlog.total <= 0 && m_room.runners > 0)
        countRoom(now);
}

void Admission::updateBacklogged(TimePoint now)
{
    const double shortBacklog = toSeconds(m_options.shortBacklog);
    const bool hasGrown = m_room.runners > m_backloggedRunners * GrowthFactor;
    if (m_backlog.total <= m_room.runners * shortBacklog) {
        m_backloggedSince = {};
    } else if (m_backloggedSince == TimePoint{} || hasGrown) {
        m_backloggedSince = now;
        m_backloggedRunners = m_room.runners;
    }
    std::erase_if(m_teamsBackloggedSince,
                  [&](const auto &item) { return teamBacklog(item.first) <= shortBacklog; });
    for (const auto &[team, backlog] : m_teamBacklogs) {
        if (backlog.total > shortBacklog)
            m_teamsBackloggedSince.try_emplace(team, now);
    }
}

// Returns whether the pool or the job's team has been behind for longer than a peak that is
// absorbed.
bool Admission::isBacklogged(const Request &request, TimePoint now) const
{
    const auto hasLasted = [&](TimePoint since, Duration length) {
        return since != TimePoint{} && now >= since + length;
    };
    const auto team = m_teamsBackloggedSince.find(request.team);
    return hasLasted(m_backloggedSince, std::max(m_options.shortBacklog, m_options.growthTime))
        || (request.load.teamSeconds > 0 && team != m_teamsBackloggedSince.end()
            && hasLasted(team->second, m_options.shortBacklog));
}

void Admission::recordRunTime(std::string_view queue, double length)
{
    Learned &learned = m_learned.try_emplace(std::string(queue)).first->second;
    if (learned.runs++ == 0)
        learned.mean = length;
    learned.spread += m_options.newestWeight * (std::abs(length - learned.mean) - learned.spread);
    learned.mean += m_options.newestWeight * (length - learned.mean);
}

void Admission::recordEnd(const Prediction &prediction, TimePoint now)
{
    Learned &learned = m_learned.try_emplace(prediction.queue).first->second;
    learned.error += m_options.newestWeight * (toSeconds(now - prediction.endAt) - learned.error);
    if (now > prediction.limitAt)
        count(prediction.queue, prediction.team, &Counts::acceptedLate);
}

std::optional<Duration> Admission::repeatedRefusal(std::string_view id, TimePoint now) const
{
    const auto found = m_refusals.find(id);
    if (found == m_refusals.end() || now >= found->second.returnAt)
        return std::nullopt;
    return wholeSeconds(found->second.returnAt - now);
}

Admission::Wait Admission::waitOf(const Request &request, bool isLate) const
{
    Wait wait{.backlog = m_running + m_backlog.before(request.load, isLate)};
    if (m_room.runners > 0)
        wait.seconds = wait.backlog / m_room.runners;
    const auto team = m_teamBacklogs.find(request.team);
    if (request.load.teamSeconds > 0 && team != m_teamBacklogs.end())
        wait.seconds = std::max(wait.seconds, team->second.before(request.load, isLate));
    return wait;
}

Admission::Decision Admission::predict(const Request &request, TimePoint now) const
{
    const auto found = m_learned.find(request.queue);
    const Learned learned = found != m_learned.end() ? found->second : Learned{};
    // Half of the spread is added for each step, which ends with the last of its tasks.
    const double path = request.pathSeconds + request.pathSteps * learned.spread / 2;
    Wait wait = waitOf(request, false);
    double error = 0;
    if (wait.seconds + path > request.objectiveSeconds) {
        wait = waitOf(request, true);
        error = std::min(learned.error, 0.0);
    }
    Decision decision;
    decision.backlog = wait.backlog;
    decision.runners = m_room.runners;
    decision.waitSeconds = wait.seconds;
    decision.predictedSeconds = wait.seconds + path + error;
    decision.limitSeconds = request.limitSeconds;
    decision.prediction = {.queue = request.queue,
                           .team = request.team,
                           .endAt = now + toDuration(wait.seconds + path),
                           .limitAt = now + toDuration(decision.limitSeconds)};
    return decision;
}

bool Admission::mayRefuse(const Request &request, const Decision &decision, TimePoint now) const
{
    const bool isStarted = m_room.haveAllAnswered || now >= m_startedAt + m_options.startTime;
    const bool isCurrent
        = m_snapshotAt != TimePoint{} && now - m_snapshotAt <= m_options.maxSnapshotAge;
    if (!m_options.isOn || !isStarted || !isCurrent || m_room.runners <= 0)
        return false;
    const auto learned = m_learned.find(request.queue);
    if (learned == m_learned.end() || learned->second.runs == 0)
        return false; // The run times are not known.
    return isBacklogged(request, now) && decision.predictedSeconds > decision.limitSeconds;
}

Admission::Decision Admission::decide(const Request &request, TimePoint now)
{
    Decision decision = predict(request, now);
    const auto before = m_refusals.find(request.id);
    if (before != m_refusals.end())
        decision.firstRefusedAt = before->second.firstRefusedAt;
    if (mayRefuse(request, decision, now)) {
        refuse(request, decision, now);
        return decision;
    }
    if (before != m_refusals.end())
        m_refusals.erase(before);
    addBacklog(request.team, request.load);
    count(request.queue, request.team, &Counts::accepted);
    return decision;
}

// The job is told to return when it could end in time if nothing else arrived. Each refused job
// moves that time back by its own work, so that the refused jobs don't return at once.
void Admission::refuse(const Request &request, Decision &decision, TimePoint now)
{
    const double spare = std::max(request.objectiveSeconds - request.pathSeconds, 0.0);
    const TimePoint roomAt = std::max(now + toDuration(decision.waitSeconds - spare), m_nextReturn);
    const TimePoint returnAt
        = std::clamp(roomAt, now + m_options.minRetry, now + m_options.maxRetry);
    m_nextReturn = std::min(roomAt + toDuration(request.load.runnerSeconds / m_room.runners),
                            now + m_options.maxRetry);
    decision.isAccepted = false;
    decision.retryAfter = wholeSeconds(returnAt - now);
    const TimePoint latestStart = now + toDuration(decision.limitSeconds - request.pathSeconds);
    m_latestStart = std::max(m_latestStart, latestStart);
    m_refusals.insert_or_assign(request.id,
                                Refusal{.queue = request.queue,
                                        .team = request.team,
                                        .firstRefusedAt = decision.firstRefusedAt.value_or(now),
                                        .refusedAt = now,
                                        .returnAt = returnAt,
                                        .latestStart = latestStart});
    m_refusalOrder.emplace_back(request.id, now);
    forgetRefusals(now);
    count(request.queue, request.team, &Counts::refused);
}

void Admission::forgetRefusals(TimePoint now)
{
    while (!m_refusalOrder.empty()) {
        const auto &[id, refusedAt] = m_refusalOrder.front();
        const auto found = m_refusals.find(id);
        const bool isNewest = found != m_refusals.end() && found->second.refusedAt == refusedAt;
        const bool isKept = now < refusedAt + m_options.refusalRetention
            && m_refusals.size() <= m_options.maxRefusals
            && m_refusalOrder.size() <= 2 * m_options.maxRefusals;
        if (isNewest && isKept)
            return;
        if (isNewest)
            m_refusals.erase(found);
        m_refusalOrder.pop_front();
    }
}

// Nothing waits, so that a refused job that could still start has been refused without need.
void Admission::countRoom(TimePoint now)
{
    m_nextReturn = {};
    if (now > std::exchange(m_latestStart, TimePoint{}))
        return;
    for (auto &[id, refusal] : m_refusals) {
        if (now <= refusal.latestStart && !std::exchange(refusal.isCounted, true))
            count(refusal.queue, refusal.team, &Counts::refusedRoomCame);
    }
}

void Admission::count(const std::string &queue, const std::string &team,
                      std::uint64_t Counts::*outcome)
{
    ++(m_counts.*outcome);
    const std::pair group(queue, team);
    if (m_groups.contains(group) || m_groups.size() < m_options.maxGroups)
        ++(m_groups[group].*outcome);
}

} // namespace sequoiapier::jobs

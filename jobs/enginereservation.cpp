// Reservations of runners for lasting tasks. In a full pool, small tasks take any room as soon as
// it becomes free, so that a larger lasting task would wait for ever; a runner is kept for it.
//
// A reservation takes capacity from all other tasks, so that it is bounded. It is made only where
// the task has room once the runs that do not last have ended. Half of the runners at most are
// reserved, and each for ReservationTime at a time. Until the room is expected to be free, the
// runner takes tasks that are expected to end by then.
//
// Cost: O(r) in runners for a waiting lasting step, and O(n log n) in runs of the runner picked.
#include "jobs/engine.h"

#include <algorithm>
#include <limits>

namespace sequoiapier::jobs {

namespace {

constexpr Duration ReservationTime = std::chrono::seconds(10);
constexpr Duration ReservationPause = std::chrono::seconds(2); // before the next one of a runner

Duration toDuration(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

// Returns the room of the runner once all runs that do not last have ended.
Resources roomForLasting(const Runner &runner)
{
    Resources room = runner.entry.capacity;
    for (const auto &[key, run] : runner.runs) {
        if (run.isLasting)
            room -= run.room;
    }
    return room;
}

} // namespace

// Ends the reservations of the last plan. Those that are still needed are made again.
void Engine::clearReservations()
{
    m_reservedRunners = 0;
    for (auto &[id, runner] : m_runners)
        runner.reservation.isActive = false;
}

bool Engine::isReservedFor(const Runner &runner, const Candidate &candidate, TimePoint now) const
{
    const bool isLasting = candidate.entry->job.spec.steps[candidate.step].isLasting;
    return runner.reservation.isActive && !isLasting
        && now + toDuration(runMilliseconds(candidate)) > runner.reservation.neededAt;
}

// Reserves a runner for a lasting task until the next plan: the one that was reserved before, else
// the one with the most room.
void Engine::reserveRunner(const Candidate &candidate, TimePoint now)
{
    const StepSpec &step = candidate.entry->job.spec.steps[candidate.step];
    const auto openRunners = std::size_t(std::count_if(
        m_runners.begin(), m_runners.end(), [&](const auto &r) { return r.second.isOpen(now); }));
    if (m_reservedRunners >= std::max<std::size_t>(openRunners / 2, 1))
        return;
    Runner *best = nullptr;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (auto &[id, runner] : m_runners) {
        const Reservation &reservation = runner.reservation;
        const bool isKept = now < reservation.until;
        const bool hasEnded = reservation.until != TimePoint{} && !isKept;
        if (reservation.isActive || (hasEnded && now < reservation.until + ReservationPause)
            || !isFitFor(runner, candidate, now) || !fits(step.room(), roomForLasting(runner))) {
            continue;
        }
        const double score = (isKept ? 1 : 0) - dominantShare(runner.used, runner.entry.capacity);
        if (score > bestScore) {
            best = &runner;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return;
    ++m_reservedRunners;
    best->reservation.isActive = true;
    if (now < best->reservation.until)
        return;
    best->reservation.until = now + ReservationTime;
    best->reservation.neededAt = expectedRoomAt(*best, step.room(), now);
}

// Returns when the runner is expected to have the room if it takes no further task.
TimePoint Engine::expectedRoomAt(const Runner &runner, const Resources &size, TimePoint now) const
{
    std::vector<std::pair<TimePoint, Resources>> ends;
    for (const auto &[key, run] : runner.runs) {
        if (run.isLasting)
            continue;
        TimePoint end = now;
        const TaskLocation location = find(key.first);
        if (location.task != nullptr && location.task->run == key.second) {
            const bool hasStarted = location.task->startedAt != TimePoint{};
            end = (hasStarted ? location.task->startedAt : now)
                + toDuration(m_order.runTime(location.entry->job.queue, *location.spec));
        }
        ends.emplace_back(std::max(end, now), run.room);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    Resources room = runner.room();
    for (const auto &[end, freed] : ends) {
        room += freed;
        if (fits(size, room))
            return end;
    }
    return now;
}

} // namespace sequoiapier::jobs

#include "controller/jobcontrol.h"

#include "cli/endpointsetting.h"
#include "sequoiapier/rendezvous.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr const char *JobPath = "/jobs";
constexpr Duration RetickDelay = std::chrono::milliseconds(10);

} // namespace

void addJobSettings(SettingsParser &parser, JobSettings &settings)
{
    addEndpointSetting(parser, "tasks", settings.taskEndpoint,
                       "The platform's task service; without it the controller takes no jobs");
    parser.addInteger(
        "job-turn-ms", settings.tickMilliseconds,
        {.unit = "ms", .min = 20, .max = 10'000, .help = "Time between ticks of a pool's jobs"});
    parser.addInteger("task-lease-ms", settings.leaseMilliseconds,
                      {.unit = "ms",
                       .min = 1'000,
                       .max = 600'000,
                       .help = "Lease of a task; one that no controller renews is stopped"});
}

JobControl::JobControl(Daemon &daemon, PeerNode &node, const JobSettings &settings)
    : m_daemon(daemon)
    , m_node(node)
    , m_settings(settings)
    , m_tasks(daemon.httpClient(),
              {.endpoint = parseEndpoint(settings.taskEndpoint).value(),
               .lease = std::chrono::milliseconds(settings.leaseMilliseconds)})
    , m_api(
          {.changes = {.table = node.table(),
                       .now = &BootClock::now,
                       .writeId = [this] { return nextWriteId(); },
                       .later = [this](std::function<void()> step) { runLater(std::move(step)); }},
           .findTeam = [this](const std::string &key) { return findTeam(key); },
           .configuration
           = [this]() -> const Configuration & { return m_node.follower().configuration(); },
           .submitted =
               [this](const JobRow &row) {
                   m_daemon.report("job.submitted", {.subject = taskName(row)});
                   if (row.isUrgent && m_duePools.insert(row.pool).second)
                       m_dueTimer.startAt(BootClock::now());
               }})
    , m_tickTimer(daemon.loop(), [this] { tick(); })
    , m_dueTimer(daemon.loop(), [this] { tickDuePools(); })
    , m_stepTimer(daemon.loop(), [this] { runNextStep(); })
{
    daemon.route(JobPath,
                 [this](const std::shared_ptr<HttpExchange> &exchange) { m_api.serve(exchange); });
}

void JobControl::start()
{
    m_runner
        = std::make_unique<JobRunner>(m_node.table(), m_tasks.hooks(), runnerHooks(),
                                      JobRunner::Options{.process = m_node.self().name,
                                                         .incarnation = m_node.self().incarnation});
    tick();
}

JobRunner::Hooks JobControl::runnerHooks()
{
    return {.now = &BootClock::now,
            .configuration
            = [this]() -> const Configuration & { return m_node.follower().configuration(); },
            .changed =
                [this](const JobRow &row) {
                    m_daemon.report("job." + std::string(toString(row.state)),
                                    {.subject = taskName(row),
                                     .epoch = row.attempt,
                                     .cause = row.worker,
                                     .detail = row.detail});
                },
            .ticked =
                [this](std::string_view pool, bool hasMore) {
                    if (!hasMore || !ownsPool(std::string(pool)))
                        return;
                    m_duePools.insert(std::string(pool));
                    m_dueTimer.startAt(BootClock::now() + RetickDelay);
                },
            .later = [this](std::function<void()> step) { runLater(std::move(step)); }};
}

Result<std::string> JobControl::findTeam(const std::string &key)
{
    const TimePoint now = BootClock::now();
    if (m_daemon.isDraining())
        return Error{ResultCode::ShuttingDown, "this controller is draining"};
    if (!m_node.hasJoined() || !m_node.follower().isConfirmed(now)) {
        return Error{ResultCode::ConfigurationStale,
                     "the configuration could not be confirmed lately"};
    }
    if (key.empty())
        return Error{ResultCode::KeyMissing, "jobs need a key"};
    const std::string digest = keyDigest(key);
    const KeyConfig *known = m_node.follower().configuration().findKey(digest);
    if (known == nullptr || m_node.follower().isDenied(digest, now))
        return Error{ResultCode::KeyRejected, "the key is unknown or withdrawn"};
    return known->team;
}

bool JobControl::ownsPool(const std::string &pool) const
{
    std::vector<std::string> names{m_node.self().name};
    for (const MemberRow &row : m_node.membership().alive("controller", BootClock::now()))
        names.push_back(row.name);
    return rendezvousPick(liveJobPrefix(pool), names) == 0;
}

void JobControl::tick()
{
    m_tickTimer.startAt(BootClock::now() + std::chrono::milliseconds(m_settings.tickMilliseconds));
    if (m_daemon.isDraining())
        return;
    for (const PoolConfig &pool : m_node.follower().configuration().pools) {
        const bool isOwned = ownsPool(pool.name);
        setOwned(pool.name, isOwned);
        if (isOwned)
            m_runner->tick(pool.name);
        else
            m_runner->forget(pool.name);
    }
}

void JobControl::setOwned(const std::string &pool, bool isOwned)
{
    if (isOwned == m_ownedPools.contains(pool))
        return;
    if (isOwned)
        m_ownedPools.insert(pool);
    else
        m_ownedPools.erase(pool);
    m_daemon.report(isOwned ? "jobs.taken" : "jobs.left", {.subject = pool});
}

void JobControl::tickDuePools()
{
    if (!m_runner || m_daemon.isDraining())
        return;
    std::set<std::string> again;
    for (const std::string &pool : std::exchange(m_duePools, {})) {
        if (!m_runner->tick(pool))
            again.insert(pool);
    }
    if (again.empty())
        return;
    m_duePools.merge(again);
    m_dueTimer.startAt(BootClock::now() + RetickDelay);
}

void JobControl::runLater(std::function<void()> step)
{
    m_steps.push_back(std::move(step));
    m_stepTimer.startAt(BootClock::now());
}

void JobControl::runNextStep()
{
    const std::function<void()> step = std::move(m_steps.front());
    m_steps.pop_front();
    if (!m_steps.empty())
        m_stepTimer.startAt(BootClock::now());
    step();
}

std::string JobControl::nextWriteId()
{
    const MemberId self = m_node.self();
    return self.name + "/" + std::to_string(self.incarnation) + "/job/"
        + std::to_string(++m_writes);
}

} // namespace sequoiapier

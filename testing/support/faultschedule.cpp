// Each round begins one or two faults, holds them for a while, ends them, and then either leaves
// the system some time to recover or starts the next round at once.
#include "testing/support/faultschedule.h"

#include <csignal>
#include <utility>

namespace sequoiapier {

namespace {

using std::chrono::milliseconds;

// Leases in these tests last 1 s.
constexpr int MinFaultMilliseconds = 50;
constexpr int MaxFaultMilliseconds = 2'500;
constexpr int MaxRecoveryMilliseconds = 600;
constexpr milliseconds PollInterval{10};
constexpr int SecondFaultPercent = 50;

} // namespace

FaultSchedule::FaultSchedule(RelayedSystem &relayed, std::uint64_t seed)
    : m_relayed(relayed)
    , m_random(seed)
{ }

void FaultSchedule::start()
{
    m_thread = std::thread([this] { run(); });
}

void FaultSchedule::stop()
{
    m_isStopped = true;
    if (m_thread.joinable())
        m_thread.join();
}

void FaultSchedule::run()
{
    while (!m_isStopped) {
        std::vector<Fault> faults{drawFault()};
        if (drawDuration(1, 100).count() <= SecondFaultPercent) {
            Fault second = drawFault();
            if (second.member != faults.front().member)
                faults.push_back(std::move(second));
        }
        for (const Fault &fault : faults) {
            ++m_counts[fault.name];
            fault.begin();
        }
        waitFor(drawDuration(MinFaultMilliseconds, MaxFaultMilliseconds));
        for (const Fault &fault : faults)
            fault.end();
        waitFor(drawDuration(0, MaxRecoveryMilliseconds));
    }
    for (const std::string &member : m_relayed.system().memberNames())
        recordIfCrashed(member);
}

FaultSchedule::Fault FaultSchedule::drawFault()
{
    const std::string gateway = drawName(m_relayed.gateways());
    const std::string scheduler = drawName(m_relayed.schedulers());
    const std::string runner = drawName(m_relayed.runners());
    switch (std::uniform_int_distribution<int>(0, 10)(m_random)) {
    case 0:
        return killFault(gateway);
    case 1:
        return pauseFault(gateway);
    case 2:
        return killFault(scheduler);
    case 3:
        return pauseFault(scheduler);
    case 4:
        return killFault(runner);
    case 5:
        return pauseFault(runner);
    case 6:
        return cutFault("gateways", runner);
    case 7:
        return cutFault(gateway, "table");
    case 8:
        return cutFault(gateway, "");
    case 9:
        return silenceFault(runner);
    default:
        return outageFault();
    }
}

FaultSchedule::Fault FaultSchedule::killFault(const std::string &member)
{
    LocalSystem &system = m_relayed.system();
    const auto from = std::make_shared<TimePoint>();
    return {.name = "kill " + member,
            .member = member,
            .begin =
                [=, this, &system] {
                    recordIfCrashed(member);
                    *from = BootClock::now();
                    system.member(member).process.signal(SIGKILL);
                },
            .end =
                [=, this, &system] {
                    system.replace(member);
                    system.waitListening(member);
                    m_windows.push_back(
                        {"kill", system.member(member).workPort, *from, BootClock::now()});
                }};
}

FaultSchedule::Fault FaultSchedule::pauseFault(const std::string &member)
{
    LocalSystem &system = m_relayed.system();
    const auto from = std::make_shared<TimePoint>();
    return {.name = "pause " + member,
            .member = member,
            .begin =
                [=, &system] {
                    *from = BootClock::now();
                    system.member(member).process.signal(SIGSTOP);
                },
            .end =
                [=, this, &system] {
                    system.member(member).process.signal(SIGCONT);
                    m_windows.push_back(
                        {"pause", system.member(member).workPort, *from, BootClock::now()});
                }};
}

FaultSchedule::Fault FaultSchedule::cutFault(const std::string &member, const std::string &peer)
{
    RelayNetwork &network = m_relayed.network();
    return {.name = "cut " + member + " from " + (peer.empty() ? "all" : peer),
            .member = member,
            .begin = [=, &network] { network.cut(member, peer, true); },
            .end = [=, &network] { network.cut(member, peer, false); }};
}

FaultSchedule::Fault FaultSchedule::silenceFault(const std::string &runner)
{
    return {.name = "silence " + runner,
            .member = runner,
            .begin = [=, this] { m_relayed.network().silence("gateways", runner); },
            .end = [] {}};
}

FaultSchedule::Fault FaultSchedule::outageFault()
{
    LocalSystem &system = m_relayed.system();
    return {.name = "outage of the table",
            .member = "table",
            .begin = [&system] { system.setFaults("table", R"({"outage": true})"); },
            .end = [&system] { system.setFaults("table", "{}"); }};
}

void FaultSchedule::waitFor(milliseconds duration) const
{
    const TimePoint end = BootClock::now() + duration;
    while (!m_isStopped && BootClock::now() < end)
        std::this_thread::sleep_for(PollInterval);
}

void FaultSchedule::recordIfCrashed(const std::string &member)
{
    if (m_relayed.system().member(member).process.waitExit(milliseconds(0)))
        m_crashed.push_back(member);
}

milliseconds FaultSchedule::drawDuration(int minMilliseconds, int maxMilliseconds)
{
    return milliseconds(
        std::uniform_int_distribution<int>(minMilliseconds, maxMilliseconds)(m_random));
}

const std::string &FaultSchedule::drawName(const std::vector<std::string> &names)
{
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(m_random)];
}

} // namespace sequoiapier

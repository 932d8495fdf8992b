// FaultSchedule: injects faults, drawn at random from a fixed seed, into a RelayedSystem from a
// separate thread while a test puts load on the system.
//
//   FaultSchedule schedule(relayed, seed);
//   schedule.start();
//   const LoadResult result = runLoad(...);
//   schedule.stop();   // ends all faults
//
// The faults: processes are killed and replaced on the same address, or paused and resumed, some
// for longer than their leases; links are cut or made silent; the table is unavailable. At most two
// faults are active at once.
#pragma once

#include "sequoiapier/bootclock.h"
#include "testing/support/relayedsystem.h"

#include <atomic>
#include <functional>
#include <random>
#include <thread>

namespace sequoiapier {

class FaultSchedule
{
public:
    // An interval in which a gateway cannot have answered its callers.
    struct Window
    {
        std::string fault;
        std::uint16_t callerPort = 0;
        TimePoint from;
        TimePoint to;
    };

    FaultSchedule(RelayedSystem &relayed, std::uint64_t seed);
    ~FaultSchedule() { stop(); }
    FaultSchedule(const FaultSchedule &) = delete;
    FaultSchedule &operator=(const FaultSchedule &) = delete;

    void start();
    void stop();

    // The results are valid after stop().
    const std::vector<Window> &windows() const { return m_windows; }
    // Number of injections by fault name.
    const std::map<std::string, unsigned> &counts() const { return m_counts; }
    // Processes that ended although the schedule did not kill them.
    const std::vector<std::string> &crashed() const { return m_crashed; }

private:
    struct Fault
    {
        std::string name;
        std::string member;
        std::function<void()> begin;
        std::function<void()> end;
    };

    void run();
    Fault drawFault();
    Fault killFault(const std::string &member);
    Fault pauseFault(const std::string &member);
    Fault cutFault(const std::string &member, const std::string &peer);
    Fault silenceFault(const std::string &runner);
    Fault outageFault();
    void waitFor(std::chrono::milliseconds duration) const;
    void recordIfCrashed(const std::string &member);
    std::chrono::milliseconds drawDuration(int minMilliseconds, int maxMilliseconds);
    const std::string &drawName(const std::vector<std::string> &names);

    RelayedSystem &m_relayed;
    std::mt19937_64 m_random;
    std::thread m_thread;
    std::atomic<bool> m_isStopped = false;
    std::vector<Window> m_windows;
    std::map<std::string, unsigned> m_counts;
    std::vector<std::string> m_crashed;
};

} // namespace sequoiapier

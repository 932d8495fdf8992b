// QuietTimer: fires once there was no activity in several consecutive iterations of the loop, or at
// a deadline.
//
//   QuietTimer quiet(loop, [&] { return server.takeActivity(); }, [&] { loop.stop(); });
//   quiet.start(milliseconds(250), BootClock::now() + seconds(10));
//
// Each check runs in an iteration of its own, and the sockets are polled between two iterations. So
// a process that was starved of processor time still reads the input that arrived meanwhile before
// the timer fires, which a single deadline would not ensure.
#pragma once

#include "net/timer.h"

#include <functional>

namespace sequoiapier {

class QuietTimer
{
public:
    // `wasActive` returns whether there was any activity since it was last called.
    QuietTimer(Loop &loop, std::function<bool()> wasActive, std::function<void()> done);

    // Fires after a row of checks without activity that covers `quiet` and has at least two checks,
    // or at the first check after `deadline`.
    void start(Duration quiet, TimePoint deadline);

private:
    void check();

    std::function<bool()> m_wasActive;
    std::function<void()> m_done;
    Timer m_timer;
    TimePoint m_deadline;
    int m_requiredChecks = 0;
    int m_quietChecks = 0;
};

} // namespace sequoiapier

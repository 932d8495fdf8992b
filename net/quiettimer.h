// QuietTimer: fires once nothing has happened in several turns of the loop in a row, or at a
// deadline.
//
//   QuietTimer quiet(loop, [&] { return server.takeActivity(); }, [&] { loop.stop(); });
//   quiet.start(milliseconds(250), BootClock::now() + seconds(10));
//
// Each check runs in a turn of its own, and the sockets are polled between two turns. So a process
// that was starved of processor time still reads what arrived meanwhile before the timer fires,
// which a single deadline would not ensure.
#pragma once

#include "net/timer.h"

#include <functional>

namespace sequoiapier {

class QuietTimer
{
public:
    // `wasActive` tells whether anything happened since its last call.
    QuietTimer(Loop &loop, std::function<bool()> wasActive, std::function<void()> done);

    // Fires after as many quiet checks in a row as make up `quiet`, and at least two, or in the
    // first check after `deadline`.
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

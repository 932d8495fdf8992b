// Loop: the one event loop of a process, on one thread, over libwebsockets.
//
//   Loop loop({});
//   loop.onSignal([&](int) { loop.stop(); });
//   loop.run();
//
// A turn that begins long after the last one ended means that the process was paused (SIGSTOP, a
// suspended machine). onPause hooks then run before any event of that turn, so that leases are
// dropped before anything is done under them.
#pragma once

#include "net/duetimes.h"
#include "net/pause.h"
#include "sequoiapier/bootclock.h"

#include <functional>
#include <memory>
#include <vector>

struct lws;
struct lws_context;

namespace sequoiapier {

class Loop
{
public:
    struct Options
    {
        unsigned maxDescriptors = 4096;
        unsigned maxHeaderBytes = 4096; // of one request or response
        unsigned contentTimeoutSeconds = 10; // for the next part of a body
        Duration pauseThreshold = std::chrono::milliseconds(500);
    };

    explicit Loop(Options options);
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    // Serves events until stop(). Returns at once if it was called before.
    void run();
    void stop();

    // Called on the loop for SIGTERM, SIGINT and SIGHUP.
    void onSignal(std::function<void(int signal)> hook);
    // Called first in a turn that follows a pause.
    void onPause(std::function<void(const Pause &pause)> hook);

    lws_context *context() const { return m_context; }
    // Of the running timers.
    DueTimes &dueTimes() { return m_dueTimes; }

private:
    struct Heartbeat;

    void turn();
    void onHeartbeat();

    Options m_options;
    DueTimes m_dueTimes;
    lws_context *m_context = nullptr;
    bool m_stopped = false;
    std::unique_ptr<Heartbeat> m_heartbeat;
    std::function<void(int)> m_signalHook;
    std::vector<std::function<void(const Pause &)>> m_pauseHooks;
};

} // namespace sequoiapier

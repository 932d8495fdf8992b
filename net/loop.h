// Loop: the single-threaded event loop of a process, over libwebsockets.
//
//   Loop loop({});
//   loop.onSignal([&](int) { loop.stop(); });
//   loop.run();
//
// An iteration that begins long after the last one ended means that the process was paused
// (SIGSTOP, a suspended machine). onPause hooks then run before any event of that iteration, so
// that leases are dropped before anything is done under them.
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
        unsigned maxHeaderBytes = 4096; // limit for one request or response
        unsigned contentTimeoutSeconds = 10; // wait for the next part of a body
        Duration pauseThreshold = std::chrono::milliseconds(500);
    };

    explicit Loop(Options options);
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    // Handles events until stop() is called. Returns at once if stop() was called before.
    void run();
    void stop();

    // Sets the hook that the loop calls for SIGTERM, SIGINT and SIGHUP.
    void onSignal(std::function<void(int signal)> hook);
    // Adds a hook that is called at the start of an iteration that follows a pause.
    void onPause(std::function<void(const Pause &pause)> hook);

    lws_context *context() const { return m_context; }
    // Time after which libwebsockets ends a connection that waits for a part of a message.
    Duration contentTimeout() const
    {
        return std::chrono::seconds(m_options.contentTimeoutSeconds);
    }
    // Due times of the running timers.
    DueTimes &dueTimes() { return m_dueTimes; }

private:
    struct Heartbeat;

    void runOnce();
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

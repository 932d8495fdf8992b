#include "net/loop.h"

#include "net/deferredfrees.h"
#include "net/timer.h"

#include <libwebsockets.h>
#include <sys/resource.h>

#include <csignal>
#include <ctime>
#include <thread>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(50);
// libwebsockets rounds wait times down to whole milliseconds.
constexpr Duration WaitResolution = std::chrono::milliseconds(1);

// The signal that the loop has not handled yet, and the libwebsockets context to wake for it.
volatile std::sig_atomic_t pendingSignal = 0;
lws_context *volatile signalContext = nullptr;

void handleSignal(int signal)
{
    pendingSignal = signal;
    if (signalContext != nullptr)
        lws_cancel_service(signalContext);
}

// Processor time spent by this thread.
Duration processorTime()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(spent.tv_sec)
                                                + std::chrono::nanoseconds(spent.tv_nsec));
}

// Descriptor limit of the process, or RLIM_INFINITY if it is unknown.
rlim_t descriptorLimit()
{
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : RLIM_INFINITY;
}

} // namespace

// A timer that is due at every HeartbeatInterval. An iteration runs timers before it handles
// sockets, so a heartbeat that is late by pauseThreshold reveals a pause before any socket event is
// handled.
struct Loop::Heartbeat
{
    explicit Heartbeat(Loop &loop)
        : timer(loop, [&loop] { loop.onHeartbeat(); })
    { }

    void start()
    {
        due = BootClock::now() + HeartbeatInterval;
        processorTimeBefore = processorTime();
        timer.startAt(due);
    }

    Timer timer;
    TimePoint due;
    Duration processorTimeBefore{};
};

Loop::Loop(Options options)
    : m_options(options)
    , m_heartbeat(std::make_unique<Heartbeat>(*this))
{
    lws_set_log_level(0, nullptr);
    DeferredFrees::install();
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.port = CONTEXT_PORT_NO_LISTEN;
    // With a limit of its own, libwebsockets searches its table linearly at each event. Without
    // one, it indexes a table as large as the limit of the process by descriptor number.
    if (descriptorLimit() > m_options.maxDescriptors)
        info.fd_limit_per_thread = m_options.maxDescriptors;
    info.max_http_header_data2 = m_options.maxHeaderBytes;
    info.timeout_secs = m_options.contentTimeoutSeconds;
    info.pt_serv_buf_size = 16 * 1024;
    m_context = lws_create_context(&info);
    std::signal(SIGPIPE, SIG_IGN);
    m_heartbeat->start();
}

void Loop::onHeartbeat()
{
    const Pause pause{.length = BootClock::now() - m_heartbeat->due,
                      .processorTime = processorTime() - m_heartbeat->processorTimeBefore};
    m_heartbeat->start();
    if (pause.length < m_options.pauseThreshold)
        return;
    for (const auto &hook : m_pauseHooks)
        hook(pause);
}

Loop::~Loop()
{
    m_heartbeat.reset();
    signalContext = nullptr;
    lws_context_destroy(m_context);
}

void Loop::run()
{
    while (!m_stopped)
        runOnce();
}

// Sleeps first if a timer is due within less than WaitResolution, because libwebsockets would poll
// all descriptors repeatedly until then.
void Loop::runOnce()
{
    if (const auto remaining = m_dueTimes.subResolutionWait(BootClock::now(), WaitResolution))
        std::this_thread::sleep_for(*remaining);
    lws_service(m_context, 0);
    if (pendingSignal != 0 && m_signalHook) {
        const int signal = pendingSignal;
        pendingSignal = 0;
        m_signalHook(signal);
    }
}

void Loop::stop()
{
    m_stopped = true;
    lws_cancel_service(m_context);
}

void Loop::onSignal(std::function<void(int)> hook)
{
    m_signalHook = std::move(hook);
    signalContext = m_context;
    std::signal(SIGTERM, handleSignal);
    std::signal(SIGINT, handleSignal);
    std::signal(SIGHUP, handleSignal);
}

void Loop::onPause(std::function<void(const Pause &)> hook)
{
    m_pauseHooks.push_back(std::move(hook));
}

} // namespace sequoiapier

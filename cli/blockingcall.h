// BlockingCall: runs an event loop until one asynchronous exchange has ended, for the blocking
// commands of operators.
//
//   BlockingCall call;
//   call.run([&] { call.http().call(request, [&](const HttpAnswer &) { call.done(); }); });
#pragma once

#include "net/httpclient.h"

namespace sequoiapier {

class BlockingCall
{
public:
    BlockingCall()
        : m_loop({.maxDescriptors = 64})
        , m_http(m_loop, {.maxConnections = 16})
    { }

    HttpClient &http() { return m_http; }
    // Starts the exchange with `start` and waits until done() is called, which must follow from it.
    template<typename Start>
    void run(Start start)
    {
        start();
        if (!m_isDone)
            m_loop.run();
    }
    void done()
    {
        m_isDone = true;
        m_loop.stop();
    }

private:
    Loop m_loop;
    HttpClient m_http;
    bool m_isDone = false;
};

} // namespace sequoiapier

// Runs the loop until one asynchronous exchange has ended: for the operators' commands.
#pragma once

#include "net/httpclient.h"

namespace sequoiapier {

class OneCall
{
public:
    OneCall()
        : m_loop({.maxDescriptors = 64})
        , m_http(m_loop, {.maxConnections = 16})
    { }

    HttpClient &http() { return m_http; }
    // Starts the exchange with `start`, which must lead to done(), and waits for it.
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

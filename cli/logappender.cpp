// A pipe, socket or terminal that is reported as writable takes PIPE_BUF bytes at once. Longer
// lines are written in parts, and a part that has to wait is written before the next line.
#include "cli/logappender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace sequoiapier {

LogAppender::LogAppender(int descriptor, DroppedLine droppedLine)
    : m_descriptor(descriptor)
    , m_droppedLine(std::move(droppedLine))
{ }

LogAppender::~LogAppender()
{
    destructorImpl();
}

void LogAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    if (!writePending()) {
        ++m_droppedCount;
        return;
    }
    if (m_droppedCount > 0) {
        m_pending = m_droppedLine(m_droppedCount) + "\n";
        m_droppedCount = 0;
    }
    m_pending += event.getMessage() + "\n";
    writePending();
}

// Returns false if a part has to wait. A descriptor that can't be written to at all takes nothing
// and keeps nothing waiting.
bool LogAppender::writePending()
{
    while (!m_pending.empty()) {
        pollfd writable{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
        if (poll(&writable, 1, 0) == 0)
            return false;
        const std::size_t size = std::min<std::size_t>(m_pending.size(), PIPE_BUF);
        const ssize_t written = write(m_descriptor, m_pending.data(), size);
        if (written < 0 && (errno == EAGAIN || errno == EINTR))
            return false;
        if (written < 0)
            m_pending.clear();
        else
            m_pending.erase(0, std::size_t(written));
    }
    return true;
}

} // namespace sequoiapier

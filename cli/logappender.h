// LogAppender: a log4cplus appender that writes lines to a descriptor and never waits for its
// reader.
//
//   log4cplus::SharedAppenderPtr appender(new LogAppender(STDOUT_FILENO, droppedLine));
//   root.addAppender(appender);
//
// A line for which the descriptor has no room is dropped. The next line that is written follows one
// that tells how many were dropped.
//
// Cost: one poll and one write for each line of up to PIPE_BUF bytes.
#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <functional>
#include <string>

namespace sequoiapier {

class LogAppender : public log4cplus::Appender
{
public:
    // `droppedLine` returns the line that tells of the number of dropped ones.
    using DroppedLine = std::function<std::string(std::uint64_t count)>;

    LogAppender(int descriptor, DroppedLine droppedLine);
    ~LogAppender() override;
    LogAppender(const LogAppender &) = delete;
    LogAppender &operator=(const LogAppender &) = delete;

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool writePending();

    int m_descriptor;
    DroppedLine m_droppedLine;
    std::string m_pending; // rest of the last line that was begun
    std::uint64_t m_droppedCount = 0;
};

} // namespace sequoiapier

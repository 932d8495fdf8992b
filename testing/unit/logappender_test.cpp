// Tests of logging to a reader that stands still. A log that waits for its reader stops the process
// with all its requests.
#include "cli/logappender.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <array>
#include <sstream>

namespace sequoiapier {
namespace {

constexpr std::size_t BufferBytes = 4'096;
constexpr std::size_t LongLineBytes = 200'000; // More than a pipe takes.

class LogAppenderTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(pipe(m_ends.data()), 0);
        ASSERT_EQ(fcntl(m_ends[0], F_SETFL, O_NONBLOCK), 0);
        m_logger.addAppender(log4cplus::SharedAppenderPtr(new LogAppender(
            m_ends[1], [](std::uint64_t count) { return "dropped " + std::to_string(count); })));
        m_logger.setAdditivity(false);
    }
    void TearDown() override
    {
        m_logger.removeAllAppenders();
        close(m_ends[0]);
        close(m_ends[1]);
    }

    static log4cplus::Logger logger()
    {
        static log4cplus::Initializer initializer;
        return log4cplus::Logger::getInstance("logappender_test");
    }

    void log(const std::string &line) { m_logger.forcedLog(log4cplus::INFO_LOG_LEVEL, line); }

    // Reads all lines that are there.
    std::vector<std::string> readLines()
    {
        std::string text;
        std::array<char, BufferBytes> buffer{};
        for (ssize_t size = 1; size > 0;) {
            size = read(m_ends[0], buffer.data(), buffer.size());
            text.append(buffer.data(), std::size_t(std::max<ssize_t>(size, 0)));
        }
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

private:
    std::array<int, 2> m_ends{};
    log4cplus::Logger m_logger = logger();
};

TEST_F(LogAppenderTest, ReaderThatStandsStillIsToldWhatWasDropped)
{
    constexpr std::size_t Lines = 10'000;
    for (std::size_t i = 0; i < Lines; ++i)
        log("line " + std::to_string(i));
    std::vector<std::string> lines = readLines();
    log("back");
    for (const std::string &line : readLines())
        lines.push_back(line);
    ASSERT_GT(lines.size(), 2U);
    const std::size_t kept = lines.size() - 2;
    EXPECT_LT(kept, Lines);
    for (std::size_t i = 0; i < kept; ++i)
        EXPECT_EQ(lines[i], "line " + std::to_string(i));
    EXPECT_EQ(lines[kept], "dropped " + std::to_string(Lines - kept));
    EXPECT_EQ(lines[kept + 1], "back");
    log("next");
    EXPECT_EQ(readLines(), std::vector<std::string>{"next"});
}

TEST_F(LogAppenderTest, LongLineIsNotTorn)
{
    const std::string longLine(LongLineBytes, 'x');
    log(longLine);
    std::string text;
    for (int i = 0; i < 10 && text.find("next") == std::string::npos; ++i) {
        for (const std::string &line : readLines())
            text += line;
        log("next");
    }
    ASSERT_GT(text.size(), longLine.size());
    EXPECT_EQ(text.substr(0, longLine.size()), longLine);
    EXPECT_TRUE(text.substr(longLine.size()).starts_with("dropped "));
}

} // namespace
} // namespace sequoiapier

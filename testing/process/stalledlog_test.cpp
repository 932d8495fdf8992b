// Tests of a node whose log nobody reads. Its requests must go on, and the reader must be told what
// it missed once it reads again.
#include "testing/process/platformtest.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <filesystem>

namespace sequoiapier {
namespace {

constexpr int PipeBytes = 16'384; // holds the lines of some fifty requests

class StalledLog : public PlatformTest
{
protected:
    void SetUp() override
    {
        std::filesystem::create_directories(system().directory());
        const std::string path = system().directory() + "/node-1.log";
        ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
        m_reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
        ASSERT_GE(m_reader, 0);
        ASSERT_GE(fcntl(m_reader, F_SETPIPE_SZ, PipeBytes), PipeBytes);
        PlatformTest::SetUp();
    }
    void TearDown() override { close(m_reader); }

    std::string readLog() const
    {
        std::string text;
        std::array<char, PipeBytes> buffer{};
        for (ssize_t size = 1; size > 0;) {
            size = read(m_reader, buffer.data(), buffer.size());
            text.append(buffer.data(), std::size_t(std::max<ssize_t>(size, 0)));
        }
        return text;
    }

private:
    int m_reader = -1;
};

TEST_F(StalledLog, DelaysNoRequestAndTellsWhatWasDropped)
{
    constexpr int Requests = 100;
    for (int i = 0; i < Requests; ++i)
        EXPECT_EQ(submit("node-1", "00000000000000" + std::to_string(10 + i % 90)), 200) << i;
    EXPECT_TRUE(waitState("node-1", "0000000000000010", "completed"));
    EXPECT_EQ(readLog().find("log.dropped"), std::string::npos);
    EXPECT_EQ(submit("node-1", "00000000000000aa"), 200);
    EXPECT_NE(readLog().find("log.dropped"), std::string::npos);
    EXPECT_EQ(violations(), "[]");
}

} // namespace
} // namespace sequoiapier

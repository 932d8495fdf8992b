#include "cli/crashtrace.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>

namespace sequoiapier {
namespace {

TEST(CrashTrace, LogsTheStackAndDiesByTheSignal)
{
    const auto crash = [] {
        dup2(STDERR_FILENO, STDOUT_FILENO); // EXPECT_EXIT matches standard error only
        installCrashTrace();
        raise(SIGSEGV);
    };
    EXPECT_EXIT(crash(), testing::KilledBySignal(SIGSEGV),
                "\"process.crashed\",\"signal\":\"11\",\"stack\":\"program\\+0x[0-9a-f]+ "
                "[a-z0-9.+_-]+\\+0x[0-9a-f]+ ");
}

} // namespace
} // namespace sequoiapier

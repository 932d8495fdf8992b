// testName() returns "Suite.Test" of the running test, which names the folder of its logs.
#pragma once

#include <gtest/gtest.h>

#include <string>

namespace sequoiapier {

inline std::string testName()
{
    const testing::TestInfo &test = *testing::UnitTest::GetInstance()->current_test_info();
    return std::string(test.test_suite_name()) + "." + test.name();
}

} // namespace sequoiapier

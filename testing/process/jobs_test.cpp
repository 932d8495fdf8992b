// Jobs over separate processes, with the workers' own record of what ran as the judge.
#include "testing/process/jobtest.h"

namespace sequoiapier {
namespace {

constexpr int Committed = int(ResultCode::Committed);

class Jobs : public JobTest
{
};

TEST_F(Jobs, SubmittedJobRunsOnceAndIsDone)
{
    ASSERT_EQ(submit({job("a")}), std::vector<int>{Committed});
    ASSERT_TRUE(waitState("a", "done"));
    EXPECT_EQ(runs("a").size(), 1U);
    EXPECT_EQ(submit({job("a")}, "key", "controller-2"), std::vector<int>{Committed});
    EXPECT_EQ(status("a").state, "done");
}

} // namespace
} // namespace sequoiapier

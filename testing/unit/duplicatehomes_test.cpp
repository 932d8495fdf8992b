#include "gateway/duplicatehomes.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace sequoiapier {
namespace {

TEST(DuplicateHomes, LossOfOneMemberLeavesOneHomeOfEveryIdentifier)
{
    const std::vector<std::string_view> all{"g1", "g2", "g3", "g4"};
    for (std::uint64_t id = 0; id < 200; ++id) {
        const RequestDigest digest = requestDigest("t", "q", std::to_string(id));
        const DuplicateHomes before = duplicateHomes(digest, all);
        ASSERT_NE(before.first, before.second);
        for (std::size_t lost = 0; lost < all.size(); ++lost) {
            std::vector<std::string_view> rest = all;
            rest.erase(rest.begin() + std::ptrdiff_t(lost));
            const DuplicateHomes after = duplicateHomes(digest, rest);
            const std::string_view kept = before.first == all[lost] ? before.second : before.first;
            EXPECT_TRUE(after.first == kept || after.second == kept);
        }
    }
}

TEST(DuplicateHomes, FewMembers)
{
    const RequestDigest digest;
    EXPECT_EQ(duplicateHomes(digest, {}).first, "");
    const std::array<std::string_view, 1> one{"g1"};
    EXPECT_EQ(duplicateHomes(digest, one).first, "g1");
    EXPECT_EQ(duplicateHomes(digest, one).second, "");
}

TEST(DuplicateHomes, SeenVerdictOfOneHomeDecides)
{
    using enum DuplicateVerdict;
    const std::array<DuplicateVerdict, 2> seen{New, Seen};
    const std::array<DuplicateVerdict, 2> incomplete{New, Unknown};
    const std::array<DuplicateVerdict, 2> both{Unknown, Unknown};
    EXPECT_EQ(combinedVerdict(seen), Seen);
    EXPECT_EQ(combinedVerdict(incomplete), New);
    EXPECT_EQ(combinedVerdict(both), Unknown);
    EXPECT_EQ(combinedVerdict({}), Unknown);
}

} // namespace
} // namespace sequoiapier

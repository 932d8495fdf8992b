#include "sequoiapier/ownerrow.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

TEST(OwnerRow, ReadsWhatItWrote)
{
    const OwnerRow row{{"scheduler-1", 7}, 3};
    const Result<OwnerRow> parsed = parseOwnerRow(toJson(row));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed.value().owner, row.owner);
    EXPECT_EQ(parsed.value().epoch, row.epoch);
    const Result<LenderRow> member
        = parseLenderRow(toJson(LenderRow{"a", "10.0.0.7:7000", 9, true}));
    ASSERT_TRUE(member);
    EXPECT_EQ(member.value().renewal, 9u);
    EXPECT_TRUE(member.value().isLeaving);
    EXPECT_EQ(member.value().address, "10.0.0.7:7000");
}

TEST(OwnerRow, RejectsWhatIsNoRow)
{
    for (const char *value :
         {"", "7", "[]", "{\"owner\":\"a\"}", "{\"owner\":1,\"incarnation\":1,\"epoch\":1}",
          "{\"owner\":\"a\",\"incarnation\":-1,\"epoch\":1}",
          R"({"zone": "a", "address": "b", "renewal": 1, "leaving": 7})"}) {
        EXPECT_FALSE(parseOwnerRow(value)) << value;
        EXPECT_FALSE(parseLenderRow(value)) << value;
    }
}

TEST(OwnerRow, MemberKeysCarryNameAndIncarnation)
{
    const MemberId member{"gateway@1", 18};
    EXPECT_EQ(parseMemberKey(lenderKey(member), LenderPrefix).value(), member);
    EXPECT_EQ(parseMemberKey(borrowerKey(member), BorrowerPrefix).value(), member);
    for (const char *key : {"owning/members/a", "owning/members/@1", "owning/members/a@",
                            "owning/members/a@1x", "owning/owners/a@1"})
        EXPECT_FALSE(parseMemberKey(key, LenderPrefix)) << key;
}

} // namespace
} // namespace sequoiapier

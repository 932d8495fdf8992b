#include "controller/hostrow.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

TEST(HostRow, SurvivesTheRoundTrip)
{
    const HostRow row{.host = "h1",
                      .rack = "r1",
                      .zone = "a",
                      .pool = "pricing",
                      .state = HostState::Draining,
                      .purpose = HostPurpose::Move,
                      .epoch = 7,
                      .targetPool = "spare",
                      .operationId = "op-1",
                      .drainDeadline = 99};
    const Result<HostRow> parsed = parseHostRow(toJson(row));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed.value(), row);
}

TEST(HostRow, RejectsWhatIsNotExactlyARow)
{
    const std::string valid = toJson({.host = "h1", .pool = "p"});
    ASSERT_TRUE(parseHostRow(valid));
    const auto changed = [&](const std::string &from, const std::string &to) {
        std::string document = valid;
        return document.replace(document.find(from), from.size(), to);
    };
    for (const std::string &invalid :
         {std::string("{"), std::string("[]"), changed("\"epoch\":1", "\"epoch\":-1"),
          changed("\"epoch\":1", "\"epoch\":\"1\""), changed("\"epoch\":1", "\"epoch\":1,\"x\":0"),
          changed("\"serving\"", "\"floating\""), changed("\"serving\"", "\"draining\""),
          changed("\"pool\":\"p\"", "\"pool\":\"\""), changed("\"host\":\"h1\",", "")}) {
        const Result<HostRow> parsed = parseHostRow(invalid);
        ASSERT_FALSE(parsed) << invalid;
        EXPECT_EQ(parsed.error().code, ResultCode::RowMalformed);
    }
}

} // namespace
} // namespace sequoiapier

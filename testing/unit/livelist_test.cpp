#include "platform/livelist.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

TEST(LiveList, NamesOnlyLeavingHosts)
{
    const auto leaving = parseLeavingHosts(
        R"({"hosts": [{"address": "10.0.0.1", "state": "live"},
                      {"address": "10.0.0.2", "state": "leaving"},
                      {"address": "10.0.0.3", "state": "rebooting"}]})");
    ASSERT_TRUE(leaving);
    EXPECT_EQ(leaving.value(), std::vector<std::string>{"10.0.0.2"});
}

TEST(LiveList, RejectsWhatIsNoListWhole)
{
    for (const char *document :
         {"", "[]", "{}", R"({"hosts": {}})", R"({"hosts": [1]})", R"({"hosts": [{}]})",
          R"({"hosts": [{"address": "10.0.0.1", "state": 3}]})",
          R"({"hosts": [{"state": "leaving"}]})",
          R"({"hosts": [{"address": "10.0.0.1", "state": "leaving"}, {"address": 7}]})"}) {
        const auto leaving = parseLeavingHosts(document);
        ASSERT_FALSE(leaving) << document;
        EXPECT_EQ(leaving.error().code, ResultCode::SchemaMismatch);
    }
}

} // namespace
} // namespace sequoiapier

#include "controller/configurationeditor.h"
#include "controller/operatoredit.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

Configuration makeBase()
{
    return {.version = 4,
            .teams = {{.name = "pricing", .share = 2, .ceiling = 10}, {.name = "returns"}},
            .keys = {{.digest = keyDigest("k1"), .team = "pricing"}},
            .services = {{.name = "prices", .runners = {{"10.0.0.1", 80}}}},
            .queues = {{.name = "dawn", .service = "prices"}}};
}

TEST(ConfigurationEditor, EveryEditTakesEffect)
{
    const auto apply = [](const ConfigurationEdit &change) {
        const Result<Configuration> next = applyEdit(makeBase(), change);
        EXPECT_TRUE(next);
        return next ? next.value() : Configuration{};
    };
    EXPECT_EQ(apply(edit::PutTeam{{"pricing", 7, 3}}).findTeam("pricing")->share, 7U);
    EXPECT_EQ(apply(edit::PutTeam{{"new"}}).teams.size(), 3U);
    EXPECT_EQ(apply(edit::RemoveTeam{"returns"}).findTeam("returns"), nullptr);
    EXPECT_NE(apply(edit::GrantKey{{keyDigest("k2"), "returns"}}).findKey(keyDigest("k2")),
              nullptr);
    EXPECT_EQ(apply(edit::GrantKey{{keyDigest("k1"), "pricing"}}).keys.size(), 1U);
    EXPECT_TRUE(apply(edit::WithdrawKey{keyDigest("k1")}).keys.empty());
    EXPECT_TRUE(apply(edit::PutQueue{{"open", "prices", true}}).findQueue("open")->isOpen);
    EXPECT_TRUE(apply(edit::RemoveQueue{"dawn"}).queues.empty());
    EXPECT_EQ(apply(edit::PutPool{{"spare", 2}}).pools.front().maxUnavailable, 2U);
    EXPECT_EQ(apply(edit::PutService{{.name = "prices"}}).findService("prices")->runners.size(),
              0U);
    EXPECT_EQ(apply(edit::SetMaxGateways{9}).maxGateways, 9U);
    EXPECT_EQ(apply(edit::SetMaxGateways{9}).version, 4U);
}

TEST(ConfigurationEditor, BrokenRulesAreRefused)
{
    const auto code = [](const ConfigurationEdit &change) {
        const Result<Configuration> next = applyEdit(makeBase(), change);
        return next ? ResultCode::Ok : next.error().code;
    };
    EXPECT_EQ(code(edit::RemoveTeam{"pricing"}), ResultCode::ChangeInvalid) << "it has a key";
    EXPECT_EQ(code(edit::RemoveService{"prices"}), ResultCode::ChangeInvalid) << "it has a queue";
    EXPECT_EQ(code(edit::PutQueue{{"q", "none"}}), ResultCode::ChangeInvalid);
    EXPECT_EQ(code(edit::PutTeam{{"x", 0}}), ResultCode::ChangeInvalid);
    EXPECT_EQ(code(edit::GrantKey{{"short", "pricing"}}), ResultCode::ChangeInvalid);
    EXPECT_EQ(code(edit::GrantKey{{keyDigest("k1"), "returns"}}), ResultCode::ChangeInvalid);
    EXPECT_EQ(code(edit::GrantKey{{keyDigest("k2"), "nobody"}}), ResultCode::ChangeInvalid);
    EXPECT_EQ(code(edit::RemovePool{"none"}), ResultCode::NotFound);
    EXPECT_EQ(code(edit::WithdrawKey{keyDigest("k9")}), ResultCode::NotFound);
}

TEST(ConfigurationEditor, WithdrawnDigestsAreThoseThatGo)
{
    const Configuration base = makeBase();
    Configuration next = base;
    EXPECT_TRUE(withdrawnDigests(base, next).empty());
    next.keys = {{.digest = keyDigest("k2"), .team = "pricing"}};
    EXPECT_EQ(withdrawnDigests(base, next), std::vector<std::string>{keyDigest("k1")});
}

TEST(OperatorEdit, NegativeNumbersAndEmptyUnionsAreRefused)
{
    api::Edit edit;
    EXPECT_EQ(toConfigurationEdit(edit).error().code, ResultCode::ChangeInvalid);
    api::TeamEdit team;
    team.name = "x";
    team.share = -1;
    edit.__set_putTeam(team);
    const Result<ConfigurationEdit> change = toConfigurationEdit(edit);
    ASSERT_TRUE(change);
    EXPECT_EQ(applyEdit(makeBase(), change.value()).error().code, ResultCode::ChangeInvalid);
}

} // namespace
} // namespace sequoiapier

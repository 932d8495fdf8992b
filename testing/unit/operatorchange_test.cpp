#include "controller/operatorchange.h"
#include "testing/support/faketable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

std::string documentOf(const std::string &team)
{
    return toJson(Configuration{.teams = {{.name = team}}});
}

class Operators
{
public:
    Operators()
        : m_fake(m_time)
    {
        m_hooks = {.table = m_fake.hooks("controller"), .now = [this] { return m_time.now(); }};
    }

    void start(const std::string &id, std::uint64_t base, OperatorChange::Answer answer,
               bool isNewId = false)
    {
        const auto build = [id](const Configuration *) -> Result<Configuration> {
            return Configuration{.teams = {{.name = id}}};
        };
        OperatorChange::run(m_hooks, {id, base, isNewId, build}, std::move(answer));
    }
    ChangeOutcome change(const std::string &id, std::uint64_t base, bool isNewId = false)
    {
        ChangeOutcome outcome{.detail = "no answer"};
        start(
            id, base, [&](const ChangeOutcome &given) { outcome = given; }, isNewId);
        m_time.runUntil(m_time.now() + 20s);
        return outcome;
    }
    std::optional<TableRow> row()
    {
        const std::vector<TableRow> rows = m_fake.rows().read(std::string(ConfigurationKey));
        return rows.empty() ? std::nullopt : std::optional(rows.front());
    }

    VirtualTime m_time;
    FakeTable m_fake;
    OperatorChange::Hooks m_hooks;
};

TEST(OperatorChange, RepeatGetsTheFirstOutcomeAndVersion)
{
    Operators operators;
    const ChangeOutcome first = operators.change("first", 0);
    EXPECT_EQ(first.code, ResultCode::Committed);
    EXPECT_EQ(first.version, operators.row()->version);
    const ChangeOutcome second = operators.change("second", first.version);
    EXPECT_EQ(second.code, ResultCode::Committed);
    const ChangeOutcome repeated = operators.change("first", second.version);
    EXPECT_EQ(repeated.code, ResultCode::Committed);
    EXPECT_EQ(repeated.version, first.version);
    EXPECT_EQ(operators.row()->value, documentOf("second"));
}

TEST(OperatorChange, ConflictStaysAConflict)
{
    Operators operators;
    const std::uint64_t version = operators.change("first", 0).version;
    const ChangeOutcome late = operators.change("late", 0);
    EXPECT_EQ(late.code, ResultCode::Conflict);
    EXPECT_EQ(late.version, version);
    EXPECT_EQ(operators.change("late", version).code, ResultCode::Conflict);
    EXPECT_EQ(operators.row()->value, documentOf("first"));
}

TEST(OperatorChange, LostAnswerIsResolvedByReadingBack)
{
    Operators operators;
    operators.m_fake.loseNextAnswers(1);
    const ChangeOutcome outcome = operators.change("first", 0);
    EXPECT_EQ(outcome.code, ResultCode::Committed);
    EXPECT_EQ(outcome.version, operators.row()->version);
}

TEST(OperatorChange, OutageIsUnknownUnlessTheIdentifierIsNew)
{
    Operators operators;
    operators.m_fake.setOutage(true);
    EXPECT_EQ(operators.change("first", 0).code, ResultCode::CommitUnknown);
    EXPECT_EQ(operators.change("second", 0, true).code, ResultCode::NotCommitted);
    operators.m_fake.setOutage(false);
    EXPECT_EQ(operators.change("first", 0).code, ResultCode::Committed);
}

// A delayed write arrives at the table after its change was answered as not committed.
TEST(OperatorChange, ALateWriteCanNotTakeEffectAfterNotCommitted)
{
    Operators operators;
    Commit late;
    const auto commit = operators.m_hooks.table.commit;
    operators.m_hooks.table.commit = [&](Commit write, TimePoint deadline, auto callback) {
        if (!late.writes.empty()) {
            commit(std::move(write), deadline, callback);
            return;
        }
        late = std::move(write);
        operators.m_time.at(deadline, [callback] { callback({CommitOutcome::Unknown, {}}); });
    };
    EXPECT_EQ(operators.change("first", 0).code, ResultCode::NotCommitted);
    CommitAnswer answer;
    commit(late, operators.m_time.now() + 1s, [&](const CommitAnswer &given) { answer = given; });
    operators.m_time.runUntil(operators.m_time.now() + 2s);
    EXPECT_EQ(answer.outcome, CommitOutcome::Conflict);
    EXPECT_FALSE(operators.row());
    EXPECT_EQ(operators.change("first", 0).code, ResultCode::NotCommitted);
}

TEST(OperatorChange, UnsettledIsUnknownUntilAMajorityHasTakenIt)
{
    Operators operators;
    bool isSettled = false;
    operators.m_hooks.push = [&](const CommittedVersion &, auto done) { done(isSettled); };
    EXPECT_EQ(operators.change("first", 0).code, ResultCode::CommitUnknown);
    isSettled = true;
    const ChangeOutcome repeated = operators.change("first", 0);
    EXPECT_EQ(repeated.code, ResultCode::Committed);
    EXPECT_EQ(repeated.version, operators.row()->version);
}

TEST(OperatorChange, WithoutPushesABoundOnGatewaysLeavesTheAnswerUnknown)
{
    Operators operators;
    ChangeOutcome outcome;
    const auto build = [](const Configuration *) -> Result<Configuration> {
        return Configuration{.maxGateways = 3};
    };
    OperatorChange::run(operators.m_hooks, {"bound", 0, true, build},
                        [&](const ChangeOutcome &given) { outcome = given; });
    operators.m_time.runUntil(operators.m_time.now() + 5s);
    EXPECT_EQ(outcome.code, ResultCode::CommitUnknown);
    EXPECT_EQ(outcome.version, operators.row()->version);
}

TEST(OperatorChange, WithdrawalIsAnnouncedBeforeTheCommit)
{
    Operators operators;
    const KeyConfig key{keyDigest("k"), "t"};
    const auto build = [&](const std::vector<KeyConfig> &keys) {
        return [keys](const Configuration *) -> Result<Configuration> {
            return Configuration{.teams = {{.name = "t"}}, .keys = keys};
        };
    };
    std::uint64_t version = 0;
    const auto keep = [&](const ChangeOutcome &outcome) { version = outcome.version; };
    OperatorChange::run(operators.m_hooks, {"grant", 0, true, build({key})}, keep);
    operators.m_time.runUntil(operators.m_time.now() + 5s);
    std::vector<std::string> announced;
    std::uint64_t versionThen = 0;
    operators.m_hooks.announce = [&](std::span<const std::string> digests) {
        announced.assign(digests.begin(), digests.end());
        versionThen = operators.row()->version;
    };
    OperatorChange::run(operators.m_hooks, {"withdraw", version, true, build({})}, keep);
    const std::uint64_t versionBefore = version;
    operators.m_time.runUntil(operators.m_time.now() + 5s);
    EXPECT_EQ(announced, std::vector<std::string>{key.digest});
    EXPECT_EQ(versionThen, versionBefore);
    EXPECT_GT(version, versionBefore);
}

// Breaks the protocol on purpose: every attempt writes its record under a different key.
void loseRecords(Operators &operators)
{
    const auto commit = operators.m_hooks.table.commit;
    operators.m_hooks.table.commit
        = [commit, count = 0](Commit write, TimePoint deadline, const auto &callback) mutable {
              write.writeId += std::to_string(++count);
              for (RowWrite &row : write.writes) {
                  if (row.key.starts_with("operations/"))
                      row.key = "lost/" + std::to_string(count);
              }
              commit(std::move(write), deadline, callback);
          };
}

// Runs operators that race under outages and lost answers and repeat their changes. Returns an
// error text if an operation has two outcomes, or if the configuration row held its document
// although it was not answered as committed, or the reverse; otherwise an empty text.
std::string runRaces(unsigned seed, bool losesRecords = false)
{
    Operators operators;
    // Latency keeps commits more than StepTime apart, so that every document is observed.
    constexpr Duration StepTime = 25ms;
    operators.m_fake.setLatency(StepTime * 2);
    if (losesRecords)
        loseRecords(operators);
    std::mt19937 random(seed);
    std::map<std::string, ResultCode> outcomes;
    std::set<std::string> written; // Documents that the row has held.
    const auto keepWritten = [&] {
        if (operators.row())
            written.insert(operators.row()->value);
    };
    for (int i = 0; i < 40; ++i) {
        const std::string id = "op-" + std::to_string(random() % 12);
        const std::uint64_t base
            = operators.row() && random() % 4 != 0 ? operators.row()->version : 0;
        if (random() % 4 == 0)
            operators.m_fake.loseNextAnswers(int(random() % 3));
        operators.m_fake.setOutage(random() % 5 == 0);
        std::string contradiction;
        for (std::uint64_t n = random() % 3 + 1; n > 0; --n) {
            operators.start(id, base,
                            [&outcomes, id, &contradiction](const ChangeOutcome &outcome) {
                                if (outcome.code == ResultCode::CommitUnknown)
                                    return;
                                const auto [known, isNew] = outcomes.emplace(id, outcome.code);
                                if (!isNew && known->second != outcome.code)
                                    contradiction = id + " had two outcomes";
                            });
        }
        for (int step = 0; step < 800; ++step) {
            operators.m_time.runUntil(operators.m_time.now() + StepTime);
            keepWritten();
        }
        if (!contradiction.empty())
            return contradiction;
    }
    for (const auto &[id, code] : outcomes) {
        if (written.contains(documentOf(id)) != (code == ResultCode::Committed))
            return id + " was answered " + std::to_string(int(code));
    }
    return {};
}

RC_GTEST_PROP(OperatorChange, AnswersAreTrueUnderRacesAndLostAnswers, ())
{
    RC_ASSERT(runRaces(*rc::gen::arbitrary<unsigned>()) == "");
}

TEST(OperatorChange, ViolationsWithoutRecordsAreDetected)
{
    std::size_t caught = 0;
    for (unsigned seed = 1; seed <= 20; ++seed)
        caught += runRaces(seed, true).empty() ? 0 : 1;
    EXPECT_GT(caught, 0U);
}

} // namespace
} // namespace sequoiapier

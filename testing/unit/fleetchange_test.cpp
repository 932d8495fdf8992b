#include "controller/fleetedit.h"
#include "controller/fleetview.h"
#include "controller/moveunits.h"
#include "testing/support/faketable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t WallSeconds = 1'000; // Unix time in seconds

api::FleetEdit registration(const std::vector<std::string> &names)
{
    std::vector<api::HostEntry> hosts;
    for (const std::string &name : names) {
        api::HostEntry host;
        host.name = name;
        host.rack = "r";
        host.zone = "z";
        host.pool = "dawn";
        hosts.push_back(host);
    }
    api::FleetEdit edit;
    edit.__set_registerHosts(hosts);
    return edit;
}

api::FleetEdit moveEdit(const std::string &name, const std::string &pool)
{
    api::HostMoveEdit move;
    move.host = name;
    move.pool = pool;
    move.drainSeconds = 60;
    api::FleetEdit edit;
    edit.__set_moveHost(move);
    return edit;
}

api::FleetEdit declaration(const std::string &id)
{
    api::WaveDeclaration wave;
    wave.id = id;
    wave.pools = {"dawn"};
    wave.maxOut = 1;
    wave.drainSeconds = 60;
    api::FleetEdit edit;
    edit.__set_declareWave(wave);
    return edit;
}

api::FleetEdit pauseOrResume(bool pauses)
{
    api::FleetEdit edit;
    if (pauses)
        edit.__set_pauseWave("w");
    else
        edit.__set_resumeWave("w");
    return edit;
}

// Two controllers over one table, with two pools configured, and operators who call them.
struct Fleet
{
    VirtualTime time;
    FakeTable table{time};
    std::array<FleetChange::Hooks, 2> controllers;

    Fleet()
    {
        for (std::size_t i = 0; i < controllers.size(); ++i)
            controllers[i] = {.table = table.hooks("c" + std::to_string(i)),
                              .now = [this] { return time.now(); }};
        const Configuration configuration{.pools = {{.name = "dawn"}, {.name = "benches"}}};
        table.rows().commit({{std::string(ConfigurationKey), toJson(configuration), 0}});
    }

    void start(std::size_t controller, const std::string &id, const api::FleetEdit &edit,
               FleetChange::Answer answer, bool isNewId = false)
    {
        const Result<FleetEditPlan> plan = planFleetEdit(edit, id, WallSeconds);
        ASSERT_TRUE(plan) << plan.error().detail;
        FleetChange::run(controllers[controller],
                         {.operationId = id, .isNewId = isNewId, .plan = plan.value()},
                         std::move(answer));
    }
    ResultCode change(const std::string &id, const api::FleetEdit &edit, bool isNewId = false)
    {
        ResultCode code = ResultCode::InternalError;
        start(
            0, id, edit, [&](const ChangeOutcome &outcome) { code = outcome.code; }, isNewId);
        time.runUntil(time.now() + 30s);
        return code;
    }
    // Writes the host's row as it is after its admission.
    void admit(const std::string &name)
    {
        HostRow row = host(name);
        row.state = HostState::Serving;
        row.purpose = HostPurpose::None;
        row.operationId.clear();
        row.targetPool.clear();
        const TableRow old = table.rows().read(hostKey(name)).front();
        table.rows().commit({{old.key, toJson(row), old.version}});
    }
    HostRow host(const std::string &name)
    {
        return parseHostRow(table.rows().read(hostKey(name)).front().value).value();
    }
    BudgetRow budget(const std::string &domain)
    {
        return parseBudgetRow(table.rows().read(budgetKey(domain)).front().value).value();
    }
    FleetRows rows()
    {
        Result<FleetRows> found = Error{ResultCode::InternalError, ""};
        readFleetRows(table.hooks("reader"), time.now() + 1s,
                      [&](const Result<FleetRows> &rows) { found = rows; });
        time.runUntil(time.now() + 2s);
        return found.value();
    }
};

TEST(FleetChange, RegistersAndMovesHostsWithinTheBudgets)
{
    Fleet fleet;
    EXPECT_EQ(fleet.change("add", registration({"a", "b"})), ResultCode::Committed);
    EXPECT_EQ(fleet.host("a").state, HostState::Joining) << "serves only once it is admitted";
    EXPECT_EQ(fleet.change("early", moveEdit("a", "benches")), ResultCode::HostBusy);
    fleet.admit("a");
    fleet.admit("b");
    EXPECT_EQ(fleet.change("early", moveEdit("a", "benches")), ResultCode::HostBusy)
        << "a repeat has the first outcome";
    EXPECT_EQ(fleet.change("move", moveEdit("a", "benches")), ResultCode::Committed);
    EXPECT_EQ(fleet.change("move", moveEdit("a", "benches")), ResultCode::Committed);
    EXPECT_EQ(fleet.host("a").epoch, 2U);
    EXPECT_EQ(fleet.change("second", moveEdit("b", "benches")), ResultCode::BudgetExhausted);
    EXPECT_EQ(fleet.change("nowhere", moveEdit("b", "nowhere")), ResultCode::NotFound);
    EXPECT_EQ(fleet.change("again", registration({"b"})), ResultCode::Conflict);
}

TEST(FleetChange, ReleasesTheUnitsOfAFinishedMove)
{
    Fleet fleet;
    fleet.change("add", registration({"a"}));
    fleet.admit("a");
    fleet.change("move", moveEdit("a", "benches"));
    EXPECT_TRUE(releaseMoveUnits(fleet.rows()).empty());
    for (const char *domain : {"pool/dawn", "rack/r", "zone/z"})
        EXPECT_EQ(fleet.budget(domain).units, (std::vector<BudgetUnit>{{"a", "move/move"}}));
    fleet.admit("a");
    const std::vector<RowWrite> stale = releaseMoveUnits(fleet.rows());
    EXPECT_EQ(fleet.table.rows().commit(stale).outcome, CommitOutcome::Committed);
    for (const char *domain : {"pool/dawn", "rack/r", "zone/z"})
        EXPECT_TRUE(fleet.budget(domain).units.empty()) << domain;
    EXPECT_EQ(fleet.table.rows().commit(stale).outcome, CommitOutcome::Conflict);
}

// Guards against a host that is moved again before the units of its first move are released, and
// that drains without units once they are: another host of its rack could then drain beside it.
TEST(FleetChange, SecondMoveOfAHostHoldsUnitsOfItsOwn)
{
    Fleet fleet;
    fleet.change("add", registration({"a"}));
    fleet.admit("a");
    EXPECT_EQ(fleet.change("first", moveEdit("a", "benches")), ResultCode::Committed);
    fleet.admit("a");
    EXPECT_EQ(fleet.change("second", moveEdit("a", "benches")), ResultCode::Committed);
    fleet.table.rows().commit(releaseMoveUnits(fleet.rows()));
    for (const char *domain : {"rack/r", "zone/z"})
        EXPECT_EQ(fleet.budget(domain).units, (std::vector<BudgetUnit>{{"a", "move/second"}}));
}

TEST(FleetChange, LostAnswersAndOutagesAreAnsweredTruthfully)
{
    Fleet fleet;
    fleet.table.loseNextAnswers(1);
    EXPECT_EQ(fleet.change("add", registration({"a"})), ResultCode::Committed);
    fleet.table.loseNextAnswers(2);
    EXPECT_EQ(fleet.change("wave", declaration("w")), ResultCode::CommitUnknown);
    EXPECT_EQ(fleet.change("wave", declaration("w")), ResultCode::Committed);
    fleet.table.setOutage(true);
    EXPECT_EQ(fleet.change("pause", pauseOrResume(true)), ResultCode::CommitUnknown);
    EXPECT_EQ(fleet.change("new", pauseOrResume(true), true), ResultCode::NotCommitted);
    fleet.table.setOutage(false);
    EXPECT_EQ(fleet.change("pause", pauseOrResume(true)), ResultCode::Committed);
}

// Pauses and resumes one wave through two controllers during lost answers and outages, and repeats
// each change until its outcome is known. Committed pauses and resumes alternate, so the number of
// pauses minus the number of resumes gives the final state. Returns the fault found, or an empty
// string.
std::string runRaces(const std::vector<int> &script, bool dropsRecords)
{
    Fleet fleet;
    fleet.change("declare", declaration("w"));
    if (dropsRecords) {
        for (FleetChange::Hooks &hooks : fleet.controllers) {
            hooks.table.read = [read = hooks.table.read](std::string_view key, TimePoint deadline,
                                                         const Table::ReadCallback &done) {
                read(key.starts_with("operations/") ? "none" : key, deadline, done);
            };
            hooks.table.commit
                = [commit = hooks.table.commit, count = 0](
                      Commit write, TimePoint deadline, const Table::CommitCallback &done) mutable {
                      write.writeId += std::to_string(++count);
                      std::erase_if(write.writes, [](const RowWrite &row) {
                          return row.key.starts_with("operations/");
                      });
                      commit(std::move(write), deadline, done);
                  };
        }
    }
    std::map<std::string, ResultCode> outcomes;
    for (std::size_t i = 0; i < script.size(); ++i) {
        const int choice = script[i];
        if ((choice & 24) == 0)
            fleet.table.loseNextAnswers(1);
        fleet.table.setOutage((choice & 96) == 0);
        const std::string id = ((choice & 1) != 0 ? "pause-" : "resume-") + std::to_string(i);
        outcomes[id] = ResultCode::CommitUnknown;
        fleet.start((choice >> 1) & 1, id, pauseOrResume((choice & 1) != 0),
                    [&outcomes, id](const ChangeOutcome &outcome) { outcomes[id] = outcome.code; });
        fleet.time.runUntil(fleet.time.now() + ((choice & 4) != 0 ? 3ms : 2s));
    }
    fleet.table.setOutage(false);
    fleet.table.loseNextAnswers(0);
    fleet.time.runUntil(fleet.time.now() + 60s);
    int paused = 0;
    for (auto &[id, code] : outcomes) {
        if (code == ResultCode::CommitUnknown)
            code = fleet.change(id, pauseOrResume(id.starts_with("pause-")));
        if (code == ResultCode::Committed)
            paused += id.starts_with("pause-") ? 1 : -1;
        else if (code != ResultCode::ChangeInvalid && code != ResultCode::NotCommitted
                 && code != ResultCode::Conflict)
            return id + " has code " + std::to_string(int(code));
    }
    const WaveRow wave = parseWaveRow(fleet.table.rows().read(waveKey("w")).front().value).value();
    if (paused != (wave.state == WaveState::Paused ? 1 : 0))
        return std::to_string(paused) + " pauses are in force";
    return {};
}

RC_GTEST_PROP(FleetChange, EveryAnswerIsTrueInRaces, ())
{
    const auto script = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 1 << 8));
    RC_ASSERT(runRaces(script, false).empty());
}

TEST(FleetChange, TheRacesCatchAVariantWithoutRecords)
{
    int detected = 0;
    for (int seed = 0; seed < 50; ++seed) {
        std::vector<int> script;
        script.reserve(30);
        for (int i = 0; i < 30; ++i)
            script.push_back((seed * 7919 + i * 104'729) >> 3 & 255);
        detected += runRaces(script, true).empty() ? 0 : 1;
    }
    EXPECT_GT(detected, 0);
}

TEST(FleetView, NamesWhatEachHostAndWaveWaitsFor)
{
    Fleet fleet;
    fleet.change("add", registration({"a", "b", "c"}));
    for (const char *name : {"a", "b", "c"})
        fleet.admit(name);
    fleet.change("move", moveEdit("a", "benches"));
    fleet.change("declare", declaration("w"));
    FleetKnowledge knowledge{.hasPlatform = true,
                             .listed = {{"a", {}}, {"b", {}}},
                             .reports = {{"a", {.fencedEpoch = 2, .running = 4}}}};
    const api::FleetAnswer answer = viewFleet(fleet.rows(), knowledge, WallSeconds + 10);
    EXPECT_EQ(answer.hosts[0].waitsFor, "4 tasks still run, deadline in 50 s");
    EXPECT_FALSE(answer.hosts[1].isLost);
    EXPECT_TRUE(answer.hosts[2].isLost) << "it is not in the list";
    ASSERT_EQ(answer.waves.size(), 1U);
    EXPECT_EQ(answer.waves[0].total, 3);
    EXPECT_EQ(
        answer.waves[0].waitsFor,
        (std::vector<std::string>{"hosts lost by accident: 1", "pool/dawn has no unit free"}));
    knowledge.hasPlatform = false;
    EXPECT_EQ(viewFleet(fleet.rows(), knowledge, WallSeconds).hosts[0].waitsFor,
              "the platform's host interface does not answer this controller");
}

TEST(FleetEdit, RefusesInvalidNamesAndNumbers)
{
    api::FleetEdit empty;
    EXPECT_FALSE(planFleetEdit(empty, "op", WallSeconds));
    EXPECT_FALSE(planFleetEdit(registration({"a/b"}), "op", WallSeconds));
    EXPECT_FALSE(planFleetEdit(registration({}), "op", WallSeconds));
    EXPECT_FALSE(planFleetEdit(moveEdit("a", ""), "op", WallSeconds));
    api::FleetEdit wave = declaration("w");
    wave.declareWave.maxOut = 0;
    EXPECT_FALSE(planFleetEdit(wave, "op", WallSeconds));
    api::BudgetEdit budget;
    budget.domain = "pool/dawn";
    budget.limit = 3;
    api::FleetEdit limit;
    limit.__set_setBudget(budget);
    EXPECT_FALSE(planFleetEdit(limit, "op", WallSeconds)) << "a pool's limit is configured";
}

} // namespace
} // namespace sequoiapier

#include "controller/hostmover.h"
#include "testing/support/faketable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <memory>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

// A host that obeys only commands that are not below its highest epoch, with its running work by
// pool.
struct FakeHost
{
    std::uint64_t epoch = 1;
    bool isAccepting = true;
    std::string pool = "a";
    std::map<std::string, int> running;

    void drain(const HostRow &row)
    {
        if (row.epoch < epoch)
            return;
        epoch = row.epoch;
        isAccepting = false;
    }
    void admit(const HostRow &row)
    {
        if (row.epoch < epoch)
            return;
        epoch = row.epoch;
        isAccepting = true;
        pool = row.pool;
    }
    HostObservation observation() const
    {
        HostObservation seen{.fencedEpoch = isAccepting ? epoch - 1 : epoch, .running = 0};
        for (const auto &[name, count] : running)
            seen.running += count;
        seen.admittedEpoch = isAccepting ? epoch : 0;
        return seen;
    }
};

// Two controllers over one table; commands to hosts may be lost or delayed.
struct Fleet
{
    struct Controller
    {
        std::unique_ptr<HostMover> mover;
        std::shared_ptr<bool> isAlive;
    };

    VirtualTime time;
    FakeTable table{time};
    std::map<std::string, FakeHost> hosts{{"h0", {}}, {"h1", {}}};
    std::map<std::string, HostObservation> lastReport;
    std::array<Controller, 2> controllers;
    std::vector<std::unique_ptr<HostMover>> crashed;
    int stepsUntilCrash = -1; // calls of hooks and callbacks until controller 0 crashes; -1: never
    int lostCommands = 0;
    Duration commandDelay = 1ms;

    Fleet()
    {
        for (const auto &[name, host] : hosts)
            table.rows().commit({{hostKey(name), toJson({.host = name, .pool = "a"}), 0}});
        restart(0);
        restart(1);
    }

    bool mayRun(std::size_t index, const std::shared_ptr<bool> &isAlive)
    {
        if (index == 0 && *isAlive && stepsUntilCrash >= 0 && stepsUntilCrash-- == 0)
            *isAlive = false;
        return *isAlive;
    }

    // A table whose callbacks are dropped once the controller has crashed. The memory of a crashed
    // controller is kept in `crashed` until the end of the test.
    Table crashableTable(std::size_t index, const std::shared_ptr<bool> &isAlive)
    {
        Table inner = table.hooks("c" + std::to_string(index));
        Table outer = inner;
        outer.read
            = [=, this](std::string_view key, TimePoint deadline, const Table::ReadCallback &done) {
                  inner.read(key, deadline, [=, this](const Result<std::optional<TableRow>> &row) {
                      if (mayRun(index, isAlive))
                          done(row);
                  });
              };
        outer.commit
            = [=, this](Commit commit, TimePoint deadline, const Table::CommitCallback &done) {
                  inner.commit(std::move(commit), deadline, [=, this](const CommitAnswer &answer) {
                      if (mayRun(index, isAlive))
                          done(answer);
                  });
              };
        return outer;
    }

    void restart(std::size_t index)
    {
        if (controllers[index].mover) {
            *controllers[index].isAlive = false;
            crashed.push_back(std::move(controllers[index].mover));
        }
        auto isAlive = std::make_shared<bool>(true);
        const auto send = [=, this](auto command) {
            return [=, this](const HostRow &row) {
                if (lostCommands > 0 && lostCommands-- > 0)
                    return;
                if (mayRun(index, isAlive))
                    time.after(commandDelay, [=, this] { (hosts[row.host].*command)(row); });
            };
        };
        controllers[index]
            = {std::make_unique<HostMover>(
                   crashableTable(index, isAlive),
                   HostMover::Hooks{.observe
                                    = [this](const HostRow &row) { return lastReport[row.host]; },
                                    .drain = send(&FakeHost::drain),
                                    .maintain = send(&FakeHost::drain),
                                    .admit = send(&FakeHost::admit),
                                    .changed = [](const HostRow &) {}},
                   HostMover::Options{.process = "c" + std::to_string(index),
                                      .incarnation = crashed.size()}),
               isAlive};
    }

    HostRow row(const std::string &host)
    {
        return parseHostRow(table.rows().read(hostKey(host)).front().value).value();
    }

    void runFor(Duration duration) { time.runUntil(time.now() + duration); }
    void report(const std::string &host) { lastReport[host] = hosts[host].observation(); }

    // Runs rounds of host reports and steps, as the timers of live controllers do.
    void settle(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (auto &[name, host] : hosts) {
                host.running.clear();
                report(name);
                for (Controller &controller : controllers) {
                    if (*controller.isAlive)
                        controller.mover->advance(name, time.now(), 0);
                }
            }
            runFor(2s);
        }
    }

    std::string invariantViolation()
    {
        for (const auto &[name, host] : hosts) {
            if (host.isAccepting && host.pool != row(name).pool)
                return name + " takes work for a pool that its row does not name";
            for (const auto &[pool, count] : host.running) {
                if (host.isAccepting && count > 0 && pool != host.pool)
                    return name + " was admitted while work of " + pool + " runs";
            }
        }
        return {};
    }
};

TEST(HostMover, CompletesTheMoveAfterACrashAtEveryStep)
{
    bool everCommitted = false;
    bool everUncommitted = false;
    for (int step = 0; step < 16; ++step) {
        Fleet fleet;
        fleet.stepsUntilCrash = step;
        bool isAnswered = false;
        fleet.controllers[0].mover->beginMove("h0", "b", "op", fleet.time.now(), 60,
                                              [&](const Result<HostRow> &) { isAnswered = true; });
        fleet.runFor(1s);
        fleet.settle(6);
        const bool isCommitted = !fleet.table.rows().read(writeRecordKey("move/op")).empty();
        EXPECT_EQ(fleet.row("h0").state, HostState::Serving) << step;
        EXPECT_EQ(fleet.row("h0").pool, isCommitted ? "b" : "a") << step;
        EXPECT_EQ(fleet.hosts["h0"].pool, fleet.row("h0").pool) << step;
        EXPECT_TRUE(!isAnswered || isCommitted) << step;
        everCommitted |= isCommitted;
        everUncommitted |= !isCommitted;
    }
    EXPECT_TRUE(everCommitted && everUncommitted);
}

TEST(HostMover, TwoOperatorsGetOneMoveAndOneRefusal)
{
    Fleet fleet;
    std::vector<ResultCode> codes;
    const auto recordOutcome = [&](const Result<HostRow> &row) {
        codes.push_back(row ? ResultCode::Committed : row.error().code);
    };
    fleet.controllers[0].mover->beginMove("h0", "b", "op-1", fleet.time.now(), 60, recordOutcome);
    fleet.controllers[1].mover->beginMove("h0", "c", "op-2", fleet.time.now(), 60, recordOutcome);
    fleet.runFor(3s);
    EXPECT_EQ(codes, (std::vector{ResultCode::Committed, ResultCode::Conflict}));
    fleet.controllers[1].mover->beginMove("h0", "c", "op-2", fleet.time.now(), 60, recordOutcome);
    fleet.controllers[1].mover->beginMove("h0", "b", "op-1", fleet.time.now(), 60, recordOutcome);
    fleet.runFor(3s);
    EXPECT_EQ(codes[2], ResultCode::HostBusy);
    EXPECT_EQ(codes[3], ResultCode::Committed) << "a repeated operation finds its first outcome";
}

TEST(HostMover, ALostAnswerIsReadBack)
{
    Fleet fleet;
    fleet.table.loseNextAnswers(1);
    ResultCode code = ResultCode::InternalError;
    fleet.controllers[0].mover->beginMove(
        "h0", "b", "op", fleet.time.now(), 60,
        [&](const Result<HostRow> &row) { code = row ? ResultCode::Committed : row.error().code; });
    fleet.runFor(3s);
    EXPECT_EQ(code, ResultCode::Committed);
    EXPECT_EQ(fleet.row("h0").epoch, 2U);
}

RC_GTEST_PROP(HostMover, KeepsOnePoolAndNeverMixesWork, ())
{
    Fleet fleet;
    const auto script = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1 << 12));
    int operation = 0;
    for (const int choice : script) {
        const std::string name = (choice & 1) != 0 ? "h1" : "h0";
        const std::size_t index = (choice >> 1) & 1;
        HostMover &mover = *fleet.controllers[index].mover;
        FakeHost &host = fleet.hosts[name];
        const TimePoint now = fleet.time.now();
        const auto ignore = [](const Result<HostRow> &) {};
        switch ((choice >> 2) % 13) {
        case 0:
            mover.beginMove(name, (choice & 512) != 0 ? "a" : "b", std::to_string(++operation), now,
                            0, ignore);
            break;
        case 1:
            mover.undo(name, now, ignore);
            break;
        case 2:
            fleet.restart(index);
            break;
        case 3:
            fleet.table.loseNextAnswers(1);
            break;
        case 4:
            fleet.table.cutOff("c" + std::to_string(index));
            break;
        case 5:
            fleet.table.reconnect("c" + std::to_string(index));
            break;
        case 6:
            fleet.lostCommands = 1;
            break;
        case 7:
            fleet.commandDelay = (choice & 1024) != 0 ? 1ms : 1500ms;
            break;
        case 8:
            host.running.clear();
            break;
        case 9:
            host.running[host.pool] += host.isAccepting ? 1 : 0;
            break;
        case 10:
            fleet.report(name);
            break;
        default:
            mover.advance(name, now, 0);
            break;
        }
        fleet.runFor((choice & 2048) != 0 ? 3ms : 700ms);
        RC_ASSERT(fleet.invariantViolation().empty());
    }
    fleet.table.reconnect("c0");
    fleet.table.reconnect("c1");
    fleet.commandDelay = 1ms;
    fleet.settle(8);
    for (const auto &[hostName, host] : fleet.hosts)
        RC_ASSERT(fleet.row(hostName).state == HostState::Serving);
    RC_ASSERT(fleet.invariantViolation().empty());
}

} // namespace
} // namespace sequoiapier

// FleetTest is a fixture with a table, the platform's hosts and two controllers. The fleet has
// twelve hosts, four per rack, in two pools. The hosts record when each of them is out of service.
//
// Racks r0, r1, r2 in zones z0, z1, z2; hosts h00 to h11. Even hosts are in pool dawn, odd ones in
// pool benches. At most two hosts of a pool and one of a rack are out at once.
#pragma once

#include "testing/process/testname.h"
#include "testing/support/localsystem.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <set>

namespace sequoiapier {

class FleetTest : public testing::Test
{
protected:
    static constexpr int HostCount = 12;
    static constexpr int HostsOfRack = 4;
    static constexpr std::size_t PoolLimit = 2;
    static constexpr std::size_t RackLimit = 1;
    static constexpr std::chrono::seconds WaveTimeout{30};
    // Covers the lag of the host list and one tick of a wave on a busy machine.
    static constexpr std::chrono::milliseconds LossGrace{1'500};

    FleetTest()
        : m_system(testName())
    { }

    void SetUp() override
    {
        ASSERT_TRUE(m_system.startTable());
        ASSERT_TRUE(m_system.startHosts(hostNames(0, HostCount), {"--lag-ms", "150"}));
        startController("controller-1");
        startController("controller-2");
        Configuration configuration;
        configuration.pools = {{.name = "dawn", .maxUnavailable = PoolLimit},
                               {.name = "benches", .maxUnavailable = PoolLimit}};
        ASSERT_EQ(m_system.applyConfiguration(toJson(configuration), 0, "first"), 0)
            << m_system.output();
        for (int first = 0; first < HostCount; first += HostsOfRack)
            registerRack(first);
        ASSERT_TRUE(waitFor([&] { return countHosts("serving") == HostCount; })) << hosts();
    }

    void TearDown() override
    {
        if (!HasFatalFailure())
            expectBudgetsHeld();
    }

    void startController(const std::string &name)
    {
        ASSERT_TRUE(m_system.startController(
            name, {"--fleet-interval-ms", "100", "--expected-out-s", "1"}));
        ASSERT_TRUE(m_system.waitReady(name));
    }

    void kill(const std::string &name)
    {
        ChildProcess &process = m_system.member(name).process;
        process.signal(SIGKILL);
        EXPECT_TRUE(process.waitExit(LocalSystem::Timeout).has_value());
        m_system.forget(name);
    }

    static std::string hostName(int index)
    {
        return (index < 10 ? "h0" : "h") + std::to_string(index);
    }

    static std::string hostNames(int first, int count, int step = 1)
    {
        std::string names;
        for (int i = first; i < first + count; i += step)
            names += (names.empty() ? "" : ",") + hostName(i);
        return names;
    }

    static std::string rackOf(const std::string &host)
    {
        return "r" + std::to_string(std::stoi(host.substr(1)) / HostsOfRack);
    }

    int ctl(const std::vector<std::string> &words) { return m_system.ctl(words); }
    // The result code of an answer "200 committed ...", which follows the line "operation ID" if
    // the identifier is new.
    std::string answeredCode() const
    {
        const std::string &output = m_system.output();
        const std::size_t line = output.starts_with("operation ") ? output.find('\n') + 1 : 0;
        return output.substr(line, 3);
    }

    nlohmann::json list(const std::string &kind, const std::string &controller = "")
    {
        const std::vector<std::string> words{kind, "list", "--json"};
        const int status
            = controller.empty() ? m_system.ctl(words) : m_system.ctlAt(controller, words);
        if (status != 0)
            return nlohmann::json::object();
        return nlohmann::json::parse(m_system.output(), nullptr, false);
    }
    nlohmann::json hosts() { return list("host").value("hosts", nlohmann::json::array()); }
    nlohmann::json host(const std::string &name)
    {
        for (const nlohmann::json &entry : hosts()) {
            if (entry.at("name") == name)
                return entry;
        }
        return nlohmann::json::object();
    }
    bool seesLost(const std::string &controller, const std::string &name)
    {
        const nlohmann::json all = list("host", controller);
        for (const nlohmann::json &entry : all.value("hosts", nlohmann::json::array())) {
            if (entry.at("name") == name)
                return entry.at("isLost");
        }
        return false;
    }
    nlohmann::json wave(const std::string &id, const std::string &controller = "")
    {
        const nlohmann::json all = list("wave", controller);
        for (const nlohmann::json &entry : all.value("waves", nlohmann::json::array())) {
            if (entry.at("id") == id)
                return entry;
        }
        return nlohmann::json::object();
    }
    // The reasons why a wave is waiting, as JSON text.
    std::string reasons(const std::string &id)
    {
        const nlohmann::json found = wave(id);
        return found.value("waitsFor", nlohmann::json::array()).dump();
    }
    std::string stateOf(const std::string &id) { return wave(id).value("state", ""); }
    void declareWave(const std::string &id, const std::vector<std::string> &flags = {})
    {
        std::vector<std::string> words{"wave",    "declare",        id,
                                       "--pools", "dawn,benches",   "--max-out",
                                       "3",       "--operation-id", "declare-" + id};
        words.insert(words.end(), flags.begin(), flags.end());
        ASSERT_EQ(ctl(words), 0) << m_system.output();
    }
    int countHosts(const std::string &state)
    {
        const nlohmann::json all = hosts();
        return int(std::count_if(all.begin(), all.end(), [&](const nlohmann::json &entry) {
            return entry.at("state") == state;
        }));
    }
    bool isFinished(const std::string &id) { return wave(id).value("state", "") == "finished"; }
    int doneOf(const std::string &id) { return wave(id).value("done", 0); }

    // The record that the hosts keep of their own state changes and reboots.
    nlohmann::json record() const
    {
        return nlohmann::json::parse(m_system.fetch("hosts", "/record").response.body);
    }
    int reboots() const { return record().at("reboots"); }

    // Highest number of hosts out of service, by pool and rack, at the times when a command took a
    // host out. Dead hosts count. Commands within `grace` after a death are not checked, because
    // the host list lags.
    std::map<std::string, std::size_t> peakOutOfService(std::chrono::milliseconds grace) const
    {
        std::map<std::string, std::set<std::string>> out;
        std::map<std::string, std::size_t> peaks;
        std::int64_t checkedFrom = 0;
        const nlohmann::json all = record();
        for (const nlohmann::json &event : all.at("events")) {
            const std::string name = event.at("host");
            const std::int64_t at = event.at("atMs");
            for (auto &[domain, names] : out)
                names.erase(name);
            if (!event.at("isOut").get<bool>())
                continue;
            const bool isDead = event.at("isDead");
            if (isDead)
                checkedFrom = at + grace.count();
            for (const std::string &domain :
                 {"pool/" + event.at("pool").get<std::string>(), "rack/" + rackOf(name)}) {
                out[domain].insert(name);
                if (!isDead && at >= checkedFrom)
                    peaks[domain] = std::max(peaks[domain], out[domain].size());
            }
        }
        return peaks;
    }

    void expectBudgetsHeld() const
    {
        for (const auto &[domain, count] : peakOutOfService(LossGrace))
            EXPECT_LE(count, domain.starts_with("pool/") ? PoolLimit : RackLimit) << domain;
        EXPECT_EQ(record().at("disturbed"), 0) << "hosts rebooted while work ran";
    }

    // Number of times that a command took a host out of service.
    std::size_t drainedCount() const
    {
        const nlohmann::json events = record().at("events");
        return std::size_t(
            std::count_if(events.begin(), events.end(), [](const nlohmann::json &event) {
                return event.at("isOut").get<bool>() && !event.at("isDead").get<bool>();
            }));
    }

    static bool waitFor(const std::function<bool()> &condition,
                        std::chrono::milliseconds timeout = WaveTimeout)
    {
        return LocalSystem::waitUntil(condition, timeout);
    }

    LocalSystem &system() { return m_system; }

private:
    void registerRack(int first)
    {
        const std::string number = std::to_string(first / HostsOfRack);
        for (int pool = 0; pool < 2; ++pool) {
            ASSERT_EQ(ctl({"host", "add", hostNames(first + pool, HostsOfRack - pool, 2), "--rack",
                           "r" + number, "--zone", "z" + number, "--pool",
                           pool == 0 ? "dawn" : "benches"}),
                      0)
                << m_system.output();
        }
    }

    LocalSystem m_system;
};

} // namespace sequoiapier

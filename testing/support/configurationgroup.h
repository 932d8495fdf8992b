// ConfigurationGroup: configuration followers that exchange simulated messages under virtual time,
// and a committer that changes the configuration and answers as a controller does.
//
//   ConfigurationGroup group({.members = 9, .maxGateways = 9});
//   group.commitKeys({"key-1"});              // every other key is withdrawn
//   group.run(std::chrono::seconds(5));
//   EXPECT_EQ(group.violations(), 0U) << group.firstViolation();
//
// The group checks two invariants continuously: no follower goes back to a lower version, and no
// follower accepts work with a key later than 5 s after its withdrawal was answered.
#pragma once

#include "sequoiapier/configurationfollower.h"
#include "sequoiapier/pushround.h"
#include "testing/support/faketable.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace sequoiapier {

class ConfigurationGroup
{
public:
    struct Options
    {
        std::size_t members = 9;
        std::uint32_t maxGateways = 0;
        std::size_t readers = 3;
        unsigned seed = 1;
        double lossRate = 0;
        double repeatRate = 0;
        Duration minDelay = std::chrono::microseconds(500);
        Duration maxDelay = std::chrono::milliseconds(1);
        bool pushes = true; // whether the committer sends each version to all members
        std::size_t padding = 0; // bytes of filler in the document
        ConfigurationFollower::Options follower;
        // Deliberate faults in the group, which the checks must detect.
        std::function<bool(std::uint64_t, std::uint64_t)> mayReplace;
        bool answersUnsettled = false;
    };

    explicit ConfigurationGroup(Options options);

    // Commits a configuration with exactly these keys if the committer can reach the table.
    bool commitKeys(const std::set<std::string> &keys);
    void run(Duration duration);

    void cutTable(std::size_t member, bool isCut);
    // Partitions the network: members and the committer receive messages only from their own side.
    void setSide(std::size_t member, int side) { m_members[member]->side = side; }
    void setCommitterSide(int side) { m_committerSide = side; }
    void setCommitterCut(bool isCut);
    void pause(std::size_t member) { m_members[member]->isPaused = true; }
    void resume(std::size_t member);
    void restart(std::size_t member);

    VirtualTime &time() { return m_time; }
    FakeTable &table() { return m_table; }
    std::size_t size() const { return m_members.size(); }
    bool isConfirmed(std::size_t member) const;
    const ConfigurationFollower &follower(std::size_t member) const;
    std::size_t confirmedCount() const;
    // Number of members that hold the latest committed version.
    std::size_t currentCount() const;
    bool isAnswered() const { return m_isAnswered; }
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }
    std::size_t rejections() const { return m_rejections; }
    std::size_t violations() const { return m_violations; }
    const std::string &firstViolation() const { return m_firstViolation; }

private:
    struct Member
    {
        std::size_t index = 0;
        std::uint64_t incarnation = 0;
        std::unique_ptr<ConfigurationFollower> follower;
        bool isPaused = false;
        int side = 0;
        std::vector<std::function<void()>> backlog; // work that arrived while the member was paused
        std::uint64_t highestApplied = 0;
        std::uint64_t highestConfirmed = 0;
    };

    void start(Member &member);
    void tick(Member &member, std::uint64_t incarnation);
    void readTable(Member &member, TimePoint startedAt);
    void poll(Member &from, std::string_view peer, const ConfigurationPoll &poll);
    void push(Member &member, const ConfigurationPush &push,
              const std::shared_ptr<PushRound> &round);
    void send(std::size_t bytes, const std::function<void()> &onArrival);
    static void deliver(Member &member, std::function<void()> event);
    void answerCommit(const PushRound &round, const std::set<std::string> &withdrawn);
    void check();
    void recordViolation(const std::string &what);

    Options m_options;
    VirtualTime m_time;
    FakeTable m_table;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<Member>> m_members;
    int m_committerSide = 0;
    bool m_isCommitterCut = false;
    bool m_isAnswered = true;
    std::set<std::string> m_keys;
    std::uint64_t m_version = 0;
    std::map<std::string, TimePoint> m_deniedFrom; // by withdrawn key, once answered
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::size_t m_rejections = 0;
    std::size_t m_violations = 0;
    std::string m_firstViolation;
};

} // namespace sequoiapier

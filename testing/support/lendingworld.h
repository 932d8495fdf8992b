// LendingWorld: the real lending classes of several lenders and borrowers under virtual time, with
// a table and a network that fail on demand.
//
//   LendingWorld world({.lenders = 2, .borrowers = 3, .resources = 1}, seed);
//   world.network().dropRate = 0.2;
//   world.run(std::chrono::seconds(5));
//   EXPECT_TRUE(world.overload().empty()) << world.overload();
//
// After every event the world counts, for each resource, the units in use and the units that could
// be taken at that moment. overload() describes the first time that they exceeded the capacity.
#pragma once

#include "sequoiapier/borrower.h"
#include "sequoiapier/lender.h"
#include "sequoiapier/ownership.h"
#include "testing/support/faketable.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace sequoiapier {

struct NetworkFaults
{
    double dropRate = 0;
    double repeatRate = 0;
    Duration minDelay = std::chrono::microseconds(500);
    Duration maxDelay = std::chrono::milliseconds(1);
    double misrouteRate = 0; // fraction of reports sent to a random lender (stale directory)
    std::set<std::pair<std::string, std::string>> cutLinks = {}; // pairs of borrower and lender
};

// The actions of a process on its single thread. A paused process runs them when it resumes.
struct ActionQueue
{
    bool isAlive = true;
    bool isPaused = false;
    std::deque<std::function<void()>> waiting = {};
};

struct LenderProcess
{
    std::string name;
    std::shared_ptr<ActionQueue> actions;
    std::unique_ptr<Ownership> ownership;
    std::map<std::string, Lender> lenders;
    std::map<std::string, OwnedResource> acquired; // latest acquisition by resource
};

struct Loan
{
    Borrower borrower;
    std::map<std::uint64_t, TimePoint> sentAt;
    std::int64_t running = 0; // units at the upstream, also after the borrower ended
    std::int64_t demand = 0;
    std::int64_t floor = 0; // units that need no loan
    std::int64_t floorInUse = 0;
};

struct BorrowerProcess
{
    MemberId self;
    std::shared_ptr<ActionQueue> actions;
    Table table;
    double clockRate = 1;
    bool isRegistered = false;
    bool isReady = false; // whether it has read the owner rows since it registered
    std::map<std::string, OwnerRow> owners;
    std::map<std::string, Loan> loans;
};

class LendingWorld
{
public:
    static constexpr double LargeCapacity = 4;

    struct Options
    {
        int lenders = 2;
        int borrowers = 3;
        int resources = 1;
        std::int64_t capacity = 12; // units per resource
        std::int64_t floor = 0; // units per borrower and resource beside the lent capacity
        Duration term = std::chrono::seconds(3);
        Duration ownershipTerm = std::chrono::seconds(3);
        bool isSticky = false; // whether owners keep what they own
        int largeLenders = 0; // number of first lenders with LargeCapacity times the capacity
        Duration outageTerm = std::chrono::minutes(15);
        Duration longestWork = std::chrono::seconds(2);
        Duration minWork = std::chrono::milliseconds(20);
        Duration maxWork = std::chrono::milliseconds(200);
        Duration reportInterval = std::chrono::milliseconds(100);
        bool lendsPastTerm = true; // whether lenders answer reports past ownedUntil
        Lender::Faults lenderFaults = {};
        Borrower::Faults borrowerFaults = {};
    };

    LendingWorld(Options options, std::uint64_t seed);

    void run(Duration duration) { m_time.runUntil(m_time.now() + duration); }

    void setDemand(int borrower, int resource, std::int64_t units);
    void setPaused(ActionQueue &actions, bool paused);
    void killLender(int index);
    void restartLender(int index);
    void killBorrower(int index);
    void restartBorrower(int index);

    VirtualTime &time() { return m_time; }
    FakeTable &table() { return m_table; }
    NetworkFaults &network() { return m_network; }
    LenderProcess &lender(int index) { return *m_lenders[std::size_t(index)]; }
    BorrowerProcess &borrower(int index) { return *m_borrowers[std::size_t(index)]; }
    static std::string resourceName(int index) { return "slots/" + std::to_string(index); }

    // Units of `resource` that run work.
    std::int64_t running(const std::string &resource) const;
    // Units that live borrowers hold under a lease.
    std::int64_t leased(const std::string &resource) const;
    // Describes the first excess over a capacity; empty if there was none.
    const std::string &overload() const { return m_overload; }
    std::uint64_t messageCount() const { return m_messages; }

private:
    void startLender(std::size_t index);
    void startBorrower(std::size_t index);
    void enqueue(const std::shared_ptr<ActionQueue> &actions, std::function<void()> action);
    void every(const std::shared_ptr<ActionQueue> &actions, Duration interval,
               const std::function<void()> &action);
    void send(const std::shared_ptr<ActionQueue> &receiver, const std::function<void()> &deliver);

    void onAcquired(LenderProcess &process, const OwnedResource &resource);
    void answer(LenderProcess &process, BorrowerProcess &borrower, const LoanReport &report);
    void registerBorrower(BorrowerProcess &process);
    void readOwners(BorrowerProcess &process);
    void report(BorrowerProcess &process);
    void sendReport(BorrowerProcess &process, const LoanReport &report, const std::string &owner);
    void startWork(BorrowerProcess &process);
    void startUnit(BorrowerProcess &process, const std::string &resource, Loan &loan,
                   bool isOnFloor);
    TimePoint localNow(const BorrowerProcess &process) const;
    void checkCapacity(const std::string &resource);

    Options m_options;
    VirtualTime m_time;
    FakeTable m_table{m_time};
    NetworkFaults m_network;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<LenderProcess>> m_lenders;
    std::vector<std::unique_ptr<BorrowerProcess>> m_borrowers;
    std::vector<std::unique_ptr<LenderProcess>> m_deadLenders;
    std::vector<std::unique_ptr<BorrowerProcess>> m_deadBorrowers;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_messages = 0;
    std::string m_overload;
};

} // namespace sequoiapier

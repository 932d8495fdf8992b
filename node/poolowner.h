// PoolOwner: carries the jobs of one pool over the platform's store and runners, as its owner.
//
//   PoolOwner owner(context, "vanload", epoch);
//   owner.start();                              // claims the pool's rows and loads its jobs
//   owner.handle(call, [](const api::JobReply &reply) { ... });
//
// The pool's rows lie in one part of the store. Its fence row names the owner's epoch and the
// number of its last batch; each batch expects the fence row as the last one left it. So a deposed
// owner can write nothing, and a batch whose answer was lost can be sent again: it is in force if
// the fence row says so. The epoch is also the fence of the orders to runners.
#pragma once

#include "gen/node_types.h"
#include "jobs/engine.h"
#include "net/timer.h"
#include "node/ceilingdesk.h"
#include "node/decisionlog.h"
#include "node/starttimes.h"
#include "platform/adviceclient.h"
#include "platform/nodesettings.h"
#include "platform/runnerclient.h"
#include "platform/storeclient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiapier {

struct PoolContext
{
    Loop &loop;
    StoreClient &store;
    RunnerClient &runners;
    AdviceClient &advice;
    DecisionLog &log;
    StartTimes &startTimes;
    const NodeSettings &settings;
    // Whether no other node can own the pool now.
    std::function<bool()> isOwner;
    // Another node has claimed the pool.
    std::function<void(const std::string &pool)> onDeposed;
    std::function<const Configuration &()> configuration;
};

class PoolOwner
{
public:
    using Answer = std::function<void(const api::JobReply &)>;

    PoolOwner(PoolContext &context, std::string pool, std::uint64_t epoch);
    // Whoever waits for an answer is told that this node is not the owner.
    ~PoolOwner();
    PoolOwner(const PoolOwner &) = delete;
    PoolOwner &operator=(const PoolOwner &) = delete;

    void start() { claim(); }
    void setConfiguration(const Configuration &configuration);
    void setRunners(const std::vector<jobs::RunnerEntry> &runners);
    void handle(const api::JobCall &call, Answer answer);
    api::EvacuationReply evacuate(const api::EvacuationCall &call);
    api::DemandReply demand(const api::DemandCall &call);
    bool isReady() const { return m_isReady; }
    // Whether more runners are needed than there are.
    bool isShort() const { return m_isShort; }
    const std::string &pool() const { return m_pool; }
    // Something changed that placement depends on.
    void poke();

private:
    struct Waiter
    {
        std::string job;
        bool isInBatch = false; // a batch that may tell of it was sent
        Answer answer;
    };
    struct Renewal
    {
        bool isUnderWay = false;
        TimePoint dueAt{};
    };
    using Guard = std::weak_ptr<bool>;

    jobs::Engine::Hooks engineHooks();
    void note(std::string_view event, const jobs::TaskName &subject, std::string_view detail);
    StoreKey key(const char *table, std::string name) const;
    void claim();
    void onFenceRead(const Result<std::optional<StoreRow>> &row);
    void claimOver(std::uint64_t version);
    void retryClaim(std::string_view why);
    void loadStates();
    void loadSpecs(std::vector<StoreRow> states);
    void begin(const std::vector<StoreRow> &states, const std::vector<StoreRow> &specs);
    void depose(std::string_view why);

    void submit(const api::JobCall &call, Answer answer);
    void cancel(const api::JobCall &call, Answer answer);
    void answerState(const api::JobCall &call, const Answer &answer);
    void answerWaiters();

    void turn();
    void startTurnBy(TimePoint due);
    void writeBatch();
    StoreTransaction transactionOf(const jobs::Batch &batch) const;
    std::string fenceValue() const;
    void sendBatch();
    void onBatchAnswer(const StoreCommit &commit);
    void onBatchWritten(std::uint64_t version);
    void sendOrders();
    void askAdvice();
    void sendStart(const jobs::StartOrder &order);
    void sendStop(const jobs::StopOrder &order);
    void sendPace(const jobs::PaceOrder &order);
    void renewLeases();
    void forgetRunners();
    Duration waitFor(const std::string &runner, const jobs::Runner &state) const;
    void renew(const std::string &runner, const jobs::Runner &state);
    void onRenewed(const std::string &runner, const RenewAnswer &answer, TimePoint sentAt);

    PoolContext &m_context;
    std::string m_pool;
    std::uint64_t m_epoch;
    CeilingDesk m_ceilings;
    jobs::Engine m_engine;
    std::vector<jobs::RunnerEntry> m_listed; // before the jobs are loaded
    bool m_isReady = false;
    bool m_isShort = false; // as of the last demand
    bool m_isDeposed = false;
    std::uint64_t m_fenceVersion = 0; // of the fence row
    std::uint64_t m_sequence = 0; // of the last batch that is in force
    std::optional<jobs::Batch> m_batch; // under way
    StoreTransaction m_transaction; // of it
    std::vector<Waiter> m_waiters;
    std::map<std::string, Renewal> m_renewals; // by runner
    TimePoint m_writeDue{};
    TimePoint m_turnDue{}; // unset: no turn is due
    Timer m_claimTimer;
    Timer m_turnTimer;
    Timer m_batchTimer;
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier

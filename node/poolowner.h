// PoolOwner: runs the jobs of one pool on the platform's store and runners, as the owner of the
// pool.
//
//   PoolOwner owner(context, "vanload", acquiredResource);
//   owner.start();                              // claims the pool's rows and loads its jobs
//   owner.handle(call, [](const api::JobReply &reply) { ... });
//
// The pool's rows are in one part of the store. Its fence row holds the owner's epoch and the
// number of its last batch; each batch requires the fence row as the previous one left it. So a
// deposed owner can write nothing, and a batch whose answer was lost can be sent again: it is in
// force if the fence row says so. Orders to runners also carry the epoch as their fence.
//
// No order goes out after the node's term. Leases of runs are renewed for 1.5 s longer, so that a
// short outage of the store ends no run, and each owner counts that time for the runners that it
// has not fenced. It fences runners that the live list doesn't have at their addresses,
// which the store keeps from before the first start on a runner until the runner is forgotten.
#pragma once

#include "gen/node_types.h"
#include "jobs/engine.h"
#include "net/timer.h"
#include "node/admissionreport.h"
#include "node/advicecalls.h"
#include "node/ceilingallocator.h"
#include "node/decisionlog.h"
#include "node/poolmetrics.h"
#include "node/poolstaterow.h"
#include "node/queuehomes.h"
#include "node/runneraddresses.h"
#include "node/silentrunners.h"
#include "platform/nodesettings.h"
#include "platform/runnerclient.h"
#include "platform/storeclient.h"
#include "sequoiapier/memberid.h"
#include "sequoiapier/ownership.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiapier {

struct PoolContext
{
    Loop &loop;
    StoreClient &store;
    RunnerClient &runners;
    AdviceCalls &advice;
    DecisionLog &log;
    PoolMetrics &poolMetrics;
    const NodeSettings &settings;
    // Returns the time before which no other node can own the pool.
    std::function<TimePoint()> ownedUntil;
    // Returns whether the member owns nothing any more and knows it.
    std::function<bool(const MemberId &)> hasEnded;
    // Called when another node has claimed the pool.
    std::function<void(const std::string &pool)> onDeposed;
    std::function<const Configuration &()> configuration;
};

class PoolOwner
{
public:
    using ReplyCallback = std::function<void(const api::JobReply &)>;

    // `resource` is the pool as this node has acquired it.
    PoolOwner(PoolContext &context, std::string pool, const OwnedResource &resource);
    // Answers all pending calls, with NotOwner or with OutcomeUnknown if a batch may contain the
    // job.
    ~PoolOwner();
    PoolOwner(const PoolOwner &) = delete;
    PoolOwner &operator=(const PoolOwner &) = delete;

    void start() { claim(); }
    // Sends no more orders and takes no more calls.
    void leave();
    void setConfiguration(const Configuration &configuration);
    void setRunners(std::span<const jobs::RunnerEntry> runners);
    void handle(const api::JobCall &call, ReplyCallback answer);
    api::EvacuationReply evacuate(const api::EvacuationCall &call);
    api::DemandReply demand(const api::DemandCall &call);
    bool isReady() const { return m_isReady; }
    // Returns whether the pool needs more runners than it has.
    bool hasShortage() const { return m_hasShortage; }
    const std::string &pool() const { return m_pool; }
    // Plans again soon, since something that placement depends on has changed.
    void requestTick();

private:
    struct Waiter
    {
        std::string job;
        // The store may hold what the call asked for, so that it must not be answered as not run.
        bool mayBeStored = false;
        ReplyCallback answer;
    };
    // A call that waits until the pool's standing towards its queue is settled.
    struct ParkedCall
    {
        api::JobCall call;
        ReplyCallback answer;
    };
    struct Renewal
    {
        bool isInFlight = false;
        TimePoint dueAt{};
    };
    struct SentRenewal
    {
        TimePoint sentAt{};
        bool hasLease = false;
    };
    // The pool's rows as of its claim.
    struct PoolRows
    {
        std::vector<StoreRow> states;
        std::vector<StoreRow> specs;
        std::vector<StoreRow> addresses;
        int pendingReads = 0;
        bool hasFailed = false; // A read has failed, and the claim is tried again.
    };
    using Guard = std::weak_ptr<bool>; // expires with this object

    jobs::Engine::Hooks engineHooks();
    AdviceCalls::Hooks adviceHooks();
    PoolStateRow::Hooks interferenceHooks();
    void logEvent(std::string_view event, const jobs::TaskName &subject, std::string_view detail);
    StoreKey key(const char *table, std::string name) const;
    void claim();
    void onFenceRead(const Result<std::optional<StoreRow>> &row);
    void writeClaim(std::uint64_t version);
    void retryClaim(std::string_view reason);
    void load();
    // Reads the pool's rows of a table; claims the pool again if they can't be read.
    void readTable(const char *table, const std::shared_ptr<PoolRows> &rows,
                   std::vector<StoreRow> &target);
    void onLoaded(const PoolRows &rows);
    void loadJobs(const std::vector<StoreRow> &states, const std::vector<StoreRow> &specs);
    void loadAddresses(const std::vector<StoreRow> &addresses);
    bool isOwner() const { return BootClock::now() < m_context.ownedUntil(); }
    bool haveEarlierOwnersEnded() const;
    void updateEarlierOwners(TimePoint now);
    void inheritRunners(TimePoint now);
    void onFenced(const std::string &runner);
    jobs::JobTerms termsInForce(const std::string &queue) const;
    void depose(std::string_view reason);

    void refuseAccess(const api::JobCall &call, const ReplyCallback &answer);
    void submit(const api::JobCall &call, ReplyCallback answer);
    void accept(const api::JobCall &call, ReplyCallback answer);
    void answerRepeat(const api::JobCall &call, ReplyCallback answer);
    void answerWaiting(const api::JobCall &call, ReplyCallback answer);
    QueueStanding standing(const api::JobCall &call);
    void resumeParkedCalls();
    void answerWhenDurable(const std::string &job, bool mayBeStored, ReplyCallback answer);
    void cancel(const api::JobCall &call, ReplyCallback answer);
    void answerState(const api::JobCall &call, const ReplyCallback &answer);
    void answerWaiters();

    void tick();
    void plan(TimePoint now);
    void scheduleTick(TimePoint due);
    void writeBatch();
    void sendNextTransaction();
    std::vector<StoreWrite> jobWrites() const;
    void addAddressWrites(std::size_t room);
    std::string takeFenceValue();
    void sendBatch();
    void onBatchAnswer(const StoreCommit &commit);
    void onBatchWritten(std::uint64_t version);
    void onBatchRefused(std::string_view detail);
    void sendOrders();
    void sendStart(const jobs::StartOrder &order);
    void sendStop(const jobs::StopOrder &order);
    void sendPace(const jobs::PaceOrder &order);
    void renewLeases();
    void forgetRunners();
    Duration renewalWait(const std::string &runner, const jobs::Runner &state) const;
    void renew(const std::string &runner, const jobs::Runner &state);
    void onRenewed(const std::string &runner, const RenewAnswer &answer, const SentRenewal &sent);

    PoolContext &m_context;
    std::string m_pool;
    std::uint64_t m_epoch;
    CeilingAllocator m_ceilings;
    QueueHomes m_homes;
    jobs::Engine m_engine;
    PoolStateRow m_interferenceRow; // pairs of images that slow each other down
    AdmissionReport m_admissions;
    AdviceCalls::Pool m_advice; // this pool's place among those that ask for advice
    std::vector<jobs::RunnerEntry> m_listed; // listed runners of the pool
    bool m_isReady = false;
    bool m_hasLeft = false; // leave() was called
    bool m_hasShortage = false; // set by the last demand()
    bool m_isDeposed = false;
    std::uint64_t m_fenceVersion = 0; // version of the fence row
    std::uint64_t m_sequence = 0; // number of the last batch
    std::optional<jobs::Batch> m_batch; // batch in flight
    StoreTransaction m_transaction; // transaction in flight, of m_batch or before it
    bool m_hasBatchRows = false; // m_transaction contains the rows of m_batch
    RunnerAddresses m_addresses;
    SilentRunners m_silent;
    std::vector<RunnerAddresses::Change> m_addressChanges; // changes in m_transaction
    std::optional<MemberId> m_takenFrom;
    // The fence row of the owner before said that no earlier one renewed leases any more.
    bool m_wasSettled = false;
    bool m_isSettled = false; // the fence row says so of this owner
    TimePoint m_earlierOwnersUntil{}; // earlier owners may renew leases until then
    std::vector<Waiter> m_waiters;
    std::vector<ParkedCall> m_parked;
    std::map<std::string, Renewal> m_renewals; // renewals by runner name
    TimePoint m_writeDue{};
    TimePoint m_earliestPlan{}; // earliest plan whose placements can be written at once
    TimePoint m_latestPlan{}; // latest plan while a batch is in flight
    TimePoint m_tickDue{}; // unset if no tick is scheduled
    Timer m_claimTimer;
    Timer m_tickTimer;
    Timer m_batchTimer;
    std::shared_ptr<bool> m_guard = std::make_shared<bool>(true);
};

} // namespace sequoiapier

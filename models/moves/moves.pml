/*
 * A host's move between pools, as a step of a maintenance wave, under a shared availability budget.
 *
 * Each of two hosts belongs to a separate wave; both waves use the budget of the pool that
 * the hosts leave. Two controllers carry out every wave from the table alone: they read the budget
 * row, then the host's row, decide on the next step, and commit it on the versions that they read.
 *
 *   InPool -> Draining (takes a unit of the budget in the same transaction)
 *   Draining -> Moved (only on the host's report, made under this version of its row, that it is
 *                      empty), or -> Admitting into the old pool when the operator cancels
 *   Moved -> Admitting -> InPool (on the host's report that it serves; gives the unit back)
 *
 * A controller may die between any two steps. It never uses a commit's answer: the next step is
 * decided from the table, so a lost answer is a death after the write. One commit may arrive late
 * or twice. The hosts read their rows and report with any delay, and one of them may restart.
 * A further host of the pool fails by accident; its loss is recorded in the budget row.
 *
 * Broken variants: NO_COMPARE_AND_SET, ADMIT_BEFORE_DRAINED, BUDGET_PER_WAVE, STALE_REPORT,
 * UNIT_NOT_RETURNED. PROGRESS bounds the deaths and adds the claim that every move ends.
 */
#ifndef BUDGET
#define BUDGET 1
#endif
#ifndef CANCELS
#define CANCELS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef ACCIDENTS
#define ACCIDENTS 1
#endif
#ifndef LATE_COMMITS
#define LATE_COMMITS 1
#endif
#ifndef DEATHS
#define DEATHS 2
#endif
#ifndef CONTROLLERS
#define CONTROLLERS 2
#endif
#define HOSTS 2

/* Not Started: the host's agent has not read its row yet. */
mtype:state = { NotStarted, InPool, Draining, Moved, Admitting };
mtype:step = { Nothing, Begin, Cancel, Move, Admit, End, RecordLoss, RecordReturn };

typedef Row {
    unsigned state : 3 = InPool;
    unsigned pool : 2 = 0;
    unsigned target : 2 = 0;
    unsigned version : 4 = 0;
};

/* A decided transaction: the new content of the host's row and the versions that were read. */
typedef Transaction {
    unsigned step : 4 = Nothing;
    unsigned host : 1;
    unsigned target : 2;
    unsigned pool : 2;
    unsigned hostVersion : 4;
    unsigned budgetVersion : 4;
};

typedef Controller {
    unsigned budgetRead : 1;
    unsigned budgetVersion : 4;
    unsigned budgetFree : 1;
    unsigned lossRecorded : 1;
    Transaction transaction;
};

typedef Host {
    unsigned state : 3 = InPool; /* the state known to the host's agent */
    unsigned pool : 2 = 0;
    unsigned version : 4 = 0;
    unsigned working : 1;
    unsigned workPool : 2;
    unsigned restarted : 1;
    /* The latest report that reached the table. */
    unsigned reportVersion : 4;
    unsigned reportEmpty : 1;
    unsigned reportServing : 1;
};

Row rows[HOSTS];
Host hosts[HOSTS];
Controller controllers[2];
Transaction lateCommit;
byte lateCommitsLeft = LATE_COMMITS;
byte cancelsLeft = CANCELS;
byte restartsLeft = RESTARTS;
byte accidentsLeft = ACCIDENTS;
byte deathsLeft = DEATHS;

/* The budget row: the hosts that hold a unit, and the accidental loss. */
byte budgetVersion = 0;
bit holders[HOSTS];
bit lossRecorded = 0;
bit hostLost = 0;

#define OUT (holders[0] + holders[1] + lossRecorded)

#ifdef BUDGET_PER_WAVE
#define HAS_BUDGET(h) (!holders[h] && BUDGET > 0)
#else
#define HAS_BUDGET(h) (OUT < BUDGET)
#endif

#ifdef ADMIT_BEFORE_DRAINED
#define CONFIRMED_EMPTY(h) (1)
#else
#ifdef STALE_REPORT
#define CONFIRMED_EMPTY(h) (hosts[h].reportEmpty)
#else
#define CONFIRMED_EMPTY(h) (hosts[h].reportEmpty && hosts[h].reportVersion == rows[h].version)
#endif
#endif
#define CONFIRMED_SERVING(h) (hosts[h].reportServing && hosts[h].reportVersion == rows[h].version)

#define BEGIN_DUE(h) (rows[h].state == InPool && rows[h].pool == 0)
#define CANCEL_DUE(h) (rows[h].state == Draining && cancelsLeft > 0)
#define MOVE_DUE(h) (rows[h].state == Draining && CONFIRMED_EMPTY(h))
#define ADMIT_DUE(h) (rows[h].state == Moved)
#ifdef UNIT_NOT_RETURNED
#define END_DUE(h) (0)
#else
#define END_DUE(h) (rows[h].state == Admitting && CONFIRMED_SERVING(h))
#endif

inline readBudget(c) {
    controllers[c].budgetRead = 1;
    controllers[c].budgetVersion = budgetVersion;
    controllers[c].budgetFree = (OUT < BUDGET -> 1 : 0);
    controllers[c].lossRecorded = lossRecorded
}

inline forget(c) {
    controllers[c].budgetRead = 0;
    controllers[c].budgetVersion = 0;
    controllers[c].budgetFree = 0;
    controllers[c].lossRecorded = 0;
    clearTransaction(controllers[c].transaction)
}

inline clearTransaction(txn) {
    txn.step = Nothing;
    txn.host = 0;
    txn.target = 0;
    txn.pool = 0;
    txn.hostVersion = 0;
    txn.budgetVersion = 0
}

#ifdef BUDGET_PER_WAVE
#define BUDGET_FREE(c, h) (!holders[h])
#else
#define BUDGET_FREE(c, h) (controllers[c].budgetFree)
#endif

/* The two operators name different targets: controller 0 would move host 0 to 1, controller 1 to 2. */
#define TARGET(c, h) ((h) == 0 -> (c) + 1 : 1)

#define DECIDE_ENABLED(c, h) \
    (controllers[c].budgetRead && controllers[c].transaction.step == Nothing && \
     ((BEGIN_DUE(h) && BUDGET_FREE(c, h)) || CANCEL_DUE(h) || MOVE_DUE(h) || ADMIT_DUE(h) || \
      END_DUE(h)))
inline decide(c, h) {
    controllers[c].transaction.target = rows[h].target;
    controllers[c].transaction.pool = rows[h].pool;
    if
    :: BEGIN_DUE(h) && BUDGET_FREE(c, h) ->
        controllers[c].transaction.step = Begin;
        controllers[c].transaction.target = TARGET(c, h)
    :: CANCEL_DUE(h) -> cancelsLeft--; controllers[c].transaction.step = Cancel
    :: MOVE_DUE(h) -> controllers[c].transaction.step = Move
    :: ADMIT_DUE(h) -> controllers[c].transaction.step = Admit
    :: END_DUE(h) -> controllers[c].transaction.step = End
    fi;
    controllers[c].transaction.host = h;
    controllers[c].transaction.hostVersion = rows[h].version;
    controllers[c].transaction.budgetVersion = controllers[c].budgetVersion
}

#define CONCERNS_HOST(txn) (txn.step != RecordLoss && txn.step != RecordReturn)
#define CONCERNS_BUDGET(txn) \
    (txn.step == Begin || txn.step == End || txn.step == RecordLoss || txn.step == RecordReturn)
#ifdef NO_COMPARE_AND_SET
#define UNCHANGED(txn) (1)
#else
#ifdef BUDGET_PER_WAVE
#define UNCHANGED(txn) (!CONCERNS_HOST(txn) || rows[txn.host].version == txn.hostVersion)
#else
#define UNCHANGED(txn) \
    ((!CONCERNS_HOST(txn) || rows[txn.host].version == txn.hostVersion) && \
     (!CONCERNS_BUDGET(txn) || budgetVersion == txn.budgetVersion))
#endif
#endif

inline writeHost(txn, newState, newPool) {
    rows[txn.host].state = newState;
    rows[txn.host].pool = newPool;
    rows[txn.host].target = txn.target;
    rows[txn.host].version = txn.hostVersion + 1
}

inline writeBudget(txn) {
    budgetVersion = txn.budgetVersion + 1
}

/* The other host must serve, and no accidental loss be recorded, beyond the budget. */
#define OTHER(txn) (1 - txn.host)
inline commit(txn) {
    if
    :: !UNCHANGED(txn)
    :: else ->
        if
        :: txn.step == Begin ->
            writeHost(txn, Draining, txn.pool);
            holders[txn.host] = 1;
            writeBudget(txn);
            assert(OUT <= BUDGET);
            assert(BUDGET > 1 || rows[OTHER(txn)].state == InPool);
            assert(BUDGET > 1 || hosts[OTHER(txn)].restarted ||
                   hosts[OTHER(txn)].state == InPool || hosts[OTHER(txn)].state == Admitting)
        :: txn.step == Cancel -> writeHost(txn, Admitting, txn.pool)
        :: txn.step == Move -> writeHost(txn, Moved, txn.target)
        :: txn.step == Admit -> writeHost(txn, Admitting, txn.pool)
        :: txn.step == End ->
            writeHost(txn, InPool, txn.pool);
            holders[txn.host] = 0;
            writeBudget(txn)
        :: txn.step == RecordLoss -> lossRecorded = 1; writeBudget(txn)
        :: txn.step == RecordReturn -> lossRecorded = 0; writeBudget(txn)
        fi
    fi
}

inline keepLateCopy(txn) {
    lateCommitsLeft--;
    lateCommit.step = txn.step;
    lateCommit.host = txn.host;
    lateCommit.target = txn.target;
    lateCommit.pool = txn.pool;
    lateCommit.hostVersion = txn.hostVersion;
    lateCommit.budgetVersion = txn.budgetVersion
}

#define LOSS_DUE(c) \
    (controllers[c].budgetRead && controllers[c].transaction.step == Nothing && \
     hostLost != controllers[c].lossRecorded)
inline decideLoss(c) {
    controllers[c].transaction.step = (hostLost -> RecordLoss : RecordReturn);
    controllers[c].transaction.budgetVersion = controllers[c].budgetVersion
}

#define ANY_STEP_DUE \
    ((OUT < BUDGET && (BEGIN_DUE(0) || BEGIN_DUE(1))) || MOVE_DUE(0) || MOVE_DUE(1) || \
     ADMIT_DUE(0) || ADMIT_DUE(1) || END_DUE(0) || END_DUE(1) || hostLost != lossRecorded)

proctype controller(byte c) {
    do
    :: d_step { !controllers[c].budgetRead && ANY_STEP_DUE -> readBudget(c) }
    :: atomic { DECIDE_ENABLED(c, 0) -> decide(c, 0) }
    :: atomic { DECIDE_ENABLED(c, 1) -> decide(c, 1) }
    :: d_step { LOSS_DUE(c) -> decideLoss(c) }
    :: d_step { controllers[c].transaction.step != Nothing ->
           commit(controllers[c].transaction);
           forget(c)
       }
    :: d_step { controllers[c].transaction.step != Nothing && lateCommitsLeft > 0 ->
           keepLateCopy(controllers[c].transaction);
           commit(controllers[c].transaction);
           forget(c)
       }
    :: d_step { controllers[c].transaction.step != Nothing && lateCommitsLeft > 0 ->
           keepLateCopy(controllers[c].transaction);
           forget(c)
       }
#ifdef PROGRESS
    /* A controller whose data is outdated reads again. */
    :: d_step { controllers[c].budgetRead && controllers[c].transaction.step == Nothing &&
                controllers[c].budgetVersion != budgetVersion -> forget(c) }
    :: d_step { controllers[c].budgetRead && deathsLeft > 0 -> deathsLeft--; forget(c) }
#else
    :: d_step { controllers[c].budgetRead -> forget(c) }
#endif
    od
}

#define SERVES(h) (hosts[h].state == InPool || hosts[h].state == Admitting)
/* Under PROGRESS a host that serves does not report its work; otherwise reports might never end. */
#ifdef PROGRESS
#define REPORTS_WORK(h) (!SERVES(h))
#else
#define REPORTS_WORK(h) (1)
#endif
#define REPORT_DUE(h) \
    (hosts[h].state != NotStarted && \
     (hosts[h].reportVersion != hosts[h].version || \
      (REPORTS_WORK(h) && hosts[h].reportEmpty == hosts[h].working) || \
      hosts[h].reportServing != SERVES(h)))

proctype agent(byte h) {
    do
    :: d_step {
           rows[h].version > hosts[h].version || hosts[h].state == NotStarted ->
               hosts[h].state = rows[h].state;
               hosts[h].pool = rows[h].pool;
               hosts[h].version = rows[h].version
       }
    :: d_step {
           REPORT_DUE(h) ->
               hosts[h].reportVersion = hosts[h].version;
               hosts[h].reportEmpty = 1 - hosts[h].working;
               hosts[h].reportServing = SERVES(h)
       }
    :: d_step {
           h == 0 && restartsLeft > 0 ->
               restartsLeft--;
               hosts[h].state = NotStarted;
               hosts[h].pool = 0;
               hosts[h].version = 0;
               hosts[h].working = 0;
               hosts[h].workPool = 0;
               hosts[h].restarted = 1
       }
    od
}

/* Under PROGRESS each host starts with one piece of work; a draining host starts no other. */
#ifdef PROGRESS
#define MAY_START 0
#else
#define MAY_START 1
#endif

proctype work(byte h) {
#ifdef PROGRESS
    hosts[h].working = 1;
#endif
    do
    :: d_step {
           MAY_START && SERVES(h) && (!hosts[h].working || hosts[h].workPool != hosts[h].pool) ->
               assert(!hosts[h].working);
               assert(rows[h].pool == hosts[h].pool);
               hosts[h].working = 1;
               hosts[h].workPool = hosts[h].pool
       }
    :: d_step { hosts[h].working -> hosts[h].working = 0; hosts[h].workPool = 0 }
    od
}

proctype environment() {
    do
    :: d_step { accidentsLeft > 0 -> accidentsLeft--; hostLost = 1 }
    :: d_step { hostLost -> hostLost = 0 }
    :: d_step { lateCommit.step != Nothing -> commit(lateCommit); clearTransaction(lateCommit) }
    od
}

init {
    atomic {
        run controller(0);
        if
        :: CONTROLLERS > 1 -> run controller(1)
        :: else
        fi;
        run agent(0);
        run agent(1);
        run work(0);
        run work(1);
        run environment()
    }
}

#ifdef PROGRESS
#define MOVE_ENDED(h) (rows[h].state == InPool && rows[h].pool > 0 && !holders[h])
ltl everyMoveEnds { <> [] (MOVE_ENDED(0) && MOVE_ENDED(1)) }
#endif

/*
 * Lending of one bounded resource, and takeover of its lender.
 *
 * Two members may lend, three borrow. The lender is the member whose epoch stands in the table row;
 * a borrower starts work under a loan, and the work may outlive the loan's lease.
 *
 * Time: tick() lowers every running timer by one; TERM ticks are one lease term. Nothing else
 * relates the processes' clocks. A process that takes no step while ticks pass is paused or cut off.
 *
 * Network: one slot for reports and one for grants per borrower, read without being emptied
 * (repeats), overwritten or dropped on sending (losses), and one late slot of each kind that keeps
 * an overwritten message for delivery after its successor (reordering).
 *
 * Broken variants: NO_EPOCH_CHECK, LEND_BEFORE_OLD_TERM, BLIND_REWRITE, RECLAIM_RUNNING,
 * LEASE_FROM_ARRIVAL, FENCE_LOST_ON_RESTART, NO_RECLAIM. PROGRESS adds the timing assumptions of
 * the liveness check: time passes only when no message, table access or step of work is due.
 */
#ifndef TERM
#define TERM 1
#endif
#ifndef CAPACITY
#define CAPACITY 2
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 2
#endif
#ifndef MAX_GRANTS
#define MAX_GRANTS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef LOST_ANSWERS
#define LOST_ANSWERS 1
#endif
#define MEMBERS 2
#define BORROWERS 3
#define MAX_RUNNING 2
#ifndef LATE
#define LATE 1 /* whether a message may be delivered after its successor */
#endif
#ifndef FAULTY
#define FAULTY 0 /* the borrower whose messages are reordered and which restarts */
#endif

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define LESS_ONE(x) x = ((x) > 0 -> (x) - 1 : 0)

mtype = { Idle, AnswerLost, Owner };

typedef Loan {
    unsigned settled : 1;      /* the units that this borrower may use are known */
    unsigned incarnation : 1;  /* the incarnation that the charge belongs to */
    unsigned charged : 2;     /* units counted as lent to or in use by the borrower */
    unsigned sequence : 2;    /* number of the last grant sent in this epoch */
    unsigned timer : 2;       /* ticks until the last grant has certainly expired */
};

typedef Member {
    unsigned phase : 2 = Idle;
    unsigned epoch : 2;
    unsigned ownership : 2;  /* ticks until ownership must be confirmed again */
    unsigned oldTerm : 2;    /* ticks until every loan of earlier epochs has lapsed */
    Loan loans[BORROWERS];
};

typedef Borrower {
    unsigned epoch : 2;  /* highest epoch known; 0 after a restart, until read from the table */
    unsigned acknowledged : 2;
    unsigned loan : 1;    /* a unit that may still start work */
    unsigned lease : 2;  /* ticks until the loan lapses */
    unsigned running : 2;
    unsigned orphaned : 2;  /* work of an earlier incarnation, still running */
    unsigned incarnation : 1;
#ifdef PROGRESS
    unsigned served : 1;
#endif
};

typedef Report {
    unsigned epoch : 2;
    unsigned acknowledged : 2;
    unsigned used : 2;
    unsigned left : 2;  /* ticks until a term has passed since it was sent */
    unsigned incarnation : 1;
};

typedef Grant {
    unsigned epoch : 2;
    unsigned sequence : 2;
    unsigned left : 2;  /* ticks until the loan lapses, counted from the report; 0: no message */
};

byte rowEpoch = 1;
byte rowOwner = 0;
bit tableUp = 1;
byte restartsLeft = RESTARTS;
byte outagesLeft = OUTAGES;
byte lostAnswersLeft = LOST_ANSWERS;

Member members[MEMBERS];
Borrower borrowers[BORROWERS];
Report reports[BORROWERS];
Grant grants[BORROWERS];
Report lateReport;
byte lateReportFrom = BORROWERS;
Grant lateGrant;
byte lateGrantTo = BORROWERS;

#define IN_USE(b) (borrowers[b].running + borrowers[b].orphaned)
#define TOTAL_IN_USE (IN_USE(0) + IN_USE(1) + IN_USE(2))
#define LOAN(m, b) members[m].loans[b]
#define TOTAL_CHARGED(m) (LOAN(m, 0).charged + LOAN(m, 1).charged + LOAN(m, 2).charged)
#define ALL_SETTLED(m) (LOAN(m, 0).settled && LOAN(m, 1).settled && LOAN(m, 2).settled)

inline forgetLoan(m, b) {
    LOAN(m, b).settled = 0;
    LOAN(m, b).incarnation = 0;
    LOAN(m, b).charged = 0;
    LOAN(m, b).sequence = 0;
    LOAN(m, b).timer = 0
}

inline forget(m) {
    members[m].phase = Idle;
    members[m].epoch = 0;
    members[m].ownership = 0;
    members[m].oldTerm = 0;
    forgetLoan(m, 0);
    forgetLoan(m, 1);
    forgetLoan(m, 2)
}

inline becomeOwner(m) {
    members[m].phase = Owner;
    members[m].ownership = TERM
}

/* Compare-and-set of the row from the epoch just read; its answer may be lost after the write. */
#define TAKE_OVER_ENABLED(m) (tableUp && members[m].phase == Idle && rowEpoch < MAX_EPOCH)
inline takeOver(m) {
    rowEpoch = rowEpoch + 1;
    rowOwner = m;
    members[m].epoch = rowEpoch;
    members[m].oldTerm = TERM;
    if
    :: becomeOwner(m)
    :: lostAnswersLeft > 0 ->
        lostAnswersLeft--;
        members[m].phase = AnswerLost
    fi
}

#define RESOLVE_ENABLED(m) (tableUp && members[m].phase == AnswerLost)
inline resolveLostAnswer(m) {
#ifdef BLIND_REWRITE
    rowEpoch = members[m].epoch;
    rowOwner = m;
    becomeOwner(m)
#else
    if
    :: rowEpoch == members[m].epoch && rowOwner == m ->
        members[m].oldTerm = TERM;
        becomeOwner(m)
    :: else -> forget(m)
    fi
#endif
}

#define CONFIRM_ENABLED(m) \
    (tableUp && members[m].phase == Owner && \
     (members[m].ownership < TERM || rowEpoch != members[m].epoch))
inline confirmOwnership(m) {
    if
    :: rowEpoch == members[m].epoch && rowOwner == m -> members[m].ownership = TERM
    :: else -> forget(m)
    fi
}

/* A report settles its sender, as a sender of this epoch takes no more grants of earlier ones. A
 * restarted borrower's report says nothing about the work that its earlier incarnation left. */
#ifdef NO_EPOCH_CHECK
#define SAME_EPOCH(m, e) (1)
#else
#define SAME_EPOCH(m, e) ((e) == members[m].epoch)
#endif
#define SETTLE_ENABLED(m, b, r) \
    (members[m].phase == Owner && !LOAN(m, b).settled && SAME_EPOCH(m, r.epoch) && \
     r.incarnation == 0)
inline settle(m, b, r) {
    LOAN(m, b).settled = 1;
    LOAN(m, b).charged = r.used
}

/* The runners or the platform show that no work of the borrower is running. */
#ifdef LEND_BEFORE_OLD_TERM
#define OLD_TERM_OVER(m) (1)
#else
#define OLD_TERM_OVER(m) (members[m].oldTerm == 0)
#endif
#ifdef RECLAIM_RUNNING
#define WORK_ENDED(b) (1)
#else
#define WORK_ENDED(b) (IN_USE(b) == 0)
#endif
#define SETTLE_BY_END_ENABLED(m, b) \
    (members[m].phase == Owner && !LOAN(m, b).settled && OLD_TERM_OVER(m) && WORK_ENDED(b))

#ifdef NO_RECLAIM
#define MAY_RECLAIM (0)
#else
#define MAY_RECLAIM (1)
#endif
#define RECLAIM_ENABLED(m, b) \
    (MAY_RECLAIM && members[m].phase == Owner && LOAN(m, b).settled && LOAN(m, b).charged > 0 && \
     LOAN(m, b).timer == 0 && WORK_ENDED(b))

#define RETURN_ENABLED(m, b, r) \
    (members[m].phase == Owner && LOAN(m, b).settled && SAME_EPOCH(m, r.epoch) && \
     r.incarnation == LOAN(m, b).incarnation && r.acknowledged == LOAN(m, b).sequence && \
     r.used < LOAN(m, b).charged)

#ifdef PROGRESS
#define DEMAND(b) (!borrowers[b].served)
#else
#define DEMAND(b) (1)
#endif
#define GRANT_ENABLED(m, b, r) \
    (members[m].phase == Owner && members[m].ownership > 0 && ALL_SETTLED(m) && \
     TOTAL_CHARGED(m) < CAPACITY && SAME_EPOCH(m, r.epoch) && r.left > 0 && \
     LOAN(m, b).sequence < MAX_GRANTS && DEMAND(b) && \
     (LOAN(m, b).charged == 0 || (r.incarnation == LOAN(m, b).incarnation && \
                                  r.acknowledged == LOAN(m, b).sequence)))
inline lend(m, b, r) {
    LOAN(m, b).sequence++;
    LOAN(m, b).charged++;
    LOAN(m, b).timer = TERM;
    LOAN(m, b).incarnation = r.incarnation;
    if
    :: r.incarnation != borrowers[b].incarnation /* addressed to a dead incarnation */
    :: else ->
        if
        :: LATE && b == FAULTY && grants[b].left > 0 && lateGrantTo == BORROWERS ->
            lateGrantTo = b;
            lateGrant.epoch = grants[b].epoch;
            lateGrant.sequence = grants[b].sequence;
            lateGrant.left = grants[b].left
        :: else
        fi;
        grants[b].epoch = members[m].epoch;
        grants[b].sequence = LOAN(m, b).sequence;
        grants[b].left = MIN(r.left, members[m].ownership)
    fi
}

inline receive(m, b, r, isPresent) {
    if
    :: isPresent && SETTLE_ENABLED(m, b, r) -> settle(m, b, r)
    :: isPresent && RETURN_ENABLED(m, b, r) -> LOAN(m, b).charged = r.used
    :: isPresent && GRANT_ENABLED(m, b, r) -> lend(m, b, r)
    fi
}

#define RECEIVE_ENABLED(m, b, r) \
    (SETTLE_ENABLED(m, b, r) || RETURN_ENABLED(m, b, r) || GRANT_ENABLED(m, b, r))

proctype lender(byte m) {
    byte b;
    do
    :: atomic { TAKE_OVER_ENABLED(m) -> takeOver(m) }
    :: atomic { RESOLVE_ENABLED(m) -> resolveLostAnswer(m) }
    :: d_step { CONFIRM_ENABLED(m) -> confirmOwnership(m) }
    :: atomic { RECEIVE_ENABLED(m, 0, reports[0]) -> receive(m, 0, reports[0], true) }
    :: atomic { RECEIVE_ENABLED(m, 1, reports[1]) -> receive(m, 1, reports[1], true) }
    :: atomic { RECEIVE_ENABLED(m, 2, reports[2]) -> receive(m, 2, reports[2], true) }
    :: atomic {
           lateReportFrom < BORROWERS && RECEIVE_ENABLED(m, lateReportFrom, lateReport) ->
               b = lateReportFrom;
               receive(m, b, lateReport, true);
               b = 0
       }
    :: d_step { SETTLE_BY_END_ENABLED(m, 0) -> LOAN(m, 0).settled = 1 }
    :: d_step { SETTLE_BY_END_ENABLED(m, 1) -> LOAN(m, 1).settled = 1 }
    :: d_step { SETTLE_BY_END_ENABLED(m, 2) -> LOAN(m, 2).settled = 1 }
    :: d_step { RECLAIM_ENABLED(m, 0) -> LOAN(m, 0).charged = 0 }
    :: d_step { RECLAIM_ENABLED(m, 1) -> LOAN(m, 1).charged = 0 }
    :: d_step { RECLAIM_ENABLED(m, 2) -> LOAN(m, 2).charged = 0 }
    :: atomic {
           restartsLeft > 0 && members[m].phase != Idle && rowEpoch < MAX_EPOCH ->
               restartsLeft--;
               forget(m)
       }
    od
}

/* A lender with a higher epoch announces itself; a restarted borrower reads the table. */
#ifdef FENCE_LOST_ON_RESTART
#define MAY_LEARN_FROM(m, b) \
    (members[m].phase == Owner && members[m].epoch > borrowers[b].epoch)
#else
#define MAY_LEARN_FROM(m, b) \
    (members[m].phase == Owner && members[m].epoch > borrowers[b].epoch && borrowers[b].epoch > 0)
#endif
#define LEARN_ENABLED(b) \
    (MAY_LEARN_FROM(0, b) || MAY_LEARN_FROM(1, b) || (borrowers[b].epoch == 0 && tableUp))
inline learn(b) {
    if
    :: MAY_LEARN_FROM(0, b) -> borrowers[b].epoch = members[0].epoch
    :: MAY_LEARN_FROM(1, b) -> borrowers[b].epoch = members[1].epoch
    :: borrowers[b].epoch == 0 && tableUp -> borrowers[b].epoch = rowEpoch
    fi;
    borrowers[b].loan = 0;
    borrowers[b].lease = 0;
    borrowers[b].acknowledged = 0
}

#define USED(b) (borrowers[b].loan + borrowers[b].running)
#define REPORT_ENABLED(b) \
    (borrowers[b].epoch > 0 && \
     (reports[b].epoch != borrowers[b].epoch || reports[b].left < TERM || \
      reports[b].acknowledged != borrowers[b].acknowledged || reports[b].used != USED(b) || \
      reports[b].incarnation != borrowers[b].incarnation))
inline writeReport(b) {
    reports[b].epoch = borrowers[b].epoch;
    reports[b].acknowledged = borrowers[b].acknowledged;
    reports[b].used = USED(b);
    reports[b].left = TERM;
    reports[b].incarnation = borrowers[b].incarnation
}

/* With DIRECT_REPORTS only FAULTY's reports are delayed; the others' always show their state. */
inline publish(b) {
#ifdef DIRECT_REPORTS
    if
    :: b != FAULTY -> writeReport(b)
    :: else
    fi
#else
    skip
#endif
}

inline sendReport(b) {
    if
    :: LATE && b == FAULTY && lateReportFrom == BORROWERS && reports[b].epoch > 0 ->
        lateReportFrom = b;
        lateReport.epoch = reports[b].epoch;
        lateReport.acknowledged = reports[b].acknowledged;
        lateReport.used = reports[b].used;
        lateReport.left = reports[b].left;
        lateReport.incarnation = reports[b].incarnation
    :: true
    fi;
    writeReport(b)
}

#ifdef NO_EPOCH_CHECK
#define ACCEPT_ENABLED(b, g) (g.left > 0 && g.sequence > borrowers[b].acknowledged)
#else
#define ACCEPT_ENABLED(b, g) \
    (g.left > 0 && g.epoch == borrowers[b].epoch && g.sequence > borrowers[b].acknowledged)
#endif
inline accept(b, g) {
    borrowers[b].acknowledged = g.sequence;
    borrowers[b].loan = 1;
#ifdef LEASE_FROM_ARRIVAL
    borrowers[b].lease = TERM
#else
    borrowers[b].lease = g.left
#endif
}

#define START_ENABLED(b) (borrowers[b].loan && borrowers[b].running < MAX_RUNNING)
inline startWork(b) {
    borrowers[b].loan = 0;
    borrowers[b].lease = 0;
    borrowers[b].running++;
#ifdef PROGRESS
    borrowers[b].served = 1;
#endif
    assert(TOTAL_IN_USE <= CAPACITY)
}

inline restart(b) {
    borrowers[b].orphaned = borrowers[b].orphaned + borrowers[b].running;
    borrowers[b].running = 0;
    borrowers[b].loan = 0;
    borrowers[b].lease = 0;
    borrowers[b].epoch = 0;
    borrowers[b].acknowledged = 0;
    borrowers[b].incarnation = 1;
    grants[b].left = 0;
    grants[b].epoch = 0;
    grants[b].sequence = 0;
    if
    :: lateGrantTo == b -> dropLateGrant()
    :: else
    fi
}

inline dropLateGrant() {
    lateGrantTo = BORROWERS;
    lateGrant.epoch = 0;
    lateGrant.sequence = 0;
    lateGrant.left = 0
}

proctype borrower(byte b) {
    do
    :: atomic { LEARN_ENABLED(b) -> learn(b); publish(b) }
    :: atomic { REPORT_ENABLED(b) -> sendReport(b) }
    :: d_step { ACCEPT_ENABLED(b, grants[b]) -> accept(b, grants[b]); publish(b) }
    :: d_step { lateGrantTo == b && ACCEPT_ENABLED(b, lateGrant) -> accept(b, lateGrant) }
    :: d_step { START_ENABLED(b) -> startWork(b); publish(b) }
    :: d_step { borrowers[b].running > 0 -> borrowers[b].running--; publish(b) }
    :: d_step { borrowers[b].orphaned > 0 -> borrowers[b].orphaned-- }
    :: atomic {
           b == FAULTY && restartsLeft > 0 && borrowers[b].incarnation == 0 ->
               restartsLeft--;
               restart(b)
       }
    od
}

#define LENDER_DUE(m) \
    (RESOLVE_ENABLED(m) || CONFIRM_ENABLED(m) || \
     RECEIVE_ENABLED(m, 0, reports[0]) || RECEIVE_ENABLED(m, 1, reports[1]) || \
     RECEIVE_ENABLED(m, 2, reports[2]) || SETTLE_BY_END_ENABLED(m, 0) || \
     SETTLE_BY_END_ENABLED(m, 1) || SETTLE_BY_END_ENABLED(m, 2) || \
     RECLAIM_ENABLED(m, 0) || RECLAIM_ENABLED(m, 1) || RECLAIM_ENABLED(m, 2))
#define BORROWER_DUE(b) \
    (LEARN_ENABLED(b) || REPORT_ENABLED(b) || ACCEPT_ENABLED(b, grants[b]) || START_ENABLED(b) || \
     borrowers[b].running > 0 || borrowers[b].orphaned > 0)
#define NO_LENDER (members[0].phase == Idle && members[1].phase == Idle && rowEpoch < MAX_EPOCH)
#define ANY_DUE \
    (LENDER_DUE(0) || LENDER_DUE(1) || BORROWER_DUE(0) || BORROWER_DUE(1) || \
     BORROWER_DUE(2) || NO_LENDER)
#ifdef PROGRESS
#define TIME_MAY_PASS (!ANY_DUE)
#else
#define TIME_MAY_PASS (1)
#endif

inline tickMember(m) {
    LESS_ONE(members[m].ownership);
    LESS_ONE(members[m].oldTerm);
    LESS_ONE(LOAN(m, 0).timer);
    LESS_ONE(LOAN(m, 1).timer);
    LESS_ONE(LOAN(m, 2).timer)
}

inline tickBorrower(b) {
    LESS_ONE(reports[b].left);
    LESS_ONE(borrowers[b].lease);
    borrowers[b].loan = (borrowers[b].lease > 0 -> borrowers[b].loan : 0);
#ifndef LEASE_FROM_ARRIVAL
    LESS_ONE(grants[b].left);
#endif
    if
    :: grants[b].left == 0 ->
        grants[b].epoch = 0;
        grants[b].sequence = 0
    :: else
    fi;
    publish(b)
}

inline tick() {
    tickMember(0);
    tickMember(1);
    tickBorrower(0);
    tickBorrower(1);
    tickBorrower(2);
    LESS_ONE(lateReport.left);
#ifndef LEASE_FROM_ARRIVAL
    LESS_ONE(lateGrant.left);
#endif
    if
    :: lateGrant.left == 0 -> dropLateGrant()
    :: else
    fi
}

proctype environment() {
    do
    :: d_step { TIME_MAY_PASS -> tick() }
    :: d_step { tableUp && outagesLeft > 0 -> outagesLeft--; tableUp = 0 }
    :: d_step {
           lateReportFrom < BORROWERS ->
               lateReportFrom = BORROWERS;
               lateReport.epoch = 0;
               lateReport.acknowledged = 0;
               lateReport.used = 0;
               lateReport.left = 0;
               lateReport.incarnation = 0
       }
    od
}

proctype platform() {
    do
    :: d_step { !tableUp -> tableUp = 1 }
    od
}

inline startBorrower(b) {
    borrowers[b].epoch = 1;
    LOAN(0, b).settled = 1;
    publish(b);
    run borrower(b)
}

init {
    atomic {
        members[0].epoch = 1;
        becomeOwner(0);
        startBorrower(0);
        startBorrower(1);
        startBorrower(2);
        run lender(0);
        run lender(1);
        run environment();
        run platform()
    }
}

#ifdef PROGRESS
ltl demandIsServed { <> (borrowers[0].served && borrowers[1].served && borrowers[2].served) }
#endif

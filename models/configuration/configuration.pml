/*
 * Configuration by versioned compare-and-set, and the withdrawal of a key.
 *
 * Two operators change one row. Version 0 grants the key; operator 0 withdraws it, operator 1 makes
 * another change, and neither may undo the other's. Each reads the row, writes on the version it
 * saw, and resolves a lost answer by reading back its write identifier. Processes learn versions
 * from the table and from each other, and are each cut off from the table, from their peers or from
 * both.
 *
 * Time: tick() lowers every timer; BOUND ticks after its last confirmation a process refuses work,
 * which its caller sees as "not run". A confirmation counts from when the question was sent, and one
 * from a peer counts from when the peer's own confirmation was sent. An operator is answered that
 * the withdrawal is committed when it is written; BOUND ticks later no process takes work on the
 * key. A process that takes no step while ticks pass is paused.
 *
 * Broken variants: BLIND_RETRY, ACCEPT_LOWER, NO_STALENESS_BOUND, CONFLICT_FOR_OWN_WRITE,
 * CONFIRM_FROM_ARRIVAL, ASK_ONCE. PROGRESS adds the timing assumption of the liveness check: time passes only
 * when no read, answer or message is due.
 */
#ifndef BOUND
#define BOUND 2
#endif
#ifndef CUTS
#define CUTS 2
#endif
#ifndef LOST_ANSWERS
#define LOST_ANSWERS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef LATE
#define LATE 1 /* whether an announcement may be delivered after its successor */
#endif
#define OPERATORS 2
#define PROCESSES 3
#define MAX_VERSION 2
#define WITHDRAWER 0
#define NOBODY 2

#define LESS_ONE(x) x = ((x) > 0 -> (x) - 1 : 0)

mtype = { Idle, HasRead, AnswerLost, Committed, Conflict };

typedef Operator {
    mtype phase = Idle;
    unsigned base : 2;    /* version that the operator read */
    unsigned written : 2; /* version that its write makes */
    unsigned delayed : 1; /* a copy of the write is still in flight */
};

typedef Process {
    unsigned version : 2;
    unsigned known : 1;     /* cleared by a restart */
    unsigned withdrawn : 1; /* whether the key is withdrawn in this process's version */
    unsigned fresh : 2;     /* ticks until its version counts as unconfirmed */
    unsigned tableCut : 1;
    unsigned peersCut : 1;
    unsigned asked : 2;     /* ticks until a table read in flight expires; 0: no read */
    unsigned answerVersion : 2;
    unsigned answerWithdrawn : 1;
};

/* A peer's announcement: kept after delivery (repeats) and overtaken by others (reordering). */
typedef Announcement {
    unsigned version : 2;
    unsigned withdrawn : 1;
    unsigned fresh : 2;
    unsigned present : 1;
};

byte version = 0;
bit withdrawn = 0;
byte writers[3] = NOBODY; /* write identifier of each version, kept by the row's history */
byte cutsLeft = CUTS;
byte lostAnswersLeft = LOST_ANSWERS;
byte restartsLeft = RESTARTS;
byte sinceWithdrawal = 0; /* ticks until BOUND has passed since the answer "committed" */
bit answered = 0;

Operator operators[OPERATORS];
Process processes[PROCESSES];
Announcement announcement;
Announcement lateAnnouncement;

#define OPERATOR_DUE(o) \
    (operators[o].phase == Idle || operators[o].phase == HasRead || \
     operators[o].phase == AnswerLost)

inline answerCommitted(o) {
    operators[o].phase = Committed;
    assert(writers[operators[o].written] == o);
    if
    :: o == WITHDRAWER ->
        answered = 1;
        sinceWithdrawal = BOUND
    :: else
    fi
}

inline answerConflict(o) {
    operators[o].phase = Conflict;
    assert(writers[1] != o && writers[2] != o)
}

inline apply(o) {
    assert(operators[o].base + 1 >= version && operators[o].phase != Conflict);
    version = operators[o].base + 1;
    assert(writers[version] == NOBODY || writers[version] == o);
    writers[version] = o;
    withdrawn = (o == WITHDRAWER -> 1 : withdrawn)
}

/* Compare-and-set on the version that was read; the answer may be lost, or the request late. */
inline write(o) {
    operators[o].written = operators[o].base + 1;
    if
    :: version == operators[o].base -> apply(o); answerCommitted(o)
    :: version == operators[o].base && lostAnswersLeft > 0 ->
        lostAnswersLeft--;
        apply(o);
        operators[o].phase = AnswerLost
    :: lostAnswersLeft > 0 ->
        lostAnswersLeft--;
        operators[o].delayed = 1;
        operators[o].phase = AnswerLost
    :: version != operators[o].base -> answerConflict(o)
    fi
}

inline arriveLate(o) {
    operators[o].delayed = 0;
    if
    :: version == operators[o].base -> apply(o)
    :: else
    fi
}

inline resolveLostAnswer(o) {
#ifdef BLIND_RETRY
    apply(o);
    answerCommitted(o)
#else
    if
    :: version == operators[o].base -> write(o)
#ifndef CONFLICT_FOR_OWN_WRITE
    :: writers[operators[o].written] == o -> answerCommitted(o)
#endif
    :: else -> answerConflict(o)
    fi
#endif
}

proctype operator(byte o) {
    do
    :: d_step {
           operators[o].phase == Idle ->
               operators[o].base = version;
               operators[o].phase = HasRead
       }
    :: atomic { operators[o].phase == HasRead -> write(o) }
    :: atomic { operators[o].phase == AnswerLost -> resolveLostAnswer(o) }
    :: d_step { operators[o].delayed -> arriveLate(o) }
    od
}

#define WORKS(p) \
    (processes[p].known && !processes[p].withdrawn && MAY_WORK(processes[p].fresh))
#ifdef NO_STALENESS_BOUND
#define MAY_WORK(left) (1)
#else
#define MAY_WORK(left) ((left) > 0)
#endif

/* Puts a version into force unless a higher one is in force; the same version only extends its
 * confirmation. */
#ifdef ACCEPT_LOWER
#define NEWER(p, v) (1)
#else
#define NEWER(p, v) (!processes[p].known || (v) >= processes[p].version)
#endif
inline putIntoForce(p, newVersion, newWithdrawn, term) {
    if
    :: NEWER(p, newVersion) ->
        processes[p].fresh =
            (!processes[p].known || newVersion != processes[p].version ||
             term > processes[p].fresh -> term : processes[p].fresh);
        assert(!processes[p].known || newVersion >= processes[p].version);
        processes[p].version = newVersion;
        processes[p].withdrawn = newWithdrawn;
        processes[p].known = 1
    :: else
    fi
}

#ifdef ASK_ONCE
#define MAY_ASK(p) (!processes[p].known)
#else
#define MAY_ASK(p) (1)
#endif
#define ASK_ENABLED(p) \
    (MAY_ASK(p) && !processes[p].tableCut && processes[p].asked == 0 && \
     (processes[p].fresh < BOUND || processes[p].version != version))
inline ask(p) {
    processes[p].asked = BOUND;
    processes[p].answerVersion = version;
    processes[p].answerWithdrawn = withdrawn
}

#define ANSWER_ENABLED(p) (processes[p].asked > 0)
inline takeAnswer(p) {
#ifdef CONFIRM_FROM_ARRIVAL
    putIntoForce(p, processes[p].answerVersion, processes[p].answerWithdrawn, BOUND);
#else
    putIntoForce(p, processes[p].answerVersion, processes[p].answerWithdrawn, processes[p].asked);
#endif
    processes[p].asked = 0;
    processes[p].answerVersion = 0;
    processes[p].answerWithdrawn = 0
}

#define ANNOUNCES_NEWS(p) \
    (!announcement.present || announcement.version < processes[p].version || \
     (announcement.version == processes[p].version && announcement.fresh < processes[p].fresh))
#define ANNOUNCE_ENABLED(p) \
    (processes[p].known && !processes[p].peersCut && processes[p].fresh > 0 && ANNOUNCES_NEWS(p))
inline announce(p) {
    if
    :: LATE && announcement.present && !lateAnnouncement.present ->
        lateAnnouncement.version = announcement.version;
        lateAnnouncement.withdrawn = announcement.withdrawn;
        lateAnnouncement.fresh = announcement.fresh;
        lateAnnouncement.present = 1
    :: true
    fi;
    announcement.version = processes[p].version;
    announcement.withdrawn = processes[p].withdrawn;
    announcement.fresh = processes[p].fresh;
    announcement.present = 1
}

#define LEARNS_FROM(p, a) \
    (a.present && !processes[p].peersCut && \
     (!processes[p].known || a.version != processes[p].version || \
      a.fresh > processes[p].fresh))
#define HEAR_ENABLED(p) \
    (LEARNS_FROM(p, announcement) && NEWER(p, announcement.version))

proctype process(byte p) {
    do
    :: d_step { ASK_ENABLED(p) -> ask(p) }
    :: d_step { ANSWER_ENABLED(p) -> takeAnswer(p) }
    :: atomic { ANNOUNCE_ENABLED(p) -> announce(p) }
    :: d_step {
           HEAR_ENABLED(p) ->
               putIntoForce(p, announcement.version, announcement.withdrawn, announcement.fresh)
       }
    :: d_step {
           LEARNS_FROM(p, lateAnnouncement) && NEWER(p, lateAnnouncement.version) ->
               putIntoForce(p, lateAnnouncement.version, lateAnnouncement.withdrawn,
                            lateAnnouncement.fresh)
       }
    :: d_step { /* Work may start in any state in which WORKS holds. */
           WORKS(p) && answered && sinceWithdrawal == 0 -> assert(false)
       }
    :: d_step {
           restartsLeft > 0 && processes[p].known ->
               restartsLeft--;
               processes[p].known = 0;
               processes[p].version = 0;
               processes[p].withdrawn = 0;
               processes[p].fresh = 0;
               processes[p].asked = 0;
               processes[p].answerVersion = 0;
               processes[p].answerWithdrawn = 0
       }
    od
}

inline tickProcess(p) {
    LESS_ONE(processes[p].fresh);
    LESS_ONE(processes[p].asked);
    if
    :: processes[p].asked == 0 ->
        processes[p].answerVersion = 0;
        processes[p].answerWithdrawn = 0
    :: else
    fi
}

inline tick() {
    tickProcess(0);
    tickProcess(1);
    tickProcess(2);
    LESS_ONE(announcement.fresh);
    LESS_ONE(lateAnnouncement.fresh);
    LESS_ONE(sinceWithdrawal)
}

#define PROCESS_DUE(p) \
    (ASK_ENABLED(p) || ANSWER_ENABLED(p) || ANNOUNCE_ENABLED(p) || HEAR_ENABLED(p))
#ifdef PROGRESS
#define TIME_MAY_PASS \
    (!PROCESS_DUE(0) && !PROCESS_DUE(1) && !PROCESS_DUE(2) && !OPERATOR_DUE(0) && !OPERATOR_DUE(1))
#else
#define TIME_MAY_PASS (1)
#endif

/* The links of each process to the table and to its peers break and are restored; at most CUTS
 * breaks. */
proctype environment() {
    byte p;
    do
    :: d_step { TIME_MAY_PASS -> tick() }
    :: atomic {
           cutsLeft > 0 ->
               cutsLeft--;
               select(p : 0 .. PROCESSES - 1);
               if
               :: processes[p].tableCut = 1
               :: processes[p].peersCut = 1
               :: processes[p].tableCut = 1; processes[p].peersCut = 1
               fi;
               p = 0
       }
#ifndef PROGRESS
    :: d_step { processes[0].tableCut -> processes[0].tableCut = 0 }
    :: d_step { processes[1].tableCut -> processes[1].tableCut = 0 }
    :: d_step { processes[2].tableCut -> processes[2].tableCut = 0 }
    :: d_step { processes[0].peersCut -> processes[0].peersCut = 0 }
    :: d_step { processes[1].peersCut -> processes[1].peersCut = 0 }
    :: d_step { processes[2].peersCut -> processes[2].peersCut = 0 }
#endif
    od
}

inline startProcess(p) {
    processes[p].known = 1;
    processes[p].fresh = BOUND;
    run process(p)
}

init {
    atomic {
        startProcess(0);
        startProcess(1);
        startProcess(2);
        run operator(0);
        run operator(1);
        run environment()
    }
}

#ifdef PROGRESS
/* A process whose links stay cut for good is connected neither to the table nor to its peers. */
#define CONNECTED(p) \
    (!processes[p].tableCut || \
     (!processes[p].peersCut && (!(processes[0].tableCut || processes[0].peersCut) || \
                                 !(processes[1].tableCut || processes[1].peersCut) || \
                                 !(processes[2].tableCut || processes[2].peersCut))))
#define IN_FORCE(p) (!CONNECTED(p) || (processes[p].known && processes[p].version == version))
#define OPERATORS_DONE (!OPERATOR_DUE(0) && !OPERATOR_DUE(1))
ltl acceptedIsInForce { <> [] (OPERATORS_DONE && IN_FORCE(0) && IN_FORCE(1) && IN_FORCE(2)) }
#endif

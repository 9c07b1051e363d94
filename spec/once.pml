/*
 * A claim on an idempotency key: the request runs at most once, and what each
 * attempt is told is true.
 *
 * Each attempt at the same request is served by an instance of its own, which
 * can be paused (it takes no step) or die at any time. An append can hang,
 * land twice and land late; the answer of the upstream can be lost.
 *
 * ATTEMPTS  attempts at the same key
 * Each MUT_ flag leaves one safety rule out.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef ENTRIES
#define ENTRIES 7
#endif

#define NOBODY 255

mtype = { CLAIM, WITHDRAW, SETTLE };
mtype = { NOTHING, NOT_RUN, ANSWER, UNKNOWN, RUNNING };

/* The log: valid entries only, for a void one tells nobody anything. */
mtype log_type[ENTRIES];
byte log_by[ENTRIES];
byte log_length;
byte log_holder = NOBODY;
bool log_settled;
bool used_id[ATTEMPTS];

/* Copies of a claim that hang. */
byte hung[ATTEMPTS];

mtype told[ATTEMPTS];
bool ran[ATTEMPTS];
byte runs;

inline land(type, by) {
    if
    :: type == CLAIM ->
        if
        :: log_holder == NOBODY && !used_id[by] ->
            log_holder = by;
            used_id[by] = 1;
            note(type, by)
#ifdef MUT_CLAIM_TAKEN
        :: log_holder != NOBODY && !log_settled && !used_id[by] ->
            log_holder = by;
            used_id[by] = 1;
            note(type, by)
#endif
        :: else -> used_id[by] = 1
        fi
    :: type == WITHDRAW ->
        if
        :: log_holder == by && !log_settled ->
            log_holder = NOBODY;
            note(type, by)
        :: else
        fi
    :: type == SETTLE ->
        if
        :: log_holder == by && !log_settled ->
            log_settled = 1;
            note(type, by)
        :: else
        fi
    fi
}

inline note(type, by) {
    assert(log_length < ENTRIES);
    log_type[log_length] = type;
    log_by[log_length] = by;
    log_length++
}

inline tell(a, what) {
    told[a] = what;
    /* rule: not_run_is_true */
    assert(what != NOT_RUN || !ran[a]);
    /* rule: answer_is_of_the_run */
    assert(what != ANSWER || runs == 1)
}

/* The upstream runs the request. */
inline run_request(a) {
    ran[a] = 1;
    runs++;
    /* rule: at_most_once */
    assert(runs <= 1);
    /* rule: not_run_is_true */
    assert(told[a] != NOT_RUN)
}

proctype attempt(byte a) {
    byte read_to;
    byte holder = NOBODY;
    bool settled;
    bool settled_unknown;
    bool asked;
    bool sent;
    bool gave_up;
    bool withdrew;
    do
    /* The instance dies; its caller hears nothing. */
    :: atomic { true -> break }
    :: atomic { read_to < log_length ->
        if
        :: log_type[read_to] == CLAIM -> holder = log_by[read_to]
        :: log_type[read_to] == WITHDRAW -> holder = NOBODY
        :: log_type[read_to] == SETTLE -> settled = 1
        fi;
        read_to++ }
    /* Claim; the append lands, hangs, or lands and hangs a copy. */
    :: atomic { !asked && !gave_up ->
        asked = 1;
        if
        :: land(CLAIM, a)
        :: hung[a] = 1
        :: land(CLAIM, a); hung[a] = 1
        fi }
    /* Refuse in time: the deadline has come and nothing was read back. */
    :: atomic { told[a] == NOTHING && !sent && holder != a ->
        gave_up = 1;
        tell(a, NOT_RUN) }
    /* Free the key that a late claim holds for nobody. */
    :: atomic { gave_up && !sent && !withdrew && holder == a ->
        withdrew = 1;
        land(WITHDRAW, a) }
    /* Send, once, after the claim was read back as the first. */
#ifdef MUT_NO_READ_BACK
    :: atomic { asked && !sent && !gave_up ->
#elif defined(MUT_SEND_LATE)
    :: atomic { holder == a && !sent ->
#else
    :: atomic { holder == a && !sent && !gave_up ->
#endif
        sent = 1;
        if
        /* It runs and its answer comes. */
        :: run_request(a);
            land(SETTLE, a);
            if
            :: told[a] == NOTHING -> tell(a, ANSWER)
            :: else
            fi
        /* It runs and its answer is lost. */
        :: run_request(a);
#ifdef MUT_WITHDRAW_LOST
            land(WITHDRAW, a);
#endif
#ifdef MUT_LOST_IS_NOT_RUN
            tell(a, NOT_RUN)
#else
            tell(a, UNKNOWN)
#endif
        /* The upstream refuses it without effect. */
        :: tell(a, NOT_RUN);
            withdrew = 1;
            land(WITHDRAW, a)
        fi }
    /* Another attempt holds the key. */
    :: atomic { told[a] == NOTHING && !sent && holder != a &&
        holder != NOBODY && used_id[a] ->
        if
        :: settled -> tell(a, ANSWER)
        :: !settled -> tell(a, RUNNING)
        :: !settled -> tell(a, UNKNOWN)
        fi;
        gave_up = 1 }
#ifdef MUT_DEAD_HOLDER
    /* The holder seems dead: send in its place. */
    :: atomic { told[a] == NOTHING && !sent && holder != a &&
        holder != NOBODY && !settled ->
        sent = 1;
        run_request(a);
        tell(a, ANSWER) }
#endif
    od
}

proctype environment() {
    byte a;
    do
    :: atomic { true ->
        a = 0;
        do
        :: a < ATTEMPTS - 1 -> a++
        :: break
        od;
        if
        :: hung[a] > 0 -> hung[a]--; land(CLAIM, a)
        :: else
        fi;
        a = 0 }
    od
}

init {
    atomic {
        byte i = 0;
        do
        :: i < ATTEMPTS -> told[i] = NOTHING; run attempt(i); i++
        :: else -> break
        od;
        run environment()
    }
}

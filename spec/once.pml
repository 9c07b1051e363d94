/*
 * Claims on an idempotency key. The request runs at most once, and the reply
 * to each attempt is true.
 *
 * Each attempt at the same request is served by a separate instance, which can
 * pause (it takes no step) or fail at any time. An append can be delayed or
 * stored twice; the answer of the upstream can be lost.
 *
 * ATTEMPTS  number of attempts with the same key
 * Each MUT_ flag removes one safety rule.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef ENTRIES
#define ENTRIES 7
#endif

#define NO_ATTEMPT 255

mtype = { CLAIM, WITHDRAW, SETTLE };
mtype = { NO_REPLY, NOT_RUN, ANSWER, UNKNOWN, RUNNING };

/* The log; invalid entries are left out, since no reader uses them. */
mtype log_type[ENTRIES];
byte log_by[ENTRIES];
byte log_length;
byte log_claimant = NO_ATTEMPT;
bool log_settled;
bool used_id[ATTEMPTS];

/* Number of delayed copies of each attempt's claim. */
byte delayed_claims[ATTEMPTS];

mtype reply[ATTEMPTS];
bool ran[ATTEMPTS];
byte runs;

inline append(type, by) {
    if
    :: type == CLAIM ->
        if
        :: log_claimant == NO_ATTEMPT && !used_id[by] ->
            log_claimant = by;
            used_id[by] = 1;
            store_entry(type, by)
#ifdef MUT_CLAIM_REPLACED
        :: log_claimant != NO_ATTEMPT && !log_settled && !used_id[by] ->
            log_claimant = by;
            used_id[by] = 1;
            store_entry(type, by)
#endif
        :: else -> used_id[by] = 1
        fi
    :: type == WITHDRAW ->
        if
        :: log_claimant == by && !log_settled ->
            log_claimant = NO_ATTEMPT;
            store_entry(type, by)
        :: else
        fi
    :: type == SETTLE ->
        if
        :: log_claimant == by && !log_settled ->
            log_settled = 1;
            store_entry(type, by)
        :: else
        fi
    fi
}

inline store_entry(type, by) {
    assert(log_length < ENTRIES);
    log_type[log_length] = type;
    log_by[log_length] = by;
    log_length++
}

inline send_reply(a, result) {
    reply[a] = result;
    /* rule: not_run_is_true */
    assert(result != NOT_RUN || !ran[a]);
    /* rule: answer_is_of_the_run */
    assert(result != ANSWER || runs == 1)
}

/* The upstream runs the request. */
inline run_request(a) {
    ran[a] = 1;
    runs++;
    /* rule: at_most_once */
    assert(runs <= 1);
    /* rule: not_run_is_not_run */
    assert(reply[a] != NOT_RUN)
}

proctype attempt(byte a) {
    byte read_to;
    byte claimant = NO_ATTEMPT;
    bool settled;
    bool settled_unknown;
    bool claimed;
    bool sent;
    bool abandoned;
    bool withdrew;
    do
    /* The instance fails; its caller gets no reply. */
    :: atomic { true -> break }
    :: atomic { read_to < log_length ->
        if
        :: log_type[read_to] == CLAIM -> claimant = log_by[read_to]
        :: log_type[read_to] == WITHDRAW -> claimant = NO_ATTEMPT
        :: log_type[read_to] == SETTLE -> settled = 1
        fi;
        read_to++ }
    /* Claim; the append is stored, delayed, or both. */
    :: atomic { !claimed && !abandoned ->
        claimed = 1;
        if
        :: append(CLAIM, a)
        :: delayed_claims[a] = 1
        :: append(CLAIM, a); delayed_claims[a] = 1
        fi }
    /* Refuse at the deadline if the claim was not read back. */
    :: atomic { reply[a] == NO_REPLY && !sent && claimant != a ->
        abandoned = 1;
        send_reply(a, NOT_RUN) }
    /* Withdraw a claim that became valid after the refusal. */
    :: atomic { abandoned && !sent && !withdrew && claimant == a ->
        withdrew = 1;
        append(WITHDRAW, a) }
    /* Send once, after the claim was read back as the valid one. */
#ifdef MUT_NO_READ_BACK
    :: atomic { claimed && !sent && !abandoned ->
#elif defined(MUT_SEND_LATE)
    :: atomic { claimant == a && !sent ->
#else
    :: atomic { claimant == a && !sent && !abandoned ->
#endif
        sent = 1;
        if
        /* The request runs and its answer arrives. */
        :: run_request(a);
            append(SETTLE, a);
            if
            :: reply[a] == NO_REPLY -> send_reply(a, ANSWER)
            :: else
            fi
        /* The request runs and its answer is lost. */
        :: run_request(a);
#ifdef MUT_WITHDRAW_LOST
            append(WITHDRAW, a);
#endif
#ifdef MUT_LOST_IS_NOT_RUN
            send_reply(a, NOT_RUN)
#else
            send_reply(a, UNKNOWN)
#endif
        /* The upstream refuses the request without running it. */
        :: send_reply(a, NOT_RUN);
            withdrew = 1;
            append(WITHDRAW, a)
        fi }
    /* Another attempt has a valid claim. */
    :: atomic { reply[a] == NO_REPLY && !sent && claimant != a &&
        claimant != NO_ATTEMPT && used_id[a] ->
        if
        :: settled -> send_reply(a, ANSWER)
        :: !settled -> send_reply(a, RUNNING)
        :: !settled -> send_reply(a, UNKNOWN)
        fi;
        abandoned = 1 }
#ifdef MUT_CLAIMANT_PRESUMED_FAILED
    /* The claimant is presumed failed: send the request instead. */
    :: atomic { reply[a] == NO_REPLY && !sent && claimant != a &&
        claimant != NO_ATTEMPT && !settled ->
        sent = 1;
        run_request(a);
        send_reply(a, ANSWER) }
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
        :: delayed_claims[a] > 0 -> delayed_claims[a]--; append(CLAIM, a)
        :: else
        fi;
        a = 0 }
    od
}

init {
    atomic {
        byte i = 0;
        do
        :: i < ATTEMPTS -> reply[i] = NO_REPLY; run attempt(i); i++
        :: else -> break
        od;
        run environment()
    }
}

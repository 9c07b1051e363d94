/*
 * Claims, intents, orders, outcomes and takeover between two instances.
 *
 * Each step of an instance uses only the log entries and replies that the
 * instance has received, so a paused instance is one that takes no step. An
 * instance may continue under its old epoch after it has read a newer claim,
 * like a task that is resumed late. Appends may be delayed; orders may arrive
 * late, twice or never; an engine may restart and forget its fencing token.
 *
 * FENCING   1: engines refuse old tokens; 0: engines ignore tokens
 * SERVERS   number of servers; with two, artifact 0 is loaded on both at first
 * CLAIMS    number of claims after that of the first owner, instance 0
 * SPLIT     1: other steps may occur between an engine's reply and its use
 * CAPACITY  number of artifacts that fit into a server
 * Each MUT_ flag removes one safety rule.
 */
#ifndef FENCING
#define FENCING 1
#endif
#ifndef SERVERS
#define SERVERS 1
#endif
#ifndef CAPACITY
#define CAPACITY 1
#endif
#ifndef ARTIFACTS
#define ARTIFACTS 2
#endif
#ifndef ORDERS
#define ORDERS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef CLAIMS
#define CLAIMS 1
#endif
#ifndef SPLIT
#define SPLIT 0
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define INSTANCES 2
#define BIT(k) (1 << (k))
#define HAS(set, k) (((set) >> (k)) & 1)
#define AT(p, s) ((p) * SERVERS + (s))

mtype = { CLAIM, INTENT, DONE, NOT_RUN, RESTARTED, LOAD, UNLOAD };

/*
 * The entries that some instance has not read yet, with their validity, and
 * the state at the end of the log. Epochs are numbered from one, instead of by
 * the offset of their claim.
 */
mtype log_type[ENTRIES];
byte log_by[ENTRIES];
byte log_order[ENTRIES];
bool log_valid[ENTRIES];
byte log_length;
byte log_epoch;
byte log_open;
byte log_sequence;
byte claims;

/* One delayed append for each instance. */
bool delayed[INSTANCES];
mtype delayed_type[INSTANCES];
byte delayed_order[INSTANCES];
byte delayed_epoch[INSTANCES];

/* The state that each instance has replayed. */
byte read_to[INSTANCES];
byte seen_epoch[INSTANCES];
byte seen_owner[INSTANCES];
byte seen_open[INSTANCES];

/* The ledger of each instance; charged orders may still use memory. */
byte term[INSTANCES];
byte charged[INSTANCES];
byte ended[INSTANCES];
byte logged[INSTANCES];
byte sent[INSTANCES];
byte abandoned[INSTANCES];
bool known[INSTANCES * SERVERS];
byte loaded[INSTANCES * SERVERS];
byte ready[INSTANCES * SERVERS];
byte process[INSTANCES * SERVERS];

/* One engine reply in flight for each instance. */
bool asked[INSTANCES];
byte asked_server[INSTANCES];
byte asked_ended[INSTANCES];
byte asked_charged[INSTANCES];
byte answer_loaded[INSTANCES];
byte answer_ready[INSTANCES];
byte answer_process[INSTANCES];
byte answer_fence[INSTANCES];

/* Orders, by time of approval. */
mtype order_kind[ORDERS];
byte order_artifact[ORDERS];
byte order_server[ORDERS];
byte order_process[ORDERS];
byte order_epoch[ORDERS];
byte orders;
byte in_flight;

/* Engines. */
byte engine_loaded[SERVERS];
byte engine_ready[SERVERS];
byte engine_process[SERVERS];
byte engine_fence[SERVERS];
byte accepted;
byte finished;
byte restarts;
byte crashed;

#define HAS_TERM(p) (term[p] != 0)
#define CHARGED(p) (charged[p] | ended[p])

hidden byte k;
hidden byte count;
hidden byte contents;
hidden byte result;

/* Decides whether an entry is valid and stores it if it is. */
inline store_entry(p, type, number, epoch) {
    assert(log_length < ENTRIES);
    if
    :: type == CLAIM ->
        if
#ifdef MUT_CLAIM_ANY
        :: true ->
#else
        :: epoch == log_epoch ->
#endif
            assert(epoch == log_epoch); /* rule: claim_names_epoch */
            log_epoch++;
            log_sequence = 0;
            log_valid[log_length] = 1
        :: else
        fi
    :: type == INTENT ->
        if
#ifdef MUT_INTENT_ANY
        :: number + 1 > log_sequence ->
#else
        :: epoch == log_epoch && number + 1 > log_sequence ->
#endif
            log_sequence = number + 1;
            log_open = log_open | BIT(number);
            log_valid[log_length] = 1
        :: else
        fi
    :: type == NOT_RUN ->
        if
#ifdef MUT_NOT_RUN_ANY
        :: HAS(log_open, number) ->
#else
        :: HAS(log_open, number) && epoch == log_epoch &&
            order_epoch[number] == epoch ->
#endif
            log_open = log_open & ~BIT(number);
            log_valid[log_length] = 1
        :: else
        fi
    :: else ->
        if
        :: HAS(log_open, number) ->
            log_open = log_open & ~BIT(number);
            log_valid[log_length] = 1
        :: else
        fi
    fi;
    if
    :: log_valid[log_length] ->
        log_type[log_length] = type;
        log_by[log_length] = p;
        log_order[log_length] = number;
        log_length++
    :: else
    fi
}

/* Stores an entry at once or delays it; the writer cannot tell which. */
inline append(p, type, number, epoch) {
    if
    :: log_length < ENTRIES -> store_entry(p, type, number, epoch)
    :: !delayed[p] ->
        delayed[p] = 1;
        delayed_type[p] = type;
        delayed_order[p] = number;
        delayed_epoch[p] = epoch
    fi
}

/* Drops the entries that both instances have read. */
inline drop_read_entries() {
    do
    :: read_to[0] > 0 && read_to[1] > 0 ->
        k = 0;
        do
        :: k < ENTRIES - 1 ->
            log_type[k] = log_type[k + 1];
            log_by[k] = log_by[k + 1];
            log_order[k] = log_order[k + 1];
            log_valid[k] = log_valid[k + 1];
            k++
        :: else -> break
        od;
        log_type[k] = 0;
        log_by[k] = 0;
        log_order[k] = 0;
        log_valid[k] = 0;
        log_length--;
        read_to[0]--;
        read_to[1]--
    :: else -> break
    od
}

inline read_entry(p) {
    if
    :: log_type[read_to[p]] == CLAIM ->
        seen_epoch[p]++;
        seen_owner[p] = log_by[read_to[p]];
        if
        :: seen_owner[p] == p -> begin_term(p)
        :: else
        fi
    :: log_type[read_to[p]] == INTENT ->
        k = log_order[read_to[p]];
        seen_open[p] = seen_open[p] | BIT(k);
        if
        :: HAS(charged[p], k) -> logged[p] = logged[p] | BIT(k)
        :: else
        fi
    :: log_type[read_to[p]] != CLAIM &&
        log_type[read_to[p]] != INTENT ->
        k = log_order[read_to[p]];
        seen_open[p] = seen_open[p] & ~BIT(k);
        if
        :: HAS(charged[p], k) ->
            charged[p] = charged[p] & ~BIT(k);
            ended[p] = ended[p] | BIT(k)
        :: else
        fi
    fi;
    read_to[p]++;
    drop_read_entries();
    logged[p] = logged[p] & charged[p];
    sent[p] = sent[p] & charged[p];
    k = 0
}

/* Begins a term, for which only the log's open orders are known. */
inline begin_term(p) {
    term[p] = seen_epoch[p];
    charged[p] = seen_open[p];
    logged[p] = seen_open[p];
    ended[p] = 0;
    sent[p] = 0;
    abandoned[p] = 0;
    asked[p] = 0;
    asked_server[p] = 0;
    asked_ended[p] = 0;
    asked_charged[p] = 0;
    k = 0;
    do
    :: k < SERVERS ->
        known[AT(p, k)] = 0;
        loaded[AT(p, k)] = 0;
        ready[AT(p, k)] = 0;
        process[AT(p, k)] = 0;
        k++
    :: else -> break
    od;
    k = 0
}

/* Queries an engine's contents; with fencing it stores the token. */
inline query_with_token(p, s) {
    asked[p] = 1;
    asked_server[p] = s;
    asked_ended[p] = ended[p];
    asked_charged[p] = charged[p];
#if FENCING && !defined(MUT_NO_TOKEN_SENT)
    if
    :: engine_fence[s] < term[p] -> engine_fence[s] = term[p]
    :: else
    fi;
#endif
#ifdef MUT_LOADS_NOT_LISTED
    answer_loaded[p] = engine_ready[s];
#else
    answer_loaded[p] = engine_loaded[s];
#endif
    answer_ready[p] = engine_ready[s];
    answer_process[p] = engine_process[s];
    answer_fence[p] = engine_fence[s]
}

/* Queries an engine's contents without sending a token. */
inline query_without_token(p, s) {
    asked[p] = 1;
    asked_server[p] = s;
    asked_ended[p] = ended[p];
    asked_charged[p] = charged[p];
    answer_loaded[p] = engine_loaded[s];
    answer_ready[p] = engine_ready[s];
    answer_process[p] = engine_process[s];
    answer_fence[p] = engine_fence[s]
}

inline apply_answer(p) {
    asked[p] = 0;
    loaded[AT(p, asked_server[p])] = answer_loaded[p];
    ready[AT(p, asked_server[p])] = answer_ready[p];
    process[AT(p, asked_server[p])] = answer_process[p];
#if !FENCING || defined(MUT_NO_TOKEN_SENT)
    known[AT(p, asked_server[p])] = 1;
#elif defined(MUT_NO_TOKEN_AFTER_RESTART)
    known[AT(p, asked_server[p])] = known[AT(p, asked_server[p])] ||
        answer_fence[p] == term[p];
#else
    known[AT(p, asked_server[p])] = (answer_fence[p] == term[p]);
#endif
    k = 0;
    do
    :: k < ORDERS ->
        if
        :: k < orders && order_server[k] == asked_server[p] ->
            if
#ifdef MUT_STALE_ANSWER
            :: HAS(ended[p], k) ->
#else
            :: HAS(ended[p], k) && HAS(asked_ended[p], k) ->
#endif
                ended[p] = ended[p] & ~BIT(k)
            :: HAS(charged[p], k) && HAS(asked_charged[p], k) &&
                order_process[k] != answer_process[p] ->
                charged[p] = charged[p] & ~BIT(k)
            :: else
            fi
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0;
    asked_server[p] = 0;
    asked_ended[p] = 0;
    asked_charged[p] = 0;
    answer_loaded[p] = 0;
    answer_ready[p] = 0;
    answer_process[p] = 0;
    answer_fence[p] = 0
}

/* Sets contents to the possible contents of a server, count to their size. */
inline compute_contents(p, s) {
    contents = loaded[AT(p, s)];
    k = 0;
    do
    :: k < ORDERS ->
        if
        :: k < orders && HAS(CHARGED(p), k) && order_server[k] == s &&
            order_kind[k] == LOAD ->
            contents = contents | BIT(order_artifact[k])
        :: else
        fi;
        k++
    :: else -> break
    od;
    count = HAS(contents, 0) + HAS(contents, 1);
    k = 0
}

/* Sets result if another server is certain to keep artifact a ready. */
inline check_other_replica(p, s, a) {
    result = 0;
#if SERVERS > 1
    if
    :: known[AT(p, 1 - s)] && HAS(ready[AT(p, 1 - s)], a) -> result = 1
    :: else
    fi;
#ifndef MUT_NO_WITHDRAW
    k = 0;
    do
    :: k < ORDERS ->
        if
        :: k < orders && HAS(CHARGED(p), k) && order_server[k] != s &&
            order_kind[k] == UNLOAD && order_artifact[k] == a -> result = 0
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0;
#endif
#ifdef MUT_LAST_REPLICA
    result = 1;
#endif
#else
    result = 1;
#endif
}

/* Sets result if an order for the artifact is charged. */
inline check_busy(p, s, a) {
    result = 0;
    k = 0;
    do
    :: k < ORDERS ->
        if
        :: k < orders && HAS(CHARGED(p), k) && order_server[k] == s &&
            order_artifact[k] == a -> result = 1
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0
}

inline make_order(p, s, a, kind) {
    order_kind[orders] = kind;
    order_artifact[orders] = a;
    order_server[orders] = s;
    order_process[orders] = process[AT(p, s)];
    order_epoch[orders] = term[p];
    charged[p] = charged[p] | BIT(orders);
    orders++;
#if !FENCING
    append(p, INTENT, orders - 1, term[p])
#endif
}

inline approve(p, s, a) {
    check_busy(p, s, a);
    if
    :: result == 0 && known[AT(p, s)] ->
        compute_contents(p, s);
        if
        :: !HAS(contents, a) && count < CAPACITY -> make_order(p, s, a, LOAD)
        :: HAS(loaded[AT(p, s)], a) && HAS(ready[AT(p, s)], a) ->
            check_other_replica(p, s, a);
            if
            :: result -> make_order(p, s, a, UNLOAD)
            :: else
            fi
        :: else
        fi
    :: else
    fi;
    contents = 0;
    count = 0;
    result = 0
}

/* Sends or resends an order; the checks are repeated each time. */
inline send(p, n) {
    result = 1;
#if !FENCING && !defined(MUT_NO_READ_BACK)
    result = HAS(logged[p], n);
#endif
    if
    :: result && known[AT(p, order_server[n])] &&
        process[AT(p, order_server[n])] == order_process[n] ->
#ifdef MUT_NO_RECHECK
        count = 0;
#else
        compute_contents(p, order_server[n]);
#endif
        if
        :: order_kind[n] == LOAD && count <= CAPACITY ->
            in_flight = in_flight | BIT(n);
            sent[p] = sent[p] | BIT(n)
        :: order_kind[n] == UNLOAD ->
            check_other_replica(p, order_server[n], order_artifact[n]);
            if
            :: result ->
                in_flight = in_flight | BIT(n);
                sent[p] = sent[p] | BIT(n)
            :: else
            fi
        :: else
        fi
    :: else
    fi;
    contents = 0;
    count = 0;
    result = 0
}

proctype instance(byte p) {
    byte s;
    byte a;
    byte n;
    do
    :: atomic { read_to[p] < log_length -> read_entry(p) }
    :: atomic { claims < CLAIMS && seen_owner[p] != p &&
        log_length < ENTRIES ->
        claims++;
        append(p, CLAIM, 0, seen_epoch[p]) }
    :: atomic { HAS_TERM(p) && !asked[p] ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        query_with_token(p, s); s = 0;
        if :: !SPLIT -> apply_answer(p) :: else fi }
#if FENCING
    :: atomic { HAS_TERM(p) && !asked[p] ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        query_without_token(p, s); s = 0;
        if :: !SPLIT -> apply_answer(p) :: else fi }
#endif
#if SPLIT
    :: atomic { asked[p] && term[p] != 0 -> apply_answer(p) }
#endif
    :: atomic { HAS_TERM(p) && orders < ORDERS &&
        (FENCING || log_length < ENTRIES) ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        if :: a = 0 :: ARTIFACTS > 1 -> a = 1 fi;
        approve(p, s, a); s = 0; a = 0 }
    :: atomic { HAS_TERM(p) && charged[p] != 0 ->
        n = 0;
        do
        :: n < ORDERS - 1 -> n++
        :: HAS(charged[p], n) -> break
        :: n == ORDERS - 1 && !HAS(charged[p], n) -> break
        od;
        if
        :: HAS(charged[p], n) -> send(p, n)
        :: else
        fi;
        n = 0 }
    /* The reply to an order arrives; its effect is complete. */
    :: atomic { term[p] != 0 && (charged[p] & sent[p] & finished) != 0 ->
        n = 0;
        do
        :: HAS(charged[p] & sent[p] & finished, n) -> break
        :: else -> n++
        od;
        charged[p] = charged[p] & ~BIT(n);
        sent[p] = sent[p] & ~BIT(n);
        logged[p] = logged[p] & ~BIT(n);
        ended[p] = ended[p] | BIT(n);
#if !FENCING
        if
        :: log_length < ENTRIES -> store_entry(p, DONE, n, term[p])
        :: true
        fi;
#endif
        n = 0 }
#if !FENCING
    /* Abandon an order whose intent was not read back. */
    :: atomic { term[p] != 0 && (charged[p] & ~logged[p] & ~sent[p]) != 0 ->
        n = 0;
        do
        :: HAS(charged[p] & ~logged[p] & ~sent[p], n) -> break
        :: else -> n++
        od;
        charged[p] = charged[p] & ~BIT(n);
        abandoned[p] = abandoned[p] | BIT(n);
        n = 0 }
    /* Declare an abandoned order as not run. */
    :: atomic { term[p] != 0 && log_length < ENTRIES &&
        (seen_open[p] & abandoned[p]) != 0 ->
        n = 0;
        do
        :: HAS(seen_open[p] & abandoned[p], n) -> break
        :: else -> n++
        od;
        abandoned[p] = abandoned[p] & ~BIT(n);
        append(p, NOT_RUN, n, term[p]);
        n = 0 }
#endif
#ifdef MUT_NO_CHARGE
    /* An order without a reply is taken as not run. */
    :: atomic { HAS_TERM(p) && (charged[p] & sent[p]) != 0 ->
        n = 0;
        do
        :: HAS(charged[p] & sent[p], n) -> break
        :: else -> n++
        od;
        charged[p] = charged[p] & ~BIT(n);
        n = 0 }
#endif
    od
}

/* Checks the safety rules on the contents of engines. */
inline check_engines() {
#if SERVERS > 1
    /* rule: last_ready_replica */
    assert(crashed || HAS(engine_ready[0] | engine_ready[1], 0));
#endif
    /* rule: memory */
    assert(HAS(engine_loaded[0], 0) + HAS(engine_loaded[0], 1) <= CAPACITY)
}

inline arrive(n) {
    if
    :: (order_process[n] == engine_process[order_server[n]]
#ifdef MUT_NO_PROCESS
        || true
#endif
        ) && (!FENCING || order_epoch[n] >= engine_fence[order_server[n]]) ->
#if FENCING
        engine_fence[order_server[n]] = order_epoch[n];
#endif
        if
#ifdef MUT_NO_ORDER_IDS
        :: true ->
#else
        :: !HAS(accepted, n) ->
#endif
            accepted = accepted | BIT(n);
            if
            :: order_kind[n] == LOAD ->
                engine_loaded[order_server[n]] =
                    engine_loaded[order_server[n]] | BIT(order_artifact[n])
            :: else ->
                engine_loaded[order_server[n]] =
                    engine_loaded[order_server[n]] & ~BIT(order_artifact[n]);
                engine_ready[order_server[n]] =
                    engine_ready[order_server[n]] & ~BIT(order_artifact[n]);
                finished = finished | BIT(n)
            fi
        :: else
        fi
    :: else
    fi;
    check_engines()
}

proctype environment() {
    byte n;
    byte s;
    do
    /* An order arrives and may arrive again. */
    :: atomic { in_flight != 0 ->
        n = 0;
        do
        :: n < ORDERS - 1 -> n++
        :: break
        od;
        if
        :: HAS(in_flight, n) ->
            if
            :: true -> in_flight = in_flight & ~BIT(n)
            :: true
            fi;
            arrive(n)
        :: else
        fi;
        n = 0 }
    /* A load completes. */
    :: atomic { (accepted & ~finished) != 0 ->
        n = 0;
        do
        :: HAS(accepted & ~finished, n) -> break
        :: else -> n++
        od;
        finished = finished | BIT(n);
        engine_ready[order_server[n]] = engine_ready[order_server[n]] |
            (engine_loaded[order_server[n]] & BIT(order_artifact[n]));
        n = 0 }
    /* An engine restarts empty and forgets its fencing token. */
    :: atomic { restarts < RESTARTS ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        restarts++;
        crashed = 1;
        engine_process[s]++;
        engine_loaded[s] = 0;
        engine_ready[s] = 0;
        engine_fence[s] = 0;
        n = 0;
        do
        :: n < ORDERS ->
            if
            :: n < orders && order_server[n] == s ->
                accepted = accepted & ~BIT(n);
                finished = finished & ~BIT(n)
            :: else
            fi;
            n++
        :: else -> break
        od;
        n = 0;
        s = 0 }
    /* A delayed append is stored. */
    :: atomic { delayed[0] && log_length < ENTRIES ->
        delayed[0] = 0;
        store_entry(0, delayed_type[0], delayed_order[0], delayed_epoch[0]);
        delayed_type[0] = 0;
        delayed_order[0] = 0;
        delayed_epoch[0] = 0 }
    :: atomic { delayed[1] && log_length < ENTRIES ->
        delayed[1] = 0;
        store_entry(1, delayed_type[1], delayed_order[1], delayed_epoch[1]);
        delayed_type[1] = 0;
        delayed_order[1] = 0;
        delayed_epoch[1] = 0 }
    od
}

init {
    atomic {
        log_epoch = 1;
        seen_epoch[0] = 1;
        seen_epoch[1] = 1;
        term[0] = 1;
#if SERVERS > 1
        engine_loaded[0] = 1;
        engine_ready[0] = 1;
        engine_loaded[1] = 1;
        engine_ready[1] = 1;
#endif
        run instance(0);
        run instance(1);
        run environment()
    }
}

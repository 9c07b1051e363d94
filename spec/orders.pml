/*
 * Claims, intents, orders, outcomes and takeover between two instances.
 *
 * Every step of an instance acts on what that instance has read and been
 * answered so far, so an instance that is paused for any time is one that
 * takes no step. An instance may even go on under its old epoch after it has
 * read of a newer claim, as a task that was woken late does. Appends may hang and land later; orders may arrive late,
 * twice or never; an engine may restart and forget its fencing number.
 *
 * FENCING  1: engines refuse old numbers; 0: they ignore them
 * SERVERS  servers; with two, both hold artifact 0 at the start
 * CLAIMS   claims after that of the first owner, instance 0
 * SPLIT    1: other steps may fall between an engine's answer and its use
 * CAP      artifacts that fit into a server
 * Each MUT_ flag leaves one safety rule out.
 */
#ifndef FENCING
#define FENCING 1
#endif
#ifndef SERVERS
#define SERVERS 1
#endif
#ifndef CAP
#define CAP 1
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
 * The entries that an instance has yet to read, with their verdicts, and the
 * state at the log's end. Epochs are counted, for short.
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

/* One hung append for each instance. */
bool hung[INSTANCES];
mtype hung_type[INSTANCES];
byte hung_order[INSTANCES];
byte hung_epoch[INSTANCES];

/* What each instance has replayed. */
byte read_to[INSTANCES];
byte seen_epoch[INSTANCES];
byte seen_owner[INSTANCES];
byte seen_open[INSTANCES];

/* What each instance's ledger holds. */
byte tenure[INSTANCES];
byte charged[INSTANCES];
byte ended[INSTANCES];
byte logged[INSTANCES];
byte sent[INSTANCES];
byte gave_up[INSTANCES];
bool known[INSTANCES * SERVERS];
byte held[INSTANCES * SERVERS];
byte ready[INSTANCES * SERVERS];
byte process[INSTANCES * SERVERS];

/* One observation under way for each instance. */
bool asked[INSTANCES];
byte asked_server[INSTANCES];
byte asked_ended[INSTANCES];
byte asked_charged[INSTANCES];
byte answer_held[INSTANCES];
byte answer_ready[INSTANCES];
byte answer_process[INSTANCES];
byte answer_fence[INSTANCES];

/* Orders, in the order in which they were made. */
mtype order_kind[ORDERS];
byte order_artifact[ORDERS];
byte order_server[ORDERS];
byte order_process[ORDERS];
byte order_epoch[ORDERS];
byte orders;
byte in_flight;

/* Engines. */
byte engine_held[SERVERS];
byte engine_ready[SERVERS];
byte engine_process[SERVERS];
byte engine_fence[SERVERS];
byte accepted;
byte finished;
byte restarts;
byte crashed;

#define ACTS(p) (tenure[p] != 0)
#define CHARGED(p) (charged[p] | ended[p])

hidden byte k;
hidden byte count;
hidden byte contents;
hidden byte guards;

/* Judge an entry by the state at its offset, and note it. */
inline land(p, type, number, epoch) {
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

/* Append now, or let the append hang; the writer can't tell which. */
inline append(p, type, number, epoch) {
    if
    :: log_length < ENTRIES -> land(p, type, number, epoch)
    :: !hung[p] ->
        hung[p] = 1;
        hung_type[p] = type;
        hung_order[p] = number;
        hung_epoch[p] = epoch
    fi
}

/* Forget the first entry once both instances have read it. */
inline shift_log() {
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
        :: seen_owner[p] == p -> begin_tenure(p)
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
    shift_log();
    logged[p] = logged[p] & charged[p];
    sent[p] = sent[p] & charged[p];
    k = 0
}

/* A new tenure knows nothing of the servers but the log's open orders. */
inline begin_tenure(p) {
    tenure[p] = seen_epoch[p];
    charged[p] = seen_open[p];
    logged[p] = seen_open[p];
    ended[p] = 0;
    sent[p] = 0;
    gave_up[p] = 0;
    asked[p] = 0;
    asked_server[p] = 0;
    asked_ended[p] = 0;
    asked_charged[p] = 0;
    k = 0;
    do
    :: k < SERVERS ->
        known[AT(p, k)] = 0;
        held[AT(p, k)] = 0;
        ready[AT(p, k)] = 0;
        process[AT(p, k)] = 0;
        k++
    :: else -> break
    od;
    k = 0
}

/* The engine answers on its contents; a fencing one learns the number. */
inline ask(p, s) {
    asked[p] = 1;
    asked_server[p] = s;
    asked_ended[p] = ended[p];
    asked_charged[p] = charged[p];
#if FENCING && !defined(MUT_NO_TEACH)
    if
    :: engine_fence[s] < tenure[p] -> engine_fence[s] = tenure[p]
    :: else
    fi;
#endif
#ifdef MUT_HIDES_LOADING
    answer_held[p] = engine_ready[s];
#else
    answer_held[p] = engine_held[s];
#endif
    answer_ready[p] = engine_ready[s];
    answer_process[p] = engine_process[s];
    answer_fence[p] = engine_fence[s]
}

/* An answer without the number: what a plain look at the engine gives. */
inline look(p, s) {
    asked[p] = 1;
    asked_server[p] = s;
    asked_ended[p] = ended[p];
    asked_charged[p] = charged[p];
    answer_held[p] = engine_held[s];
    answer_ready[p] = engine_ready[s];
    answer_process[p] = engine_process[s];
    answer_fence[p] = engine_fence[s]
}

inline take_answer(p) {
    asked[p] = 0;
    held[AT(p, asked_server[p])] = answer_held[p];
    ready[AT(p, asked_server[p])] = answer_ready[p];
    process[AT(p, asked_server[p])] = answer_process[p];
#if !FENCING || defined(MUT_NO_TEACH)
    known[AT(p, asked_server[p])] = 1;
#elif defined(MUT_NO_RETEACH)
    known[AT(p, asked_server[p])] = known[AT(p, asked_server[p])] ||
        answer_fence[p] == tenure[p];
#else
    known[AT(p, asked_server[p])] = (answer_fence[p] == tenure[p]);
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
    answer_held[p] = 0;
    answer_ready[p] = 0;
    answer_process[p] = 0;
    answer_fence[p] = 0
}

/* contents: what may be in a server, as a set; count: its size. */
inline sum_up(p, s) {
    contents = held[AT(p, s)];
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

/* guards: how many other servers surely keep artifact a. */
inline count_guards(p, s, a) {
    guards = 0;
#if SERVERS > 1
    if
    :: known[AT(p, 1 - s)] && HAS(ready[AT(p, 1 - s)], a) -> guards = 1
    :: else
    fi;
#ifndef MUT_NO_WITHDRAW
    k = 0;
    do
    :: k < ORDERS ->
        if
        :: k < orders && HAS(CHARGED(p), k) && order_server[k] != s &&
            order_kind[k] == UNLOAD && order_artifact[k] == a -> guards = 0
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0;
#endif
#ifdef MUT_LAST_REPLICA
    guards = 1;
#endif
#else
    guards = 1;
#endif
}

/* busy: whether an order on the artifact is charged. */
inline check_busy(p, s, a) {
    guards = 0;
    k = 0;
    do
    :: k < ORDERS ->
        if
        :: k < orders && HAS(CHARGED(p), k) && order_server[k] == s &&
            order_artifact[k] == a -> guards = 1
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
    order_epoch[orders] = tenure[p];
    charged[p] = charged[p] | BIT(orders);
    orders++;
#if !FENCING
    append(p, INTENT, orders - 1, tenure[p])
#endif
}

inline approve(p, s, a) {
    check_busy(p, s, a);
    if
    :: guards == 0 && known[AT(p, s)] ->
        sum_up(p, s);
        if
        :: !HAS(contents, a) && count < CAP -> make_order(p, s, a, LOAD)
        :: HAS(held[AT(p, s)], a) && HAS(ready[AT(p, s)], a) ->
            count_guards(p, s, a);
            if
            :: guards -> make_order(p, s, a, UNLOAD)
            :: else
            fi
        :: else
        fi
    :: else
    fi;
    contents = 0;
    count = 0;
    guards = 0
}

/* Send, again if need be; the checks are made anew each time. */
inline send(p, n) {
    guards = 1;
#if !FENCING && !defined(MUT_NO_READ_BACK)
    guards = HAS(logged[p], n);
#endif
    if
    :: guards && known[AT(p, order_server[n])] &&
        process[AT(p, order_server[n])] == order_process[n] ->
#ifdef MUT_NO_RECHECK
        count = 0;
#else
        sum_up(p, order_server[n]);
#endif
        if
        :: order_kind[n] == LOAD && count <= CAP ->
            in_flight = in_flight | BIT(n);
            sent[p] = sent[p] | BIT(n)
        :: order_kind[n] == UNLOAD ->
            count_guards(p, order_server[n], order_artifact[n]);
            if
            :: guards ->
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
    guards = 0
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
    :: atomic { ACTS(p) && !asked[p] ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        ask(p, s); s = 0;
        if :: !SPLIT -> take_answer(p) :: else fi }
#if FENCING
    :: atomic { ACTS(p) && !asked[p] ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        look(p, s); s = 0;
        if :: !SPLIT -> take_answer(p) :: else fi }
#endif
#if SPLIT
    :: atomic { asked[p] && tenure[p] != 0 -> take_answer(p) }
#endif
    :: atomic { ACTS(p) && orders < ORDERS &&
        (FENCING || log_length < ENTRIES) ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        if :: a = 0 :: ARTIFACTS > 1 -> a = 1 fi;
        approve(p, s, a); s = 0; a = 0 }
    :: atomic { ACTS(p) && charged[p] != 0 ->
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
    /* The order's own answer: its whole effect has happened. */
    :: atomic { tenure[p] != 0 && (charged[p] & sent[p] & finished) != 0 ->
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
        :: log_length < ENTRIES -> land(p, DONE, n, tenure[p])
        :: true
        fi;
#endif
        n = 0 }
#if !FENCING
    /* Give an order up whose intent was not read back. */
    :: atomic { tenure[p] != 0 && (charged[p] & ~logged[p] & ~sent[p]) != 0 ->
        n = 0;
        do
        :: HAS(charged[p] & ~logged[p] & ~sent[p], n) -> break
        :: else -> n++
        od;
        charged[p] = charged[p] & ~BIT(n);
        gave_up[p] = gave_up[p] | BIT(n);
        n = 0 }
    /* An intent that was given up, or never sent, is declared not run. */
    :: atomic { tenure[p] != 0 && log_length < ENTRIES &&
        (seen_open[p] & gave_up[p]) != 0 ->
        n = 0;
        do
        :: HAS(seen_open[p] & gave_up[p], n) -> break
        :: else -> n++
        od;
        gave_up[p] = gave_up[p] & ~BIT(n);
        append(p, NOT_RUN, n, tenure[p]);
        n = 0 }
#endif
#ifdef MUT_NO_CHARGE
    /* An answer that does not come is taken for an order that did not run. */
    :: atomic { ACTS(p) && (charged[p] & sent[p]) != 0 ->
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

/* The rules on what engines hold. */
inline check_engines() {
#if SERVERS > 1
    /* rule: last_ready_replica */
    assert(crashed || HAS(engine_ready[0] | engine_ready[1], 0));
#endif
    /* rule: memory */
    assert(HAS(engine_held[0], 0) + HAS(engine_held[0], 1) <= CAP)
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
                engine_held[order_server[n]] =
                    engine_held[order_server[n]] | BIT(order_artifact[n])
            :: else ->
                engine_held[order_server[n]] =
                    engine_held[order_server[n]] & ~BIT(order_artifact[n]);
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
    /* An order arrives, and may arrive again. */
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
    /* A load ends. */
    :: atomic { (accepted & ~finished) != 0 ->
        n = 0;
        do
        :: HAS(accepted & ~finished, n) -> break
        :: else -> n++
        od;
        finished = finished | BIT(n);
        engine_ready[order_server[n]] = engine_ready[order_server[n]] |
            (engine_held[order_server[n]] & BIT(order_artifact[n]));
        n = 0 }
    /* An engine restarts, empty, and forgets what it was taught. */
    :: atomic { restarts < RESTARTS ->
        if :: s = 0 :: SERVERS > 1 -> s = 1 fi;
        restarts++;
        crashed = 1;
        engine_process[s]++;
        engine_held[s] = 0;
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
    /* A hung append lands. */
    :: atomic { hung[0] && log_length < ENTRIES ->
        hung[0] = 0;
        land(0, hung_type[0], hung_order[0], hung_epoch[0]);
        hung_type[0] = 0;
        hung_order[0] = 0;
        hung_epoch[0] = 0 }
    :: atomic { hung[1] && log_length < ENTRIES ->
        hung[1] = 0;
        land(1, hung_type[1], hung_order[1], hung_epoch[1]);
        hung_type[1] = 0;
        hung_order[1] = 0;
        hung_epoch[1] = 0 }
    od
}

init {
    atomic {
        log_epoch = 1;
        seen_epoch[0] = 1;
        seen_epoch[1] = 1;
        tenure[0] = 1;
#if SERVERS > 1
        engine_held[0] = 1;
        engine_ready[0] = 1;
        engine_held[1] = 1;
        engine_ready[1] = 1;
#endif
        run instance(0);
        run instance(1);
        run environment()
    }
}

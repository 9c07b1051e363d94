/*
 * Ownership of the duty to give orders to engines that refuse old fencing
 * tokens. No token is ever used by two instances, even if an owner that stops
 * while the store is unavailable hands the duty over to a peer.
 *
 * The store keeps a group. Its generation increases with each change, and the
 * member that owns its single partition owns the duty. A membership can expire
 * at any time while the store is available. A call is a single step; the reply
 * to a join can be lost. A message that hands the duty over can be lost or
 * arrive late, even at an instance that has restarted since.
 *
 * INSTANCES    number of instances
 * The store may come back from an older copy, with an older generation and
 * the members of that time; its era rises with each such restore.
 *
 * GENERATIONS  number of changes of the group
 * RESTORES     number of restores of the store
 * HAND_OVERS   number of tokens within a generation, one for each hand-over
 *              and one for the first owner
 * Each MUT_ flag removes one safety rule.
 */
#ifndef INSTANCES
#define INSTANCES 3
#endif
#ifndef GENERATIONS
#define GENERATIONS 2
#endif
#ifndef RESTORES
#define RESTORES 0
#endif
#define HAND_OVERS 3
#define NO_INSTANCE 255
#define TOKENS ((RESTORES + 1) * (GENERATIONS + 1) * HAND_OVERS)
#ifdef MUT_NO_ERA
#define FENCE(e, g, n) ((g) * HAND_OVERS + (n))
#else
#define FENCE(e, g, n) (((e) * (GENERATIONS + 1) + (g)) * HAND_OVERS + (n))
#endif

byte era;
byte generation;
byte owner = NO_INSTANCE;
bool member[INSTANCES];
bool store_unavailable;

/* Whether this process has joined, and not an earlier one of the name. */
bool has_joined[INSTANCES];

/* Whether the instance considers itself the owner. */
bool is_owner[INSTANCES];
byte known_era[INSTANCES];
byte known_generation[INSTANCES];
byte known_hand_overs[INSTANCES];
/* Whether it became the owner by a message and not from the store. */
bool is_successor[INSTANCES];
/* Whether it has begun to hand the duty over. */
bool is_stopping[INSTANCES];

/* A hand-over message in flight to an instance. */
bool message[INSTANCES];
byte message_era[INSTANCES];
byte message_generation[INSTANCES];
byte message_hand_overs[INSTANCES];

/* The instance that has given orders with each token. */
byte used_by[TOKENS];

inline start_generation() {
    generation++
}

/* Assigns the partition to some member if its owner is no longer one. */
inline assign_owner() {
    if
    :: owner != NO_INSTANCE && member[owner]
    :: else ->
        owner = NO_INSTANCE;
        b = 0;
        do
        :: b < INSTANCES ->
            if
            :: member[b] && owner == NO_INSTANCE -> owner = b
            :: else
            fi;
            b++
        :: else -> break
        od
    fi
}

inline leave_group() {
    member[i] = 0;
    start_generation();
    assign_owner()
}

proctype instance(byte i) {
    byte b;
    do
    /* Join as a candidate or as the successor. */
    :: atomic { !store_unavailable && generation < GENERATIONS && !member[i] &&
        (owner == NO_INSTANCE || is_successor[i]) ->
        member[i] = 1;
        start_generation();
        assign_owner();
        if
        :: owner == i ->
            has_joined[i] = 1;
            is_owner[i] = 1;
            is_successor[i] = 0;
            known_era[i] = era;
            known_generation[i] = generation;
            known_hand_overs[i] = 0
        :: owner != i -> has_joined[i] = 1
        /* The reply is lost; the membership remains. */
        :: true
        fi }
    /* Renew the membership. */
    :: atomic { !store_unavailable && member[i] && has_joined[i] ->
        if
        :: owner == i && (is_owner[i] || is_successor[i]) ->
            if
            :: known_generation[i] != generation || is_successor[i] ||
                known_era[i] != era ->
                known_hand_overs[i] = 0
            :: else
            fi;
            known_era[i] = era;
            known_generation[i] = generation;
            is_owner[i] = 1;
            is_successor[i] = 0
        :: owner != i && is_owner[i] && !is_successor[i] -> is_owner[i] = 0
        :: else
        fi }
    /* The membership expires; the owner may not notice. */
    :: atomic { !store_unavailable && generation < GENERATIONS && member[i] ->
        leave_group() }
    /* Give an order. */
#ifdef MUT_ORDERS_WHILE_STOPPING
    :: atomic { is_owner[i] ->
#else
    :: atomic { is_owner[i] && !is_stopping[i] ->
#endif
        b = FENCE(known_era[i], known_generation[i], known_hand_overs[i]);
        assert(used_by[b] == NO_INSTANCE || used_by[b] == i);
        used_by[b] = i;
        b = 0 }
    /* An engine reports an order with a higher token. */
    :: atomic { is_owner[i] -> is_owner[i] = 0; is_successor[i] = 0 }
    /* Graceful stop while the store is unavailable: hand the duty over. A
       successor does not, since its predecessor may still use the next
       tokens. */
#ifdef MUT_SUCCESSOR_HANDS_OVER
    :: atomic { store_unavailable && is_owner[i] &&
        known_hand_overs[i] < HAND_OVERS - 1 ->
#else
    :: atomic { store_unavailable && is_owner[i] && !is_successor[i] &&
        known_hand_overs[i] < HAND_OVERS - 1 ->
#endif
        b = 0;
        do
        :: b < INSTANCES - 1 -> b++
        :: break
        od;
        if
        :: b != i && !message[b] ->
            is_stopping[i] = 1;
            message[b] = 1;
            message_era[b] = known_era[i];
            message_generation[b] = known_generation[i];
#ifdef MUT_SAME_TOKEN
            message_hand_overs[b] = known_hand_overs[i];
#else
            known_hand_overs[i]++;
            message_hand_overs[b] = known_hand_overs[i];
#endif
#ifdef MUT_REPEATED_HAND_OVER
            known_hand_overs[i]--;
#endif
            if
            /* The reply arrives, or it is lost and another peer is asked. */
            :: is_owner[i] = 0; is_successor[i] = 0
            :: true
            fi
        :: else
        fi;
        b = 0 }
    /* A hand-over message arrives or is lost. */
    :: atomic { message[i] ->
        message[i] = 0;
        if
        :: !is_owner[i] && !is_stopping[i] ->
            is_owner[i] = 1;
            is_successor[i] = 1;
            known_era[i] = message_era[i];
            known_generation[i] = message_generation[i];
            known_hand_overs[i] = message_hand_overs[i];
            message_era[i] = 0;
            message_generation[i] = 0;
            message_hand_overs[i] = 0
        :: true ->
            message_era[i] = 0;
            message_generation[i] = 0;
            message_hand_overs[i] = 0
        fi }
    /* The process restarts under the same name. */
    :: atomic { is_owner[i] || is_successor[i] || is_stopping[i] ||
        has_joined[i] ->
        has_joined[i] = 0;
        is_owner[i] = 0;
        is_successor[i] = 0;
        is_stopping[i] = 0;
        known_era[i] = 0;
        known_generation[i] = 0;
        known_hand_overs[i] = 0 }
    /* Leave the membership of an earlier process of the same name. */
    :: atomic { !store_unavailable && generation < GENERATIONS && member[i] &&
        !has_joined[i] ->
#ifdef MUT_OLD_MEMBERSHIP
        has_joined[i] = 1;
        if
        :: owner == i && !is_owner[i] ->
            is_owner[i] = 1;
            known_generation[i] = generation
        :: else
        fi
#else
        leave_group()
#endif
        }
    od
}

proctype store() {
    byte b;
    do
    :: atomic { store_unavailable = 1 - store_unavailable }
    /* Come back from a copy: of any earlier generation, with any members. */
    :: atomic { store_unavailable && era < RESTORES ->
        era++;
        do
        :: generation > 0 -> generation--
        :: break
        od;
        b = 0;
        do
        :: b < INSTANCES ->
            if
            :: member[b] = 0
            :: generation > 0 -> member[b] = 1
            fi;
            b++
        :: else -> break
        od;
        owner = NO_INSTANCE;
        assign_owner();
        b = 0 }
    od
}

init {
    atomic {
        byte n = 0;
        do
        :: n < TOKENS -> used_by[n] = NO_INSTANCE; n++
        :: else -> break
        od;
        n = 0;
        do
        :: n < INSTANCES -> run instance(n); n++
        :: else -> break
        od;
        run store()
    }
}

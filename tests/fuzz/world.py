"""The state of a fuzzer run and its invariants."""

from __future__ import annotations

import collections
import typing
import uuid

from hypothesis import stateful

from . import engines
from . import instances
from . import logs
from . import oracle
from dogwoodquay.external import api as external_api
from dogwoodquay.ledger import core
from dogwoodquay.ledger import entries
from dogwoodquay.ledger import replay
from dogwoodquay.ownership import core as ownership_core
from dogwoodquay.records import api as records_api

__all__ = [
    'BASES',
    'CAPACITY',
    'INSTANCES',
    'POOL',
    'RULE_COUNTS',
    'SERVERS',
    'SIZES',
    'SLOTS',
    'World',
    'make_catalog',
    'make_declared',
]

INSTANCES: typing.Final = 2
SERVERS: typing.Final = 2
CAPACITY: typing.Final = 8
SLOTS: typing.Final = 2
POOL: typing.Final = 'pool'
SIZES: typing.Final = {'m1@1': 4, 'm1@2': 4, 'm2@1': 4, 'm3@1': 3, 'a1@1': 1}
BASES: typing.Final = {'a1': 'm1'}
RULE_COUNTS: collections.Counter[str] = collections.Counter()


def make_catalog(fencing: bool, rollout: float) -> records_api.Catalog:
    """Return the catalog; ``rollout`` is the share of version 2 of m1."""
    servers = tuple(
        records_api.Server(f's{number}', '127.0.0.1', 1, 'd', CAPACITY)
        for number in range(SERVERS)
    )
    models = {
        name: records_api.Model(name, '1', SIZES[f'{name}@1'], POOL)
        for name in ('m1', 'm2', 'm3')
    }
    rollouts = {}
    if rollout > 0:
        rollouts['m1'] = records_api.Rollout('m1', '2', 4, rollout)
    return records_api.Catalog(
        models=models,
        adapters={'a1': records_api.Adapter('a1', '1', 'm1', 1)},
        rollouts=rollouts,
        pools={POOL: records_api.Pool(POOL, servers, fencing)},
    )


def make_declared(rollout: float) -> dict[str, frozenset[str]]:
    """Return the artifacts that have to be served for each name."""
    m1 = {'m1@1'} if rollout < 1 else set()
    if rollout > 0:
        m1.add('m1@2')
    others = {name: frozenset((f'{name}@1',)) for name in ('m2', 'm3', 'a1')}
    return {'m1': frozenset(m1), **others}


class World(stateful.RuleBasedStateMachine):
    """Instances, engines and the log, with the invariants to check."""

    fencing = False
    lists_loading = True

    def __init__(self) -> None:
        super().__init__()
        self.duty = ownership_core.pool_duty(POOL)
        self.log = logs.LogModel(replay.duty_stream(self.duty))
        self.catalog = make_catalog(self.fencing, 0.0)
        self.engines = {
            f's{number}': engines.EngineModel(
                CAPACITY, self.fencing, self.lists_loading
            )
            for number in range(SERVERS)
        }
        self.instances = [
            self._new_instance(number) for number in range(INSTANCES)
        ]
        self.replica_oracle = oracle.ReplicaOracle(make_declared(0.0))
        self.owner_oracle = oracle.OwnerOracle()
        self.reference_state = replay.DutyState(self.duty)
        self.snapshots: dict[int, bytes] = {}
        self.attempts: list[instances.Attempt] = []
        self.next_checked_offset = 0

    def _new_instance(self, number: int) -> instances.Instance:
        name = f'i{number}-{uuid.uuid4().hex[:6]}'
        return instances.Instance(name, self.log, self.duty)

    def _count(self, rule: str) -> None:
        RULE_COUNTS[rule] += 1

    def _instance(self, index: int) -> instances.Instance:
        return self.instances[index % INSTANCES]

    def _append(self, payload: bytes, append_result: str) -> None:
        if append_result == 'lost' or self.log.unavailable:
            return
        if append_result != 'delayed':
            self.log.store(payload)
        if append_result in ('delayed', 'duplicated'):
            self.log.delayed.append(payload)

    def _end_exemptions(self, instance: instances.Instance) -> None:
        """End exemptions if the owner is current and nothing is in flight.

        The owner then knows each engine's current process, and no order or
        append can arrive late. Names with an open unload remain exempt.
        """
        ledger = instance.ledger
        if ledger is None or ledger.epoch != self.owner_oracle.epoch:
            return
        current = all(
            server.incarnation == self.engines[server_id].incarnation
            for server_id, server in ledger.servers.items()
        )
        if current and not self.attempts and not self.log.delayed:
            self.replica_oracle.exempt &= self._names_with_open_unload()

    def _names_with_open_unload(self) -> set[str]:
        """Return the names with an open unload in the log.

        Such an unload may arrive at any time from a paused owner. If a restart
        removed the replica that made it safe, it may now remove the last one.
        """
        return {
            intent.order.artifact.rpartition('@')[0]
            for intent in self.reference_state.open_intents.values()
            if intent.order.kind is external_api.OrderKind.UNLOAD
        }

    def _log_intent(
        self,
        instance: instances.Instance,
        approved: core.Approved,
        append_result: str,
    ) -> None:
        assert instance.ledger is not None
        record = instance.ledger.intent(approved)
        instance.follower.expect(approved.order.order_id)
        instance.intents[approved.order.order_id] = approved
        self._append(entries.CODEC.encode(record), append_result)

    def _send(
        self,
        instance: instances.Instance,
        server_id: str,
        order: external_api.Order,
    ) -> None:
        ledger = instance.ledger
        assert ledger is not None
        ledger.on_attempt(order.order_id)
        self.attempts.append(
            instances.Attempt(order, server_id, instance, ledger)
        )

    def _attempt(self, index: int) -> instances.Attempt | None:
        if not self.attempts:
            return None
        return self.attempts[index % len(self.attempts)]

    def _check_unload(
        self, attempt: instances.Attempt, engine: engines.EngineModel
    ) -> None:
        order = attempt.order
        will_execute = (
            order.incarnation == engine.incarnation
            and order.order_id not in engine.accepted_orders
            and not (engine.fencing and order.fence < engine.fence)
        )
        if will_execute:
            self.replica_oracle.check_unload(
                order, attempt.server_id, self.engines
            )

    @stateful.invariant()
    def engines_are_safe(self) -> None:
        """Memory, adapter bases and load slots are within their limits."""
        oracle.check_engines(self.engines, BASES, SLOTS)

    @stateful.invariant()
    def replays_agree(self) -> None:
        """Each instance's state matches its offset and never moves back."""
        while self.next_checked_offset < self.log.next_offset:
            entry = self.log.entries[self.next_checked_offset]
            self.reference_state.apply(entry)
            self.owner_oracle.apply(entry.payload, entry.offset)
            self.snapshots[entry.offset] = self.reference_state.snapshot()
            self._compare_owner()
            self.next_checked_offset += 1
        for instance in self.instances:
            self._check_instance(instance)

    def _compare_owner(self) -> None:
        ownership = self.reference_state.ownership
        if (ownership.epoch, ownership.instance_id, ownership.released) != (
            self.owner_oracle.epoch,
            self.owner_oracle.owner,
            self.owner_oracle.released,
        ):
            raise oracle.Violation(f'owner: {ownership} {self.owner_oracle}')
        if set(self.reference_state.open_intents) != set(
            self.owner_oracle.open_orders
        ):
            raise oracle.Violation('open_orders')

    def _check_instance(self, instance: instances.Instance) -> None:
        offset = instance.follower.offset
        if offset < instance.highest_offset:
            raise oracle.Violation(f'moved_back: {offset}')
        instance.highest_offset = offset
        if (
            offset >= 0
            and instance.state.snapshot() != (self.snapshots[offset])
        ):
            raise oracle.Violation(f'diverged at {offset}')

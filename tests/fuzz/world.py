"""What the fuzzer acts on: instances, engines, a log, and the checks."""

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
    'RULES_TRIED',
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
RULES_TRIED: collections.Counter[str] = collections.Counter()


def make_catalog(fencing: bool, rollout: float) -> records_api.Catalog:
    """Return the catalogue at a rollout's share."""
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
    """Return the versions to be served, by name."""
    m1 = {'m1@1'} if rollout < 1 else set()
    if rollout > 0:
        m1.add('m1@2')
    one = {name: frozenset((f'{name}@1',)) for name in ('m2', 'm3', 'a1')}
    return {'m1': frozenset(m1), **one}


class World(stateful.RuleBasedStateMachine):
    """The state between rules, and the promises that are checked."""

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
        self.instances = [self._new(number) for number in range(INSTANCES)]
        self.replicas = oracle.ReplicaOracle(make_declared(0.0))
        self.owners = oracle.OwnerOracle()
        self.truth = replay.DutyState(self.duty)
        self.snapshots: dict[int, bytes] = {}
        self.attempts: list[instances.Attempt] = []
        self.judged = 0

    def _new(self, number: int) -> instances.Instance:
        name = f'i{number}-{uuid.uuid4().hex[:6]}'
        return instances.Instance(name, self.log, self.duty)

    def _tried(self, rule: str) -> None:
        RULES_TRIED[rule] += 1

    def _pick(self, index: int) -> instances.Instance:
        return self.instances[index % INSTANCES]

    def _append(self, payload: bytes, fate: str) -> None:
        if fate == 'lost' or self.log.out:
            return
        if fate != 'hangs':
            self.log.land(payload)
        if fate in ('hangs', 'twice'):
            self.log.hung.append(payload)

    def _forgive(self, instance: instances.Instance) -> None:
        """End excuses once the true owner sees all and nothing is open."""
        ledger = instance.ledger
        if ledger is None or ledger.epoch != self.owners.epoch:
            return
        current = all(
            server.incarnation == self.engines[server_id].incarnation
            for server_id, server in ledger.servers.items()
        )
        if current and not self.attempts and not self.log.hung:
            self.replicas.excused &= self._may_be_withdrawn()

    def _may_be_withdrawn(self) -> set[str]:
        """Return the names under an unload that the log shows as open.

        Such an unload may arrive at any time, from any owner that paused; a
        restart that took the replica which guarded it can't be made good.
        """
        return {
            intent.order.artifact.rpartition('@')[0]
            for intent in self.truth.open_intents.values()
            if intent.order.kind is external_api.OrderKind.UNLOAD
        }

    def _log_intent(
        self,
        instance: instances.Instance,
        approved: core.Approved,
        fate: str,
    ) -> None:
        assert instance.ledger is not None
        record = instance.ledger.intent(approved)
        instance.follower.expect(approved.order.order_id)
        instance.intents[approved.order.order_id] = approved
        self._append(entries.CODEC.encode(record), fate)

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

    def _judge(
        self, attempt: instances.Attempt, engine: engines.EngineModel
    ) -> None:
        order = attempt.order
        takes = (
            order.incarnation == engine.incarnation
            and order.order_id not in engine.seen
            and not (engine.fencing and order.fence < engine.fence)
        )
        if takes:
            self.replicas.judge(order, attempt.server_id, self.engines)

    @stateful.invariant()
    def engines_are_safe(self) -> None:
        """Memory, bases and slots hold at every moment."""
        oracle.check_engines(self.engines, BASES, SLOTS)

    @stateful.invariant()
    def replays_agree(self) -> None:
        """Each state is that of its offset and never moves back."""
        while self.judged < self.log.next_offset:
            entry = self.log.entries[self.judged]
            self.truth.apply(entry)
            self.owners.take(entry.payload, entry.offset)
            self.snapshots[entry.offset] = self.truth.snapshot()
            self._compare_owner()
            self.judged += 1
        for instance in self.instances:
            self._check_instance(instance)

    def _compare_owner(self) -> None:
        known = self.truth.ownership
        if (known.epoch, known.instance_id, known.released) != (
            self.owners.epoch,
            self.owners.owner,
            self.owners.released,
        ):
            raise oracle.Violation(f'owner: {known} {self.owners}')
        if set(self.truth.open_intents) != set(self.owners.open_orders):
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

"""The state machines, whose rules are steps and faults of the system."""

from __future__ import annotations

import random
import typing
import uuid

from hypothesis import stateful
from hypothesis import strategies as st

from . import instances
from . import rule_choice
from . import world as worlds
from dogwoodquay.external import api as external_api
from dogwoodquay.journal import api as journal_api
from dogwoodquay.journal import checkpoint
from dogwoodquay.ledger import core
from dogwoodquay.ledger import entries
from dogwoodquay.ownership import entries as ownership_entries
from dogwoodquay.placement import api as placement_api

__all__ = [
    'AgreementMachine',
    'FencingMachine',
    'UnlistedLoadsMachine',
]

SEQUENCE_RULES: typing.Final = 40

_index = st.integers(0, 11)
_append_results = st.sampled_from(
    ('stored', 'stored', 'lost', 'delayed', 'duplicated')
)


class AgreementMachine(worlds.World):
    """Instances and a log that fail, with engines without fencing."""

    def _owner(self, index: int) -> instances.Instance:
        """Return an instance with a ledger; take over if there is none."""
        owners = [item for item in self.instances if item.ledger is not None]
        if not owners:
            self.take_over(index)
            return self._instance(index)
        return owners[index % len(owners)]

    @stateful.rule(index=_index, late=st.booleans())
    def read(self, index: int, late: bool) -> None:
        """An instance reads the log and sends the orders that are due.

        If it is late, it keeps its ledger after its ownership has ended.
        """
        self._count('read')
        instance = self._instance(index)
        instance.read()
        instance.update_ledger(self.catalog, worlds.SLOTS, late)
        for approved in instance.take_sendable():
            self._send(instance, approved.server_id, approved.order)

    @stateful.rule(index=_index, append_result=_append_results)
    def claim(self, index: int, append_result: str) -> None:
        """An instance claims the pool, whether or not the owner has failed."""
        self._count('claim')
        instance = self._instance(index)
        if instance.is_owner:
            return
        claim = ownership_entries.Claim(
            entry_id=uuid.uuid4().hex,
            duty=self.duty,
            instance_id=instance.instance_id,
            incarnation=0,
            replaces=instance.state.ownership.epoch,
        )
        self._append(entries.CODEC.encode((claim,)), append_result)

    @stateful.rule(index=_index, append_result=_append_results)
    def release(self, index: int, append_result: str) -> None:
        """An owner releases the pool, in one of four calls."""
        self._count('release')
        instance = self._instance(index)
        if not instance.is_owner or index % 4:
            return
        release = ownership_entries.Release(
            entry_id=uuid.uuid4().hex,
            duty=self.duty,
            epoch=instance.state.ownership.epoch,
            successor='',
        )
        self._append(entries.CODEC.encode((release,)), append_result)

    @stateful.rule(index=_index)
    def replace_instance(self, index: int) -> None:
        """An instance fails and a new one takes its place."""
        self._count('replace_instance')
        number = index % worlds.INSTANCES
        self.instances[number].alive = False
        self.instances[number] = self._new_instance(number)

    @stateful.rule(index=_index, server=_index, lost=st.booleans())
    def ask(self, index: int, server: int, lost: bool) -> None:
        """An owner queries an engine; the reply is in flight or lost."""
        self._count('ask')
        instance = self._instance(index)
        server_id = f's{server % worlds.SERVERS}'
        ledger = instance.ledger
        if ledger is None or server_id in instance.observations:
            return
        server_ledger = ledger.servers[server_id]
        began = server_ledger.begin_observation()
        engine = self.engines[server_id]
        state: external_api.EngineState | None = engine.state()
        if server_ledger.needs_fencing_token:
            state = engine.store_fence(ledger.epoch)
        if not lost:
            instance.observations[server_id] = instances.Observation(
                ledger, server_id, began, state
            )

    @stateful.rule(index=_index)
    def take_answers(self, index: int) -> None:
        """The engines' replies reach the owner."""
        self._count('take_answers')
        instance = self._instance(index)
        for observation in instance.observations.values():
            if observation.state is None:
                observation.ledger.on_stale_fence()
            else:
                observation.ledger.observe(
                    observation.server_id, observation.state, observation.began
                )
        instance.observations.clear()
        self._end_exemptions(instance)

    @stateful.rule(
        index=_index,
        server=_index,
        artifact=st.sampled_from(tuple(worlds.SIZES)),
        force=st.booleans(),
        base=st.sampled_from(('m1@1', 'm1@2')),
        append_result=_append_results,
    )
    def move(
        self,
        index: int,
        server: int,
        artifact: str,
        force: bool,
        base: str,
        append_result: str,
    ) -> None:
        """An owner starts a planned move."""
        self._count('move')
        instance = self._owner(index)
        if instance.ledger is None:
            return
        server_ledger = instance.ledger.servers[f's{server % worlds.SERVERS}']
        kind = placement_api.MoveKind.LOAD
        if artifact in server_ledger.possible_contents() and not force:
            kind = placement_api.MoveKind.UNLOAD
        planned_move = placement_api.Move(
            kind,
            f's{server % worlds.SERVERS}',
            artifact,
            worlds.SIZES[artifact],
            base if artifact == 'a1@1' else '',
            'fuzz',
        )
        match instance.ledger.approve(planned_move):
            case core.Approved(needs_intent=True) as approved:
                self._count(f'effect: {kind.value} approved')
                self._log_intent(instance, approved, append_result)
            case core.Approved() as approved:
                self._count(f'effect: {kind.value} approved')
                self._send(instance, approved.server_id, approved.order)

    @stateful.rule(index=_index)
    def give_up_intents(self, index: int) -> None:
        """An instance abandons intents that were not read back in time."""
        self._count('give_up_intents')
        self._instance(index).abandon_intents()

    @stateful.rule(index=_index, order_index=_index)
    def resend(self, index: int, order_index: int) -> None:
        """An owner resends an order whose outcome is unknown."""
        self._count('resend')
        instance = self._owner(index)
        if instance.ledger is None:
            return
        charged = [
            (server_id, item.order)
            for server_id, server in instance.ledger.servers.items()
            for item in server.orders.values()
            if item.inherited or item.attempts
        ]
        if charged:
            server_id, order = charged[order_index % len(charged)]
            if instance.ledger.may_send(order.order_id):
                self._send(instance, server_id, order)

    @stateful.rule(index=_index, duplicate=st.booleans())
    def arrive(self, index: int, duplicate: bool) -> None:
        """A sent order arrives at its engine, and may arrive again later."""
        self._count('arrive')
        attempt = self._attempt(index)
        if attempt is None:
            return
        engine = self.engines[attempt.server_id]
        if attempt.order.kind is external_api.OrderKind.UNLOAD:
            self._check_unload(attempt, engine)
        new = attempt.order.order_id not in engine.accepted_orders
        reply = engine.apply(attempt.order)
        if reply.accepted and new:
            stale = attempt.order.fence != self.owner_oracle.epoch
            age = 'stale' if stale else 'current'
            self._count(f'effect: {attempt.order.kind.value} {age}')
        attempt.reply = 'accepted' if reply.accepted else 'refused'
        if reply.stale:
            attempt.reply = 'stale'
        if attempt.answered and not duplicate:
            self.attempts.remove(attempt)

    @stateful.rule(index=_index)
    def answer(self, index: int) -> None:
        """The engine's reply to an order reaches its sender."""
        self._count('answer')
        attempt = self._attempt(index)
        if attempt is None or attempt.answered:
            return
        order_id = attempt.order.order_id
        engine = self.engines[attempt.server_id]
        match attempt.reply:
            case 'accepted' if order_id in engine.completed_orders:
                attempt.ledger.on_completed(order_id)
            case 'stale':
                attempt.ledger.on_stale_fence()
                attempt.ledger.on_refused(order_id)
            case 'refused':
                attempt.ledger.on_refused(order_id)
            case _:
                return
        attempt.answered = True
        self.attempts.remove(attempt)

    @stateful.rule(index=_index, drop=st.booleans())
    def lose_answer(self, index: int, drop: bool) -> None:
        """The sender gets no reply; the order may still arrive."""
        self._count('lose_answer')
        attempt = self._attempt(index)
        if attempt is None or attempt.answered:
            return
        attempt.answered = True
        attempt.ledger.on_answer_lost(attempt.order.order_id)
        if drop:
            self.attempts.remove(attempt)

    @stateful.rule(index=_index)
    def unsent(self, index: int) -> None:
        """Sending an order fails before it leaves the sender."""
        self._count('unsent')
        attempt = self._attempt(index)
        if attempt is None or attempt.answered or attempt.reply:
            return
        attempt.answered = True
        attempt.ledger.on_unsent(attempt.order.order_id)
        self.attempts.remove(attempt)

    @stateful.rule(server=_index)
    def finish_loads(self, server: int) -> None:
        """An engine completes its loads."""
        self._count('finish_loads')
        self.engines[f's{server % worlds.SERVERS}'].complete_loads()

    @stateful.rule(server=_index, forget=st.booleans())
    def restart_engine(self, server: int, forget: bool) -> None:
        """An engine restarts empty and may forget its fencing token."""
        self._count('restart_engine')
        engine = self.engines[f's{server % worlds.SERVERS}']
        for artifact in engine.residents:
            self.replica_oracle.exempt.add(artifact.rpartition('@')[0])
        engine.restart(forget)

    @stateful.rule(index=_index, append_result=_append_results)
    def close_orders(self, index: int, append_result: str) -> None:
        """An instance appends the outcomes of orders to the log."""
        self._count('close_orders')
        outcomes = self._instance(index).outcomes()
        if outcomes:
            self._append(entries.CODEC.encode(outcomes), append_result)

    @stateful.rule(index=_index)
    def late_append_arrives(self, index: int) -> None:
        """A delayed append takes effect."""
        self._count('late_append_arrives')
        if self.log.delayed:
            number = index % len(self.log.delayed)
            self.log.store(self.log.delayed.pop(number))

    @stateful.rule(unavailable=st.sampled_from((False, False, True)))
    def outage(self, unavailable: bool) -> None:
        """The log becomes unavailable or available."""
        self._count('outage')
        self.log.unavailable = unavailable

    @stateful.rule(index=_index)
    def refresh(self, index: int) -> None:
        """An instance reads the log and queries every engine."""
        self._count('refresh')
        self.read(index, late=False)
        for server in range(worlds.SERVERS):
            self.ask(index, server, lost=False)
        self.take_answers(index)

    @stateful.initialize(index=_index)
    def start(self, index: int) -> None:
        """An instance takes over the pool and loads the models."""
        self.take_over(index)
        for server, artifact in ((0, 'm1@1'), (1, 'm2@1'), (0, 'm3@1')):
            self.move(index, server, artifact, False, 'm1@1', 'stored')
            self.catch_up()

    @stateful.rule(index=_index)
    def take_over(self, index: int) -> None:
        """An instance claims the pool and queries the engines."""
        self._count('take_over')
        self.log.unavailable = False
        self.read(index, late=False)
        self.claim(index, 'stored')
        self.refresh(index)
        self.refresh(index)

    @stateful.rule()
    def catch_up(self) -> None:
        """All messages are delivered and all loads complete."""
        self._count('catch_up')
        self.log.unavailable = False
        for index in range(worlds.INSTANCES):
            self.refresh(index)
        for _ in range(2 * len(self.attempts)):
            self.arrive(0, duplicate=False)
            for engine in self.engines.values():
                engine.complete_loads()
            self.answer(0)
        for index in range(worlds.INSTANCES):
            self.close_orders(index, 'stored')
            self.refresh(index)

    @stateful.rule(index=_index, lost=st.booleans())
    def deliver_all(self, index: int, lost: bool) -> None:
        """All orders in flight arrive; their replies arrive or are lost."""
        self._count('deliver_all')
        for _ in range(len(self.attempts)):
            self.arrive(index, duplicate=True)
            if lost:
                self.lose_answer(index, drop=False)
            else:
                self.finish_loads(0)
                self.finish_loads(1)
                self.answer(index)

    @stateful.rule(index=_index, late=st.booleans())
    def write_checkpoint(self, index: int, late: bool) -> None:
        """An instance, possibly a lagging one, writes a checkpoint."""
        self._count('write_checkpoint')
        instance = self._instance(index)
        if instance.follower.offset < 0 or (self.log.unavailable and not late):
            return
        snapshot = journal_api.make_snapshot(self.log.stream, instance.state)
        for part in checkpoint.split(uuid.uuid4().hex, snapshot, 64):
            self.log.add_checkpoint(part)

    @stateful.rule()
    def trim(self) -> None:
        """Retention drops entries that a checkpoint covers."""
        self._count('trim')
        assembler = checkpoint.Assembler(self.log.stream)
        for entry in self.log.checkpoints:
            assembler.add(entry.payload)
        if assembler.best is not None:
            self.log.first_offset = max(
                self.log.first_offset, assembler.best.offset + 1
            )

    @stateful.rule(index=_index, peer=_index)
    def ask_peer(self, index: int, peer: int) -> None:
        """An instance restores a peer's snapshot if it is newer."""
        self._count('ask_peer')
        source = self._instance(peer)
        instance = self._instance(index)
        if source.follower.offset >= 0:
            snapshot = journal_api.make_snapshot(self.log.stream, source.state)
            instance.follower.restore_if_newer(snapshot)
            instance.update_ledger(self.catalog, worlds.SLOTS, late=True)

    @stateful.rule(share=st.sampled_from((0.0, 0.5, 1.0)))
    def publish(self, share: float) -> None:
        """An operator changes the rollout of a model."""
        self._count('publish')
        self.catalog = worlds.make_catalog(self.fencing, share)
        self.replica_oracle.declared = worlds.make_declared(share)
        self.replica_oracle.exempt.add('m1')
        for instance in self.instances:
            if instance.ledger is not None:
                instance.ledger.update_catalog(self.catalog)

    @stateful.rule(index=_index, server=_index)
    def server_leaves(self, index: int, server: int) -> None:
        """An instance learns which server is leaving, if any."""
        self._count('server_leaves')
        instance = self._instance(index)
        if instance.ledger is not None:
            leaving = {f's{server}'} if server < worlds.SERVERS else set()
            instance.ledger.set_leaving(leaving)

    @stateful.rule(seed=st.integers(0, (1 << 32) - 1))
    def step_sequence(self, seed: int) -> None:
        """Run a short sequence of weighted random rules."""
        self._count('step_sequence')
        self.run_rules(random.Random(seed), SEQUENCE_RULES)

    def run_rules(self, rng: random.Random, count: int) -> None:
        """Run weighted random rules and check the invariants after each."""
        names = rng.choices(
            tuple(rule_choice.WEIGHTS),
            tuple(rule_choice.WEIGHTS.values()),
            k=count,
        )
        for name in names:
            rule = getattr(self, name)
            rule(**rule_choice.arguments(rule, rng, worlds.SIZES))
            self.engines_are_safe()
            self.replays_agree()


class FencingMachine(AgreementMachine):
    """As above, with engines that refuse old fencing tokens."""

    fencing = True


class UnlistedLoadsMachine(AgreementMachine):
    """As above, with engines that do not list loads in progress."""

    fencing = True
    lists_loading = False

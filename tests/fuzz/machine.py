"""The state machine: faults and steps are its rules, promises its checks."""

from __future__ import annotations

import random
import typing
import uuid

from hypothesis import stateful
from hypothesis import strategies as st

from . import instances
from . import storms
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
    'HidingMachine',
]

STORM: typing.Final = 40

_index = st.integers(0, 11)
_fate = st.sampled_from(('lands', 'lands', 'lost', 'hangs', 'twice'))


class AgreementMachine(worlds.World):
    """Instances, engines that ignore numbers, and a log, all failing."""

    def _owner(self, index: int) -> instances.Instance:
        """Return an instance that thinks that it owns the pool, if any."""
        owners = [item for item in self.instances if item.ledger is not None]
        if not owners:
            self.take_over(index)
            return self._pick(index)
        return owners[index % len(owners)]

    @stateful.rule(index=_index, late=st.booleans())
    def read(self, index: int, late: bool) -> None:
        """An instance reads the log, and may be late with what follows."""
        self._tried('read')
        instance = self._pick(index)
        instance.read()
        instance.follow(self.catalog, worlds.SLOTS, late)
        for approved in instance.settle_intents():
            self._send(instance, approved.server_id, approved.order)

    @stateful.rule(index=_index, fate=_fate)
    def claim(self, index: int, fate: str) -> None:
        """An instance claims the pool, rightly or not."""
        self._tried('claim')
        instance = self._pick(index)
        if instance.owns:
            return
        claim = ownership_entries.Claim(
            entry_id=uuid.uuid4().hex,
            duty=self.duty,
            instance_id=instance.instance_id,
            incarnation=0,
            replaces=instance.state.ownership.epoch,
        )
        self._append(entries.CODEC.encode((claim,)), fate)

    @stateful.rule(index=_index, fate=_fate)
    def release(self, index: int, fate: str) -> None:
        """An owner hands the pool over."""
        self._tried('release')
        instance = self._pick(index)
        if not instance.owns or index % 4:
            return
        release = ownership_entries.Release(
            entry_id=uuid.uuid4().hex,
            duty=self.duty,
            epoch=instance.state.ownership.epoch,
            successor='',
        )
        self._append(entries.CODEC.encode((release,)), fate)

    @stateful.rule(index=_index)
    def replace_instance(self, index: int) -> None:
        """An instance dies in mid-task; a new one starts."""
        self._tried('replace_instance')
        number = index % worlds.INSTANCES
        self.instances[number].alive = False
        self.instances[number] = self._new(number)

    @stateful.rule(index=_index, server=_index, lost=st.booleans())
    def ask(self, index: int, server: int, lost: bool) -> None:
        """An owner asks an engine; the answer is under way."""
        self._tried('ask')
        instance = self._pick(index)
        server_id = f's{server % worlds.SERVERS}'
        ledger = instance.ledger
        if ledger is None or server_id in instance.observations:
            return
        known = ledger.servers[server_id]
        began = known.begin_observation()
        engine = self.engines[server_id]
        state: external_api.EngineState | None = engine.state()
        if known.needs_fencing_token:
            state = engine.teach(ledger.epoch)
        if not lost:
            instance.observations[server_id] = instances.Observation(
                ledger, server_id, began, state
            )

    @stateful.rule(index=_index)
    def take_answers(self, index: int) -> None:
        """The engines' answers reach the owner."""
        self._tried('take_answers')
        instance = self._pick(index)
        for seen in instance.observations.values():
            if seen.state is None:
                seen.ledger.on_stale_fence()
            else:
                seen.ledger.observe(seen.server_id, seen.state, seen.began)
        instance.observations.clear()
        self._forgive(instance)

    @stateful.rule(
        index=_index,
        server=_index,
        artifact=st.sampled_from(tuple(worlds.SIZES)),
        force=st.booleans(),
        base=st.sampled_from(('m1@1', 'm1@2')),
        fate=_fate,
    )
    def move(
        self,
        index: int,
        server: int,
        artifact: str,
        force: bool,
        base: str,
        fate: str,
    ) -> None:
        """An owner starts a move that some plan wants."""
        self._tried('move')
        instance = self._owner(index)
        if instance.ledger is None:
            return
        known = instance.ledger.servers[f's{server % worlds.SERVERS}']
        kind = placement_api.MoveKind.LOAD
        if artifact in known.possible_contents() and not force:
            kind = placement_api.MoveKind.UNLOAD
        wanted = placement_api.Move(
            kind,
            f's{server % worlds.SERVERS}',
            artifact,
            worlds.SIZES[artifact],
            base if artifact == 'a1@1' else '',
            'fuzz',
        )
        match instance.ledger.approve(wanted):
            case core.Approved(needs_intent=True) as approved:
                self._tried(f'effect: {kind.value} approved')
                self._log_intent(instance, approved, fate)
            case core.Approved() as approved:
                self._tried(f'effect: {kind.value} approved')
                self._send(instance, approved.server_id, approved.order)

    @stateful.rule(index=_index)
    def give_up(self, index: int) -> None:
        """An intent is not read back in time."""
        self._tried('give_up')
        self._pick(index).give_up_intents()

    @stateful.rule(index=_index, nth=_index)
    def resend(self, index: int, nth: int) -> None:
        """An owner sends an order without a known end again."""
        self._tried('resend')
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
            server_id, order = charged[nth % len(charged)]
            if instance.ledger.may_send(order.order_id):
                self._send(instance, server_id, order)

    @stateful.rule(index=_index, again=st.booleans())
    def arrive(self, index: int, again: bool) -> None:
        """A sent order arrives, and may arrive again later."""
        self._tried('arrive')
        attempt = self._attempt(index)
        if attempt is None:
            return
        engine = self.engines[attempt.server_id]
        if attempt.order.kind is external_api.OrderKind.UNLOAD:
            self._judge(attempt, engine)
        new = attempt.order.order_id not in engine.seen
        reply = engine.apply(attempt.order)
        if reply.accepted and new:
            stale = attempt.order.fence != self.owners.epoch
            age = 'stale' if stale else 'current'
            self._tried(f'effect: {attempt.order.kind.value} {age}')
        attempt.reply = 'accepted' if reply.accepted else 'refused'
        if reply.stale:
            attempt.reply = 'stale'
        if attempt.answered and not again:
            self.attempts.remove(attempt)

    @stateful.rule(index=_index)
    def answer(self, index: int) -> None:
        """The engine's answer to an order reaches its sender."""
        self._tried('answer')
        attempt = self._attempt(index)
        if attempt is None or attempt.answered:
            return
        order_id = attempt.order.order_id
        engine = self.engines[attempt.server_id]
        match attempt.reply:
            case 'accepted' if order_id in engine.done:
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
        """The sender hears nothing; the order may arrive all the same."""
        self._tried('lose_answer')
        attempt = self._attempt(index)
        if attempt is None or attempt.answered:
            return
        attempt.answered = True
        attempt.ledger.on_answer_lost(attempt.order.order_id)
        if drop:
            self.attempts.remove(attempt)

    @stateful.rule(index=_index)
    def unavailable(self, index: int) -> None:
        """The order certainly never left its sender."""
        self._tried('unavailable')
        attempt = self._attempt(index)
        if attempt is None or attempt.answered or attempt.reply:
            return
        attempt.answered = True
        attempt.ledger.on_unsent(attempt.order.order_id)
        self.attempts.remove(attempt)

    @stateful.rule(server=_index)
    def finish_loads(self, server: int) -> None:
        """An engine ends its loads."""
        self._tried('finish_loads')
        self.engines[f's{server % worlds.SERVERS}'].finish()

    @stateful.rule(server=_index, forget=st.booleans())
    def restart_engine(self, server: int, forget: bool) -> None:
        """An engine restarts empty, and may forget its fencing number."""
        self._tried('restart_engine')
        engine = self.engines[f's{server % worlds.SERVERS}']
        for artifact in engine.residents:
            self.replicas.excused.add(artifact.rpartition('@')[0])
        engine.restart(forget)

    @stateful.rule(index=_index, fate=_fate)
    def close(self, index: int, fate: str) -> None:
        """An instance writes down the ends of orders."""
        self._tried('close')
        outcomes = self._pick(index).outcomes()
        if outcomes:
            self._append(entries.CODEC.encode(outcomes), fate)

    @stateful.rule(index=_index)
    def hung_append_lands(self, index: int) -> None:
        """A hung append takes effect after all."""
        self._tried('hung_append_lands')
        if self.log.hung:
            number = index % len(self.log.hung)
            self.log.land(self.log.hung.pop(number))

    @stateful.rule(out=st.sampled_from((False, False, True)))
    def outage(self, out: bool) -> None:
        """The log goes out, or comes back."""
        self._tried('outage')
        self.log.out = out

    @stateful.rule(index=_index)
    def refresh(self, index: int) -> None:
        """An instance reads the log and asks every engine."""
        self._tried('refresh')
        self.read(index, late=False)
        for server in range(worlds.SERVERS):
            self.ask(index, server, lost=False)
        self.take_answers(index)

    @stateful.initialize(index=_index)
    def start(self, index: int) -> None:
        """Somebody owns the pool at first, and places the models."""
        self.take_over(index)
        for server, artifact in ((0, 'm1@1'), (1, 'm2@1'), (0, 'm3@1')):
            self.move(index, server, artifact, False, 'm1@1', 'lands')
            self.calm()

    @stateful.rule(index=_index)
    def take_over(self, index: int) -> None:
        """An instance claims the pool and learns what is there."""
        self._tried('take_over')
        self.log.out = False
        self.read(index, late=False)
        self.claim(index, 'lands')
        self.refresh(index)
        self.refresh(index)

    @stateful.rule()
    def calm(self) -> None:
        """For a moment everything works."""
        self._tried('calm')
        self.log.out = False
        for index in range(worlds.INSTANCES):
            self.refresh(index)
        for _ in range(2 * len(self.attempts)):
            self.arrive(0, again=False)
            for engine in self.engines.values():
                engine.finish()
            self.answer(0)
        for index in range(worlds.INSTANCES):
            self.close(index, 'lands')
            self.refresh(index)

    @stateful.rule(index=_index, lost=st.booleans())
    def deliver_all(self, index: int, lost: bool) -> None:
        """What is under way arrives; its answers come or are lost."""
        self._tried('deliver_all')
        for _ in range(len(self.attempts)):
            self.arrive(index, again=True)
            if lost:
                self.lose_answer(index, drop=False)
            else:
                self.finish_loads(0)
                self.finish_loads(1)
                self.answer(index)

    @stateful.rule(index=_index, late=st.booleans())
    def write_checkpoint(self, index: int, late: bool) -> None:
        """An instance, perhaps far behind, writes a checkpoint in parts."""
        self._tried('write_checkpoint')
        instance = self._pick(index)
        if instance.follower.offset < 0 or (self.log.out and not late):
            return
        snapshot = journal_api.make_snapshot(self.log.stream, instance.state)
        for part in checkpoint.split(uuid.uuid4().hex, snapshot, 64):
            self.log.add_checkpoint(part)

    @stateful.rule()
    def trim(self) -> None:
        """Retention drops entries, never what no checkpoint covers."""
        self._tried('trim')
        found = checkpoint.Assembler(self.log.stream)
        for entry in self.log.checkpoints:
            found.add(entry.payload)
        if found.best is not None:
            self.log.first = max(self.log.first, found.best.offset + 1)

    @stateful.rule(index=_index, peer=_index)
    def ask_peer(self, index: int, peer: int) -> None:
        """An instance takes a peer's snapshot, whichever is newer."""
        self._tried('ask_peer')
        source = self._pick(peer)
        instance = self._pick(index)
        if source.follower.offset >= 0:
            snapshot = journal_api.make_snapshot(self.log.stream, source.state)
            instance.follower.restore_if_newer(snapshot)
            instance.follow(self.catalog, worlds.SLOTS, late=True)

    @stateful.rule(share=st.sampled_from((0.0, 0.5, 1.0)))
    def publish(self, share: float) -> None:
        """Operators change the rollout of a model."""
        self._tried('publish')
        self.catalog = worlds.make_catalog(self.fencing, share)
        self.replicas.declared = worlds.make_declared(share)
        self.replicas.excused.add('m1')
        for instance in self.instances:
            if instance.ledger is not None:
                instance.ledger.update_catalog(self.catalog)

    @stateful.rule(index=_index, server=_index)
    def server_leaves(self, index: int, server: int) -> None:
        """An instance learns that a server is leaving, or that none is."""
        self._tried('server_leaves')
        instance = self._pick(index)
        if instance.ledger is not None:
            leaving = {f's{server}'} if server < worlds.SERVERS else set()
            instance.ledger.set_leaving(leaving)

    @stateful.rule(seed=st.integers(0, (1 << 32) - 1))
    def storm(self, seed: int) -> None:
        """Many rules in a row, chosen by weight, with the same checks."""
        self._tried('storm')
        self.run_rules(random.Random(seed), STORM)

    def run_rules(self, rng: random.Random, count: int) -> None:
        """Run rules chosen by weight, and check after each."""
        names = rng.choices(
            tuple(storms.WEIGHTS), tuple(storms.WEIGHTS.values()), k=count
        )
        for name in names:
            rule = getattr(self, name)
            rule(**storms.arguments(rule, rng, worlds.SIZES))
            self.engines_are_safe()
            self.replays_agree()


class FencingMachine(AgreementMachine):
    """The same with engines that refuse old numbers."""

    fencing = True


class HidingMachine(AgreementMachine):
    """The same with refusing engines that leave out loads in progress."""

    fencing = True
    lists_loading = False

"""Failure detection as a pure state machine, in the style of SWIM.

An instance probes its neighbours one after another, directly and then through
others. A member without an answer is suspected; unless it refutes that with a
higher incarnation it is held to be dead. Reports travel as items of a board.
An instance that is itself short of processor time, so that its probes fail or
its own events come late, probes more slowly and waits longer.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from . import api
from . import effects as fx
from ..gossip import ring
from . import messages
from . import seeds
from . import settings
from . import suspicions
from . import view as views

if typing.TYPE_CHECKING:
    import random

    from ..external import api as external_api

__all__ = ['Detector', 'first_incarnation']

_WAKING_PROBES: typing.Final = 3
_CONFIRMATIONS: typing.Final = 2
_MAX_STRAIN: typing.Final = 7


@dataclasses.dataclass(slots=True)
class _OpenProbe:
    target: api.Member
    left: int
    direct: bool


def first_incarnation(now: float) -> int:
    """Return the incarnation of a process that starts now."""
    return int(now * 1000) << api.REFUTATION_BITS


class Detector:
    """One instance's view of the others."""

    def __init__(
        self,
        own: api.Member,
        limits: settings.DetectorSettings,
        rng: random.Random,
        now: float,
    ) -> None:
        self._own = own
        self._limits = limits
        self._rng = rng
        self._view = views.View()
        self._view.put(own)
        self._neighbours: tuple[api.Member, ...] = ()
        self._rewire_due = False
        self._round: list[str] = []
        self._probes: dict[int, _OpenProbe] = {}
        self._next_probe = 0
        self._probe_at = now
        self._suspicions = suspicions.Suspicions(limits, rng)
        self._seeds = seeds.Seeds(limits, rng)
        self._last = now
        self._strain = 0
        self._trusted = False
        self._confirmed: set[str] = set()
        self._unsure_since = now
        self._pauses = 0

    @property
    def own(self) -> api.Member:
        """This instance's own record."""
        return self._own

    @property
    def trusted(self) -> bool:
        """Whether peers have confirmed the view since the last pause."""
        return self._trusted

    @property
    def pauses(self) -> int:
        """How often this instance found that it had been paused."""
        return self._pauses

    @property
    def neighbours(self) -> tuple[api.Member, ...]:
        """The members that this instance probes."""
        return self._neighbours

    @property
    def _slowdown(self) -> float:
        return 1.0 + self._strain

    def members(self) -> tuple[api.Member, ...]:
        """Return all known members but the dead, this one included."""
        return tuple(self._view.present())

    def dead(self, instance_id: str, incarnation: int) -> bool:
        """Whether the process of an incarnation is known to be gone."""
        member = self._view.get(instance_id)
        if member is None:
            return False
        boot = api.boot_of(incarnation)
        current = api.boot_of(member.incarnation)
        if current != boot:
            return current > boot
        return member.state is api.MemberState.DEAD

    def start(self) -> list[fx.Effect]:
        """Announce this instance."""
        return [fx.Publish(self._own)]

    def ping(self, instance_id: str) -> messages.Ping:
        """Return a ping for an instance."""
        known = self._view.get(instance_id)
        if known is None:
            return messages.Ping(self._own)
        return messages.Ping(self._own, known.incarnation, known.state)

    def pinged(
        self, ping: messages.Ping, now: float
    ) -> tuple[messages.Pong, list[fx.Effect]]:
        """Answer a ping, refuting what it says of this instance."""
        effects = self._awake(now)
        effects += self._refute(ping.seen_incarnation, ping.seen_state)
        effects += self.learn(ping.sender, now)
        known = self._view.get(ping.sender.instance_id) or ping.sender
        pong = messages.Pong(
            self._own, self._view.digest, known.incarnation, known.state
        )
        return pong, effects

    def ponged(
        self, probe_id: int, pong: messages.Pong, now: float
    ) -> list[fx.Effect]:
        """Take in the answer to a probe, or to a contact (id zero)."""
        effects = self._awake(now)
        if self._probes.pop(probe_id, None) is not None:
            self._strain = max(0, self._strain - 1)
        effects += self._refute(pong.seen_incarnation, pong.seen_state)
        effects += self.learn(pong.sender, now)
        self._acquit(pong.sender)
        self._confirm(pong, now)
        return effects

    def probe_failed(self, probe_id: int, now: float) -> list[fx.Effect]:
        """Take in that a probe, direct or through a relay, had no answer."""
        effects = self._awake(now)
        probe = self._probes.get(probe_id)
        if probe is None:
            return effects
        probe.left -= 1
        if probe.left > 0:
            return effects
        if probe.direct:
            return effects + self._probe_via(probe_id, probe, now)
        del self._probes[probe_id]
        self._strain = min(_MAX_STRAIN, self._strain + 1)
        return effects + self._suspect(probe.target, now)

    def learn(self, member: api.Member, now: float) -> list[fx.Effect]:
        """Take in a report of a member."""
        if member.instance_id == self._own.instance_id:
            return self._refute(member.incarnation, member.state)
        if not self._view.put(member):
            return []
        if member.state is _SUSPECTED:
            self._suspicions.start(member, len(self._view.present()), now)
        else:
            self._suspicions.stop(member.instance_id)
        self._rewire_due = True
        effects: list[fx.Effect] = [fx.Publish(member), fx.Changed(member)]
        return effects if self._neighbours else effects + self._rewire()

    def listed(
        self, instances: typing.Sequence[external_api.Instance]
    ) -> None:
        """Take in the platform's lagging list."""
        own = self._own.instance_id
        self._seeds.replace(i for i in instances if i.instance_id != own)

    def leave(self) -> list[fx.Effect]:
        """Tell all that this instance takes no new duties."""
        return self._become(api.MemberState.LEAVING)

    def gone(self) -> list[fx.Effect]:
        """Tell all that this instance exits now."""
        return self._become(api.MemberState.DEAD)

    def tick(self, now: float) -> list[fx.Effect]:
        """Probe, contact, and end suspicions whose time is up."""
        effects = self._awake(now)
        if self._rewire_due:
            effects += self._rewire()
        for name, suspicion in self._suspicions.take_due(now).items():
            effects += self._declare_dead(name, suspicion, now)
        if now >= self._probe_at:
            jitter = self._rng.uniform(0.9, 1.1)
            pause = self._limits.probe_seconds * self._slowdown
            self._probe_at = now + pause * jitter
            effects += self._probe_next(now)
            effects += self._contact(now)
            self._settle(now)
        return effects

    def _awake(self, now: float) -> list[fx.Effect]:
        gap = now - self._last
        self._last = max(self._last, now)
        if gap > self._limits.answer_seconds:
            self._probes.clear()
            self._strain = min(_MAX_STRAIN, self._strain + 1)
        if gap <= self._limits.pause_seconds:
            return []
        self._pauses += 1
        self._trusted = False
        self._unsure_since = now
        self._confirmed.clear()
        self._probes.clear()
        self._suspicions.restart(len(self._view.present()), now)
        effects: list[fx.Effect] = []
        for _ in range(min(_WAKING_PROBES, len(self._neighbours))):
            effects += self._probe_next(now)
        return effects

    def _confirm(self, pong: messages.Pong, now: float) -> None:
        if pong.view == self._view.digest:
            self._confirmed.add(pong.sender.instance_id)
        enough = min(_CONFIRMATIONS, len(self._neighbours))
        waited = now - self._unsure_since >= self._limits.confirm_seconds
        if waited or len(self._confirmed) >= enough:
            self._trusted = True

    def _settle(self, now: float) -> None:
        alone = self._seeds.empty and not self._neighbours
        waited = now - self._unsure_since >= self._limits.confirm_seconds
        if alone or (waited and not self._neighbours):
            self._trusted = True

    def _refute(
        self, incarnation: int, state: api.MemberState
    ) -> list[fx.Effect]:
        own = self._own
        if (incarnation, state) <= (own.incarnation, own.state):
            return []
        if own.state is api.MemberState.DEAD:
            return []
        self._own = msgspec.structs.replace(own, incarnation=incarnation + 1)
        if api.boot_of(incarnation) > api.boot_of(own.incarnation):
            boot = api.boot_of(incarnation) + 1
            self._own = msgspec.structs.replace(
                own, incarnation=boot << api.REFUTATION_BITS
            )
        self._view.put(self._own)
        return [fx.Publish(self._own)]

    def _become(self, state: api.MemberState) -> list[fx.Effect]:
        if state <= self._own.state:
            return []
        self._own = msgspec.structs.replace(self._own, state=state)
        self._view.put(self._own)
        return [fx.Publish(self._own), fx.Changed(self._own)]

    def _acquit(self, member: api.Member) -> None:
        known = self._view.get(member.instance_id)
        if known is not None and known.state is not _SUSPECTED:
            self._suspicions.stop(member.instance_id)

    def _probe_next(self, now: float) -> list[fx.Effect]:
        target = self._next_target()
        if target is None:
            return []
        self._next_probe += 1
        deadline = now + self._limits.answer_seconds * self._slowdown
        self._probes[self._next_probe] = _OpenProbe(target, 1, True)
        return [fx.Probe(self._next_probe, target, deadline)]

    def _next_target(self) -> api.Member | None:
        by_id = {m.instance_id: m for m in self._neighbours}
        while by_id:
            if not self._round:
                self._round = list(by_id)
                self._rng.shuffle(self._round)
            target = by_id.get(self._round.pop())
            if target is not None:
                return target
        return None

    def _probe_via(
        self, probe_id: int, probe: _OpenProbe, now: float
    ) -> list[fx.Effect]:
        target = probe.target
        others = [
            m for m in self._neighbours if m.instance_id != target.instance_id
        ]
        count = min(self._limits.relays, len(others))
        if not count:
            del self._probes[probe_id]
            return self._suspect(target, now)
        probe.direct = False
        probe.left = count
        deadline = now + 2 * self._limits.answer_seconds * self._slowdown
        return [
            fx.ProbeVia(probe_id, relay, target, deadline)
            for relay in self._rng.sample(others, count)
        ]

    def _suspect(self, target: api.Member, now: float) -> list[fx.Effect]:
        known = self._view.get(target.instance_id)
        if known is None or known.incarnation != target.incarnation:
            return []
        if known.state is api.MemberState.DEAD:
            return []
        if known.state < _SUSPECTED:
            report = msgspec.structs.replace(known, state=_SUSPECTED)
            return self.learn(report, now)
        self._suspicions.start(known, len(self._view.present()), now)
        return []

    def _declare_dead(
        self, name: str, suspicion: suspicions.Suspicion, now: float
    ) -> list[fx.Effect]:
        known = self._view.get(name)
        if known is None or known.incarnation != suspicion.incarnation:
            return []
        dead = api.MemberState.DEAD
        return self.learn(msgspec.structs.replace(known, state=dead), now)

    def _contact(self, now: float) -> list[fx.Effect]:
        present = {m.instance_id for m in self._view.present()}
        alone = not self._neighbours
        return self._seeds.contacts(present, alone, now)

    def _rewire(self) -> list[fx.Effect]:
        self._rewire_due = False
        present = {m.instance_id: m for m in self._view.present()}
        present.pop(self._own.instance_id, None)
        own = ring.RingNode(self._own.instance_id, self._own.failure_domain)
        places = [
            ring.RingNode(m.instance_id, m.failure_domain)
            for m in present.values()
        ]
        names = ring.neighbours(own, places)
        chosen = tuple(present[name] for name in sorted(names))
        if chosen == self._neighbours:
            return []
        self._neighbours = chosen
        return [fx.Neighbours(chosen)]


_SUSPECTED: typing.Final = api.MemberState.SUSPECTED

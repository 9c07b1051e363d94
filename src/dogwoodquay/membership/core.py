"""Failure detection as a pure state machine, in the style of SWIM.

An instance probes its neighbours in turn, first directly and then through
other members. A member that does not answer is suspected. It is declared dead
unless it refutes the suspicion with a higher incarnation before a timeout.
Reports about members are published by gossip.

An instance whose probes fail, or whose own events are delayed, may itself be
short of processor time. It therefore probes less often, with longer timeouts.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from . import api
from . import effects as fx
from ..gossip import ring
from . import memberlist
from . import messages
from . import seeds
from . import settings
from . import suspicions

if typing.TYPE_CHECKING:
    import random

    from ..external import api as external_api

__all__ = ['Detector', 'first_incarnation']

_PROBES_AFTER_PAUSE: typing.Final = 3
_REQUIRED_CONFIRMATIONS: typing.Final = 2
_MAX_DEGRADATION: typing.Final = 7


@dataclasses.dataclass(slots=True)
class _OpenProbe:
    target: api.Member
    pending_requests: int
    direct: bool


def first_incarnation(now: float) -> int:
    """Return the incarnation of a process that starts now."""
    return int(now * 1000) << api.REFUTATION_BITS


class Detector:
    """Detects failures of members, and tracks all members' states.

    The methods for events return the effects that the caller has to perform.
    """

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
        self._member_list = memberlist.MemberList()
        self._member_list.put(own)
        self._neighbours: tuple[api.Member, ...] = ()
        self._neighbours_outdated = False
        self._probe_order: list[str] = []
        self._probes: dict[int, _OpenProbe] = {}
        self._last_probe_id = 0
        self._next_probe_at = now
        self._suspicions = suspicions.Suspicions(limits, rng)
        self._seeds = seeds.Seeds(limits, rng)
        self._last_event_at = now
        self._degradation = 0
        self._trusted = False
        self._confirmed: set[str] = set()
        self._untrusted_since = now
        self._pauses = 0

    @property
    def own(self) -> api.Member:
        """This instance as a member."""
        return self._own

    @property
    def trusted(self) -> bool:
        """Whether peers have confirmed the members since the last pause."""
        return self._trusted

    @property
    def pauses(self) -> int:
        """The number of pauses of this instance that it detected."""
        return self._pauses

    @property
    def neighbours(self) -> tuple[api.Member, ...]:
        """The members that this instance probes."""
        return self._neighbours

    @property
    def _timeout_factor(self) -> float:
        """The factor of timeouts and of the interval between probes."""
        return 1.0 + self._degradation

    def members(self) -> tuple[api.Member, ...]:
        """Return all known members that are not dead, this one included."""
        return tuple(self._member_list.present())

    def is_dead(self, instance_id: str, incarnation: int) -> bool:
        """Whether the process of an incarnation is known to have ended."""
        member = self._member_list.get(instance_id)
        if member is None:
            return False
        boot = api.boot_of(incarnation)
        current = api.boot_of(member.incarnation)
        if current != boot:
            return current > boot
        return member.state is api.MemberState.DEAD

    def start(self) -> list[fx.Effect]:
        """Publish this instance as a live member."""
        return [fx.Publish(self._own)]

    def ping(self, instance_id: str) -> messages.Ping:
        """Return a ping to send to an instance."""
        known = self._member_list.get(instance_id)
        if known is None:
            return messages.Ping(self._own)
        return messages.Ping(self._own, known.incarnation, known.state)

    def on_ping(
        self, ping: messages.Ping, now: float
    ) -> tuple[messages.Pong, list[fx.Effect]]:
        """Answer a ping, and refute a false report about this instance."""
        effects = self._check_event_gap(now)
        effects += self._refute(ping.seen_incarnation, ping.seen_state)
        effects += self.update_member(ping.sender, now)
        known = self._member_list.get(ping.sender.instance_id) or ping.sender
        pong = messages.Pong(
            self._own, self._member_list.digest, known.incarnation, known.state
        )
        return pong, effects

    def on_pong(
        self, probe_id: int, pong: messages.Pong, now: float
    ) -> list[fx.Effect]:
        """Process the answer to a probe, or to a contact if the id is zero."""
        effects = self._check_event_gap(now)
        if self._probes.pop(probe_id, None) is not None:
            self._degradation = max(0, self._degradation - 1)
        effects += self._refute(pong.seen_incarnation, pong.seen_state)
        effects += self.update_member(pong.sender, now)
        self._end_suspicion(pong.sender)
        self._record_confirmation(pong, now)
        return effects

    def on_probe_failure(self, probe_id: int, now: float) -> list[fx.Effect]:
        """Process the failure of a direct probe or of one relay's probe.

        A failed direct probe is followed by an indirect one; if all relays
        fail as well, the member is suspected.
        """
        effects = self._check_event_gap(now)
        probe = self._probes.get(probe_id)
        if probe is None:
            return effects
        probe.pending_requests -= 1
        if probe.pending_requests > 0:
            return effects
        if probe.direct:
            return effects + self._probe_indirectly(probe_id, probe, now)
        del self._probes[probe_id]
        self._degradation = min(_MAX_DEGRADATION, self._degradation + 1)
        return effects + self._suspect(probe.target, now)

    def update_member(self, member: api.Member, now: float) -> list[fx.Effect]:
        """Update a member by a report that is newer than the known one."""
        if member.instance_id == self._own.instance_id:
            return self._refute(member.incarnation, member.state)
        if not self._member_list.put(member):
            return []
        if member.state is _SUSPECTED:
            self._suspicions.start(
                member, len(self._member_list.present()), now
            )
        else:
            self._suspicions.stop(member.instance_id)
        self._neighbours_outdated = True
        effects: list[fx.Effect] = [
            fx.Publish(member),
            fx.NotifyWatchers(member),
        ]
        return (
            effects
            if self._neighbours
            else effects + self._update_neighbours()
        )

    def update_instance_list(
        self, instances: typing.Sequence[external_api.Instance]
    ) -> None:
        """Replace the listed instances, which may be out of date."""
        own = self._own.instance_id
        self._seeds.replace(i for i in instances if i.instance_id != own)

    def announce_leaving(self) -> list[fx.Effect]:
        """Publish that this instance is leaving and takes no new duties."""
        return self._change_own_state(api.MemberState.LEAVING)

    def announce_exit(self) -> list[fx.Effect]:
        """Publish that this instance exits now."""
        return self._change_own_state(api.MemberState.DEAD)

    def tick(self, now: float) -> list[fx.Effect]:
        """Probe and contact instances, and declare expired suspects dead."""
        effects = self._check_event_gap(now)
        if self._neighbours_outdated:
            effects += self._update_neighbours()
        for name, suspicion in self._suspicions.take_expired(now).items():
            effects += self._declare_dead(name, suspicion, now)
        if now >= self._next_probe_at:
            jitter = self._rng.uniform(0.9, 1.1)
            pause = self._limits.probe_seconds * self._timeout_factor
            self._next_probe_at = now + pause * jitter
            effects += self._probe_next_neighbour(now)
            effects += self._contact(now)
            self._trust_if_isolated(now)
        return effects

    def _check_event_gap(self, now: float) -> list[fx.Effect]:
        """Detect a stall or a pause of this instance before an event.

        Timeouts that ran out meanwhile say nothing about other members:
        open probes are dropped and, after a pause, suspicions start anew.
        """
        gap = now - self._last_event_at
        self._last_event_at = max(self._last_event_at, now)
        if gap > self._limits.answer_seconds:
            self._probes.clear()
            self._degradation = min(_MAX_DEGRADATION, self._degradation + 1)
        if gap <= self._limits.pause_seconds:
            return []
        self._pauses += 1
        self._trusted = False
        self._untrusted_since = now
        self._confirmed.clear()
        self._probes.clear()
        self._suspicions.restart(len(self._member_list.present()), now)
        effects: list[fx.Effect] = []
        for _ in range(min(_PROBES_AFTER_PAUSE, len(self._neighbours))):
            effects += self._probe_next_neighbour(now)
        return effects

    def _record_confirmation(self, pong: messages.Pong, now: float) -> None:
        if pong.members_digest == self._member_list.digest:
            self._confirmed.add(pong.sender.instance_id)
        enough = min(_REQUIRED_CONFIRMATIONS, len(self._neighbours))
        waited = now - self._untrusted_since >= self._limits.confirm_seconds
        if waited or len(self._confirmed) >= enough:
            self._trusted = True

    def _trust_if_isolated(self, now: float) -> None:
        alone = self._seeds.empty and not self._neighbours
        waited = now - self._untrusted_since >= self._limits.confirm_seconds
        if alone or (waited and not self._neighbours):
            self._trusted = True

    def _refute(
        self, incarnation: int, state: api.MemberState
    ) -> list[fx.Effect]:
        """Raise the own incarnation above that of a false report.

        A report with a higher boot number comes from an earlier process whose
        clock was ahead; this process then takes the next boot number.
        """
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
        self._member_list.put(self._own)
        return [fx.Publish(self._own)]

    def _change_own_state(self, state: api.MemberState) -> list[fx.Effect]:
        if state <= self._own.state:
            return []
        self._own = msgspec.structs.replace(self._own, state=state)
        self._member_list.put(self._own)
        return [fx.Publish(self._own), fx.NotifyWatchers(self._own)]

    def _end_suspicion(self, member: api.Member) -> None:
        known = self._member_list.get(member.instance_id)
        if known is not None and known.state is not _SUSPECTED:
            self._suspicions.stop(member.instance_id)

    def _probe_next_neighbour(self, now: float) -> list[fx.Effect]:
        target = self._next_target()
        if target is None:
            return []
        self._last_probe_id += 1
        deadline = now + self._limits.answer_seconds * self._timeout_factor
        self._probes[self._last_probe_id] = _OpenProbe(target, 1, True)
        return [fx.Probe(self._last_probe_id, target, deadline)]

    def _next_target(self) -> api.Member | None:
        by_id = {m.instance_id: m for m in self._neighbours}
        while by_id:
            if not self._probe_order:
                self._probe_order = list(by_id)
                self._rng.shuffle(self._probe_order)
            target = by_id.get(self._probe_order.pop())
            if target is not None:
                return target
        return None

    def _probe_indirectly(
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
        probe.pending_requests = count
        deadline = now + 2 * self._limits.answer_seconds * self._timeout_factor
        return [
            fx.IndirectProbe(probe_id, relay, target, deadline)
            for relay in self._rng.sample(others, count)
        ]

    def _suspect(self, target: api.Member, now: float) -> list[fx.Effect]:
        known = self._member_list.get(target.instance_id)
        if known is None or known.incarnation != target.incarnation:
            return []
        if known.state is api.MemberState.DEAD:
            return []
        if known.state < _SUSPECTED:
            report = msgspec.structs.replace(known, state=_SUSPECTED)
            return self.update_member(report, now)
        self._suspicions.start(known, len(self._member_list.present()), now)
        return []

    def _declare_dead(
        self, name: str, suspicion: suspicions.Suspicion, now: float
    ) -> list[fx.Effect]:
        known = self._member_list.get(name)
        if known is None or known.incarnation != suspicion.incarnation:
            return []
        dead = api.MemberState.DEAD
        return self.update_member(
            msgspec.structs.replace(known, state=dead), now
        )

    def _contact(self, now: float) -> list[fx.Effect]:
        present = {m.instance_id for m in self._member_list.present()}
        alone = not self._neighbours
        return self._seeds.contacts(present, alone, now)

    def _update_neighbours(self) -> list[fx.Effect]:
        self._neighbours_outdated = False
        present = {m.instance_id: m for m in self._member_list.present()}
        present.pop(self._own.instance_id, None)
        own = ring.RingNode(self._own.instance_id, self._own.failure_domain)
        others = [
            ring.RingNode(m.instance_id, m.failure_domain)
            for m in present.values()
        ]
        names = ring.neighbours(own, others)
        chosen = tuple(present[name] for name in sorted(names))
        if chosen == self._neighbours:
            return []
        self._neighbours = chosen
        return [fx.SetNeighbours(chosen)]


_SUSPECTED: typing.Final = api.MemberState.SUSPECTED

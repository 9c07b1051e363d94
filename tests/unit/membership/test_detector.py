"""Tests of the failure detector with a simulated time."""

from __future__ import annotations

import random
import unittest

import msgspec

from dogwoodquay.membership import api
from dogwoodquay.membership import core
from dogwoodquay.membership import effects as fx
from dogwoodquay.membership import messages
from dogwoodquay.membership import settings


START = 1_700_000_000.0
TICK_SECONDS = 1.2


def _member(
    name: str,
    started: float = START,
    state: api.MemberState = api.MemberState.LIVE,
) -> api.Member:
    incarnation = core.first_incarnation(started)
    return api.Member(name, incarnation, '127.0.0.1', 1, 'd', state)


class ProbeTest(unittest.TestCase):
    """Probes, suspicions and pauses of the instance itself."""

    def setUp(self) -> None:
        self.now = START
        self.subject = core.Detector(
            _member('own'),
            settings.DetectorSettings(),
            random.Random(1),
            START,
        )
        for name in 'abc':
            self.subject.update_member(_member(name), START)

    def _tick(self, seconds: float) -> list[fx.Effect]:
        self.now += seconds
        return self.subject.tick(self.now)

    def _fail_probe(self) -> api.Member:
        """Let a direct and an indirect probe fail, and return the target."""
        (probe,) = self._next_probe()
        relays = self.subject.on_probe_failure(probe.probe_id, self.now)
        self.assertEqual(2, len(relays))
        for relay in relays:
            assert isinstance(relay, fx.IndirectProbe)
            self.assertNotEqual(relay.relay, probe.target)
            self.subject.on_probe_failure(relay.probe_id, self.now)
        return probe.target

    def _state(self, name: str) -> api.MemberState | None:
        members = {m.instance_id: m for m in self.subject.members()}
        return members[name].state if name in members else None

    def test_indirect_probe_prevents_suspicion(self) -> None:
        """A member that a relay can reach is not suspected."""
        (probe,) = self._next_probe()
        self.subject.on_probe_failure(probe.probe_id, self.now)
        pong = messages.Pong(probe.target, 0)
        self.subject.on_pong(probe.probe_id, pong, self.now)
        self.subject.on_probe_failure(probe.probe_id, self.now)
        name = probe.target.instance_id
        self.assertEqual(api.MemberState.LIVE, self._state(name))

    def test_suspected_member_is_declared_dead(self) -> None:
        """A suspected member is declared dead without a refutation."""
        target = self._fail_probe()
        self.assertEqual(
            api.MemberState.SUSPECTED, self._state(target.instance_id)
        )
        for _ in range(4):
            self._tick(TICK_SECONDS)
        self.assertIsNone(self._state(target.instance_id))
        self.assertTrue(
            self.subject.is_dead(target.instance_id, target.incarnation)
        )

    def test_refutation_ends_suspicion(self) -> None:
        """A higher incarnation ends a member's suspicion."""
        target = self._fail_probe()
        refutation = msgspec.structs.replace(
            target, incarnation=target.incarnation + 1
        )
        self.subject.update_member(refutation, self.now)
        for _ in range(4):
            self._tick(TICK_SECONDS)
        name = target.instance_id
        self.assertEqual(api.MemberState.LIVE, self._state(name))

    def test_own_pause_restarts_suspicions(self) -> None:
        """Suspicions that expire while this instance is paused start anew."""
        target = self._fail_probe()
        self.subject.on_pong(0, self._confirming_pong('a'), self.now)
        self.subject.on_pong(0, self._confirming_pong('b'), self.now)
        self.assertTrue(self.subject.trusted)
        effects = self._tick(30.0)
        self.assertIsNotNone(self._state(target.instance_id))
        self.assertEqual(1, self.subject.pauses)
        self.assertFalse(self.subject.trusted)
        probes = [e for e in effects if isinstance(e, fx.Probe)]
        self.assertGreaterEqual(len(probes), 3)

    def test_trust_needs_two_confirmations(self) -> None:
        """A pong with another digest of the members confirms nothing."""
        self._tick(30.0)
        differing = messages.Pong(_member('a'), 12345)
        self.subject.on_pong(0, differing, self.now)
        self.subject.on_pong(0, self._confirming_pong('b'), self.now)
        self.assertFalse(self.subject.trusted)
        self.subject.on_pong(0, self._confirming_pong('c'), self.now)
        self.assertTrue(self.subject.trusted)

    def test_own_stall_drops_open_probes(self) -> None:
        """A probe that fails after a stall of this instance is ignored."""
        (probe,) = [e for e in self._tick(0.4) if isinstance(e, fx.Probe)]
        self.now += 0.8
        effects = self.subject.on_probe_failure(probe.probe_id, self.now)
        self.assertEqual([], effects)

    def test_failed_probes_lengthen_the_timeout(self) -> None:
        """A failed probe doubles the timeout, and answers restore it."""
        self._fail_probe()
        timeouts = []
        for _ in range(3):
            (probe,) = self._next_probe()
            timeouts.append(probe.deadline - self.now)
            pong = messages.Pong(probe.target, 0)
            self.subject.on_pong(probe.probe_id, pong, self.now)
        self.assertGreater(timeouts[0], 2 * timeouts[-1] - 0.01)
        self.assertAlmostEqual(0.5, timeouts[-1], places=3)

    def _next_probe(self) -> list[fx.Probe]:
        while True:
            effects = self._tick(0.1)
            probes = [e for e in effects if isinstance(e, fx.Probe)]
            if probes:
                return probes

    def test_probe_rate_is_independent_of_members(self) -> None:
        """An instance among 300 members sends one probe a second."""
        for number in range(300):
            self.subject.update_member(_member(f'm{number}'), self.now)
        sent = 0
        for _ in range(200):
            effects = self._tick(0.1)
            sent += sum(isinstance(e, fx.Probe) for e in effects)
        self.assertLessEqual(sent, 23)
        self.assertLessEqual(len(self.subject.neighbours), 20)

    def _confirming_pong(self, name: str) -> messages.Pong:
        pong, _ = self.subject.on_ping(messages.Ping(_member(name)), self.now)
        return messages.Pong(_member(name), pong.members_digest)


class IncarnationTest(unittest.TestCase):
    """Incarnations of processes with the same instance id."""

    def setUp(self) -> None:
        self.now = START
        self.subject = core.Detector(
            _member('own'),
            settings.DetectorSettings(),
            random.Random(1),
            self.now,
        )

    def test_dead_distinguishes_processes(self) -> None:
        """A restart makes the earlier process dead, a refutation does not."""
        old = _member('x', self.now, api.MemberState.LIVE)
        self.subject.update_member(old, self.now)
        self.assertFalse(self.subject.is_dead('x', old.incarnation))
        refuted = old.incarnation + 1
        again = api.Member('x', refuted, '127.0.0.1', 1, 'd', old.state)
        self.subject.update_member(again, self.now)
        self.assertFalse(self.subject.is_dead('x', old.incarnation))
        new = _member('x', self.now + 1.0, api.MemberState.LIVE)
        self.subject.update_member(new, self.now)
        self.assertTrue(self.subject.is_dead('x', old.incarnation))
        self.assertFalse(self.subject.is_dead('x', new.incarnation))
        self.assertFalse(self.subject.is_dead('unheard', 1))

    def test_restart_after_a_fast_clock(self) -> None:
        """A process supersedes a predecessor whose clock was ahead."""
        ahead = _member('own', self.now + 9.0, api.MemberState.DEAD)
        self.subject.update_member(ahead, self.now)
        own = self.subject.own
        self.assertGreater(own.incarnation, ahead.incarnation)
        self.assertGreater(
            api.boot_of(own.incarnation), api.boot_of(ahead.incarnation)
        )

    def test_older_report_is_ignored(self) -> None:
        """A report of an earlier state that arrives later has no effect."""
        dead = _member('x', self.now, api.MemberState.DEAD)
        self.subject.update_member(dead, self.now)
        late = _member('x', self.now, api.MemberState.SUSPECTED)
        self.assertEqual([], self.subject.update_member(late, self.now))

    def test_ping_with_a_dead_state_is_refuted(self) -> None:
        """The answer to the ping has a higher incarnation."""
        peer = _member('x', self.now, api.MemberState.LIVE)
        seen = self.subject.own.incarnation
        ping = messages.Ping(peer, seen, api.MemberState.DEAD)
        pong, _ = self.subject.on_ping(ping, self.now)
        self.assertGreater(pong.sender.incarnation, seen)

    def test_refutation_keeps_the_leaving_state(self) -> None:
        """A leaving instance that refutes its failure is still leaving."""
        self.subject.announce_leaving()
        seen = self.subject.own.incarnation
        dead = _member('own', self.now, api.MemberState.DEAD)
        self.assertEqual(seen, dead.incarnation)
        self.subject.update_member(dead, self.now)
        self.assertEqual(api.MemberState.LEAVING, self.subject.own.state)
        self.assertGreater(self.subject.own.incarnation, seen)

"""Tests of failure detection on an injected clock."""

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
NEAR = 1.2


def _member(
    name: str,
    started: float = START,
    state: api.MemberState = api.MemberState.LIVE,
) -> api.Member:
    incarnation = core.first_incarnation(started)
    return api.Member(name, incarnation, '127.0.0.1', 1, 'd', state)


class ProbeTest(unittest.TestCase):
    """Probes, suspicions and the instance's own pauses."""

    def setUp(self) -> None:
        self.now = START
        self.subject = core.Detector(
            _member('own'),
            settings.DetectorSettings(),
            random.Random(1),
            START,
        )
        for name in 'abc':
            self.subject.learn(_member(name), START)

    def _tick(self, seconds: float) -> list[fx.Effect]:
        self.now += seconds
        return self.subject.tick(self.now)

    def _fail_probe(self) -> api.Member:
        """Let one probe and its relays fail; return the target."""
        (probe,) = self._next_probe()
        relays = self.subject.probe_failed(probe.probe_id, self.now)
        self.assertEqual(2, len(relays))
        for relay in relays:
            assert isinstance(relay, fx.ProbeVia)
            self.assertNotEqual(relay.relay, probe.target)
            self.subject.probe_failed(relay.probe_id, self.now)
        return probe.target

    def _state(self, name: str) -> api.MemberState | None:
        members = {m.instance_id: m for m in self.subject.members()}
        return members[name].state if name in members else None

    def test_relay_clears_a_member(self) -> None:
        """A member that only this instance cannot reach is not suspected."""
        (probe,) = self._next_probe()
        self.subject.probe_failed(probe.probe_id, self.now)
        pong = messages.Pong(probe.target, 0)
        self.subject.ponged(probe.probe_id, pong, self.now)
        self.subject.probe_failed(probe.probe_id, self.now)
        name = probe.target.instance_id
        self.assertEqual(api.MemberState.LIVE, self._state(name))

    def test_suspicion_ends_in_death(self) -> None:
        """Without a refutation a suspected member is dead in time."""
        target = self._fail_probe()
        self.assertEqual(
            api.MemberState.SUSPECTED, self._state(target.instance_id)
        )
        for _ in range(4):
            self._tick(NEAR)
        self.assertIsNone(self._state(target.instance_id))
        self.assertTrue(
            self.subject.dead(target.instance_id, target.incarnation)
        )

    def test_refutation_ends_suspicion(self) -> None:
        """A higher incarnation clears a member for good."""
        target = self._fail_probe()
        again = msgspec.structs.replace(
            target, incarnation=target.incarnation + 1
        )
        self.subject.learn(again, self.now)
        for _ in range(4):
            self._tick(NEAR)
        name = target.instance_id
        self.assertEqual(api.MemberState.LIVE, self._state(name))

    def test_own_pause_does_not_kill_others(self) -> None:
        """Timers that ran out during a pause start anew."""
        target = self._fail_probe()
        self.subject.ponged(0, self._agreeing('a'), self.now)
        self.subject.ponged(0, self._agreeing('b'), self.now)
        self.assertTrue(self.subject.trusted)
        effects = self._tick(30.0)
        self.assertIsNotNone(self._state(target.instance_id))
        self.assertEqual(1, self.subject.pauses)
        self.assertFalse(self.subject.trusted)
        probes = [e for e in effects if isinstance(e, fx.Probe)]
        self.assertGreaterEqual(len(probes), 3)

    def test_trust_needs_two_that_agree(self) -> None:
        """After a pause a differing view does not confirm the own one."""
        self._tick(30.0)
        differing = messages.Pong(_member('a'), 12345)
        self.subject.ponged(0, differing, self.now)
        self.subject.ponged(0, self._agreeing('b'), self.now)
        self.assertFalse(self.subject.trusted)
        self.subject.ponged(0, self._agreeing('c'), self.now)
        self.assertTrue(self.subject.trusted)

    def test_late_events_do_not_convict(self) -> None:
        """A probe that was open during an own stall is not judged."""
        (probe,) = [e for e in self._tick(0.4) if isinstance(e, fx.Probe)]
        self.now += 0.8
        effects = self.subject.probe_failed(probe.probe_id, self.now)
        self.assertEqual([], effects)

    def test_strained_instance_waits_longer(self) -> None:
        """Failures of probes double the wait; answers bring it back."""
        self._fail_probe()
        patience = []
        for _ in range(3):
            (probe,) = self._next_probe()
            patience.append(probe.deadline - self.now)
            pong = messages.Pong(probe.target, 0)
            self.subject.ponged(probe.probe_id, pong, self.now)
        self.assertGreater(patience[0], 2 * patience[-1] - 0.01)
        self.assertAlmostEqual(0.5, patience[-1], places=3)

    def _next_probe(self) -> list[fx.Probe]:
        while True:
            effects = self._tick(0.1)
            probes = [e for e in effects if isinstance(e, fx.Probe)]
            if probes:
                return probes

    def test_probes_do_not_grow_with_members(self) -> None:
        """An instance sends one probe a second among 3 and among 300."""
        for number in range(300):
            self.subject.learn(_member(f'm{number}'), self.now)
        sent = 0
        for _ in range(200):
            effects = self._tick(0.1)
            sent += sum(isinstance(e, fx.Probe) for e in effects)
        self.assertLessEqual(sent, 23)
        self.assertLessEqual(len(self.subject.neighbours), 20)

    def _agreeing(self, name: str) -> messages.Pong:
        pong, _ = self.subject.pinged(messages.Ping(_member(name)), self.now)
        return messages.Pong(_member(name), pong.view)


class IncarnationTest(unittest.TestCase):
    """Processes of one instance id."""

    def setUp(self) -> None:
        self.now = START
        self.subject = core.Detector(
            _member('own'),
            settings.DetectorSettings(),
            random.Random(1),
            self.now,
        )

    def test_dead_tells_processes_apart(self) -> None:
        """A restart makes the earlier process dead; a refutation doesn't."""
        old = _member('x', self.now, api.MemberState.LIVE)
        self.subject.learn(old, self.now)
        self.assertFalse(self.subject.dead('x', old.incarnation))
        refuted = old.incarnation + 1
        again = api.Member('x', refuted, '127.0.0.1', 1, 'd', old.state)
        self.subject.learn(again, self.now)
        self.assertFalse(self.subject.dead('x', old.incarnation))
        new = _member('x', self.now + 1.0, api.MemberState.LIVE)
        self.subject.learn(new, self.now)
        self.assertTrue(self.subject.dead('x', old.incarnation))
        self.assertFalse(self.subject.dead('x', new.incarnation))
        self.assertFalse(self.subject.dead('unheard', 1))

    def test_restart_behind_a_fast_clock(self) -> None:
        """A process whose predecessor's clock ran ahead still gets known."""
        ahead = _member('own', self.now + 9.0, api.MemberState.DEAD)
        self.subject.learn(ahead, self.now)
        own = self.subject.own
        self.assertGreater(own.incarnation, ahead.incarnation)
        self.assertGreater(
            api.boot_of(own.incarnation), api.boot_of(ahead.incarnation)
        )

    def test_older_report_is_ignored(self) -> None:
        """A late report of an earlier state changes nothing."""
        dead = _member('x', self.now, api.MemberState.DEAD)
        self.subject.learn(dead, self.now)
        late = _member('x', self.now, api.MemberState.SUSPECTED)
        self.assertEqual([], self.subject.learn(late, self.now))

    def test_ping_that_calls_it_dead_is_refuted_at_once(self) -> None:
        """The answer carries the new incarnation."""
        peer = _member('x', self.now, api.MemberState.LIVE)
        seen = self.subject.own.incarnation
        ping = messages.Ping(peer, seen, api.MemberState.DEAD)
        pong, _ = self.subject.pinged(ping, self.now)
        self.assertGreater(pong.sender.incarnation, seen)

    def test_leaving_stays_leaving(self) -> None:
        """A refutation does not take back that it leaves."""
        self.subject.leave()
        seen = self.subject.own.incarnation
        dead = _member('own', self.now, api.MemberState.DEAD)
        self.assertEqual(seen, dead.incarnation)
        self.subject.learn(dead, self.now)
        self.assertEqual(api.MemberState.LEAVING, self.subject.own.state)
        self.assertGreater(self.subject.own.incarnation, seen)

"""Tests of the requests that test verdicts."""

from __future__ import annotations

import typing
import unittest

from dogwoodquay.quarantine import api
from dogwoodquay.quarantine import core
from dogwoodquay.quarantine import probes

_HEARING: typing.Final = 1.1 * core.HEARING_SECONDS
_STEP: typing.Final = 0.1
_MEMBERS: typing.Final = ('owner', 'second', 'third')
# Parts of which the first comes first by its name, and both crash servers.
_SHARED: typing.Final = 'aa'
_DEADLY: typing.Final = 'bb'


def _traits(*parts: str) -> api.Traits:
    found = api.traits_of((*parts, 'own'))
    assert found is not None
    return found


class _Instances(unittest.TestCase):
    """An owner and others, which exchange what they know at each step."""

    def setUp(self) -> None:
        """Begin without evidence."""
        self.now = 1000.0
        self.members = {name: core.Quarantine(name) for name in _MEMBERS}
        self.deaf: set[str] = set()
        self.number = 0

    @property
    def owner(self) -> core.Quarantine:
        """The instance that decides."""
        return self.members['owner']

    def crash(self, *requests: tuple[str, ...], seconds: float = 1.5) -> None:
        """Report the end of a server with these requests."""
        self.number += 1
        broken = tuple(
            api.BrokenRequest(f'own-{self.number}-{number}', frozenset(parts))
            for number, parts in enumerate(requests)
        )
        self.owner.on_crash(
            api.CrashReport(f's{self.number}', self.now, broken)
        )
        self.run_for(seconds)

    def run_for(self, seconds: float) -> None:
        """Let all instances decide and exchange what they know."""
        for _ in range(round(seconds / _STEP)):
            self.now += _STEP
            self.owner.step(self.now, decides=True)
            for name, member in self.members.items():
                if member is self.owner or name in self.deaf:
                    continue
                self.owner.on_peer_reports(
                    member.reports(self.now),
                    member.objections(),
                    member.verdicts,
                    self.now,
                    member.probes,
                )
                self.owner.on_peer_progress(
                    name, member.probe_progress(self.now), self.now
                )
                member.on_owner_view(
                    self.owner.suspects,
                    self.owner.verdicts,
                    self.owner.probes,
                    self.now,
                )
                member.step(self.now, decides=False)

    def refused(self, *parts: str) -> bool:
        """Whether the owner refuses a request, not counting probes."""
        return self.owner.find(_traits(*parts), self.now) is not None

    def probe(
        self, *parts: str, seconds: float = 6.0
    ) -> tuple[core.Quarantine, frozenset[str]] | None:
        """Send requests everywhere until one may probe a verdict."""
        for _ in range(round(seconds / _STEP)):
            for name, member in self.members.items():
                if name in self.deaf:
                    continue
                taken = member.take_probe(_traits(*parts), self.now)
                if taken is not None:
                    return member, taken
            self.run_for(_STEP)
        return None


class TieTest(_Instances):
    """Two parts explain the crashes equally well (LOST)."""

    def test_decided_by_the_name(self) -> None:
        """Requests with one of the parts alone are not refused."""
        for shared, deadly in ((_SHARED, _DEADLY), (_DEADLY, _SHARED)):
            self.setUp()
            for _ in range(3):
                self.crash((shared, deadly), (shared,))
            self.assertTrue(self.refused(shared, deadly))
            self.assertFalse(self.refused(shared, 'other'))

    def test_the_other_part(self) -> None:
        """One more crash without the narrower explanation corrects it."""
        for _ in range(3):
            self.crash((_SHARED, _DEADLY), (_SHARED,))
        self.crash((_SHARED,))
        self.assertTrue(self.refused(_SHARED, 'other'))


class WrongVerdictTest(_Instances):
    """The part that comes with each request explains more crashes (LOST)."""

    def setUp(self) -> None:
        """Convict the shared part, as a server ended without the deadly."""
        super().setUp()
        for _ in range(3):
            self.crash((_SHARED, _DEADLY), (_SHARED,))
        self.crash((_SHARED,))
        self.assertTrue(self.refused(_SHARED, 'other'))

    def test_cleared(self) -> None:
        """An answer to a probe clears the part, and the other is convicted."""
        taken = self.probe(_SHARED)
        assert taken is not None
        member, parts = taken
        self.assertEqual(frozenset({_SHARED}), parts)
        member.on_answered(_traits(_SHARED), self.now)
        self.run_for(0.5)
        for name in _MEMBERS:
            found = {item.parts for item in self.members[name].verdicts}
            self.assertEqual({frozenset({_DEADLY})}, found)

    def test_other_part_is_not_sent(self) -> None:
        """A request with both parts cannot tell them apart."""
        self.assertIsNone(self.probe(_SHARED, _DEADLY))

    def test_cleared_before_the_other_is_convicted(self) -> None:
        """Whoever got the answer refuses the deadly part all the while."""
        taken = self.probe(_SHARED)
        assert taken is not None
        member, _ = taken
        member.on_answered(_traits(_SHARED), self.now)
        for _ in range(10):
            self.run_for(_STEP)
            deadly = _traits(_SHARED, _DEADLY)
            self.assertIsNotNone(member.find(deadly, self.now))

    def test_one_at_a_time(self) -> None:
        """All instances together send one probe."""
        self.assertIsNotNone(self.probe(_SHARED))
        seconds = probes.RESULT_SECONDS - 1.0
        self.assertIsNone(self.probe(_SHARED, seconds=seconds))

    def test_failed(self) -> None:
        """A server that ends under a probe costs no second one (BUDGET)."""
        taken = self.probe(_SHARED)
        assert taken is not None
        member, parts = taken
        member.on_probe_failed(parts)
        self.run_for(0.5)
        self.assertEqual((), self.owner.probes)
        self.assertIsNone(self.probe(_SHARED, seconds=60.0))
        self.assertTrue(self.refused(_SHARED, 'other'))

    def test_without_a_result(self) -> None:
        """Few probes are sent, however long requests come (BUDGET)."""
        sent = 0
        for _ in range(10):
            sent += self.probe(_SHARED, seconds=20.0) is not None
        self.assertEqual(probes.MAX_PROBES, sent)

    def test_not_sent(self) -> None:
        """A probe that reached no server does not count."""
        for _ in range(5):
            taken = self.probe(_SHARED)
            assert taken is not None
            member, parts = taken
            member.return_probe(parts)
        self.assertIsNotNone(self.probe(_SHARED))

    def test_instance_that_ended(self) -> None:
        """Its probe counts as sent, and another instance gets the next."""
        self.members['owner'].take_probe(_traits('none'), self.now)
        self.deaf = {'owner', 'third'}
        taken = self.probe(_SHARED)
        assert taken is not None
        self.assertIs(self.members['second'], taken[0])
        self.deaf = {'owner', 'second'}
        taken = self.probe(_SHARED, seconds=20.0)
        assert taken is not None
        self.assertIs(self.members['third'], taken[0])
        self.assertIsNone(self.probe(_SHARED, seconds=20.0))

    def test_new_owner(self) -> None:
        """It knows from the others which verdict is firm."""
        self.deaf = {'owner'}
        taken = self.probe(_SHARED)
        assert taken is not None
        member, parts = taken
        self.members['owner'] = core.Quarantine('owner')
        member.on_probe_failed(parts)
        self.run_for(0.5)
        self.assertTrue(self.refused(_SHARED, 'other'))
        self.assertIsNone(self.probe(_SHARED, seconds=30.0))


class FirmVerdictTest(_Instances):
    """Nothing speaks against a verdict."""

    def test_not_probed(self) -> None:
        """No further server is risked (BUDGET)."""
        for _ in range(3):
            self.crash((_SHARED,), (_SHARED,))
        self.run_for(2.0)
        self.assertTrue(self.refused(_SHARED))
        self.assertIsNone(self.probe(_SHARED, seconds=30.0))


class OneCauseTest(_Instances):
    """All crashes have one other cause, and nothing else explains them."""

    def test_mass_crash(self) -> None:
        """Guards against a new route that is refused for good (CONFIG)."""
        for _ in range(3):
            self.crash((_SHARED,), (_SHARED,), seconds=0.0)
        self.run_for(2.0)
        self.assertTrue(self.refused(_SHARED))
        taken = self.probe(_SHARED)
        assert taken is not None
        taken[0].on_answered(_traits(_SHARED), self.now)
        self.run_for(0.5)
        self.assertFalse(self.refused(_SHARED))

    def test_whole_request(self) -> None:
        """A request that crashes nothing has the same way back."""
        whole = api.traits_of((), 'digest')
        assert whole is not None
        for _ in range(3):
            self.crash(tuple(whole.shared), seconds=0.0)
        self.run_for(2.0)
        member, _ = self._probe_whole(whole)
        member.on_answered(whole, self.now)
        self.run_for(0.5)
        self.assertIsNone(self.owner.find(whole, self.now))

    def _probe_whole(
        self, whole: api.Traits
    ) -> tuple[core.Quarantine, frozenset[str]]:
        for _ in range(60):
            for member in self.members.values():
                taken = member.take_probe(whole, self.now)
                if taken is not None:
                    return member, taken
            self.run_for(_STEP)
        raise AssertionError('no probe')

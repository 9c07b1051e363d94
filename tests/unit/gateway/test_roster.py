"""Tests of the roster of live instances."""

from __future__ import annotations

import typing
import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.gateway import messages
from dogwoodquay.gateway import roster

_MEMBERS: typing.Final = strategies.dictionaries(
    strategies.text(max_size=3),
    strategies.text(min_size=1, max_size=2),
    max_size=4,
)


NOW: typing.Final = 100.0


def _roster(members: dict[str, str]) -> roster.Roster:
    subject = roster.Roster()
    for member, domain in members.items():
        subject.add(member, domain, NOW)
    return subject


def _row(member: str, domain: str = 'd1') -> messages.InstanceRow:
    return messages.InstanceRow(member, domain)


class RosterTest(unittest.TestCase):
    """The owner passes on its roster only when it has changed."""

    def test_rows_only_for_another_version(self) -> None:
        """Who has the version gets no rows."""
        subject = _roster({'b': 'd2', 'a': 'd1'})
        version, rows = subject.newer_than(0, NOW)
        self.assertEqual((_row('a'), _row('b', 'd2')), rows)
        self.assertNotEqual(0, version)
        self.assertEqual((version, ()), subject.newer_than(version, NOW))
        self.assertEqual((version, rows), subject.newer_than(version + 1, NOW))

    def test_changes(self) -> None:
        """A new, removed or moved instance changes the version."""
        subject = _roster({'a': 'd1'})
        versions = [subject.newer_than(0, NOW)[0]]
        for now, domain in ((NOW + 1, 'd2'), (NOW + 1.5, 'd3')):
            subject.add('b', domain, now)
            versions.append(subject.newer_than(0, now)[0])
        self.assertEqual(3, len(set(versions)))
        subject.add('a', 'd1', NOW + 3)
        version, rows = subject.newer_than(0, NOW + 4)
        self.assertEqual((versions[0], (_row('a'),)), (version, rows))

    def test_newer_load_keeps_the_version(self) -> None:
        """Loads of known instances do not change the roster."""
        subject = _roster({'a': 'd1'})
        version, _ = subject.newer_than(0, NOW)
        subject.add('a', 'd1', NOW + 1)
        self.assertEqual((version, ()), subject.newer_than(version, NOW + 1))

    def test_dead_instance_leaves(self) -> None:
        """An instance that sends no load any more is left out."""
        subject = _roster({'a': 'd1', 'b': 'd1'})
        self.assertEqual(2, len(subject.newer_than(0, NOW)[1]))
        subject.add('b', 'd1', NOW + 2)
        self.assertEqual((_row('b'),), subject.newer_than(0, NOW + 2.1)[1])

    def test_build_without_domain(self) -> None:
        """An instance of a build that tells no domain is left out."""
        subject = _roster({'a': 'd1', 'b': ''})
        self.assertEqual((_row('a'),), subject.newer_than(0, NOW)[1])
        subject.add('a', '', NOW + 1)
        self.assertEqual((0, ()), subject.newer_than(0, NOW + 1))

    def test_many_starts(self) -> None:
        """Instances that start one by one make few versions."""
        subject = roster.Roster()
        versions = set()
        for number in range(690):
            now = NOW + number / 690
            subject.add(f'front-{number}', 'd1', now)
            versions.add(subject.newer_than(0, now)[0])
        self.assertLess(len(versions), 30)
        now += 690 * roster.ROW_SECONDS
        for number in range(690):
            subject.add(f'front-{number}', 'd1', now)
        self.assertEqual(690, len(subject.newer_than(0, now)[1]))

    def test_new_owner(self) -> None:
        """A new owner does not shrink the roster before all could report."""
        subject = roster.Roster()
        subject.follow((_row('a'), _row('b'), _row('c')))
        subject.add('b', 'd1', NOW)
        self.assertEqual(3, len(subject.newer_than(0, NOW)[1]))
        subject.add('b', 'd2', NOW + 2.9)
        self.assertEqual(
            (_row('a'), _row('b', 'd2'), _row('c')),
            subject.newer_than(0, NOW + 2.9)[1],
        )
        self.assertEqual(
            (_row('b', 'd2'),), subject.newer_than(0, NOW + 3.1)[1]
        )

    def test_owner_again(self) -> None:
        """An owner that followed another one meanwhile starts from that."""
        subject = _roster({'a': 'd1'})
        subject.newer_than(0, NOW)
        subject.follow((_row('a'), _row('b')))
        subject.add('a', 'd1', NOW + 60)
        self.assertEqual(2, len(subject.newer_than(0, NOW + 60)[1]))

    @hypothesis.given(_MEMBERS, _MEMBERS)
    def test_versions_of_different_owners(
        self, first: dict[str, str], second: dict[str, str]
    ) -> None:
        """Two owners have the same version only for the same rows."""
        versions = [
            _roster(members).newer_than(-1, NOW)[0]
            for members in (first, second)
        ]
        self.assertEqual(first == second, len(set(versions)) == 1)
        self.assertTrue(all(0 <= item < 2**48 for item in versions))

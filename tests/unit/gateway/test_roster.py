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


def _roster(members: dict[str, str]) -> roster.Roster:
    subject = roster.Roster()
    for member, domain in members.items():
        subject.add(member, domain)
    return subject


class RosterTest(unittest.TestCase):
    """The owner passes on its roster only when it has changed."""

    def test_rows_only_for_another_version(self) -> None:
        """Who has the version gets no rows."""
        subject = _roster({'b': 'd2', 'a': 'd1'})
        version, rows = subject.newer_than(0)
        expected = (
            messages.InstanceRow('a', 'd1'),
            messages.InstanceRow('b', 'd2'),
        )
        self.assertEqual(expected, rows)
        self.assertNotEqual(0, version)
        self.assertEqual((version, ()), subject.newer_than(version))
        self.assertEqual((version, rows), subject.newer_than(version + 1))

    def test_changes(self) -> None:
        """A new, removed or moved instance changes the version."""
        subject = _roster({'a': 'd1'})
        versions = [subject.newer_than(0)[0]]
        subject.add('b', 'd2')
        versions.append(subject.newer_than(0)[0])
        subject.add('b', 'd3')
        versions.append(subject.newer_than(0)[0])
        self.assertEqual(3, len(set(versions)))
        subject.remove('b')
        self.assertEqual(versions[0], subject.newer_than(0)[0])

    def test_build_without_domain(self) -> None:
        """An instance of a build that tells no domain is left out."""
        subject = _roster({'a': 'd1', 'b': ''})
        self.assertEqual(
            (messages.InstanceRow('a', 'd1'),), subject.newer_than(0)[1]
        )
        subject.add('a', '')
        self.assertEqual((0, ()), subject.newer_than(0))

    @hypothesis.given(_MEMBERS, _MEMBERS)
    def test_versions_of_different_owners(
        self, first: dict[str, str], second: dict[str, str]
    ) -> None:
        """Two owners have the same version only for the same rows."""
        versions = [
            _roster(members).newer_than(-1)[0] for members in (first, second)
        ]
        self.assertEqual(first == second, len(set(versions)) == 1)
        self.assertTrue(all(0 <= item < 2**48 for item in versions))

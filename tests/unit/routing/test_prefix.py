"""Tests of the prefix index."""

from __future__ import annotations

import unittest

from dogwoodquay.external import api as external_api
from dogwoodquay.routing import prefix
from tests.unit.routing import views

_HASHES = (1, 2, 3, 4)


class PrefixIndexTest(unittest.TestCase):
    """What the index believes of a server's cache."""

    def setUp(self) -> None:
        super().setUp()
        self.subject = prefix.PrefixIndex()
        self.subject.update('s', views.stored('e1', 0, _HASHES), 0.0)

    def test_matches_the_longest_prefix(self) -> None:
        """Half of a prompt's blocks count as half."""
        hashes = (1, 2, 8, 9)
        self.assertEqual(0.5, self.subject.match('s', hashes, 1.0))

    def test_a_new_incarnation_clears(self) -> None:
        """A restarted engine has an empty cache."""
        self.subject.update('s', views.stored('e2', 0, (7,)), 1.0)
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 1.0))
        self.assertEqual(1.0, self.subject.match('s', (7,), 1.0))

    def test_a_gap_shortens_the_life_of_what_came_before(self) -> None:
        """A removal may be among the lost events."""
        self.subject.update('s', views.stored('e1', 9, (7,)), 10.0)
        self.assertEqual(1.0, self.subject.match('s', _HASHES, 11.0))
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 41.0))
        self.assertEqual(1.0, self.subject.match('s', (7,), 41.0))

    def test_a_gap_at_the_end_of_a_page_counts(self) -> None:
        """The next sequence may say more than the events do."""
        page = external_api.CacheEvents('e1', 9, ())
        self.subject.update('s', page, 10.0)
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 41.0))

    def test_entries_fade_without_events(self) -> None:
        """Presumed blocks sooner than confirmed ones."""
        self.subject.presume('s', (7,), 0.0)
        self.assertEqual(1.0, self.subject.match('s', (7,), 59.0))
        self.assertEqual(0.0, self.subject.match('s', (7,), 61.0))
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 301.0))

    def test_stays_within_its_bound(self) -> None:
        """The oldest entries go first."""
        subject = prefix.PrefixIndex(prefix.PrefixSettings(max_entries=9))
        for number in range(100):
            subject.presume(f's{number % 3}', (number,), float(number))
        self.assertLessEqual(len(subject), 9)
        self.assertEqual([], subject.owners((5,), 2))
        self.assertEqual(['s0'], subject.owners((99,), 2))

    def test_a_removed_block_ends_the_match(self) -> None:
        """An eviction that was announced is believed at once."""
        gone = external_api.CacheEvent(4, 2, False)
        page = external_api.CacheEvents('e1', 5, (gone,))
        self.subject.update('s', page, 1.0)
        self.assertEqual(0.25, self.subject.match('s', _HASHES, 1.0))

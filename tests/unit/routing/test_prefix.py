"""Tests of the prefix index."""

from __future__ import annotations

import unittest

from dogwoodquay.external import api as external_api
from dogwoodquay.routing import prefix
from tests.unit.routing import views

_HASHES = (1, 2, 3, 4)


class PrefixIndexTest(unittest.TestCase):
    """The contents of the index after events and sent requests."""

    def setUp(self) -> None:
        super().setUp()
        self.subject = prefix.PrefixIndex()
        self.subject.update('s', views.stored('e1', 0, _HASHES), 0.0)

    def test_matches_the_longest_prefix(self) -> None:
        """If the first two of four blocks are cached, half matches."""
        hashes = (1, 2, 8, 9)
        self.assertEqual(0.5, self.subject.match('s', hashes, 1.0))

    def test_a_new_incarnation_removes_all_blocks(self) -> None:
        """A restarted engine has an empty cache."""
        self.subject.update('s', views.stored('e2', 0, (7,)), 1.0)
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 1.0))
        self.assertEqual(1.0, self.subject.match('s', (7,), 1.0))

    def test_a_gap_shortens_the_lifetime_of_earlier_blocks(self) -> None:
        """A removal may be among the lost events."""
        self.subject.update('s', views.stored('e1', 9, (7,)), 10.0)
        self.assertEqual(1.0, self.subject.match('s', _HASHES, 11.0))
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 41.0))
        self.assertEqual(1.0, self.subject.match('s', (7,), 41.0))

    def test_a_gap_at_the_end_of_a_page_counts(self) -> None:
        """A next sequence number beyond the events indicates a gap."""
        page = external_api.CacheEvents('e1', 9, ())
        self.subject.update('s', page, 10.0)
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 41.0))

    def test_entries_expire_without_events(self) -> None:
        """Expected blocks expire sooner than reported ones."""
        self.subject.add_expected('s', (7,), 0.0)
        self.assertEqual(1.0, self.subject.match('s', (7,), 59.0))
        self.assertEqual(0.0, self.subject.match('s', (7,), 61.0))
        self.assertEqual(0.0, self.subject.match('s', _HASHES, 301.0))

    def test_the_number_of_entries_is_limited(self) -> None:
        """The oldest entries are evicted first."""
        subject = prefix.PrefixIndex(prefix.PrefixSettings(max_entries=9))
        for number in range(100):
            subject.add_expected(f's{number % 3}', (number,), float(number))
        self.assertLessEqual(len(subject), 9)
        self.assertEqual([], subject.servers_with_prefix((5,), 2))
        self.assertEqual(['s0'], subject.servers_with_prefix((99,), 2))

    def test_a_removed_block_ends_the_match(self) -> None:
        """A removal takes effect at once."""
        removal = external_api.CacheEvent(4, 2, False)
        page = external_api.CacheEvents('e1', 5, (removal,))
        self.subject.update('s', page, 1.0)
        self.assertEqual(0.25, self.subject.match('s', _HASHES, 1.0))

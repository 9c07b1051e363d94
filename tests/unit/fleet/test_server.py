"""Tests of the beliefs about one server."""

from __future__ import annotations

import unittest

from . import entries
from dogwoodquay.fleet import api
from dogwoodquay.fleet import server as servers


class LoadTest(unittest.TestCase):
    """The load is the others' last report and the own exact count."""

    def test_own_requests_count_at_once(self) -> None:
        """A report of before does not hide what was sent since."""
        server = entries.made()
        server.begin()
        server.note_load(5, 10.0)
        server.begin()
        self.assertEqual(6, server.load(10.1))
        server.end(started=False)
        server.end(started=False)
        self.assertEqual(4, server.load(10.1))

    def test_old_report_is_left(self) -> None:
        """A report that is too old says nothing of the others."""
        server = entries.made()
        server.note_load(50, 10.0)
        self.assertEqual(0, server.load(10.0 + servers.LOAD_SECONDS + 0.1))


class HealthTest(unittest.TestCase):
    """Failures in a row take a server out for a while, and longer."""

    def test_ejected_after_some_failures(self) -> None:
        """One failure is none; a success forgets those before it."""
        server = entries.made()
        self.assertFalse(server.failed(1.0))
        self.assertFalse(server.failed(1.0))
        server.succeeded(0.1)
        self.assertFalse(server.failed(1.0))
        self.assertFalse(server.failed(1.0))
        self.assertTrue(server.failed(1.0))
        self.assertTrue(server.ejected(1.1))
        self.assertFalse(server.ejected(1.0 + servers.EJECT_SECONDS))

    def test_longer_each_time(self) -> None:
        """A server that fails again at once stays away longer."""
        server = entries.made()
        self.assertTrue(server.failed(1.0, unreachable=True))
        self.assertTrue(server.failed(2.0, unreachable=True))
        self.assertTrue(server.ejected(2.0 + servers.EJECT_SECONDS))


class ContentsTest(unittest.TestCase):
    """The owner's word goes before the list, for a while."""

    def test_owner_goes_first(self) -> None:
        """A newer entry does not bring back what the owner removed."""
        server = entries.made(models=(entries.held('m', 'a1'),))
        self.assertTrue(server.holds('m', 'a1'))
        server.note_held({'m': frozenset()}, 5.0)
        later = entries.entry(models=(entries.held('m', 'a1'),))
        server.follow(later, 5.5)
        self.assertFalse(server.holds('m', 'a1'))
        server.follow(later, 5.1 + servers.HELD_SECONDS)
        self.assertTrue(server.holds('m', 'a1'))

    def test_absent(self) -> None:
        """What the server itself denies is not asked of it again."""
        server = entries.made(models=(entries.held('m', 'a1', 'a2'),))
        server.note_absent('m', 'a1')
        self.assertFalse(server.holds('m', 'a1'))
        self.assertTrue(server.holds('m', 'a2'))
        server.note_absent('m', '')
        self.assertFalse(server.holds('m', ''))
        self.assertTrue(server.holds('', ''))

    def test_leaving_stays(self) -> None:
        """A late entry of a leaving server does not make it live again."""
        server = entries.made(state=api.ServerState.LEAVING)
        server.follow(entries.entry(), 1.0)
        self.assertTrue(server.leaving)

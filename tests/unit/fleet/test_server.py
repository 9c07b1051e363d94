"""Tests of the state of one server."""

from __future__ import annotations

import unittest

from . import entries
from dogwoodquay.fleet import api
from dogwoodquay.fleet import server as servers


class LoadTest(unittest.TestCase):
    """The load is the others' reported and the instance's own requests."""

    def test_own_requests_count_at_once(self) -> None:
        """Requests sent after a report are added to it."""
        server = entries.make_server()
        server.begin()
        server.update_load(5, 10.0)
        server.begin()
        self.assertEqual(6, server.load(10.1))
        server.end(started=False)
        server.end(started=False)
        self.assertEqual(4, server.load(10.1))

    def test_old_report_is_ignored(self) -> None:
        """An old report of the others' load is ignored."""
        server = entries.make_server()
        server.update_load(50, 10.0)
        self.assertEqual(
            0, server.load(10.0 + servers.OTHERS_LOAD_SECONDS + 0.1)
        )


class HealthTest(unittest.TestCase):
    """Consecutive failures eject a server, for longer each time."""

    def test_ejected_after_some_failures(self) -> None:
        """A success resets the count of consecutive failures."""
        server = entries.make_server()
        self.assertFalse(server.failed(1.0))
        self.assertFalse(server.failed(1.0))
        server.succeeded(0.1)
        self.assertFalse(server.failed(1.0))
        self.assertFalse(server.failed(1.0))
        self.assertTrue(server.failed(1.0))
        self.assertTrue(server.ejected(1.1))
        self.assertFalse(server.ejected(1.0 + servers.EJECT_SECONDS))

    def test_longer_each_time(self) -> None:
        """A server that fails again is ejected for longer."""
        server = entries.make_server()
        self.assertTrue(server.failed(1.0, unreachable=True))
        self.assertTrue(server.failed(2.0, unreachable=True))
        self.assertTrue(server.ejected(2.0 + servers.EJECT_SECONDS))


class LoadedModelsTest(unittest.TestCase):
    """The owner's view of the loaded models takes precedence."""

    def test_owner_takes_precedence(self) -> None:
        """An entry does not replace a recent view of the owner."""
        server = entries.make_server(models=(entries.loaded_model('m', 'a1'),))
        self.assertTrue(server.has_loaded('m', 'a1'))
        server.update_loaded({'m': frozenset()}, 5.0)
        later = entries.entry(models=(entries.loaded_model('m', 'a1'),))
        server.update_entry(later, 5.5)
        self.assertFalse(server.has_loaded('m', 'a1'))
        server.update_entry(later, 5.1 + servers.OWNER_VIEW_SECONDS)
        self.assertTrue(server.has_loaded('m', 'a1'))

    def test_marked_as_not_loaded(self) -> None:
        """A model or adapter that the server has not loaded is removed."""
        server = entries.make_server(
            models=(entries.loaded_model('m', 'a1', 'a2'),)
        )
        server.mark_not_loaded('m', 'a1')
        self.assertFalse(server.has_loaded('m', 'a1'))
        self.assertTrue(server.has_loaded('m', 'a2'))
        server.mark_not_loaded('m', '')
        self.assertFalse(server.has_loaded('m', ''))
        self.assertTrue(server.has_loaded('', ''))

    def test_leaving_stays(self) -> None:
        """A delayed entry does not make a leaving server live again."""
        server = entries.make_server(state=api.ServerState.LEAVING)
        server.update_entry(entries.entry(), 1.0)
        self.assertTrue(server.leaving)

"""Tests of what a part of the list's log tells."""

from __future__ import annotations

import math
import typing
import unittest

from . import entries
from dogwoodquay.fleet import history
from dogwoodquay.fleet import registry as registries

_BEAT: typing.Final = 1.2


class ListHistoryTest(unittest.TestCase):
    """Versions that were listed, and how far the log reaches back."""

    def setUp(self) -> None:
        """Begin in the middle of a log."""
        self.subject = history.ListHistory(complete=False)
        self.reports = 0

    def _write(self, server_id: str, times: int = 1, **changes: str) -> None:
        fields = {'version': 'v1', **changes}
        for _ in range(times):
            self.reports += 1
            entry = entries.entry(
                server_id, report_number=self.reports, **fields
            )
            self.subject.add(server_id, entry)

    def _covered(self) -> float:
        return self.subject.covered_seconds(_BEAT)

    def test_versions(self) -> None:
        """All versions count, also of servers that have left."""
        self._write('s1')
        self._write('s2', version='v2')
        self.subject.add('s2', None)
        self.assertEqual(
            {('models', 'v1'), ('models', 'v2')}, self.subject.versions
        )

    def test_heartbeats(self) -> None:
        """The servers' heartbeats are the only clock of the log."""
        self.assertEqual(0.0, self._covered())
        self._write('s1', 30)
        beats = 29 - history.MARGIN_HEARTBEATS
        self.assertAlmostEqual(beats * _BEAT, self._covered())

    def test_changes(self) -> None:
        """What servers write in between is no heartbeat."""
        for number in range(40):
            self._write('s1', failure_domain=f'd{number}')
        self.assertEqual(0.0, self._covered())

    def test_one_writer_of_many_records(self) -> None:
        """A single entry that is written too often counts for little."""
        self._write('odd', 1000)
        for server_id in ('s1', 's2'):
            self._write(server_id, 10)
        beats = 9 - history.MARGIN_HEARTBEATS
        self.assertAlmostEqual(beats * _BEAT, self._covered())

    def test_unknown_server_left(self) -> None:
        """A server that the log does not show had an unknown version."""
        self._write('s1', 30)
        self.subject.add('s2', None)
        self.assertEqual(0.0, self._covered())
        self._write('s1', 10)
        beats = 10 - history.MARGIN_HEARTBEATS
        self.assertAlmostEqual(beats * _BEAT, self._covered())

    def test_complete(self) -> None:
        """A log from its first record on shows all that ever was."""
        self.subject = history.ListHistory(complete=True)
        self._write('s1')
        self.subject.add('s1', None)
        self.assertEqual(math.inf, self._covered())


class RegistryTest(unittest.TestCase):
    """The registry counts what was listed before it followed the list."""

    def setUp(self) -> None:
        """Follow the list from 100 on."""
        self.registry = registries.Registry()
        self.registry.replace([entries.entry('s1', version='v1')], 100.0)

    def test_sole_version(self) -> None:
        """Earlier versions count as if listed up to the begin."""
        self.assertIsNone(self.registry.sole_version('models', 90.0))
        self.registry.extend_history([('models', 'v1')], 80.0)
        self.assertEqual('v1', self.registry.sole_version('models', 90.0))
        self.assertIsNone(self.registry.sole_version('models', 79.0))
        self.registry.extend_history([('models', 'v2')], 70.0)
        self.assertIsNone(self.registry.sole_version('models', 71.0))
        self.assertEqual('v1', self.registry.sole_version('models', 101.0))

    def test_later_time(self) -> None:
        """What is known is not forgotten."""
        self.registry.extend_history([], 120.0)
        self.assertEqual(100.0, self.registry.followed_since)

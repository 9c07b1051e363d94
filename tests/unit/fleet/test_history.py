"""Tests of what a part of the list's log tells."""

from __future__ import annotations

import math
import random
import typing
import unittest

from . import entries
from dogwoodquay.fleet import api
from dogwoodquay.fleet import first_version
from dogwoodquay.fleet import history
from dogwoodquay.fleet import registry as registries

_BEAT: typing.Final = 1.2
_LIFETIME_SECONDS: typing.Final = 6.0


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


class WeightsTest(unittest.TestCase):
    """The states of the list in the last seconds."""

    def setUp(self) -> None:
        """Begin in the middle of a log."""
        self.subject = history.ListHistory(complete=False)
        self.numbers = {'s1': 100, 's2': 500}

    def _beat(self, times: int = 1, skipped: int = 0) -> None:
        """Write all servers' entries, after some that were not written."""
        for _ in range(times):
            for server_id in self.numbers:
                self._write(server_id, skipped)

    def _write(self, server_id: str, skipped: int = 0) -> None:
        self.numbers[server_id] += 1 + skipped
        version = 'v1' if server_id == 's1' else 'v2'
        self.subject.add(
            server_id,
            entries.entry(
                server_id,
                version=version,
                report_number=self.numbers[server_id],
            ),
        )

    def _weights(self, seconds: float = 6.0) -> list[dict[str, int]] | None:
        return self.subject.weights('models', '', seconds, _BEAT)

    def test_no_change(self) -> None:
        """There is one state, once the log reaches back far enough."""
        self._beat(6)
        self.assertIsNone(self._weights())
        self._beat(6)
        self.assertEqual([{'v1': 1, 'v2': 1}], self._weights())

    def test_outage(self) -> None:
        """The numbers tell the time in which nothing was written."""
        self._beat(3)
        self._beat(skipped=8)
        self.assertEqual([{'v1': 1, 'v2': 1}], self._weights())

    def test_changes(self) -> None:
        """A server that came lately, and one that has left."""
        self._beat(12)
        self.numbers['s3'] = 0
        self._beat(3)
        self.subject.add('s1', None)
        del self.numbers['s1']
        self.assertEqual(
            [{'v1': 1, 'v2': 1}, {'v1': 1, 'v2': 2}, {'v2': 2}],
            self._weights(),
        )
        self._beat(9)
        self.assertEqual([{'v2': 2}], self._weights())

    def test_expired_in_an_outage(self) -> None:
        """A server that is listed again was in use all the while."""
        self._beat(4)
        for server_id in self.numbers:
            self.subject.add(server_id, None)
        self._beat(skipped=8)
        self.assertEqual([{'v1': 1, 'v2': 1}], self._weights())
        self.subject.add('s1', None)
        del self.numbers['s1']
        self._beat(12)
        self.assertEqual([{'v2': 1}], self._weights())

    def test_unknown_server(self) -> None:
        """One that is removed, or comes late, was listed unknown."""
        self._beat(12)
        self.subject.add('s9', None)
        self.assertIsNone(self._weights())
        self._beat(12)
        self.assertEqual([{'v1': 1, 'v2': 1}], self._weights())
        self.numbers['s4'] = 70
        self._beat()
        self.assertIsNone(self._weights())

    def test_restarted_server(self) -> None:
        """The numbers of another process tell no time."""
        self._beat(12)
        for server_id in self.numbers:
            self.subject.add(
                server_id,
                entries.entry(
                    server_id,
                    started_ms=2000,
                    report_number=self.numbers[server_id] + 50,
                ),
            )
        self.assertIsNone(self._weights())


class _World:
    """A list and its log, over time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.outage_until = 0.0
        self.expired: set[str] = set()
        self.log: list[tuple[float, str, api.ServerEntry | None]] = []
        self.numbers: dict[str, int] = {}
        self.due: dict[str, float] = {}
        self.entries: dict[str, api.ServerEntry] = {}
        for _ in range(4):
            self.add()

    def add(self) -> None:
        """Start a server of a random version."""
        server_id = f's{len(self.numbers)}'
        self.numbers[server_id] = 0
        self.due[server_id] = self.now
        self.entries[server_id] = entries.entry(
            server_id, version=self.rng.choice(('v1', 'v2'))
        )

    def step(self) -> None:
        """Let a tenth of a second pass."""
        self.now += 0.1
        available = self.now >= self.outage_until
        if not available and self.rng.random() < 0.02:
            self._expire(self.rng.choice(list(self.due)))
        for server_id, due in list(self.due.items()):
            if self.now >= due:
                self.due[server_id] = self.now + _BEAT
                self.numbers[server_id] += 1
                if available:
                    self._write(server_id)
        chance = self.rng.random()
        if chance < 0.004:
            self.outage_until = self.now + self.rng.uniform(1.0, 8.0)
        elif chance < 0.02 and available:
            self.add()
        elif chance < 0.03 and available and len(self.due) > 2:
            server_id = self.rng.choice(list(self.due))
            del self.due[server_id]
            self.log.append((self.now, server_id, None))
        elif chance < 0.1:
            server_id = self.rng.choice(list(self.due))
            names = self.rng.sample('mno', self.rng.randrange(4))
            models = tuple(entries.loaded_model(name) for name in names)
            changed = self.entries[server_id]._replace(models=models)
            self.entries[server_id] = changed
            self.numbers[server_id] += 1
            if available:
                self._write(server_id)

    def _expire(self, server_id: str) -> None:
        """Drop an entry in the outage, of which no instance reads."""
        if server_id not in self.expired:
            self.expired.add(server_id)
            self.log.append((self.now, server_id, None))

    def _write(self, server_id: str) -> None:
        self.expired.discard(server_id)
        number = self.numbers[server_id]
        entry = self.entries[server_id]._replace(report_number=number)
        self.log.append((self.now, server_id, entry))

    def view(self, lag: float) -> list[api.ServerEntry]:
        """Return the list as an instance knows it."""
        known: dict[str, api.ServerEntry] = {}
        for at, server_id, entry in self.log:
            if at > self.now - lag:
                break
            if entry is not None:
                known[server_id] = entry
            elif server_id not in self.due:
                known.pop(server_id, None)
        return list(known.values())

    def history(self, seconds: float) -> history.ListHistory:
        """Return what the records of the last seconds tell."""
        kept = [item for item in self.log if item[0] >= self.now - seconds]
        found = history.ListHistory(complete=len(kept) == len(self.log))
        for _, server_id, entry in kept:
            found.add(server_id, entry)
        return found


class SelectedVersionTest(unittest.TestCase):
    """No history of the list tells a wrong version of a stream (ORDER)."""

    def _play(
        self, seed: int, seconds: float = _LIFETIME_SECONDS
    ) -> tuple[int, int]:
        """Return how often a version was told, and how often a wrong one.

        :param seconds: how far back the states of the list are asked for.
        """
        world = _World(seed)
        began: list[tuple[float, str, str | None]] = []
        told = wrong = 0
        for step in range(400):
            world.step()
            name = f'{seed}-{step}'
            view = world.view(world.rng.uniform(0.0, 0.8))
            counts = first_version.weights(view, 'models', 'm')
            began.append((world.now, name, first_version.choose(name, counts)))
            at, name, version = world.rng.choice(began[-55:])
            if (
                world.now < world.outage_until
                or world.now > at + _LIFETIME_SECONDS
            ):
                continue
            states = world.history(20.0).weights('models', 'm', seconds, _BEAT)
            found = {first_version.choose(name, item) for item in states or ()}
            if len(found) == 1 and None not in found:
                told += 1
                wrong += found != {version}
        return told, wrong

    def test_joined_after_some_history(self) -> None:
        """What is told is true, also after outages and restarts."""
        results = [self._play(seed) for seed in range(20)]
        self.assertGreater(sum(told for told, _ in results), 200)
        self.assertEqual(0, sum(wrong for _, wrong in results))

    def test_newest_state_alone(self) -> None:
        """The histories show streams whose version is no longer chosen."""
        wrong = sum(self._play(seed, 0.0)[1] for seed in range(20))
        self.assertLess(0, wrong)

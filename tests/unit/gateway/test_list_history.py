"""Tests of reading the log of the server list."""

from __future__ import annotations

import json
import typing
import unittest

import expression

from . import fakes
from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import list_history
from dogwoodquay.gateway import store_api

_NOW: typing.Final = 100.0


def _decode(
    server_id: str, body: bytes
) -> expression.Result[fleet_api.ServerEntry, str]:
    try:
        return expression.Ok(entries.entry(server_id, **json.loads(body)))
    except ValueError:
        return expression.Error('unreadable')


class ListHistoryReaderTest(unittest.IsolatedAsyncioTestCase):
    """The log is read once, as far back as it is needed."""

    def setUp(self) -> None:
        """Follow a list with one server from now on."""
        self.clock = clocks.ManualClock(_NOW)
        self.store = fakes.FakeStore(self.clock)
        self.registry = registries.Registry()
        self.registry.replace([entries.entry('s1', version='v1')], _NOW)
        self.subject = list_history.ListHistoryReader(
            self.store,
            store_api.Topic('any'),
            _decode,
            self.registry,
            1.2,
            self.clock,
            lambda: store_api.Position(
                self.store.era, len(self.store.records)
            ),
        )

    def _write(self, count: int = 1, version: str = 'v1') -> None:
        for _ in range(count):
            number = len(self.store.records)
            body = {'version': version, 'report_number': number}
            self.store.put('s1', json.dumps(body).encode())

    async def _sole_version(self, since: float) -> str | None:
        await self.subject.extend(since, self.clock.now() + 1.0)
        return self.registry.sole_version('models', since)

    async def test_whole_log(self) -> None:
        """Nothing that was ever listed is missing."""
        self._write(3)
        self.assertEqual('v1', await self._sole_version(_NOW - 50.0))
        calls = self.store.calls
        self.assertEqual('v1', await self._sole_version(_NOW - 60.0))
        self.assertEqual(calls, self.store.calls)

    async def test_another_version(self) -> None:
        """A version that was listed before the start."""
        self._write(1, 'v2')
        self._write(3)
        self.assertIsNone(await self._sole_version(_NOW - 50.0))

    async def test_expired_records(self) -> None:
        """The rest of the log reaches as far back as its heartbeats."""
        self._write(60)
        self.store.first_offset = 20
        self.assertEqual('v1', await self._sole_version(_NOW - 30.0))
        self.assertIsNone(await self._sole_version(_NOW - 50.0))

    async def test_forgotten_log(self) -> None:
        """A log without records tells nothing."""
        self._write(60)
        self.store.first_offset = 60
        self.assertIsNone(await self._sole_version(_NOW - 1.0))

    async def test_end_of_a_long_log(self) -> None:
        """No more is read than what is needed."""
        self._write(5000)
        read: list[int] = []
        whole = self.store.read

        async def record(
            topic: store_api.Topic,
            position: store_api.Position,
            *args: typing.Any,
        ) -> typing.Any:
            read.append(position.offset)
            return await whole(topic, position, *args)

        self.store.read = record  # type: ignore[method-assign,assignment]
        self.assertEqual('v1', await self._sole_version(_NOW - 12.0))
        self.assertGreater(read[0], 4800)
        self.assertEqual('v1', await self._sole_version(_NOW - 6.0))
        self.assertEqual(1, len(read))
        self.assertEqual('v1', await self._sole_version(_NOW - 100.0))

    async def test_unreadable_entry(self) -> None:
        """It is a server of an unknown version that has left."""
        self._write(60)
        self.store.put('s2', b'\xff')
        self._write(3)
        self.store.first_offset = 1
        self.assertIsNone(await self._sole_version(_NOW - 12.0))

    async def test_store_unavailable(self) -> None:
        """The log is read again after a while."""
        self._write(3)
        self.store.unavailable = True
        self.assertIsNone(await self._sole_version(_NOW - 12.0))
        self.store.unavailable = False
        self.assertIsNone(await self._sole_version(_NOW - 12.0))
        self.clock.advance(list_history.BACKOFF_SECONDS)
        self.assertEqual('v1', await self._sole_version(_NOW - 12.0))

    async def test_restored_store(self) -> None:
        """Positions of another era tell nothing of the log."""
        self._write(3)
        era, end = self.store.era, len(self.store.records)
        self.subject = list_history.ListHistoryReader(
            self.store,
            store_api.Topic('any'),
            _decode,
            self.registry,
            1.2,
            self.clock,
            lambda: store_api.Position(era + 1, end),
        )
        self.store.era = era + 2
        self.assertIsNone(await self._sole_version(_NOW - 12.0))

"""Tests of following the server list."""

from __future__ import annotations

import json
import unittest

import expression

from . import fakes
from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import store_api
from dogwoodquay.gateway import watch

TOPIC = store_api.Topic('any')


def _server(
    server_id: str, body: bytes
) -> expression.Result[fleet_api.ServerEntry, str]:
    try:
        changes = json.loads(body)
    except ValueError:
        return expression.Error('unreadable')
    return expression.Ok(entries.entry(server_id, **changes))


class ServersTest(unittest.IsolatedAsyncioTestCase):
    """The registry of servers follows the list in the store."""

    def setUp(self) -> None:
        """Create a store and a watch."""
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.registry = registries.Registry()
        self.changes = 0
        self.watch = watch.ServerWatch(
            self.store,
            TOPIC,
            _server,
            self.registry,
            0.7,
            self.clock,
            fakes.make_metrics(),
            self._changed,
        )

    def _changed(self) -> None:
        self.changes += 1

    async def test_changes_applied(self) -> None:
        """New, removed and unreadable entries change no other entries."""
        self.store.put('s1', b'{}')
        await self.watch.step()
        self.store.put('s2', b'{}')
        self.store.put('s3', b'\xff\x00')
        await self.watch.step()
        self.assertEqual({'s1', 's2'}, set(self.registry.servers))
        self.store.put('s1', b'')
        await self.watch.step()
        self.assertEqual({'s2'}, set(self.registry.servers))
        self.assertEqual(3, self.changes)

    async def test_entry_expired_in_outage(self) -> None:
        """A removed server is kept until it had time to be listed again."""
        self.store.put('s1', b'{}')
        self.store.put('s2', b'{}')
        await self.watch.step()
        self.store.unavailable = True
        await self.watch.step()
        self.clock.advance(6.0)
        self.store.unavailable = False
        self.store.put('s1', b'')
        self.store.put('s2', b'')
        await self.watch.step()
        self.assertEqual(2, len(self.registry.of_service('models')))
        self.store.put('s1', b'{"report_number": 2}')
        self.clock.advance(registries.RENEWAL_SECONDS + 0.1)
        await self.watch.step()
        self.assertEqual({'s1'}, set(self.registry.servers))

    async def test_trimmed_records(self) -> None:
        """After trimmed records the list is read anew, without old servers."""
        self.store.put('s1', b'{}')
        await self.watch.step()
        self.store.put('s2', b'{}')
        self.store.put('s1', b'')
        self.store.first_offset = 3
        await self.watch.step()
        await self.watch.step()
        self.assertEqual({'s2'}, set(self.registry.servers))

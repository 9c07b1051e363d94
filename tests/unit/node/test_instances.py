"""Tests of reading the platform's lagging instance list."""

from __future__ import annotations

import unittest

import anyio
import expression

from dogwoodquay import clock
from dogwoodquay.external import api
from dogwoodquay.node import instances


class _List:
    """An instance list whose answer the test sets."""

    def __init__(self):
        self.answer = expression.Ok(())

    def set_state(self, leaving, server_id='engine-1'):
        state = (
            api.InstanceState.LEAVING if leaving else api.InstanceState.LIVE
        )
        item = api.Instance(
            server_id,
            '127.0.0.1',
            1,
            'a',
            state,
            api.InstanceKind.UPSTREAM,
        )
        entry = api.Instance(
            'entry-1', '127.0.0.1', 2, 'a', api.InstanceState.LIVE
        )
        self.answer = expression.Ok((item, entry))

    async def instances(self, deadline):
        return self.answer

    async def announce(self, instance, deadline):
        return expression.Ok(None)


class _ReplicatedMap:
    """A replicated map that all instances of a test share."""

    def __init__(self):
        self.items = {}
        self.callbacks = []

    def put(self, item):
        known = self.items.get(item.key)
        if known is not None and item.version <= known.version:
            return False
        self.items[item.key] = item
        for callback in self.callbacks:
            callback(item)
        return True

    def get(self, key):
        return self.items.get(key)

    def watch(self, prefix, callback):
        self.callbacks.append(callback)


class _Router:
    """Records the servers that are marked as leaving."""

    def __init__(self):
        self.leaving = set()

    def mark_leaving(self, server_id, now):
        self.leaving.add(server_id)

    def mark_live(self, server_id, now):
        self.leaving.discard(server_id)


class InstanceWatchTest(unittest.TestCase):
    """Two instances, one of which reads a stale list."""

    def setUp(self):
        self.replicated_map = _ReplicatedMap()
        self.lists = (_List(), _List())
        self.routers = (_Router(), _Router())
        time = clock.ManualClock()
        self.watches = [
            instances.InstanceWatch(source, self.replicated_map, router, time)
            for source, router in zip(self.lists, self.routers, strict=True)
        ]
        for source in self.lists:
            source.set_state(leaving=False)
        self._read()

    def _read(self):
        for watch in self.watches:
            anyio.run(watch.step)

    def _leaving(self):
        return [sorted(router.leaving) for router in self.routers]

    def test_change_is_published_to_all(self):
        """An instance with a stale list learns of the change by gossip."""
        self.lists[0].set_state(leaving=True)
        self._read()
        self.assertEqual([['engine-1'], ['engine-1']], self._leaving())

    def test_stale_list_reverts_nothing(self):
        """Reading the old state again does not mark the server as live."""
        self.lists[0].set_state(leaving=True)
        for _ in range(3):
            self._read()
        self.assertEqual([['engine-1'], ['engine-1']], self._leaving())

    def test_server_that_is_live_again(self):
        """All instances mark the server as live again."""
        for number in (0, 1):
            self.lists[number].set_state(leaving=True)
            self._read()
        for number in (0, 1):
            self.lists[number].set_state(leaving=False)
            self._read()
        self.assertEqual([[], []], self._leaving())

    def test_outage_keeps_the_last_result(self):
        """While the list is unavailable, the last result is used."""
        self.lists[0].set_state(leaving=True)
        self._read()
        self.lists[0].answer = expression.Error(api.Unavailable('outage'))
        self._read()
        self.assertEqual({'engine-1'}, set(self.watches[0].leaving))
        found = anyio.run(self.watches[0].instances, 0.0)
        self.assertEqual(['entry-1'], [i.instance_id for i in found.ok])

"""Tests of reading the platform's lagging instance list."""

from __future__ import annotations

import unittest

import anyio
import expression

from dogwoodquay import clock
from dogwoodquay.external import api
from dogwoodquay.node import instances


class _List:
    """A list that says what the test wants."""

    def __init__(self):
        self.answer = expression.Ok(())

    def show(self, leaving, server_id='engine-1'):
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


class _Board:
    """Items that all instances of a test hold at once."""

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
    """Remembers which servers get nothing new."""

    def __init__(self):
        self.leaving = set()

    def mark_leaving(self, server_id, now):
        self.leaving.add(server_id)

    def mark_live(self, server_id, now):
        self.leaving.discard(server_id)


class InstanceWatchTest(unittest.TestCase):
    """Two instances, one of which has a list that lags."""

    def setUp(self):
        self.board = _Board()
        self.lists = (_List(), _List())
        self.routers = (_Router(), _Router())
        time = clock.ManualClock()
        self.watches = [
            instances.InstanceWatch(source, self.board, router, time)
            for source, router in zip(self.lists, self.routers, strict=True)
        ]
        for source in self.lists:
            source.show(leaving=False)
        self._read()

    def _read(self):
        for watch in self.watches:
            anyio.run(watch.step)

    def _leaving(self):
        return [sorted(router.leaving) for router in self.routers]

    def test_one_reader_tells_all(self):
        """The instance with the older list learns of it as well."""
        self.lists[0].show(leaving=True)
        self._read()
        self.assertEqual([['engine-1'], ['engine-1']], self._leaving())

    def test_lagging_list_undoes_nothing(self):
        """Reading the old state again does not bring the server back."""
        self.lists[0].show(leaving=True)
        for _ in range(3):
            self._read()
        self.assertEqual([['engine-1'], ['engine-1']], self._leaving())

    def test_server_that_came_back(self):
        """In the end, all instances use it again."""
        for number in (0, 1):
            self.lists[number].show(leaving=True)
            self._read()
        for number in (0, 1):
            self.lists[number].show(leaving=False)
            self._read()
        self.assertEqual([[], []], self._leaving())

    def test_outage_keeps_what_was_read(self):
        """Without the list, the last one stands."""
        self.lists[0].show(leaving=True)
        self._read()
        self.lists[0].answer = expression.Error(api.Unavailable('outage'))
        self._read()
        self.assertEqual({'engine-1'}, set(self.watches[0].leaving))
        found = anyio.run(self.watches[0].instances, 0.0)
        self.assertEqual(['entry-1'], [i.instance_id for i in found.ok])

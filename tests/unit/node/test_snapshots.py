"""Tests of snapshots between peers."""

from __future__ import annotations

import contextlib
import random
import unittest

import anyio

from dogwoodquay.membership import api as membership_api
from dogwoodquay.node import snapshots
from dogwoodquay.wire import api as wire_api

STATE = random.Random(5).randbytes(5 * snapshots.PART_BYTES // 2)


class _Follower:
    """A replayed stream that is larger than a frame may be."""

    stream = 'config'
    offset = 7

    @property
    def state(self):
        return self

    def snapshot(self):
        return STATE


class _Members:
    """This instance and one other."""

    def members(self):
        live = membership_api.MemberState.LIVE
        return tuple(
            membership_api.Member(name, 1, '127.0.0.1', 1, 'a', live)
            for name in ('here', 'there')
        )


class _Transport:
    """Carries streams to the handler of the other side."""

    def __init__(self):
        self.handlers = {}
        self.lost_part = -1

    def register(self, message_type, handler=None, stream=None):
        self.handlers[message_type] = stream

    @contextlib.asynccontextmanager
    async def stream(self, peer, message, deadline):
        sender = wire_api.Sender('here', peer)
        handler = self.handlers[type(message)]
        yield self._items(handler(sender, message, deadline))

    async def _items(self, items):
        number = 0
        async for item in items:
            if number != self.lost_part:
                yield item
            number += 1


class PeerSnapshotsTest(unittest.TestCase):
    """A state goes over in parts and arrives whole or not at all."""

    def setUp(self):
        self.transport = _Transport()
        self.subject = snapshots.PeerSnapshots(
            'here', self.transport, _Members(), random.Random(1)
        )
        self.subject.serve(_Follower())

    def _ask(self, above):
        return anyio.run(self.subject.snapshots, 'config', above, 1e12)

    def test_larger_than_a_part(self):
        """The parts add up to the state."""
        (found,) = self._ask(3)
        self.assertEqual((7, STATE), (found.offset, found.state))
        self.assertTrue(found.intact)

    def test_nothing_newer(self):
        """A peer that is not ahead sends nothing."""
        self.assertEqual((), self._ask(7))

    def test_lost_part(self):
        """A state with a hole is not intact, so nobody takes it over."""
        self.transport.lost_part = 1
        (found,) = self._ask(3)
        self.assertFalse(found.intact)

    def test_withheld(self):
        """A stream that is no longer followed is not given."""
        self.subject.withhold('config')
        self.assertEqual((), self._ask(3))

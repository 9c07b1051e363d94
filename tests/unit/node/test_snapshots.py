"""Tests of the exchange of snapshots between peers."""

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
    """A follower whose state is larger than one part."""

    stream = 'config'
    offset = 7

    @property
    def state(self):
        return self

    def snapshot(self):
        return STATE


class _Membership:
    """A membership of this instance and one other."""

    def members(self):
        live = membership_api.MemberState.LIVE
        return tuple(
            membership_api.Member(name, 1, '127.0.0.1', 1, 'a', live)
            for name in ('here', 'there')
        )


class _Transport:
    """Delivers stream requests to the registered handlers.

    The part with the number ``lost_part`` is dropped.
    """

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
    """A state is sent in parts, and a missing part is detected."""

    def setUp(self):
        self.transport = _Transport()
        self.subject = snapshots.PeerSnapshots(
            'here', self.transport, _Membership(), random.Random(1)
        )
        self.subject.serve(_Follower())

    def _ask(self, above):
        return anyio.run(self.subject.snapshots, 'config', above, 1e12)

    def test_larger_than_a_part(self):
        """The parts are joined to the whole state."""
        (found,) = self._ask(3)
        self.assertEqual((7, STATE), (found.offset, found.state))
        self.assertTrue(found.intact)

    def test_nothing_newer(self):
        """A peer sends nothing if its state is not above the offset."""
        self.assertEqual((), self._ask(7))

    def test_lost_part(self):
        """A state with a missing part is not intact."""
        self.transport.lost_part = 1
        (found,) = self._ask(3)
        self.assertFalse(found.intact)

    def test_withheld(self):
        """The state of a stream is not sent after ``withhold``."""
        self.subject.withhold('config')
        self.assertEqual((), self._ask(3))

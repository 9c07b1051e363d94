"""Tests of deadlines between instances whose clocks differ."""

from __future__ import annotations

import random
import unittest

from . import loopback
from dogwoodquay.wire import api
from dogwoodquay.wire import peers


class _ShiftedClock:
    """A clock that is ahead of the machine's by some seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def now(self) -> float:
        """Return the shifted time."""
        return loopback.soon() - 5.0 + self._seconds


class ClocksTest(unittest.IsolatedAsyncioTestCase):
    """A deadline means the same moment on both sides."""

    async def _deadline(self, seconds: float) -> float:
        """Return the time left that the far side sees of ten seconds."""
        near = loopback.peer('near')
        ahead = _ShiftedClock(seconds)
        far = peers.Peers(loopback.limits('far'), ahead, random.Random(1))
        left: list[float] = []

        async def echo(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> api.Message:
            left.append(deadline - ahead.now())
            return message

        near.register(loopback.Echo)
        far.register(loopback.Echo, echo)
        async with loopback.running(near, far):
            answer = await near.request(
                far.address,
                loopback.Echo('x'),
                loopback.Echo,
                loopback.soon() + 5.0,
            )
            self.assertTrue(answer.is_ok())
        return left[0]

    async def test_far_clock_ahead(self) -> None:
        """A clock that is an hour ahead does not expire requests."""
        self.assertAlmostEqual(10.0, await self._deadline(3600.0), delta=2.0)

    async def test_far_clock_behind(self) -> None:
        """Nor does one that is behind make them last longer."""
        self.assertAlmostEqual(10.0, await self._deadline(-3600.0), delta=2.0)

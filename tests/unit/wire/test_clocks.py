"""Tests of deadlines between instances whose clocks differ."""

from __future__ import annotations

import random
import unittest

from . import loopback
from dogwoodquay.wire import api
from dogwoodquay.wire import peers


class _ShiftedClock:
    """A clock that differs from the system clock by some seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def now(self) -> float:
        """Return the shifted time."""
        return loopback.new_deadline() - 5.0 + self._seconds


class ClocksTest(unittest.IsolatedAsyncioTestCase):
    """Deadlines are converted between the clocks of two instances."""

    async def _measure_remaining(self, seconds: float) -> float:
        """Return the remaining seconds that the far side sees of 10 s."""
        near = loopback.make_peer('near')
        ahead = _ShiftedClock(seconds)
        far = peers.Peers(
            loopback.make_settings('far'), ahead, random.Random(1)
        )
        remaining: list[float] = []

        async def echo(
            sender: api.Sender, message: api.Message, deadline: float
        ) -> api.Message:
            remaining.append(deadline - ahead.now())
            return message

        near.register(loopback.Echo)
        far.register(loopback.Echo, echo)
        async with loopback.running(near, far):
            answer = await near.request(
                far.address,
                loopback.Echo('x'),
                loopback.Echo,
                loopback.new_deadline() + 5.0,
            )
            self.assertTrue(answer.is_ok())
        return remaining[0]

    async def test_far_clock_ahead(self) -> None:
        """A clock that is an hour ahead does not expire requests."""
        self.assertAlmostEqual(
            10.0, await self._measure_remaining(3600.0), delta=2.0
        )

    async def test_far_clock_behind(self) -> None:
        """A clock that is an hour behind does not extend deadlines."""
        self.assertAlmostEqual(
            10.0, await self._measure_remaining(-3600.0), delta=2.0
        )

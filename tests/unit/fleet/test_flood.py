"""Replays of many instances that send to one server at a time."""

from __future__ import annotations

import random
import unittest

from . import entries
from dogwoodquay.fleet import choice
from dogwoodquay.fleet import server as servers

_INSTANCES = 9
_SLOTS = 64
_STEP_SECONDS = 0.02
_TELL_STEPS = 5
_REQUEST_STEPS = 100


class _Instance:
    """One instance's beliefs about the only server."""

    def __init__(self, seed: int) -> None:
        self.server = entries.made(slots=_SLOTS)
        self.told = 0
        self._rng = random.Random(seed)
        self._ends: list[int] = []

    def step(self, number: int, now: float) -> None:
        """End what is over and send one request if there is room."""
        while self._ends and self._ends[0] <= number:
            self._ends.pop(0)
            self.server.end(started=True)
        chosen = choice.choose(
            [self.server],
            choice.Need('models'),
            'a',
            lambda server: _SLOTS,
            now,
            self._rng,
        )
        if chosen is not None:
            chosen.begin()
            chosen.started()
            self._ends.append(number + _REQUEST_STEPS)


class FloodTest(unittest.TestCase):
    """A server is not filled beyond its places by instances together."""

    def test_burst(self) -> None:
        """More wait than there are places; views come every 100 ms.

        What all may send between two views is all that may be too much.
        """
        instances = [_Instance(seed) for seed in range(_INSTANCES)]
        most = 0
        for number in range(500):
            now = number * _STEP_SECONDS
            for index, instance in enumerate(instances):
                if number % _TELL_STEPS == index % _TELL_STEPS:
                    instance.told = instance.server.in_flight
                    others = sum(
                        item.told for item in instances if item is not instance
                    )
                    instance.server.note_others(others, now)
            for instance in instances:
                instance.step(number, now)
            total = sum(item.server.in_flight for item in instances)
            most = max(most, total)
        self.assertGreaterEqual(most, _SLOTS)
        self.assertLessEqual(most, _SLOTS + _INSTANCES * _TELL_STEPS)


class StaleViewTest(unittest.TestCase):
    """What others have is told apart from the own requests."""

    def test_own_growth_hides_nobody(self) -> None:
        """Requests sent since a count was made are added to it."""
        server = entries.made()
        for _ in range(8):
            server.begin()
        server.note_others(10, 1.0)
        self.assertEqual(18, server.load(1.0))
        self.assertEqual(
            8, server.load(1.0 + servers.LOAD_SECONDS + _STEP_SECONDS)
        )

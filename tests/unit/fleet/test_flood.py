"""Simulates many instances that send to the same server at once."""

from __future__ import annotations

import random
import unittest

from . import entries
from dogwoodquay.fleet import choice
from dogwoodquay.fleet import server as servers

_INSTANCES = 9
_SLOTS = 64
_STEP_SECONDS = 0.02
_REPORT_STEPS = 5
_REQUEST_STEPS = 100


class _Instance:
    """One instance with its own view of the server."""

    def __init__(self, seed: int) -> None:
        self.server = entries.make_server(slots=_SLOTS)
        self.reported = 0
        self._rng = random.Random(seed)
        self._ends: list[int] = []

    def step(self, number: int, now: float) -> None:
        """End finished requests and send one if the server has capacity."""
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
            chosen.on_answer_started()
            self._ends.append(number + _REQUEST_STEPS)


class SharedServerTest(unittest.TestCase):
    """Several instances together do not overload a server."""

    def test_burst(self) -> None:
        """The server exceeds its slots only between two load reports.

        Each instance learns the others' load every 100 ms, so the excess is
        at most the requests that all of them send in that time.
        """
        instances = [_Instance(seed) for seed in range(_INSTANCES)]
        peak = 0
        for number in range(500):
            now = number * _STEP_SECONDS
            for index, instance in enumerate(instances):
                if number % _REPORT_STEPS == index % _REPORT_STEPS:
                    instance.reported = instance.server.in_flight
                    others = sum(
                        item.reported
                        for item in instances
                        if item is not instance
                    )
                    instance.server.update_others_load(others, now)
            for instance in instances:
                instance.step(number, now)
            total = sum(item.server.in_flight for item in instances)
            peak = max(peak, total)
        self.assertGreaterEqual(peak, _SLOTS)
        self.assertLessEqual(peak, _SLOTS + _INSTANCES * _REPORT_STEPS)


class StaleViewTest(unittest.TestCase):
    """The reported load of other instances does not include the own one."""

    def test_own_requests_are_added(self) -> None:
        """An instance adds its own requests to the others' load."""
        server = entries.make_server()
        for _ in range(8):
            server.begin()
        server.update_others_load(10, 1.0)
        self.assertEqual(18, server.load(1.0))
        self.assertEqual(
            8, server.load(1.0 + servers.OTHERS_LOAD_SECONDS + _STEP_SECONDS)
        )

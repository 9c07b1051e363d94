"""Tests of the table of the versions that began streams."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from dogwoodquay.gateway import origin_table

_FIRST: typing.Final = origin_table.Origin('s', 'v1')
_SECOND: typing.Final = origin_table.Origin('s', 'v2')
_OTHER: typing.Final = origin_table.Origin('t', 'v2')

_PUTS: typing.Final = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.floats(0.0, 70.0),
        strategies.floats(0.0, 30.0),
    ),
    max_size=30,
)


class OriginTableTest(unittest.TestCase):
    """Records are kept for their lifetime, in bounded memory."""

    def setUp(self) -> None:
        """Create an empty table."""
        self.table = origin_table.OriginTable()

    def test_first_writer_wins(self) -> None:
        """A later version of the same service does not replace the first."""
        self.table.put('a', _FIRST, 10.0, 0.0)
        self.table.put('a', _SECOND, 10.0, 1.0)
        self.assertEqual((_FIRST,), self.table.find('a', 2.0))

    def test_another_service(self) -> None:
        """Another service of the same stream is added."""
        self.table.put('a', _FIRST, 10.0, 0.0)
        self.table.put('a', _OTHER, 10.0, 1.0)
        self.assertEqual((_FIRST, _OTHER), self.table.find('a', 2.0))
        self.assertEqual((), self.table.find('b', 2.0))

    @hypothesis.given(_PUTS)
    def test_kept_for_the_lifetime(
        self, puts: list[tuple[int, float, float]]
    ) -> None:
        """Each record is found until its lifetime ends, 60 s at most."""
        table = origin_table.OriginTable()
        needed: dict[str, float] = {}
        now = 0.0
        for number, seconds, pause in puts:
            now += pause
            for stream_id, until in needed.items():
                left = table.seconds_left(stream_id, now)
                if now < until:
                    self.assertGreater(left, 0.0)
                    self.assertAlmostEqual(until - now, left)
            alive = {row[0] for row in table.alive(now)}
            self.assertEqual(
                {name for name, until in needed.items() if now < until}, alive
            )
            until = now + min(seconds, origin_table.MAX_GENERATION_SECONDS)
            name = f'id-{number}'
            table.put(name, _FIRST, seconds, now)
            needed[name] = max(needed.get(name, 0.0), until)

    def test_short_records_after_long_ones(self) -> None:
        """Records of short lifetimes do not push out longer ones."""
        self.table.put('a', _FIRST, 20.0, 0.0)
        self.table.put('b', _FIRST, 20.0, 19.0)
        for now in range(20, 39):
            self.table.put(f'id-{now}', _FIRST, 1.0, float(now))
        self.assertLess(0.0, self.table.seconds_left('b', 38.0))

    def test_dropped_after_the_lifetime(self) -> None:
        """Old records leave the table while others come."""
        for number in range(3000):
            self.table.put(f'id-{number}', _FIRST, 10.0, number / 10)
        self.assertLessEqual(len(self.table), 200)
        self.assertEqual((), self.table.find('id-2700', 299.9))
        self.assertEqual((_FIRST,), self.table.find('id-2950', 299.9))

    def test_dropped_after_a_pause(self) -> None:
        """After a pause of two lifetimes, nothing is left."""
        self.table.put('a', _FIRST, 10.0, 0.0)
        self.assertEqual((), self.table.find('a', 20.0))

    def test_lookup_renews(self) -> None:
        """A record that is looked up again and again stays."""
        self.table.put('a', _FIRST, 10.0, 0.0)
        for now in range(4, 100, 4):
            self.table.put(f'id-{now}', _FIRST, 1.0, float(now))
            self.assertEqual((_FIRST,), self.table.find('a', float(now)))

    def test_full(self) -> None:
        """A full table drops the oldest records before their time."""
        with mock.patch.object(origin_table, 'MAX_ENTRIES', 100):
            for number in range(1000):
                self.table.put(f'id-{number}', _FIRST, 60.0, 1.0)
                self.assertLessEqual(len(self.table), 200)
            self.assertEqual((), self.table.find('id-799', 1.0))
            for number in range(900, 1000):
                found = self.table.find(f'id-{number}', 1.0)
                self.assertEqual((_FIRST,), found)

    def test_many_services(self) -> None:
        """A stream has a limited number of origins."""
        for number in range(50):
            origin = origin_table.Origin(f's{number}', 'v')
            self.table.put('a', origin, 10.0, 1.0)
        found = self.table.find('a', 1.0)
        self.assertEqual(origin_table.MAX_ORIGINS, len(found))
        self.assertEqual('s0', found[0].service)

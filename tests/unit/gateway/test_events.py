"""Tests of cutting streams into events."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies

from dogwoodquay.gateway import api
from dogwoodquay.gateway import events


def _event(number: int) -> bytes:
    return b'weight-versions: 2\nid: %d\ndata: x\n\n' % number


class CutterTest(unittest.TestCase):
    """Only whole events that follow each other come through."""

    @given(strategies.lists(strategies.integers(1, 40), max_size=30))
    def test_any_chunks(self, sizes: list[int]) -> None:
        """However the bytes come, the same events leave."""
        text = b''.join(_event(number) for number in range(3, 12))
        cutter = events.EventCutter(api.NO_EVENT)
        taken, at = b'', 0
        for size in [*sizes, len(text)]:
            taken += cutter.feed(text[at : at + size])
            at += size
            self.assertTrue(taken.endswith(b'\n\n') or not taken)
        self.assertEqual(text, taken)
        self.assertEqual(11, cutter.last_event)
        self.assertFalse(cutter.partial)

    def test_first_event_of_a_resumed_caller(self) -> None:
        """It has to follow the one that the caller has had."""
        cutter = events.EventCutter(7)
        self.assertEqual(_event(8), cutter.feed(_event(8)))
        with self.assertRaises(events.BrokenStream):
            events.EventCutter(7).feed(_event(9))

    def test_repeated_event(self) -> None:
        """No event comes twice."""
        cutter = events.EventCutter(api.NO_EVENT)
        cutter.feed(_event(1))
        with self.assertRaises(events.BrokenStream):
            cutter.feed(_event(1))

    def test_other_connection(self) -> None:
        """The part of an event that broke off is dropped."""
        cutter = events.EventCutter(api.NO_EVENT)
        cutter.feed(_event(1) + b'id: 2\nda')
        self.assertTrue(cutter.partial)
        cutter.restart()
        self.assertEqual(_event(2), cutter.feed(_event(2)))

    def test_unreadable_id(self) -> None:
        """An id that is no number breaks the stream."""
        cutter = events.EventCutter(api.NO_EVENT)
        with self.assertRaises(events.BrokenStream):
            cutter.feed(b'id: x\n\n')

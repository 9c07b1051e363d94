"""Tests of splitting streams into events."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies

from dogwoodquay.gateway import api
from dogwoodquay.gateway import events


def _event(number: int) -> bytes:
    return b'weight-versions: 2\nid: %d\ndata: x\n\n' % number


class EventSplitterTest(unittest.TestCase):
    """Only complete events with consecutive ids are passed on."""

    @given(strategies.lists(strategies.integers(1, 40), max_size=30))
    def test_any_chunks(self, sizes: list[int]) -> None:
        """The events do not depend on the chunks in which bytes arrive."""
        text = b''.join(_event(number) for number in range(3, 12))
        splitter = events.EventSplitter(api.NO_EVENT)
        passed_on, offset = b'', 0
        for size in [*sizes, len(text)]:
            passed_on += splitter.feed(text[offset : offset + size])
            offset += size
            self.assertTrue(passed_on.endswith(b'\n\n') or not passed_on)
        self.assertEqual(text, passed_on)
        self.assertEqual(11, splitter.last_event)
        self.assertFalse(splitter.partial)

    def test_first_event_of_a_resumed_caller(self) -> None:
        """The event has to follow the last one that the caller received."""
        splitter = events.EventSplitter(7)
        self.assertEqual(_event(8), splitter.feed(_event(8)))
        with self.assertRaises(events.BrokenStream):
            events.EventSplitter(7).feed(_event(9))

    def test_repeated_event(self) -> None:
        """A repeated event breaks the stream."""
        splitter = events.EventSplitter(api.NO_EVENT)
        splitter.feed(_event(1))
        with self.assertRaises(events.BrokenStream):
            splitter.feed(_event(1))

    def test_restart(self) -> None:
        """An incomplete event of the connection before is dropped."""
        splitter = events.EventSplitter(api.NO_EVENT)
        splitter.feed(_event(1) + b'id: 2\nda')
        self.assertTrue(splitter.partial)
        splitter.restart()
        self.assertEqual(_event(2), splitter.feed(_event(2)))

    def test_unreadable_id(self) -> None:
        """An id that is not a number breaks the stream."""
        splitter = events.EventSplitter(api.NO_EVENT)
        with self.assertRaises(events.BrokenStream):
            splitter.feed(b'id: x\n\n')

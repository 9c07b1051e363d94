"""Tests of splitting streams into events."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies

from dogwoodquay.gateway import api
from dogwoodquay.gateway import events


def _event(number: int) -> bytes:
    return b'weight-versions: 2\nid: %d\ndata: x\n\n' % number


def _pass_on(splitter: events.EventSplitter, chunk: bytes) -> bytes:
    """Pass on the events of a chunk, which break no stream."""
    found = splitter.feed(chunk)
    splitter.mark_passed_on(found)
    assert not found.fault, found.fault
    return found.data


class EventSplitterTest(unittest.TestCase):
    """Only complete events with consecutive ids are passed on."""

    @given(strategies.lists(strategies.integers(1, 40), max_size=30))
    def test_any_chunks(self, sizes: list[int]) -> None:
        """The events do not depend on the chunks in which bytes arrive."""
        text = b''.join(_event(number) for number in range(3, 12))
        splitter = events.EventSplitter(api.NO_EVENT)
        passed_on, offset = b'', 0
        for size in [*sizes, len(text)]:
            passed_on += _pass_on(splitter, text[offset : offset + size])
            offset += size
            self.assertTrue(passed_on.endswith(b'\n\n') or not passed_on)
        self.assertEqual(text, passed_on)
        self.assertEqual(11, splitter.last_event)
        self.assertFalse(splitter.partial)

    def test_first_event_of_a_resumed_caller(self) -> None:
        """The event has to follow the last one that the caller received."""
        splitter = events.EventSplitter(7)
        self.assertEqual(_event(8), _pass_on(splitter, _event(8)))
        found = events.EventSplitter(7).feed(_event(9))
        self.assertEqual((b'', 7, 'event_out_of_order'), found)

    def test_repeated_event(self) -> None:
        """A repeated event breaks the stream."""
        splitter = events.EventSplitter(api.NO_EVENT)
        _pass_on(splitter, _event(1))
        found = splitter.feed(_event(1))
        self.assertEqual((b'', 1, 'event_out_of_order'), found)

    def test_restart(self) -> None:
        """An incomplete event of the connection before is dropped."""
        splitter = events.EventSplitter(api.NO_EVENT)
        _pass_on(splitter, _event(1) + b'id: 2\nda')
        self.assertTrue(splitter.partial)
        splitter.restart()
        self.assertEqual(_event(2), _pass_on(splitter, _event(2)))

    def test_unreadable_id(self) -> None:
        """An id that is not a number breaks the stream."""
        splitter = events.EventSplitter(api.NO_EVENT)
        found = splitter.feed(b'id: x\n\n')
        self.assertEqual((b'', api.NO_EVENT, 'event_id'), found)

    def test_large_event(self) -> None:
        """An event without an end breaks the stream."""
        splitter = events.EventSplitter(3)
        found = splitter.feed(b'x' * (events.MAX_EVENT_BYTES + 1))
        self.assertEqual((b'', 3, 'event_too_large'), found)


class BrokenPieceTest(unittest.TestCase):
    """Sound events before a broken one in the same bytes are not lost."""

    @given(
        strategies.integers(0, 5),
        strategies.sampled_from(
            [b'id: \xa76\ndata: x\n\n', _event(1), _event(99)]
        ),
        strategies.integers(0, 3),
    )
    def test_sound_events_are_returned(
        self, sound: int, broken: bytes, behind: int
    ) -> None:
        """They are returned with the fault, and the stream goes on there."""
        splitter = events.EventSplitter(1)
        before = b''.join(_event(number) for number in range(2, 2 + sound))
        after = b''.join(_event(8 + number) for number in range(behind))
        found = splitter.feed(before + broken + after)
        self.assertEqual(before, found.data)
        self.assertEqual(1 + sound, found.last_event)
        self.assertTrue(found.fault)
        splitter.mark_passed_on(found)
        self.assertEqual(1 + sound, splitter.last_event)
        splitter.restart()
        following = _event(2 + sound)
        self.assertEqual(following, _pass_on(splitter, following))

    def test_events_that_are_not_passed_on(self) -> None:
        """Events that an ended attempt has read are expected again."""
        for first in (api.NO_EVENT, 0):
            splitter = events.EventSplitter(first)
            splitter.feed(_event(1) + _event(2))
            self.assertEqual(first, splitter.last_event)
            splitter.restart()
            text = _event(1) + _event(2)
            self.assertEqual(text, _pass_on(splitter, text))
            self.assertEqual(2, splitter.last_event)

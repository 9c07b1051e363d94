"""Tests of finding a place for an adapter."""

from __future__ import annotations

import unittest

from . import engines
from dogwoodquay.residency import adapters
from dogwoodquay.residency import api
from dogwoodquay.residency import ceiling
from dogwoodquay.residency import contents

Key = adapters.AdapterKey


def _full(server_id: str) -> contents.EngineContents:
    names = tuple(f'a{number}' for number in range(8))
    made = contents.EngineContents(engines.entry(server_id), engines.SPEC)
    made.observe(engines.report(('hot', names)))
    return made


class PlaceTest(unittest.TestCase):
    """Many adapters share few places."""

    def test_free_place_first(self) -> None:
        """A free place goes before somebody else's."""
        held = [_full('e1'), engines.engine('e2', 'hot')]
        placed = adapters.place(
            held, 'hot', 'new', lambda _: 0.5, {}, float('inf')
        )
        assert placed is not None
        self.assertEqual('e2', placed.engine.server.server_id)
        self.assertEqual((api.LoadAdapter('hot', 'new'),), placed.orders)

    def test_least_recently_used_goes(self) -> None:
        """The one that was used longest ago makes room."""
        used = {Key('e1', 'hot', f'a{n}'): 10.0 + n for n in range(8)}
        used[Key('e1', 'hot', 'a5')] = 3.0
        placed = adapters.place(
            [_full('e1')], 'hot', 'new', lambda _: 0.0, used, 100.0
        )
        assert placed is not None
        expected = (
            api.UnloadAdapter('hot', 'a5'),
            api.LoadAdapter('hot', 'new'),
        )
        self.assertEqual(expected, placed.orders)

    def test_used_ones_stay(self) -> None:
        """No adapter goes that was used just now."""
        used = {Key('e1', 'hot', f'a{n}'): 99.5 for n in range(8)}
        placed = adapters.place(
            [_full('e1')], 'hot', 'new', lambda _: 0.0, used, 99.0
        )
        self.assertIsNone(placed)

    def test_model_has_to_be_there(self) -> None:
        """An adapter goes only where its model is."""
        held = [engines.engine('e1', 'warm')]
        placed = adapters.place(
            held, 'hot', 'new', lambda _: 0.0, {}, float('inf')
        )
        self.assertIsNone(placed)


class CeilingTest(unittest.TestCase):
    """Loads in any window stay below the weight store's rate."""

    def test_sliding_window(self) -> None:
        """A load is permitted again when an old one leaves the window."""
        subject = ceiling.LoadCeiling(3, 0, 5.0, 0.0)
        self.assertEqual(
            [True, True, True, False],
            [subject.take(at) for at in (1.0, 2.0, 3.0, 4.0)],
        )
        self.assertTrue(subject.take(6.0))
        self.assertFalse(subject.take(6.5))

    def test_new_owner_starts_low(self) -> None:
        """Loads that another owner may have begun count for a window."""
        subject = ceiling.LoadCeiling(4, 3, 5.0, 10.0)
        self.assertTrue(subject.take(10.1))
        self.assertFalse(subject.take(14.9))
        self.assertTrue(subject.take(15.0))

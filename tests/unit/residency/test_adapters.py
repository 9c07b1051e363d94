"""Tests of choosing an engine for an adapter and of limiting loads."""

from __future__ import annotations

import unittest

from . import engines
from dogwoodquay.residency import adapters
from dogwoodquay.residency import api
from dogwoodquay.residency import ceiling
from dogwoodquay.residency import contents

Key = adapters.AdapterKey


def _full_engine(server_id: str) -> contents.EngineContents:
    names = tuple(f'a{number}' for number in range(8))
    made = contents.EngineContents(engines.entry(server_id), engines.SPEC)
    made.observe(engines.report(('hot', names)))
    return made


class PlaceTest(unittest.TestCase):
    """An engine is chosen for an adapter that is not loaded."""

    def test_free_slot_first(self) -> None:
        """An engine with a free slot is preferred to an eviction."""
        candidates = [_full_engine('e1'), engines.engine('e2', 'hot')]
        placement = adapters.place(
            candidates, 'hot', 'new', lambda _: 0.5, {}, float('inf')
        )
        assert placement is not None
        self.assertEqual('e2', placement.engine.server.server_id)
        self.assertEqual((api.LoadAdapter('hot', 'new'),), placement.orders)

    def test_least_recently_used_is_evicted(self) -> None:
        """The least recently used adapter is evicted."""
        used = {Key('e1', 'hot', f'a{n}'): 10.0 + n for n in range(8)}
        used[Key('e1', 'hot', 'a5')] = 3.0
        placement = adapters.place(
            [_full_engine('e1')], 'hot', 'new', lambda _: 0.0, used, 100.0
        )
        assert placement is not None
        expected = (
            api.UnloadAdapter('hot', 'a5'),
            api.LoadAdapter('hot', 'new'),
        )
        self.assertEqual(expected, placement.orders)

    def test_recently_used_are_kept(self) -> None:
        """Recently used adapters are not evicted."""
        used = {Key('e1', 'hot', f'a{n}'): 99.5 for n in range(8)}
        placement = adapters.place(
            [_full_engine('e1')], 'hot', 'new', lambda _: 0.0, used, 99.0
        )
        self.assertIsNone(placement)

    def test_engine_needs_the_model(self) -> None:
        """An adapter is not placed on an engine without its model."""
        candidates = [engines.engine('e1', 'warm')]
        placement = adapters.place(
            candidates, 'hot', 'new', lambda _: 0.0, {}, float('inf')
        )
        self.assertIsNone(placement)


class LoadCeilingTest(unittest.TestCase):
    """The loads in each time window stay below the weight store's limit."""

    def test_sliding_window(self) -> None:
        """A load may start when an earlier one has left the window."""
        subject = ceiling.LoadCeiling(3, 0, 5.0, 0.0)
        self.assertEqual(
            [True, True, True, False],
            [subject.take(at) for at in (1.0, 2.0, 3.0, 4.0)],
        )
        self.assertTrue(subject.take(6.0))
        self.assertFalse(subject.take(6.5))

    def test_new_owner_counts_unseen_loads(self) -> None:
        """Loads that the previous owner may have started count as well."""
        subject = ceiling.LoadCeiling(4, 3, 5.0, 10.0)
        self.assertTrue(subject.take(10.1))
        self.assertFalse(subject.take(14.9))
        self.assertTrue(subject.take(15.0))


class PreferTest(unittest.TestCase):
    """Adapters go to engines that do not limit their requests."""

    def test_unlimited_first(self) -> None:
        """A limited engine is used if no other has the model."""
        first, second = engines.engine('e1', 'hot'), engines.engine('e2')
        third = engines.engine('e3', 'hot')
        every = [first, second, third]
        self.assertEqual([third], adapters.prefer(every, {'e1'}, 'hot'))
        self.assertEqual(every, adapters.prefer(every, {'e1', 'e3'}, 'hot'))

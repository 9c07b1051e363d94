"""Tests of adding up what all instances ask."""

from __future__ import annotations

import unittest

from dogwoodquay.gateway import demand
from dogwoodquay.gateway import messages


def _load(
    instance_id: str, *running: tuple[str, int]
) -> messages.InstanceLoad:
    rows = tuple(
        messages.RunningRow(server_id, 'm', count)
        for server_id, count in running
    )
    return messages.InstanceLoad(instance_id, 1, (), (), rows)


class OthersTest(unittest.TestCase):
    """An instance learns what the others have at each server."""

    def setUp(self) -> None:
        self.board = demand.DemandBoard()

    def test_without_its_own(self) -> None:
        """The reader's requests are left out, however old its word is."""
        self.board.take(_load('a', ('e1', 3), ('e2', 1)), 1.0)
        self.board.take(_load('b', ('e1', 4)), 1.1)
        self.assertEqual(4, self.board.others('e1', 'a'))
        self.assertEqual(3, self.board.others('e1', 'b'))
        self.assertEqual(7, self.board.others('e1', 'c'))
        self.assertEqual(7, self.board.running('e1', 'm'))

    def test_newest_counts(self) -> None:
        """An instance's newer word replaces the one before."""
        self.board.take(_load('a', ('e1', 3)), 1.0)
        self.board.take(_load('a', ('e2', 2)), 1.1)
        self.assertEqual(0, self.board.others('e1', 'b'))
        self.assertEqual(2, self.board.others('e2', 'b'))

    def test_gone_instance(self) -> None:
        """What an instance had that fell silent counts no more."""
        self.board.take(_load('a', ('e1', 3)), 1.0)
        later = 1.1 + demand.FRESH_SECONDS
        self.board.take(_load('b', ('e1', 4)), later)
        self.assertEqual(0, self.board.others('e1', 'b'))


class DemandTest(unittest.TestCase):
    """The demand for a model over all instances."""

    def _tell(
        self, board: demand.DemandBoard, instance_id: str, now: float
    ) -> None:
        row = messages.ModelRow('s', 'm', 4.0, 1, 2, 0.5)
        load = messages.InstanceLoad(instance_id, 1, (row,), (), ())
        board.take(load, now)

    def test_known_at_once(self) -> None:
        """A new holder knows the rates from each instance's first word."""
        board = demand.DemandBoard()
        self._tell(board, 'a', 1.0)
        self._tell(board, 'b', 1.0)
        found = board.demand('s', 1.0)['m']
        self.assertEqual((8.0, 2, 4), found[:3])

    def test_silent_instance(self) -> None:
        """What a silent instance told fades and then counts nothing."""
        board = demand.DemandBoard()
        self._tell(board, 'a', 1.0)
        self.assertLess(board.demand('s', 2.0)['m'].rate, 4.0)
        later = 1.1 + demand.FRESH_SECONDS
        self.assertEqual({}, board.demand('s', later))

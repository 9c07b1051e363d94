"""Tests that a server which answers nobody is told from a busy one."""

from __future__ import annotations

import unittest

from dogwoodquay.stalls import api
from dogwoodquay.stalls import detector
from dogwoodquay.stalls import local

HUNG = api.ServerKey('s1', 1000)
BUSY = api.ServerKey('s2', 1000)


def _row(
    pending: int, heard_at: float, server: api.ServerKey = HUNG
) -> api.Progress:
    return api.Progress(server, pending, heard_at)


class DetectorTest(unittest.TestCase):
    """Silence counts only if it is that of all instances."""

    def setUp(self) -> None:
        """Start an owner that has heard of no server."""
        self.detector = detector.Detector()

    def _stalled(self, now: float) -> list[api.ServerKey]:
        return [item.server for item in self.detector.stalls(now)]

    def test_hung_server(self) -> None:
        """Requests of two instances are stuck: others would join them."""
        self.detector.apply('a', [_row(1, 9.0)], 10.0)
        self.assertEqual([], self._stalled(10.0))
        self.detector.apply('b', [_row(1, float('-inf'))], 10.1)
        self.assertEqual([HUNG], self._stalled(10.1))

    def test_busy_server(self) -> None:
        """Many wait for a first byte, but one instance gets its events."""
        self.detector.apply('a', [_row(5, 8.0, BUSY)], 10.0)
        self.detector.apply('b', [_row(5, 8.0, BUSY)], 10.0)
        self.detector.apply('c', [_row(0, 9.9, BUSY)], 10.0)
        self.assertEqual([], self._stalled(10.0))

    def test_answer_ends_a_stall(self) -> None:
        """A server that goes on is used again at once."""
        self.detector.apply('a', [_row(3, 9.0)], 10.0)
        self.assertEqual([HUNG], self._stalled(10.0))
        self.detector.apply('b', [_row(0, 10.2)], 10.2)
        self.assertEqual([], self._stalled(10.2))

    def test_tried_again_and_longer_each_time(self) -> None:
        """A recovered server is found; a hung one costs few requests."""
        self.detector.apply('a', [_row(2, 9.0)], 10.0)
        first = self.detector.stalls(10.0)[0].until
        self.assertEqual(10.0 + detector.FIRST_SECONDS, first)
        self.assertEqual([], self._stalled(first + 0.1))
        self.detector.apply('a', [_row(2, 9.0)], first + 0.8)
        second = self.detector.stalls(first + 0.8)[0].until
        self.assertEqual(first + 0.8 + 2 * detector.FIRST_SECONDS, second)
        for _ in range(5):
            now = (
                self.detector.stalls(second)[0].until
                if (self.detector.stalls(second))
                else second
            )
            self.detector.apply('a', [_row(2, 9.0)], now + 0.1)
            second = self.detector.stalls(now + 0.1)[0].until
            self.assertLessEqual(second - now, detector.MAX_SECONDS + 0.2)

    def test_old_reports_do_not_count(self) -> None:
        """An instance that was killed leaves no stuck requests behind."""
        self.detector.apply('a', [_row(1, 9.0)], 10.0)
        late = 10.0 + detector.REPORT_SECONDS + 0.1
        self.detector.apply('b', [_row(1, 9.0)], late)
        self.assertEqual([], self._stalled(late))

    def test_process_that_has_ended_is_forgotten(self) -> None:
        """The next process of a hung server begins without a verdict."""
        self.detector.apply('a', [_row(2, 9.0)], 10.0)
        self.detector.keep_only({api.ServerKey('s1', 2000)})
        self.assertEqual([], self._stalled(10.0))

    def test_time_to_come_counts_as_now(self) -> None:
        """A false report does not keep a hung server in use for long."""
        self.detector.apply('a', [_row(2, 1e9)], 10.0)
        self.assertEqual([], self._stalled(10.0))
        now = 10.0 + api.STALL_SECONDS + 0.1
        self.detector.apply('a', [_row(2, 9.0)], now)
        self.assertEqual([HUNG], self._stalled(now))


class LocalProgressTest(unittest.TestCase):
    """Requests count from their sending to their first byte."""

    def test_pending_only_after_a_while(self) -> None:
        """A request that was just sent is no sign of a stall."""
        progress = local.LocalProgress()
        progress.sent(HUNG, 10.0)
        progress.sent(HUNG, 10.4)
        self.assertEqual(0, progress.rows(10.5)[0].pending)
        self.assertEqual(1, progress.rows(10.7)[0].pending)
        progress.answering(HUNG, 10.0)
        progress.heard(HUNG, 10.8)
        self.assertEqual([_row(1, 10.8)], progress.rows(11.2))
        progress.ended(HUNG, 10.0, False)
        progress.ended(HUNG, 10.4, True)
        self.assertEqual([], progress.rows(11.2))

    def test_stall_that_begins_again_is_new(self) -> None:
        """Requests sent as a trial are moved once it has failed."""
        progress = local.LocalProgress()
        begun, _ = progress.update_stalls([api.Stall(HUNG, 11.0)])
        self.assertEqual([api.Stall(HUNG, 11.0)], begun)
        begun, _ = progress.update_stalls([api.Stall(HUNG, 11.05)])
        self.assertEqual([], begun)
        begun, _ = progress.update_stalls([api.Stall(HUNG, 13.0)])
        self.assertEqual([api.Stall(HUNG, 13.0)], begun)
        _, ended = progress.update_stalls([])
        self.assertEqual([HUNG], ended)

"""Replays load against overload control and against the rule without it."""

from __future__ import annotations

import typing
import unittest

from . import replay
from dogwoodquay.overload import api

if typing.TYPE_CHECKING:
    from collections import abc

# The pool takes 240 requests of 0.1 s per second.
_SECONDS = 12.0
_FLOOD_END = 8.0


def _live(rate: abc.Callable[[float], float]) -> replay.Class:
    return replay.Class('live', 0, 0.3, 2.0, 0.1, rate)


def _flood(now: float) -> float:
    return 450.0 if 2.0 <= now < _FLOOD_END else 150.0


def _both(
    *classes: replay.Class, **options: typing.Any
) -> tuple[replay.Replay, replay.Replay]:
    """Replay with the present rule and with control."""
    runs = [replay.Replay(classes, on, **options) for on in (False, True)]
    for run in runs:
        run.run(_SECONDS)
    return runs[0], runs[1]


class ReplayTest(unittest.TestCase):
    """Each load is served better than by waiting for a share of the time."""

    def assert_better(
        self, before: replay.Replay, after: replay.Replay, name: str
    ) -> None:
        """Check that more is on time and fewer are refused after waiting."""
        old, new = before.counts[name], after.counts[name]
        self.assertGreater(new.on_time, old.on_time)
        self.assertLessEqual(new.lost_waiting, old.lost_waiting)

    def test_burst(self) -> None:
        """A burst of a less urgent class by 4 does not delay live requests.

        Guards against instances that give free servers to less urgent or
        late requests while urgent ones wait elsewhere.
        """
        draft = replay.Class(
            'draft', 2, 6.0, 20.0, 1.0, lambda t: 40.0 if 2 <= t < 8 else 10.0
        )
        before, after = _both(_live(lambda _: 60.0), draft)
        self.assert_better(before, after, 'live')
        live = after.counts['live']
        self.assertGreater(live.on_time, 0.8 * sum(live[:3]))

    def test_flood_ends(self) -> None:
        """The queue is gone when the flood is.

        Guards against a queue that outlives a flood, in which all are late.
        """
        before, after = _both(_live(_flood))
        self.assert_better(before, after, 'live')
        self.assertGreater(before.waiting_at(_FLOOD_END + 1.0), 100)
        # What the pool takes within an objective.
        self.assertLess(after.waiting_at(_FLOOD_END + 0.3), 240 * 0.3)

    def test_retry_storm(self) -> None:
        """Callers that repeat at once gain nothing and cost nobody.

        Guards against repeats that take the places of those who wait.
        """
        before, after = _both(_live(_flood), repeats=3, hasty=0.3)
        self.assert_better(before, after, 'live')

    def test_half_of_the_servers(self) -> None:
        """The drain rate follows when servers leave.

        Guards against an estimate that goes on with the former rate.
        """
        before, after = _both(
            _live(lambda _: 180.0), slots=lambda t: 24 if t < 4.0 else 12
        )
        self.assert_better(before, after, 'live')

    def test_sustained(self) -> None:
        """Nobody starves while urgent work is 1.3 times what can be done.

        Guards against a strict order, under which none of the others run.
        """
        draft = replay.Class('draft', 2, 6.0, 20.0, 0.5, lambda _: 4.0)
        before, after = _both(_live(lambda _: 312.0), draft)
        self.assert_better(before, after, 'live')
        self.assertEqual(0, after.counts['draft'].lost)
        self.assertGreater(after.counts['draft'].on_time, 10)

    def test_unknown_drain(self) -> None:
        """Without views, no request is refused by a guess.

        Guards against refusals by an instance that has seen one completion.
        """
        before, after = _both(
            _live(lambda t: 10.0 if t < 1.0 else 0.0),
            slots=lambda t: 0 if t < 0.5 else 24,
            views=False,
        )
        self.assertEqual(before.counts, after.counts)

    def test_stale_view(self) -> None:
        """An instance that is cut off goes on with its own queue.

        Guards against decisions by what others reported long ago.
        """
        before, after = _both(_live(_flood), views=lambda now: now < 3.0)
        self.assert_better(before, after, 'live')

    def test_false_rows(self) -> None:
        """Impossible figures of a peer change nothing.

        Guards against a peer whose false backlog makes all others refuse.
        """
        false = api.Figures(
            -1.0, 5.0, 3, (api.Waiting(0, 10**9, 0, float('nan')),)
        )
        _, after = _both(_live(lambda _: 150.0), false_figures=false)
        self.assertEqual(0, after.counts['live'].lost)

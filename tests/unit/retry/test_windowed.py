"""Tests of repeats within a sliding window."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.retry import api
from dogwoodquay.retry import window
from dogwoodquay.retry import windowed

SHARE = 0.2
SLACK = 2
SECONDS = 10.0


def _failure(
    state: api.RunState, attempts: int = 1, idempotent: bool = True
) -> api.Failure:
    return api.Failure('reason', state, attempts, idempotent, False, True, 9.0)


class WindowTest(unittest.TestCase):
    """The sum over instances keeps the share, however they are."""

    def test_share(self) -> None:
        """Without requests only the slack is there."""
        subject = window.RepeatWindow(SHARE, SLACK, SECONDS)
        taken = sum(subject.take('s', 1.0) for _ in range(10))
        self.assertEqual(SLACK, taken)

    def test_services_are_apart(self) -> None:
        """The requests for one service pay for no other."""
        subject = window.RepeatWindow(SHARE, 0, SECONDS)
        for _ in range(100):
            subject.requested('a', 1.0)
        self.assertFalse(subject.take('b', 1.0))
        self.assertTrue(subject.take('a', 1.0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 1.0), strategies.booleans()
            ),
            max_size=300,
        )
    )
    def test_any_window(self, steps: list[tuple[float, bool]]) -> None:
        """In each window the repeats keep to the share and the slack."""
        subject = window.RepeatWindow(SHARE, SLACK, SECONDS)
        now = 0.0
        requests: list[float] = []
        repeats: list[float] = []
        for pause, repeat in steps:
            now += pause
            if repeat:
                if subject.take('s', now):
                    repeats.append(now)
            else:
                subject.requested('s', now)
                requests.append(now)
            recent = [at for at in repeats if at > now - SECONDS]
            # Requests of the window before may have paid for its start.
            paying = [at for at in requests if at > now - 2 * SECONDS]
            limit = SHARE * len(paying) + SLACK
            self.assertLessEqual(len(recent), limit)


class DecideTest(unittest.TestCase):
    """What may follow a failed attempt."""

    def _retries(self, max_attempts: int = 2) -> windowed.WindowedRetries:
        budget = window.RepeatWindow(SHARE, 50, SECONDS)
        return windowed.WindowedRetries(
            's', max_attempts, budget, random.Random(1)
        )

    def test_never_what_may_have_run(self) -> None:
        """A request that must not run twice is not sent again."""
        failure = _failure(api.RunState.MAY_HAVE_RUN, idempotent=False)
        verdict = self._retries().decide(failure, 1.0)
        self.assertIsInstance(verdict, api.GiveUp)
        self.assertEqual('may_have_run', verdict.reason)

    def test_rejected_is_sent_again(self) -> None:
        """What certainly did not run may go to another server."""
        failure = _failure(api.RunState.NOT_RUN, idempotent=False)
        verdict = self._retries(1).decide(failure, 1.0)
        self.assertIsInstance(verdict, api.Retry)

    def test_runs_are_bounded(self) -> None:
        """No more servers run a request than its route allows."""
        retries = self._retries(2)
        first = retries.decide(_failure(api.RunState.MAY_HAVE_RUN), 1.0)
        self.assertIsInstance(first, api.Retry)
        second = retries.decide(_failure(api.RunState.FAILED, 2), 1.0)
        self.assertIsInstance(second, api.GiveUp)

    def test_rejections_are_bounded(self) -> None:
        """A request that all turn away ends after a few servers."""
        retries = self._retries(1)
        verdicts = [
            retries.decide(_failure(api.RunState.NOT_RUN, attempts), 1.0)
            for attempts in range(1, 5)
        ]
        self.assertIsInstance(verdicts[-1], api.GiveUp)

"""Tests of retries within the budget of a sliding window."""

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
    """The retries of an instance keep to the share of its requests."""

    def test_share(self) -> None:
        """Without requests only the slack is permitted."""
        subject = window.RetryWindow(SHARE, SLACK, SECONDS)
        taken = sum(subject.take('s', 1.0) for _ in range(10))
        self.assertEqual(SLACK, taken)

    def test_services_have_separate_budgets(self) -> None:
        """Requests for one service add nothing to another's budget."""
        subject = window.RetryWindow(SHARE, 0, SECONDS)
        for _ in range(100):
            subject.record_request('a', 1.0)
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
        """In each window the retries keep to the share and the slack."""
        subject = window.RetryWindow(SHARE, SLACK, SECONDS)
        now = 0.0
        requests: list[float] = []
        retries: list[float] = []
        for pause, is_retry in steps:
            now += pause
            if is_retry:
                if subject.take('s', now):
                    retries.append(now)
            else:
                subject.record_request('s', now)
                requests.append(now)
            recent = [at for at in retries if at > now - SECONDS]
            # Requests of the preceding window count for retries at the start
            # of this one.
            counted = [at for at in requests if at > now - 2 * SECONDS]
            limit = SHARE * len(counted) + SLACK
            self.assertLessEqual(len(recent), limit)


class DecideTest(unittest.TestCase):
    """The decision after a failed attempt."""

    def _retries(self, max_attempts: int = 2) -> windowed.WindowedRetries:
        budget = window.RetryWindow(SHARE, 50, SECONDS)
        return windowed.WindowedRetries(
            's', max_attempts, budget, random.Random(1)
        )

    def test_non_idempotent_that_may_have_run(self) -> None:
        """A non-idempotent request that may have run is not retried."""
        failure = _failure(api.RunState.MAY_HAVE_RUN, idempotent=False)
        decision = self._retries().decide(failure, 1.0)
        self.assertIsInstance(decision, api.GiveUp)
        self.assertEqual('may_have_run', decision.reason)

    def test_rejected_request_is_retried(self) -> None:
        """A request that did not run is sent to another server."""
        failure = _failure(api.RunState.NOT_RUN, idempotent=False)
        decision = self._retries(1).decide(failure, 1.0)
        self.assertIsInstance(decision, api.Retry)

    def test_runs_are_bounded(self) -> None:
        """A request runs on at most ``max_attempts`` servers."""
        retries = self._retries(2)
        first = retries.decide(_failure(api.RunState.MAY_HAVE_RUN), 1.0)
        self.assertIsInstance(first, api.Retry)
        second = retries.decide(_failure(api.RunState.FAILED, 2), 1.0)
        self.assertIsInstance(second, api.GiveUp)

    def test_rejections_are_bounded(self) -> None:
        """A request that servers keep rejecting ends after a few attempts."""
        retries = self._retries(1)
        decisions = [
            retries.decide(_failure(api.RunState.NOT_RUN, attempts), 1.0)
            for attempts in range(1, 5)
        ]
        self.assertIsInstance(decisions[-1], api.GiveUp)


class RunningAttemptTest(unittest.TestCase):
    """Retries of a request whose attempt still runs."""

    def _subject(
        self, max_attempts: int, slack: int
    ) -> windowed.WindowedRetries:
        budget = window.RetryWindow(SHARE, slack, SECONDS)
        return windowed.WindowedRetries(
            's', max_attempts, budget, random.Random(1)
        )

    def test_attempts(self) -> None:
        """The running attempt counts as one that may have run."""
        self.assertFalse(self._subject(1, 9).attempt_left(1))
        subject = self._subject(2, 9)
        self.assertTrue(subject.attempt_left(1))
        self.assertTrue(subject.take_move(1.0))
        self.assertFalse(subject.attempt_left(2))

    def test_after_rejections(self) -> None:
        """Attempts that did not run leave the attempts that may."""
        subject = self._subject(2, 9)
        subject.decide(_failure(api.RunState.NOT_RUN), 1.0)
        self.assertTrue(subject.attempt_left(2))
        self.assertFalse(subject.attempt_left(4))

    def test_budget(self) -> None:
        """A move needs a retry for itself and one for a refusal."""
        subject = self._subject(3, 1)
        self.assertFalse(subject.budget_left(1.0))
        self.assertFalse(subject.take_move(1.0))
        subject = self._subject(3, 2)
        self.assertTrue(subject.take_move(1.0))
        self.assertFalse(subject.budget_left(1.0))
        self.assertFalse(subject.take_move(1.0))

    def test_refused_after_a_move(self) -> None:
        """The reserved retry is used where the next server refuses."""
        subject = self._subject(2, 2)
        self.assertTrue(subject.take_move(1.0))
        refused = _failure(api.RunState.NOT_RUN, 2)
        self.assertIsInstance(subject.decide(refused, 1.0), api.Retry)
        self.assertIsInstance(subject.decide(refused, 1.0), api.GiveUp)

    def test_returned(self) -> None:
        """What is not needed can be used by other requests."""
        subject = self._subject(2, 2)
        self.assertTrue(subject.take_move(1.0))
        subject.return_reserved()
        subject.return_reserved()
        self.assertFalse(subject.budget_left(1.0))
        subject.return_move()
        self.assertTrue(subject.budget_left(1.0))
        self.assertTrue(subject.attempt_left(1))

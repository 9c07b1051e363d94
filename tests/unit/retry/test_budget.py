"""Tests of retries within a budget that grows with successes."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.retry import api
from dogwoodquay.retry import budget


def _failure(
    run_state: api.RunState = api.RunState.NOT_RUN,
    attempts: int = 1,
    idempotent: bool = True,
    delivered: bool = False,
    resumable: bool = False,
    deadline: float = 1e9,
) -> api.Failure:
    return api.Failure(
        'refused',
        run_state,
        attempts,
        idempotent,
        delivered,
        resumable,
        deadline,
    )


def _policy_with_budget() -> budget.BudgetedRetries:
    """Return a policy with retries left in its budget."""
    subject = budget.BudgetedRetries(random.Random(1))
    for _ in range(100):
        subject.started(0.0)
        subject.succeeded(0.0)
    return subject


class AmplificationTest(unittest.TestCase):
    """Retries stay within their share while upstreams fail."""

    def test_outage_after_successes(self) -> None:
        """In an outage the retries add at most a tenth to the attempts."""
        subject = budget.BudgetedRetries(random.Random(1))
        for step in range(10_000):
            subject.started(step * 0.01)
            subject.succeeded(step * 0.01)
        attempts = 0
        first_attempts = 2_000
        for step in range(first_attempts):
            attempts += _attempts(subject, 100.0 + step * 0.01)
        self.assertLessEqual(attempts, first_attempts * 1.1)
        self.assertGreater(attempts, first_attempts)

    @hypothesis.given(
        strategies.lists(strategies.booleans(), min_size=1, max_size=300),
        strategies.floats(0.001, 5.0),
    )
    def test_retries_never_exceed_the_share_of_successes(
        self, results: list[bool], gap: float
    ) -> None:
        """The retries are at most a tenth of all successes."""
        subject = budget.BudgetedRetries(random.Random(1))
        retries = 0
        for step, success in enumerate(results):
            now = step * gap
            if success:
                subject.started(now)
                subject.succeeded(now)
            else:
                retries += _attempts(subject, now) - 1
        self.assertLessEqual(retries, sum(results) * 0.1 + 1e-6)


class RunStateTest(unittest.TestCase):
    """Requests that have run, may have run or did not run."""

    def test_non_idempotent_that_may_have_run(self) -> None:
        """A non-idempotent request that may have run is not retried."""
        for state in (api.RunState.MAY_HAVE_RUN, api.RunState.FAILED):
            failure = _failure(run_state=state, idempotent=False)
            decision = _policy_with_budget().decide(failure, 1.0)
            self.assertEqual(api.GiveUp('may_have_run', state), decision)

    def test_non_idempotent_that_did_not_run(self) -> None:
        """A non-idempotent request that did not run is retried."""
        decision = _policy_with_budget().decide(
            _failure(idempotent=False), 1.0
        )
        self.assertIsInstance(decision, api.Retry)

    def test_never_restarts_a_delivered_answer(self) -> None:
        """A partly delivered answer is resumed or ended."""
        state = api.RunState.MAY_HAVE_RUN
        failure = _failure(run_state=state, delivered=True)
        decision = _policy_with_budget().decide(failure, 1.0)
        self.assertEqual(api.GiveUp('partly_delivered', state), decision)
        failure = _failure(run_state=state, delivered=True, resumable=True)
        decision = _policy_with_budget().decide(failure, 1.0)
        assert isinstance(decision, api.Retry)
        self.assertTrue(decision.resume)


class LimitTest(unittest.TestCase):
    """Limits by the deadline, the attempts and the budget."""

    def test_gives_up_at_the_deadline(self) -> None:
        """No retry is made if the backoff ends past the deadline."""
        decision = _policy_with_budget().decide(_failure(deadline=1.001), 1.0)
        assert isinstance(decision, api.GiveUp)
        self.assertEqual('deadline_passed', decision.reason)

    def test_gives_up_after_the_last_attempt(self) -> None:
        """No retry is made after the last permitted attempt."""
        decision = _policy_with_budget().decide(_failure(attempts=3), 1.0)
        assert isinstance(decision, api.GiveUp)
        self.assertEqual('attempts_spent', decision.reason)

    def test_a_new_instance_has_no_budget(self) -> None:
        """No retry is made before the first success."""
        subject = budget.BudgetedRetries(random.Random(1))
        subject.started(0.0)
        decision = subject.decide(_failure(), 0.0)
        assert isinstance(decision, api.GiveUp)
        self.assertEqual('retry_budget_spent', decision.reason)


def _attempts(subject: budget.BudgetedRetries, now: float) -> int:
    """Return the number of attempts of a request that always fails."""
    subject.started(now)
    attempts = 1
    while isinstance(
        subject.decide(_failure(attempts=attempts), now), api.Retry
    ):
        attempts += 1
    return attempts

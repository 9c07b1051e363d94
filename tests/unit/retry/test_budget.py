"""Tests of retries within a budget."""

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


def _filled() -> budget.BudgetedRetries:
    """Return a policy whose budget holds retries."""
    subject = budget.BudgetedRetries(random.Random(1))
    for _ in range(100):
        subject.started(0.0)
        subject.succeeded(0.0)
    return subject


class StormTest(unittest.TestCase):
    """Every upstream fails."""

    def test_amplification_after_a_good_time(self) -> None:
        """An outage amplifies at most by a tenth from its start on."""
        subject = budget.BudgetedRetries(random.Random(1))
        for step in range(10_000):
            subject.started(step * 0.01)
            subject.succeeded(step * 0.01)
        sent = 0
        firsts = 2_000
        for step in range(firsts):
            sent += _attempts(subject, 100.0 + step * 0.01)
        self.assertLessEqual(sent, firsts * 1.1)
        self.assertGreater(sent, firsts)

    @hypothesis.given(
        strategies.lists(strategies.booleans(), min_size=1, max_size=300),
        strategies.floats(0.001, 5.0),
    )
    def test_retries_never_exceed_the_share_of_successes(
        self, results: list[bool], gap: float
    ) -> None:
        """Over a whole life, each success pays for a tenth of a retry."""
        subject = budget.BudgetedRetries(random.Random(1))
        retries = 0
        for step, ok in enumerate(results):
            now = step * gap
            if ok:
                subject.started(now)
                subject.succeeded(now)
            else:
                retries += _attempts(subject, now) - 1
        self.assertLessEqual(retries, sum(results) * 0.1 + 1e-6)


class RunStateTest(unittest.TestCase):
    """What may have run."""

    def test_never_repeats_what_may_have_run(self) -> None:
        """A request that is not idempotent ends there."""
        for state in (api.RunState.MAY_HAVE_RUN, api.RunState.FAILED):
            failure = _failure(run_state=state, idempotent=False)
            decision = _filled().decide(failure, 1.0)
            self.assertEqual(api.GiveUp('may_have_run', state), decision)

    def test_repeats_what_did_not_run(self) -> None:
        """Also when it is not idempotent."""
        decision = _filled().decide(_failure(idempotent=False), 1.0)
        self.assertIsInstance(decision, api.Retry)

    def test_never_restarts_a_delivered_answer(self) -> None:
        """A part that the caller has is continued or ended."""
        state = api.RunState.MAY_HAVE_RUN
        failure = _failure(run_state=state, delivered=True)
        decision = _filled().decide(failure, 1.0)
        self.assertEqual(api.GiveUp('partly_delivered', state), decision)
        failure = _failure(run_state=state, delivered=True, resumable=True)
        decision = _filled().decide(failure, 1.0)
        assert isinstance(decision, api.Retry)
        self.assertTrue(decision.resume)


class LimitTest(unittest.TestCase):
    """Deadlines, attempts and the budget."""

    def test_gives_up_at_the_deadline(self) -> None:
        """The wait would end too late."""
        decision = _filled().decide(_failure(deadline=1.001), 1.0)
        assert isinstance(decision, api.GiveUp)
        self.assertEqual('deadline_passed', decision.reason)

    def test_gives_up_after_the_last_attempt(self) -> None:
        """The number of attempts is bounded."""
        decision = _filled().decide(_failure(attempts=3), 1.0)
        assert isinstance(decision, api.GiveUp)
        self.assertEqual('attempts_spent', decision.reason)

    def test_a_new_instance_has_no_budget(self) -> None:
        """Nothing succeeded, so nothing is paid for."""
        subject = budget.BudgetedRetries(random.Random(1))
        subject.started(0.0)
        decision = subject.decide(_failure(), 0.0)
        assert isinstance(decision, api.GiveUp)
        self.assertEqual('retry_budget_spent', decision.reason)


def _attempts(subject: budget.BudgetedRetries, now: float) -> int:
    """Return how often a request is sent that always fails."""
    subject.started(now)
    attempts = 1
    while isinstance(
        subject.decide(_failure(attempts=attempts), now), api.Retry
    ):
        attempts += 1
    return attempts

"""Tests of claims and of their mutants with the state machine."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful

from dogwoodquay.idempotency import api
from dogwoodquay.idempotency import claimant
from dogwoodquay.idempotency import ended_claims
from dogwoodquay.idempotency import entries
from dogwoodquay.idempotency import table

from . import machine
from . import walks

_SETTINGS = hypothesis.settings(
    max_examples=100,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class ClaimMachineTest(unittest.TestCase):
    """Tests of the unmodified claims."""

    def test_guarantees_hold_in_searches(self) -> None:
        """No sequence of faults that Hypothesis finds breaks a guarantee."""
        stateful.run_state_machine_as_test(
            machine.ClaimMachine, settings=_SETTINGS
        )

    def test_guarantees_hold_on_random_walks(self) -> None:
        """No random walk breaks a guarantee."""
        for seed in range(1000):
            walks.walk(seed)

    def test_duplicated_append_of_a_losing_claim(self) -> None:
        """The second append, after the key was released, must not block it."""
        walks.walk(2071795, 60)


class MutantTest(unittest.TestCase):
    """Checks that the state machine detects each mutant."""

    def _assert_detected(
        self,
        expected_failure: str,
        patched: typing.Any,
        attribute: str,
        mutant: typing.Callable[..., typing.Any],
    ) -> None:
        """Check that a mutant breaks the expected guarantee."""
        with mock.patch.object(patched, attribute, mutant):
            with self.assertRaisesRegex(AssertionError, expected_failure):
                for seed in range(2000):
                    walks.walk(seed)

    def test_granting_before_the_verdict(self) -> None:
        """A claimant that does not wait for the log's verdict."""

        def claim(
            subject: claimant.Claimant, attempt: typing.Any
        ) -> claimant.Decision:
            subject._attempts.pop(attempt.claim.claim_id)
            return api.Granted(attempt.claim)

        self._assert_detected('ran twice', claimant.Claimant, '_claim', claim)

    def test_dropping_claims_without_raising_the_horizon(self) -> None:
        """A table that drops ended claims and still accepts their keys."""
        move_horizon = table.ClaimTable._move_horizon

        def forget(subject: table.ClaimTable, below_ms: int) -> None:
            before = subject._horizon_ms
            move_horizon(subject, below_ms)
            subject._horizon_ms = before

        self._assert_detected(
            'ran twice|granted after an unknown outcome',
            table.ClaimTable,
            '_move_horizon',
            forget,
        )

    def test_skipping_a_gap_without_raising_the_horizon(self) -> None:
        """A table that ignores a gap in its stream."""
        apply = table.ClaimTable.apply

        def skip(subject: table.ClaimTable, entry: typing.Any) -> typing.Any:
            if entry.payload:
                return apply(subject, entry)
            subject._offset = entry.offset
            return ()

        self._assert_detected('ran twice', table.ClaimTable, 'apply', skip)

    def test_refusal_that_covers_earlier_attempts(self) -> None:
        """A claimant that also reports earlier attempts as not run."""
        self._assert_detected(
            'wrongly reported as not run', claimant, '_refused', api.KeyRefused
        )

    def test_releasing_the_key_of_a_lost_claim(self) -> None:
        """A table that releases the key of a failed claimant."""

        def release(subject: table.ClaimTable, entry: entries.Lost) -> bool:
            return subject._remove_open(entry.key, entry.claim_id) is not None

        self._assert_detected(
            'ran twice|granted after an unknown outcome',
            table.ClaimTable,
            '_lose',
            release,
        )

    def test_last_claim_wins(self) -> None:
        """A table in which a later claim replaces a running one."""
        first_wins = table.ClaimTable._claim

        def claim(
            subject: table.ClaimTable, entry: entries.Claimed, time_ms: int
        ) -> bool:
            subject._running.pop(entry.key, None)
            return first_wins(subject, entry, time_ms)

        self._assert_detected('ran twice', table.ClaimTable, '_claim', claim)

    def test_granting_an_abandoned_claim(self) -> None:
        """A table that accepts a withdrawn claim after its withdrawal."""

        def withdraw(
            subject: table.ClaimTable, entry: entries.Withdrawn
        ) -> bool:
            return subject._remove_open(entry.key, entry.claim_id) is not None

        self._assert_detected(
            'key stays blocked', table.ClaimTable, '_withdraw', withdraw
        )

    def test_keys_shared_by_callers(self) -> None:
        """Key ids that do not depend on the caller."""
        key_id = claimant.keys.key_id

        def shared(caller: str, key: str) -> typing.Any:
            return key_id('', key)

        self._assert_detected(
            'wrong answer|wrong conflict', claimant.keys, 'key_id', shared
        )

    def test_lost_claim_counted_as_answered(self) -> None:
        """A table that records a lost request as answered."""

        def end_answered(
            subject: table.ClaimTable, key: typing.Any, claim: typing.Any
        ) -> None:
            outcome = ended_claims.Outcome.ANSWERED
            subject._ended.put(
                key, ended_claims.EndedClaim(claim.body_digest, outcome, 0)
            )

        self._assert_detected(
            'wrong answer', table.ClaimTable, '_end_unknown', end_answered
        )

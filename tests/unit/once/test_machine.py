"""The state machine on the claims as they are, and on broken ones."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful

from dogwoodquay.once import api
from dogwoodquay.once import claimant
from dogwoodquay.once import entries
from dogwoodquay.once import records
from dogwoodquay.once import table

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
    """The claims as they are."""

    def test_holds(self) -> None:
        """No sequence of faults breaks a promise."""
        stateful.run_state_machine_as_test(
            machine.ClaimMachine, settings=_SETTINGS
        )

    def test_holds_on_random_walks(self) -> None:
        """Nor do many quick walks."""
        for seed in range(1000):
            walks.walk(seed)

    def test_doubled_append_of_a_losing_claim(self) -> None:
        """Its second landing, when the key is free again, locks it out."""
        walks.walk(2071795, 60)


class BrokenClaimsTest(unittest.TestCase):
    """Each broken variant has to be found."""

    def _broken(
        self,
        promise: str,
        owner: typing.Any,
        name: str,
        variant: typing.Callable[..., typing.Any],
    ) -> None:
        """Check that a variant breaks the promise that it should."""
        with mock.patch.object(owner, name, variant):
            with self.assertRaisesRegex(AssertionError, promise):
                for seed in range(2000):
                    walks.walk(seed)

    def test_acting_before_read_back(self) -> None:
        """A claimant that does not wait for the log's verdict."""

        def claim(
            subject: claimant.Claimant, attempt: typing.Any
        ) -> claimant.Decision:
            subject._attempts.pop(attempt.claim.claim_id)
            return api.Granted(attempt.claim)

        self._broken('ran twice', claimant.Claimant, '_claim', claim)

    def test_dropping_without_horizon(self) -> None:
        """A table that forgets ended claims and still takes their keys."""
        raise_horizon = table.ClaimTable._raise

        def forget(subject: table.ClaimTable, below_ms: int) -> None:
            before = subject._horizon_ms
            raise_horizon(subject, below_ms)
            subject._horizon_ms = before

        self._broken('ran twice|freed', table.ClaimTable, '_raise', forget)

    def test_skipping_a_gap_without_horizon(self) -> None:
        """A table that goes on after lost entries as if there were none."""
        apply = table.ClaimTable.apply

        def skip(subject: table.ClaimTable, entry: typing.Any) -> typing.Any:
            if entry.payload:
                return apply(subject, entry)
            subject._offset = entry.offset
            return ()

        self._broken('ran twice', table.ClaimTable, 'apply', skip)

    def test_not_run_after_sending(self) -> None:
        """A claimant that promises more than its own attempt."""
        self._broken('false not run', claimant, '_refused', api.KeyRefused)

    def test_freeing_what_was_lost(self) -> None:
        """A table that frees the key of a dead claimant."""

        def lose(subject: table.ClaimTable, entry: entries.Lost) -> bool:
            return subject._take(entry.key, entry.claim_id) is not None

        self._broken('ran twice|freed', table.ClaimTable, '_lose', lose)

    def test_last_claim_wins(self) -> None:
        """A table on which a later claim replaces a running one."""
        first_wins = table.ClaimTable._claim

        def claim(
            subject: table.ClaimTable, entry: entries.Claimed, time_ms: int
        ) -> bool:
            subject._running.pop(entry.key, None)
            return first_wins(subject, entry, time_ms)

        self._broken('ran twice', table.ClaimTable, '_claim', claim)

    def test_granting_after_giving_up(self) -> None:
        """A table that takes a withdrawn claim when it lands late."""

        def withdraw(
            subject: table.ClaimTable, entry: entries.Withdrawn
        ) -> bool:
            return subject._take(entry.key, entry.claim_id) is not None

        self._broken('locked out', table.ClaimTable, '_withdraw', withdraw)

    def test_another_callers_answer(self) -> None:
        """Keys that do not tell callers apart."""
        key_id = claimant.keys.key_id

        def shared(caller: str, key: str) -> typing.Any:
            return key_id('', key)

        self._broken(
            'false answer|false conflict', claimant.keys, 'key_id', shared
        )

    def test_answer_of_a_lost_claim(self) -> None:
        """A table that calls a lost request answered."""

        def unknown(
            subject: table.ClaimTable, key: typing.Any, claim: typing.Any
        ) -> None:
            outcome = records.Outcome.ANSWERED
            subject._ended.put(key, records.Ended(claim.body, outcome, 0))

        self._broken('false answer', table.ClaimTable, '_end_unknown', unknown)

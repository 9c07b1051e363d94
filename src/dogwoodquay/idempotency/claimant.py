"""A pure state machine for the claims of one process.

A claim is granted at most once, on the verdict of the log and before its
deadline. An abandoned claim is withdrawn and never granted, even if its entry
is appended later.
"""

from __future__ import annotations

import dataclasses
import typing

from . import api
from . import ended_claims
from . import entries
from . import keys
from . import table as tables

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Append', 'Claimant', 'Decision']


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """The next step: append an entry and report the log's verdict on it."""

    entry: entries.Claimed | entries.Lost


RETRY_AFTER_SECONDS: typing.Final = 1.0

Decision = Append | api.ClaimAnswer


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt to claim a key.

    ``claimed`` is set when the claim's entry is handed out for an append,
    ``decided`` when the log has decided on it or it can no longer be appended.
    ``may_be_duplicated`` is set if an entry may be on the log twice.
    """

    claim: api.Claim
    key: keys.KeyId
    deadline: float
    claimed: bool = False
    decided: bool = False
    may_be_duplicated: bool = False


class Claimant:
    """The claims of one process on the keys of one shard.

    :param is_dead: returns whether a process of an instance has failed, given
        the instance and its incarnation.
    :param new_id: returns globally unique ids.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        table: tables.ClaimTable,
        is_dead: abc.Callable[[str, int], bool],
        new_id: abc.Callable[[], str],
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._table = table
        self._is_dead = is_dead
        self._new_id = new_id
        self._attempts: dict[str, _Attempt] = {}
        self._unread_answers: dict[bytes, tables.Answered] = {}
        self._withdrawals: list[entries.Withdrawn] = []

    @property
    def open(self) -> int:
        """The number of claims that wait for a verdict."""
        return len(self._attempts)

    def begin(
        self,
        caller: str,
        key: str,
        body_digest: bytes,
        deadline: float,
        now: float,
    ) -> tuple[str, Decision]:
        """Start to claim a key.

        :return: the id of the attempt and the next step or the answer.
        """
        attempt_id = self._new_id()
        claim = api.Claim(
            attempt_id,
            caller,
            key,
            body_digest,
            self._instance,
            self._incarnation,
        )
        key_id = keys.key_id(caller, key)
        if key_id is None:
            return attempt_id, api.KeyRefused('bad_idempotency_key')
        if key_id.time_ms > now * 1000 + tables.MAX_KEY_AHEAD_MS:
            return attempt_id, api.KeyRefused('key_from_future')
        attempt = _Attempt(claim, key_id, deadline)
        self._attempts[attempt_id] = attempt
        return attempt_id, self._next_decision(attempt_id, attempt, now)

    def on_verdict(
        self, attempt_id: str, valid: bool, now: float, may_be_duplicated: bool
    ) -> Decision:
        """Continue after the verdict on the last entry of an attempt.

        :param may_be_duplicated: whether the entry may be on the log twice.
        """
        attempt = self._attempts[attempt_id]
        attempt.decided = attempt.claimed
        attempt.may_be_duplicated = (
            attempt.may_be_duplicated or may_be_duplicated
        )
        if now >= attempt.deadline:
            return self._refuse(attempt_id, 'claim_undecided', now)
        if valid and self._holds_key(attempt):
            del self._attempts[attempt_id]
            return api.Granted(attempt.claim)
        return self._next_decision(attempt_id, attempt, now)

    def give_up(
        self, attempt_id: str, may_be_on_log: bool, now: float
    ) -> api.ClaimAnswer:
        """Abandon an attempt without a verdict; it is never granted.

        :param may_be_on_log: whether its last entry is or may get on the log.
        """
        if not may_be_on_log:
            self._attempts[attempt_id].decided = True
        return self._refuse(attempt_id, 'claim_undecided', now)

    def take_withdrawals(self) -> list[entries.Withdrawn]:
        """Return and clear the withdrawals of abandoned claims."""
        taken, self._withdrawals = self._withdrawals, []
        return taken

    def withdrawal(self, claim: api.Claim) -> entries.Withdrawn:
        """Return the entry that releases a key whose request did not run."""
        key = keys.key_id(claim.caller, claim.key)
        assert key is not None
        return entries.Withdrawn(
            entry_id=self._new_id(),
            claim_id=claim.claim_id,
            key=key.digest,
            time_ms=key.time_ms,
        )

    def settlement(
        self, claim: api.Claim, answer: api.StoredAnswer | None
    ) -> entries.Settled:
        """Return the entry that records the end of a granted claim."""
        key = keys.key_id(claim.caller, claim.key)
        assert key is not None
        if answer is not None:
            body_digest = _short_digest(claim.body_digest)
            self._unread_answers[key.digest] = tables.Answered(
                body_digest, answer
            )
        return entries.Settled(
            entry_id=self._new_id(),
            claim_id=claim.claim_id,
            key=key.digest,
            answer=answer,
        )

    def on_settlement_read(self, settled: entries.Settled) -> None:
        """Forget the answer of a settlement that was read from the log."""
        self._unread_answers.pop(settled.key, None)

    def _holds_key(self, attempt: _Attempt) -> bool:
        match self._table.status(attempt.key):
            case tables.OpenClaim(claim_id):
                return claim_id == attempt.claim.claim_id
            case _:
                return False

    def _next_decision(
        self, attempt_id: str, attempt: _Attempt, now: float
    ) -> Decision:
        status = self._table.status(attempt.key)
        match status:
            case tables.Free() if attempt.claimed:
                return self._refuse(attempt_id, 'claim_void', now)
            case tables.Free():
                return self._claim(attempt)
            case tables.OpenClaim() if self._is_lost(status, attempt):
                return Append(self._loss_entry(status, attempt))
            case _:
                return self._end_attempt(
                    attempt_id, self._answer(status, attempt)
                )

    def _claim(self, attempt: _Attempt) -> Append:
        attempt.claimed = True
        entry = entries.Claimed(
            entry_id=attempt.claim.claim_id,
            key=attempt.key.digest,
            time_ms=attempt.key.time_ms,
            body=_short_digest(attempt.claim.body_digest),
            instance=self._instance,
            boot=self._incarnation,
        )
        return Append(entry)

    def _is_lost(
        self, open_claim: tables.OpenClaim, attempt: _Attempt
    ) -> bool:
        if open_claim.body_digest != _short_digest(attempt.claim.body_digest):
            return False
        return self._is_dead(open_claim.instance, open_claim.boot)

    def _loss_entry(
        self, open_claim: tables.OpenClaim, attempt: _Attempt
    ) -> entries.Lost:
        return entries.Lost(
            entry_id=self._new_id(),
            claim_id=open_claim.claim_id,
            key=attempt.key.digest,
        )

    def _answer(
        self,
        status: tables.OpenClaim
        | tables.TooOld
        | tables.UnknownOutcome
        | tables.Answered,
        attempt: _Attempt,
    ) -> api.ClaimAnswer:
        if isinstance(status, tables.TooOld):
            return api.Unknown()
        if status.body_digest != _short_digest(attempt.claim.body_digest):
            return api.Conflict()
        match status:
            case tables.OpenClaim():
                unread = self._unread_answers.get(attempt.key.digest)
                if unread is not None:
                    return api.Known(unread.answer)
                return api.Running(status.instance)
            case tables.UnknownOutcome():
                return api.Unknown()
            case tables.Answered():
                return api.Known(status.answer)

    def _refuse(
        self, attempt_id: str, reason: str, now: float
    ) -> api.ClaimAnswer:
        attempt = self._attempts[attempt_id]
        status = self._table.status(attempt.key)
        own_id = attempt.claim.claim_id
        match status:
            case tables.Free():
                answer: api.ClaimAnswer = _refused(reason, now)
            case tables.OpenClaim(claim_id) if claim_id == own_id:
                answer = _refused(reason, now)
            case _:
                answer = self._answer(status, attempt)
        return self._end_attempt(attempt_id, answer)

    def _end_attempt(
        self, attempt_id: str, answer: api.ClaimAnswer
    ) -> api.ClaimAnswer:
        attempt = self._attempts.pop(attempt_id)
        # A claim whose entry may still be appended is withdrawn in advance.
        entry_is_final = attempt.decided and not attempt.may_be_duplicated
        if attempt.claimed and (
            not entry_is_final or self._holds_key(attempt)
        ):
            self._withdrawals.append(self.withdrawal(attempt.claim))
        return answer


def _refused(reason: str, now: float) -> api.KeyRefused:
    retry_at = now + RETRY_AFTER_SECONDS
    return api.KeyRefused(reason, retry_at, attempt_only=True)


def _short_digest(digest: bytes) -> bytes:
    return digest[: ended_claims.DIGEST_BYTES].ljust(
        ended_claims.DIGEST_BYTES, b'\0'
    )

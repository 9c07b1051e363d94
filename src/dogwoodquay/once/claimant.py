"""What an instance may tell and do about claims, as a pure state machine.

A claim is granted only on the log's verdict, before its deadline, and once.
A claim that was given up is withdrawn and never granted, wherever and
whenever its entry lands.
"""

from __future__ import annotations

import dataclasses
import typing

from . import api
from . import entries
from . import keys
from . import records
from . import table as tables

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Append', 'Claimant', 'Decision']


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append an entry and come back with the log's verdict on it."""

    entry: entries.Claimed | entries.Lost


RETRY_SECONDS: typing.Final = 1.0

Decision = Append | api.ClaimAnswer


@dataclasses.dataclass(slots=True)
class _Attempt:
    claim: api.Claim
    key: keys.KeyId
    deadline: float
    claimed: bool = False
    decided: bool = False
    doubled: bool = False


class Claimant:
    """The claims of one process; all entries go to the key's shard.

    :param dead: whether a process of an instance is known to be gone.
    :param new_id: returns ids that are unique for all time.
    """

    def __init__(
        self,
        instance: str,
        boot: int,
        table: tables.ClaimTable,
        dead: abc.Callable[[str, int], bool],
        new_id: abc.Callable[[], str],
    ) -> None:
        self._instance = instance
        self._boot = boot
        self._table = table
        self._dead = dead
        self._new_id = new_id
        self._attempts: dict[str, _Attempt] = {}
        self._ended: dict[bytes, tables.Answered] = {}
        self._withdrawals: list[entries.Withdrawn] = []

    @property
    def open(self) -> int:
        """The number of claims that wait for their verdict."""
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

        :return: the id of the attempt, and what to do next.
        """
        attempt_id = self._new_id()
        claim = api.Claim(
            attempt_id, caller, key, body_digest, self._instance, self._boot
        )
        found = keys.key_id(caller, key)
        if found is None:
            return attempt_id, api.KeyRefused('bad_idempotency_key')
        if found.time_ms > now * 1000 + tables.FUTURE_MS:
            return attempt_id, api.KeyRefused('key_from_future')
        attempt = _Attempt(claim, found, deadline)
        self._attempts[attempt_id] = attempt
        return attempt_id, self._next(attempt_id, attempt, now)

    def decided(
        self, attempt_id: str, valid: bool, now: float, doubled: bool
    ) -> Decision:
        """Take in the verdict on the entry that was last appended.

        :param doubled: whether the entry may land once more.
        """
        attempt = self._attempts[attempt_id]
        attempt.decided = attempt.claimed
        attempt.doubled = attempt.doubled or doubled
        if now >= attempt.deadline:
            return self._refuse(attempt_id, 'claim_undecided', now)
        if valid and self._holds(attempt):
            del self._attempts[attempt_id]
            return api.Granted(attempt.claim)
        return self._next(attempt_id, attempt, now)

    def give_up(
        self, attempt_id: str, may_land: bool, now: float
    ) -> api.ClaimAnswer:
        """End an attempt without a verdict; it is never granted.

        :param may_land: whether its last entry may get or be on the log.
        """
        if not may_land:
            self._attempts[attempt_id].decided = True
        return self._refuse(attempt_id, 'claim_undecided', now)

    def take_withdrawals(self) -> list[entries.Withdrawn]:
        """Return the entries that free what was given up, each once."""
        taken, self._withdrawals = self._withdrawals, []
        return taken

    def withdrawal(self, claim: api.Claim) -> entries.Withdrawn:
        """Return the entry that frees a key whose request did not run."""
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
            body = _short(claim.body_digest)
            self._ended[key.digest] = tables.Answered(body, answer)
        return entries.Settled(
            entry_id=self._new_id(),
            claim_id=claim.claim_id,
            key=key.digest,
            answer=answer,
        )

    def recorded(self, settled: entries.Settled) -> None:
        """Take in that a settlement was read back."""
        self._ended.pop(settled.key, None)

    def _holds(self, attempt: _Attempt) -> bool:
        match self._table.status(attempt.key):
            case tables.OpenClaim(claim_id):
                return claim_id == attempt.claim.claim_id
            case _:
                return False

    def _next(
        self, attempt_id: str, attempt: _Attempt, now: float
    ) -> Decision:
        status = self._table.status(attempt.key)
        match status:
            case tables.Free() if attempt.claimed:
                return self._refuse(attempt_id, 'claim_void', now)
            case tables.Free():
                return self._claim(attempt)
            case tables.OpenClaim() if self._is_lost(status, attempt):
                return Append(self._loss(status, attempt))
            case _:
                return self._end(attempt_id, self._answer(status, attempt))

    def _claim(self, attempt: _Attempt) -> Append:
        attempt.claimed = True
        entry = entries.Claimed(
            entry_id=attempt.claim.claim_id,
            key=attempt.key.digest,
            time_ms=attempt.key.time_ms,
            body=_short(attempt.claim.body_digest),
            instance=self._instance,
            boot=self._boot,
        )
        return Append(entry)

    def _is_lost(self, holder: tables.OpenClaim, attempt: _Attempt) -> bool:
        if holder.body != _short(attempt.claim.body_digest):
            return False
        return self._dead(holder.instance, holder.boot)

    def _loss(
        self, holder: tables.OpenClaim, attempt: _Attempt
    ) -> entries.Lost:
        return entries.Lost(
            entry_id=self._new_id(),
            claim_id=holder.claim_id,
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
        if status.body != _short(attempt.claim.body_digest):
            return api.Conflict()
        match status:
            case tables.OpenClaim():
                ended = self._ended.get(attempt.key.digest)
                if ended is not None:
                    return api.Known(ended.answer)
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
        own = attempt.claim.claim_id
        match status:
            case tables.Free():
                answer: api.ClaimAnswer = _refused(reason, now)
            case tables.OpenClaim(claim_id) if claim_id == own:
                answer = _refused(reason, now)
            case _:
                answer = self._answer(status, attempt)
        return self._end(attempt_id, answer)

    def _end(
        self, attempt_id: str, answer: api.ClaimAnswer
    ) -> api.ClaimAnswer:
        attempt = self._attempts.pop(attempt_id)
        sure = attempt.decided and not attempt.doubled
        if attempt.claimed and (not sure or self._holds(attempt)):
            self._withdrawals.append(self.withdrawal(attempt.claim))
        return answer


def _refused(reason: str, now: float) -> api.KeyRefused:
    retry_at = now + RETRY_SECONDS
    return api.KeyRefused(reason, retry_at, attempt_only=True)


def _short(digest: bytes) -> bytes:
    return digest[: records.BODY_BYTES].ljust(records.BODY_BYTES, b'\0')

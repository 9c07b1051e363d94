"""The claims of one shard, computed from its stream alone.

The first claim on a key in the order of the log wins. An ended claim is kept
until the horizon passes its key's time. Older keys are refused, because the
retry of a dropped claim would look like a first call.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import msgspec

from . import api
from . import ended_claims
from . import entries
from ..journal import api as journal_api
from ..journal import entries as journal_entries
from . import keys

if typing.TYPE_CHECKING:
    from ..external import api as external_api

__all__ = [
    'MAX_ANSWERS_BYTES',
    'MAX_KEY_AHEAD_MS',
    'Answered',
    'ClaimTable',
    'Free',
    'KeyStatus',
    'MIN_LIFETIME_MS',
    'OpenClaim',
    'TooOld',
    'UnknownOutcome',
]

MAX_KEY_AHEAD_MS: typing.Final = 5 * ended_claims.MINUTE_MS
MIN_LIFETIME_MS: typing.Final = 5 * ended_claims.MINUTE_MS
MAX_ANSWERS_BYTES: typing.Final = 4 * 1024 * 1024


class OpenClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claim that won its key and has not ended.

    ``body_digest`` is shortened to ``ended_claims.DIGEST_BYTES``, here and in
    the other states of a key.
    """

    claim_id: str
    time_ms: int
    body_digest: bytes
    instance: str
    boot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """There is no claim on the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooOld:
    """The key is older than the horizon; its claims may be dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The request of the key may or may not have run."""

    body_digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request of the key has ended; ``answer`` may be truncated."""

    body_digest: bytes
    answer: api.StoredAnswer


KeyStatus = Free | TooOld | OpenClaim | UnknownOutcome | Answered


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    offset: int
    horizon_ms: int
    gap: bool
    running: dict[bytes, OpenClaim]
    ended: dict[int, bytes]
    withdrawn: dict[str, int]
    answers: tuple[tuple[bytes, api.StoredAnswer], ...]


class ClaimTable:
    """Implements ``journal.api.ReplayedState`` for a stream of claims."""

    def __init__(self, max_answers_bytes: int = MAX_ANSWERS_BYTES) -> None:
        self._max_answers_bytes = max_answers_bytes
        self._offset = -1
        self._horizon_ms = 0
        self._gap = False
        self._running: dict[bytes, OpenClaim] = {}
        self._ended = ended_claims.EndedClaims()
        self._withdrawn: dict[str, int] = {}
        self._answers: collections.OrderedDict[bytes, api.StoredAnswer]
        self._answers = collections.OrderedDict()
        self._answers_bytes = 0

    @property
    def offset(self) -> int:
        """The offset of the last applied record, -1 before the first."""
        return self._offset

    @property
    def horizon_ms(self) -> int:
        """The time in milliseconds before which keys are refused."""
        return self._horizon_ms

    @property
    def size(self) -> int:
        """The number of stored keys."""
        return len(self._ended) + len(self._running)

    @property
    def running(self) -> int:
        """The number of claims that have not ended."""
        return len(self._running)

    def status(self, key: keys.KeyId) -> KeyStatus:
        """Return the state of a key."""
        if key.time_ms < self._horizon_ms:
            return TooOld()
        claim = self._running.get(key.digest)
        if claim is not None:
            return claim
        ended = self._ended.get(key)
        if ended is None:
            return Free()
        if ended.outcome is ended_claims.Outcome.UNKNOWN:
            return UnknownOutcome(ended.body_digest)
        answer = self._answers.get(key.digest)
        if answer is None:
            answer = api.StoredAnswer(ended.status, (), b'', truncated=True)
        return Answered(ended.body_digest, answer)

    def is_open(self, digest: bytes, claim_id: str) -> bool:
        """Return whether a claim won a key and has not ended."""
        claim = self._running.get(digest)
        return claim is not None and claim.claim_id == claim_id

    def horizon_for(self, limit: int, time_ms: int) -> int:
        """Return the horizon for a maximum of keys and a lifetime.

        :param limit: the maximum number of ended claims.
        :param time_ms: the horizon by the lifetime of keys.
        """
        target_ms = max(time_ms, self._ended.horizon_for_count(limit))
        return target_ms // ended_claims.MINUTE_MS * ended_claims.MINUTE_MS

    def apply(
        self, entry: external_api.LogEntry
    ) -> tuple[journal_api.Verdict, ...]:
        """Apply the next record; an empty payload marks a gap."""
        batch = entries.CODEC.decode(entry.payload) if entry.payload else ()
        if not entry.payload or entry.offset != self._offset + 1:
            self._gap = True
        self._offset = entry.offset
        time_ms = int(entry.time * 1000)
        if self._gap and entry.payload:
            # A key that was claimed in the gap would look free, so all keys
            # that may have been claimed before this record are refused.
            self._gap = False
            self._move_horizon(
                time_ms + MAX_KEY_AHEAD_MS + ended_claims.MINUTE_MS
            )
        return tuple(
            journal_api.Verdict(
                item.entry_id, self._apply(item, time_ms), entry.offset
            )
            for item in batch
        )

    def snapshot(self) -> bytes:
        """Return the complete state, the offset included."""
        return journal_entries.pack(
            _Snapshot(
                self._offset,
                self._horizon_ms,
                self._gap,
                self._running,
                self._ended.dump(),
                self._withdrawn,
                tuple(self._answers.items()),
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state, the offset included, by a snapshot."""
        restored = journal_entries.unpack(snapshot, _Snapshot)
        self._offset = restored.offset
        self._horizon_ms = restored.horizon_ms
        self._gap = restored.gap
        self._running = dict(restored.running)
        self._ended.load(restored.ended)
        self._withdrawn = dict(restored.withdrawn)
        self._answers = collections.OrderedDict(restored.answers)
        sizes = (_size(answer) for answer in self._answers.values())
        self._answers_bytes = sum(sizes)

    def _apply(self, entry: entries.ClaimEntry, time_ms: int) -> bool:
        match entry:
            case entries.Claimed():
                return self._claim(entry, time_ms)
            case entries.Settled():
                return self._settle(entry)
            case entries.Withdrawn():
                return self._withdraw(entry)
            case entries.Lost():
                return self._lose(entry)
            case entries.HorizonRaised():
                return self._raise_horizon(entry, time_ms)

    def _claim(self, entry: entries.Claimed, time_ms: int) -> bool:
        if entry.entry_id in self._withdrawn:
            return False
        if entry.time_ms > time_ms + MAX_KEY_AHEAD_MS:
            return False
        match self.status(keys.KeyId(entry.key, entry.time_ms)):
            case OpenClaim(claim_id):
                return claim_id == entry.entry_id
            case Free():
                self._running[entry.key] = OpenClaim(
                    entry.entry_id,
                    entry.time_ms,
                    entry.body,
                    entry.instance,
                    entry.boot,
                )
                return True
            case _:
                return False

    def _settle(self, entry: entries.Settled) -> bool:
        claim = self._remove_open(entry.key, entry.claim_id)
        if claim is None:
            return False
        key = keys.KeyId(entry.key, claim.time_ms)
        if entry.answer is None:
            self._end_unknown(key, claim)
            return True
        status = entry.answer.status
        ended = ended_claims.EndedClaim(
            claim.body_digest, ended_claims.Outcome.ANSWERED, status
        )
        self._ended.put(key, ended)
        self._store_answer(entry.key, entry.answer)
        return True

    def _withdraw(self, entry: entries.Withdrawn) -> bool:
        if entry.time_ms >= self._horizon_ms:
            self._withdrawn[entry.claim_id] = entry.time_ms
        return self._remove_open(entry.key, entry.claim_id) is not None

    def _lose(self, entry: entries.Lost) -> bool:
        claim = self._remove_open(entry.key, entry.claim_id)
        if claim is None:
            return False
        self._end_unknown(keys.KeyId(entry.key, claim.time_ms), claim)
        return True

    def _raise_horizon(
        self, entry: entries.HorizonRaised, time_ms: int
    ) -> bool:
        rises = entry.below_ms > self._horizon_ms
        if not rises or entry.below_ms > time_ms - MIN_LIFETIME_MS:
            return False
        self._move_horizon(entry.below_ms)
        return True

    def _move_horizon(self, below_ms: int) -> None:
        below_ms = below_ms // ended_claims.MINUTE_MS * ended_claims.MINUTE_MS
        self._horizon_ms = max(self._horizon_ms, below_ms)
        for digest in self._ended.drop_below(self._horizon_ms):
            self._drop_answer(digest)
        self._running = {
            digest: claim
            for digest, claim in self._running.items()
            if claim.time_ms >= self._horizon_ms
        }
        self._withdrawn = {
            claim_id: time_ms
            for claim_id, time_ms in self._withdrawn.items()
            if time_ms >= self._horizon_ms
        }

    def _remove_open(self, digest: bytes, claim_id: str) -> OpenClaim | None:
        if not self.is_open(digest, claim_id):
            return None
        return self._running.pop(digest)

    def _end_unknown(self, key: keys.KeyId, claim: OpenClaim) -> None:
        outcome = ended_claims.Outcome.UNKNOWN
        self._ended.put(
            key, ended_claims.EndedClaim(claim.body_digest, outcome, 0)
        )

    def _store_answer(self, digest: bytes, answer: api.StoredAnswer) -> None:
        self._answers[digest] = answer
        self._answers_bytes += _size(answer)
        while self._answers_bytes > self._max_answers_bytes:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, digest: bytes) -> None:
        answer = self._answers.pop(digest, None)
        if answer is not None:
            self._answers_bytes -= _size(answer)


def _size(answer: api.StoredAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers

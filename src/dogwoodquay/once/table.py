"""The claims of one shard: a function of its stream alone.

The first claim of a key wins by log order. An ended claim stays until the
horizon passes its key's time; from then on the key is refused, so that
dropping a claim never makes a retry look like a first call.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import msgspec

from . import api
from . import entries
from ..journal import api as journal_api
from ..journal import entries as journal_entries
from . import keys
from . import records

if typing.TYPE_CHECKING:
    from ..external import api as external_api

__all__ = [
    'ANSWERS_BYTES',
    'FUTURE_MS',
    'Answered',
    'ClaimTable',
    'Free',
    'KeyStatus',
    'MIN_LIFETIME_MS',
    'OpenClaim',
    'TooOld',
    'UnknownOutcome',
]

FUTURE_MS: typing.Final = 5 * records.MINUTE_MS
MIN_LIFETIME_MS: typing.Final = 5 * records.MINUTE_MS
ANSWERS_BYTES: typing.Final = 4 * 1024 * 1024


class OpenClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claim that won its key and has not ended."""

    claim_id: str
    time_ms: int
    body: bytes
    instance: str
    boot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """No claim holds the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooOld:
    """The key is from before the horizon; claims on it may be dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The key's request may or may not have run."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The key's request has ended; its answer may no longer be kept."""

    body: bytes
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

    def __init__(self, answers_bytes: int = ANSWERS_BYTES) -> None:
        self._answers_bytes = answers_bytes
        self._offset = -1
        self._horizon_ms = 0
        self._gap = False
        self._running: dict[bytes, OpenClaim] = {}
        self._ended = records.EndedClaims()
        self._withdrawn: dict[str, int] = {}
        self._answers: collections.OrderedDict[bytes, api.StoredAnswer]
        self._answers = collections.OrderedDict()
        self._answers_size = 0

    @property
    def offset(self) -> int:
        """The last offset that is reflected here, -1 before the first."""
        return self._offset

    @property
    def horizon_ms(self) -> int:
        """Keys from before this time are refused."""
        return self._horizon_ms

    @property
    def size(self) -> int:
        """The number of keys that are kept."""
        return len(self._ended) + len(self._running)

    @property
    def running(self) -> int:
        """The number of claims that have not ended."""
        return len(self._running)

    def status(self, key: keys.KeyId) -> KeyStatus:
        """Return what is known of a key."""
        if key.time_ms < self._horizon_ms:
            return TooOld()
        claim = self._running.get(key.digest)
        if claim is not None:
            return claim
        ended = self._ended.get(key)
        if ended is None:
            return Free()
        if ended.outcome is records.Outcome.UNKNOWN:
            return UnknownOutcome(ended.body)
        answer = self._answers.get(key.digest)
        if answer is None:
            answer = api.StoredAnswer(ended.status, (), b'', truncated=True)
        return Answered(ended.body, answer)

    def holds(self, digest: bytes, claim_id: str) -> bool:
        """Whether a claim has a key and has not ended."""
        claim = self._running.get(digest)
        return claim is not None and claim.claim_id == claim_id

    def horizon_for(self, limit: int, time_ms: int) -> int:
        """Return the horizon that keeps a number of keys and a lifetime.

        :param limit: how many ended claims may be kept.
        :param time_ms: the horizon that the keys' lifetime asks for.
        """
        wanted = max(time_ms, self._ended.oldest_to_keep(limit))
        return wanted // records.MINUTE_MS * records.MINUTE_MS

    def apply(
        self, entry: external_api.LogEntry
    ) -> tuple[journal_api.Verdict, ...]:
        """Take in the next record; an empty one stands for lost ones."""
        batch = entries.CODEC.decode(entry.payload) if entry.payload else ()
        if not entry.payload or entry.offset != self._offset + 1:
            self._gap = True
        self._offset = entry.offset
        time_ms = int(entry.time * 1000)
        if self._gap and entry.payload:
            self._gap = False
            self._raise(time_ms + FUTURE_MS + records.MINUTE_MS)
        return tuple(
            journal_api.Verdict(
                item.entry_id, self._apply(item, time_ms), entry.offset
            )
            for item in batch
        )

    def snapshot(self) -> bytes:
        """Return the full state, the offset included."""
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
        """Replace the state by a snapshot's, the offset included."""
        taken = journal_entries.unpack(snapshot, _Snapshot)
        self._offset = taken.offset
        self._horizon_ms = taken.horizon_ms
        self._gap = taken.gap
        self._running = dict(taken.running)
        self._ended.load(taken.ended)
        self._withdrawn = dict(taken.withdrawn)
        self._answers = collections.OrderedDict(taken.answers)
        sizes = (_size(answer) for answer in self._answers.values())
        self._answers_size = sum(sizes)

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
        if entry.time_ms > time_ms + FUTURE_MS:
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
        claim = self._take(entry.key, entry.claim_id)
        if claim is None:
            return False
        key = keys.KeyId(entry.key, claim.time_ms)
        if entry.answer is None:
            self._end_unknown(key, claim)
            return True
        status = entry.answer.status
        ended = records.Ended(claim.body, records.Outcome.ANSWERED, status)
        self._ended.put(key, ended)
        self._keep(entry.key, entry.answer)
        return True

    def _withdraw(self, entry: entries.Withdrawn) -> bool:
        if entry.time_ms >= self._horizon_ms:
            self._withdrawn[entry.claim_id] = entry.time_ms
        return self._take(entry.key, entry.claim_id) is not None

    def _lose(self, entry: entries.Lost) -> bool:
        claim = self._take(entry.key, entry.claim_id)
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
        self._raise(entry.below_ms)
        return True

    def _raise(self, below_ms: int) -> None:
        below_ms = below_ms // records.MINUTE_MS * records.MINUTE_MS
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

    def _take(self, digest: bytes, claim_id: str) -> OpenClaim | None:
        if not self.holds(digest, claim_id):
            return None
        return self._running.pop(digest)

    def _end_unknown(self, key: keys.KeyId, claim: OpenClaim) -> None:
        outcome = records.Outcome.UNKNOWN
        self._ended.put(key, records.Ended(claim.body, outcome, 0))

    def _keep(self, digest: bytes, answer: api.StoredAnswer) -> None:
        self._answers[digest] = answer
        self._answers_size += _size(answer)
        while self._answers_size > self._answers_bytes:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, digest: bytes) -> None:
        answer = self._answers.pop(digest, None)
        if answer is not None:
            self._answers_size -= _size(answer)


def _size(answer: api.StoredAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers

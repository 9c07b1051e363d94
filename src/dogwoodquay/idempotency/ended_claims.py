"""A compact store of ended claims, grouped by the minute of their keys.

Hundreds of thousands of claims may be stored, so each is one small value and
all claims of a minute are dropped together.
"""

from __future__ import annotations

import enum
import struct
import typing

from . import keys

__all__ = ['DIGEST_BYTES', 'MINUTE_MS', 'EndedClaim', 'EndedClaims', 'Outcome']

DIGEST_BYTES: typing.Final = 16
MINUTE_MS: typing.Final = 60_000
_FORMAT: typing.Final = struct.Struct(f'>{DIGEST_BYTES}sBH')
_RECORD_BYTES: typing.Final = keys.KEY_HASH_BYTES + _FORMAT.size


class Outcome(enum.IntEnum):
    """The outcome of a claim's request."""

    ANSWERED = 1
    UNKNOWN = 2


class EndedClaim(typing.NamedTuple):
    """An ended claim; ``status`` is zero without an answer."""

    body_digest: bytes
    outcome: Outcome
    status: int


class EndedClaims:
    """Ended claims by key."""

    def __init__(self) -> None:
        self._minutes: dict[int, dict[bytes, bytes]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def get(self, key: keys.KeyId) -> EndedClaim | None:
        """Return the ended claim of a key, or ``None``."""
        minute = self._minutes.get(key.time_ms // MINUTE_MS, {})
        data = minute.get(key.digest)
        if data is None:
            return None
        body_digest, outcome, status = _FORMAT.unpack(data)
        return EndedClaim(body_digest, Outcome(outcome), status)

    def put(self, key: keys.KeyId, ended: EndedClaim) -> None:
        """Store an ended claim."""
        minute = self._minutes.setdefault(key.time_ms // MINUTE_MS, {})
        self._count += key.digest not in minute
        minute[key.digest] = _FORMAT.pack(*ended)

    def drop_below(self, time_ms: int) -> list[bytes]:
        """Drop the keys of all minutes before that of a time.

        :return: the hashes of the dropped keys.
        """
        dropped: list[bytes] = []
        for minute in [m for m in self._minutes if m < time_ms // MINUTE_MS]:
            dropped += self._minutes.pop(minute)
        self._count -= len(dropped)
        return dropped

    def horizon_for_count(self, limit: int) -> int:
        """Return the lowest horizon that keeps at most ``limit`` keys."""
        count = 0
        for minute in sorted(self._minutes, reverse=True):
            count += len(self._minutes[minute])
            if count > limit:
                return (minute + 1) * MINUTE_MS
        return 0

    def dump(self) -> dict[int, bytes]:
        """Return the ended claims as builtin types, by minute."""
        return {
            minute: b''.join(k + claims[k] for k in sorted(claims))
            for minute, claims in sorted(self._minutes.items())
        }

    def load(self, dumped: dict[int, bytes]) -> None:
        """Replace all ended claims by a result of ``dump``."""
        self._minutes = {m: _split_records(data) for m, data in dumped.items()}
        self._count = sum(len(claims) for claims in self._minutes.values())


def _split_records(data: bytes) -> dict[bytes, bytes]:
    width = keys.KEY_HASH_BYTES
    starts = range(0, len(data), _RECORD_BYTES)
    return {
        data[start : start + width]: data[
            start + width : start + _RECORD_BYTES
        ]
        for start in starts
    }

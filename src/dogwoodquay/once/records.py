"""Ended claims in a compact form, by the minute of their keys.

There may be hundreds of thousands of them, so that each is one small value
and a whole minute is dropped at once.
"""

from __future__ import annotations

import enum
import struct
import typing

from . import keys

__all__ = ['BODY_BYTES', 'MINUTE_MS', 'Ended', 'EndedClaims', 'Outcome']

BODY_BYTES: typing.Final = 16
MINUTE_MS: typing.Final = 60_000
_FORMAT: typing.Final = struct.Struct(f'>{BODY_BYTES}sBH')
_RECORD_BYTES: typing.Final = keys.KEY_HASH_BYTES + _FORMAT.size


class Outcome(enum.IntEnum):
    """How a claim's request ended."""

    ANSWERED = 1
    UNKNOWN = 2


class Ended(typing.NamedTuple):
    """An ended claim; ``status`` is the answer's, or zero."""

    body: bytes
    outcome: Outcome
    status: int


class EndedClaims:
    """Ended claims by key."""

    def __init__(self) -> None:
        self._minutes: dict[int, dict[bytes, bytes]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def get(self, key: keys.KeyId) -> Ended | None:
        """Return the ended claim of a key."""
        minute = self._minutes.get(key.time_ms // MINUTE_MS, {})
        data = minute.get(key.digest)
        if data is None:
            return None
        body, outcome, status = _FORMAT.unpack(data)
        return Ended(body, Outcome(outcome), status)

    def put(self, key: keys.KeyId, ended: Ended) -> None:
        """Keep the end of a claim."""
        minute = self._minutes.setdefault(key.time_ms // MINUTE_MS, {})
        self._count += key.digest not in minute
        minute[key.digest] = _FORMAT.pack(*ended)

    def drop_below(self, time_ms: int) -> list[bytes]:
        """Drop all keys of the minutes before a time.

        :return: the hashes of the dropped keys.
        """
        dropped: list[bytes] = []
        for minute in [m for m in self._minutes if m < time_ms // MINUTE_MS]:
            dropped += self._minutes.pop(minute)
        self._count -= len(dropped)
        return dropped

    def oldest_to_keep(self, limit: int) -> int:
        """Return the time from which on at most so many keys are kept."""
        kept = 0
        for minute in sorted(self._minutes, reverse=True):
            kept += len(self._minutes[minute])
            if kept > limit:
                return (minute + 1) * MINUTE_MS
        return 0

    def dump(self) -> dict[int, bytes]:
        """Return all in builtin types, by minute."""
        return {
            minute: b''.join(k + claims[k] for k in sorted(claims))
            for minute, claims in sorted(self._minutes.items())
        }

    def load(self, dumped: dict[int, bytes]) -> None:
        """Replace all by what ``dump`` returned."""
        self._minutes = {m: _split(data) for m, data in dumped.items()}
        self._count = sum(len(claims) for claims in self._minutes.values())


def _split(data: bytes) -> dict[bytes, bytes]:
    width = keys.KEY_HASH_BYTES
    starts = range(0, len(data), _RECORD_BYTES)
    return {
        data[start : start + width]: data[
            start + width : start + _RECORD_BYTES
        ]
        for start in starts
    }

"""When refused callers come back, and which of them go first then."""

from __future__ import annotations

import struct
import typing

from . import api
from ..ratelimit import returns

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['ReturnPlan', 'Turn', 'Turns']

# Callers retry after this time at the earliest, and ignore times of more than
# this share of the time that they have left.
MIN_SECONDS: typing.Final = 0.1
MAX_SHARE: typing.Final = 1 / 3
# Turns that are remembered, those with the last times.
MAX_TURNS: typing.Final = 8_192
# Turns in one message, the newest; a flood refuses fewer in its interval.
MAX_ROWS: typing.Final = 1_024
# A turn in a message: the digest, and the hundredths of a second until it
# begins, for which it lasts, and until the objective (negative if it passed).
_ROW: typing.Final = struct.Struct('<8sHHh')
_TICK: typing.Final = 0.01
_MAX_TICKS: typing.Final = 0x7FFF
DIGEST_BYTES: typing.Final = 8


class ReturnPlan:
    """Tells refused callers when the requests before them have drained.

    Callers of a pool get times as far apart as it takes requests, in the
    order in which they were refused.
    """

    def __init__(self) -> None:
        self._times = returns.ReturnTimes[api.Pool](MIN_SECONDS)

    def seconds(
        self,
        pool: api.Pool,
        rate: float,
        drained_seconds: float,
        left: float,
        work_seconds: float,
        now: float,
    ) -> float | None:
        """Return the seconds after which a refused caller may come back.

        :param rate: the callers per second that may come back to all
            instances for each one that is refused here.
        :param drained_seconds: until the requests that wait now have started.
        :param left: the time that the caller still has.
        :param work_seconds: the time that its request takes.
        :return: ``None`` if the time is not enough.
        """
        most = left * MAX_SHARE
        if most < MIN_SECONDS or left - MIN_SECONDS < work_seconds:
            return None
        seconds = self._times.next(pool, rate, drained_seconds, now, most)
        return seconds if left - seconds >= work_seconds else None


class Turn(typing.NamedTuple):
    """When a refused caller may come back, and until when it goes first.

    ``objective_at`` is when its answer was due when it came first.
    """

    begins_at: float
    ends_at: float
    objective_at: float


class Turns:
    """Remembers which callers were refused with a time to come back.

    A caller may come back to any instance, so the turns are sent to all. The
    owner passes them on; each instance gets every turn once.
    """

    def __init__(self) -> None:
        self._turns: dict[bytes, Turn] = {}
        self._unsent: dict[bytes, Turn] = {}
        # At the owner: the turns in order of arrival, and the number of the
        # first one that each instance has not got.
        self._passed_on: list[tuple[bytes, Turn]] = []
        self._first_number = 0
        self._next_number: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._turns)

    def add(self, identity: str, turn: Turn) -> None:
        """Remember a caller that is refused at this instance."""
        key = _digest(identity)
        if key is None:
            return
        self._keep(key, turn)
        if len(self._unsent) < MAX_ROWS:
            self._unsent[key] = turn

    def take(self, identity: str, now: float) -> Turn | None:
        """Return the turn of a caller that was refused before.

        A turn counts once. A caller that is early keeps it.
        """
        if not self._turns:
            return None
        key = _digest(identity)
        turn = None if key is None else self._turns.get(key)
        if key is None or turn is None:
            return None
        if now >= turn.begins_at:
            del self._turns[key]
        return turn if now <= turn.ends_at else None

    def load_rows(self, now: float) -> bytes:
        """Return the turns that the owner has not got yet."""
        rows, self._unsent = self._unsent, {}
        return _packed(rows.items(), now)

    def on_load(self, rows: bytes, now: float) -> None:
        """Record the turns of an instance, at the owner."""
        self._passed_on.extend(_unpacked(rows, now))
        excess = len(self._passed_on) - MAX_TURNS
        if excess > 0:
            del self._passed_on[:excess]
            self._first_number += excess

    def view_rows(self, member: str, now: float) -> bytes:
        """Return the turns that an instance has not got yet."""
        end = self._first_number + len(self._passed_on)
        start = self._next_number.get(member, self._first_number)
        self._next_number[member] = end
        if len(self._next_number) > MAX_ROWS:
            del self._next_number[next(iter(self._next_number))]
        skipped = max(0, start - self._first_number)
        rows = self._passed_on[skipped:][-MAX_ROWS:]
        return _packed(rows, now)

    def on_view(self, rows: bytes, now: float) -> None:
        """Remember the turns of callers that were refused elsewhere."""
        for key, turn in _unpacked(rows, now):
            self._keep(key, turn)

    def _keep(self, key: bytes, turn: Turn) -> None:
        self._turns.pop(key, None)
        while len(self._turns) >= MAX_TURNS:
            del self._turns[next(iter(self._turns))]
        self._turns[key] = turn


def _digest(identity: str) -> bytes | None:
    """Return the key of a request's identity, ``None`` if it has none."""
    try:
        key = bytes.fromhex(identity[: 2 * DIGEST_BYTES])
    except ValueError:
        return None
    return key if len(key) == DIGEST_BYTES else None


def _packed(rows: abc.Iterable[tuple[bytes, Turn]], now: float) -> bytes:
    """Return turns that have not ended, as sent to another instance."""
    return b''.join(
        _ROW.pack(
            key,
            _ticks(turn.begins_at - now),
            _ticks(turn.ends_at - max(now, turn.begins_at)),
            _ticks(turn.objective_at - now, -_MAX_TICKS),
        )
        for key, turn in rows
        if turn.ends_at > now
    )


def _ticks(seconds: float, least: int = 0) -> int:
    return min(max(least, round(seconds / _TICK)), _MAX_TICKS)


def _unpacked(rows: bytes, now: float) -> list[tuple[bytes, Turn]]:
    """Return the turns in a message; a part of a row is ignored."""
    whole = len(rows) - len(rows) % _ROW.size
    turns = []
    for key, begins, lasts, due in _ROW.iter_unpack(
        rows[: min(whole, MAX_ROWS * _ROW.size)]
    ):
        begins_at = now + begins * _TICK
        ends_at = begins_at + lasts * _TICK
        turns.append((key, Turn(begins_at, ends_at, now + due * _TICK)))
    return turns

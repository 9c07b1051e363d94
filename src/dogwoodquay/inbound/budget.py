"""Accounts for what clients' connections hold, and decides what to give up."""

from __future__ import annotations

import dataclasses
import itertools
import math
import typing

from . import api

__all__ = ['Budget']

# What is counted for a field of a head beside its bytes.
FIELD_BYTES: typing.Final = 256
# Requests up to this size count as small.
SMALL_BYTES: typing.Final = 16 << 10
# Without progress for this long, a body or answer counts as stalled.
STALL_SECONDS: typing.Final = 1.0
# The share of the limit down to which memory is given up at once.
RELIEVED_SHARE: typing.Final = 0.9
# The same for small requests, which have room beside large ones.
SMALL_SHARE: typing.Final = 1.1
# The time in which a refusal is written and its connection closed.
REFUSAL_SECONDS: typing.Final = 5.0
# Added to the time without progress, so that size counts as well.
_MIN_AGE_SECONDS: typing.Final = 0.05
_UNFINISHED: typing.Final = frozenset({api.Phase.HEAD, api.Phase.BODY})
_NOT_RUN: typing.Final = frozenset({api.Phase.BODY, api.Phase.WAITING})


@dataclasses.dataclass
class _Account:
    """What one connection holds.

    ``received_bytes`` contains ``field_bytes``, the estimate for the fields
    of a head. ``announced_bytes`` is the length of a body that is being
    received, and ``deadline`` when the connection is closed if nothing else
    happens.
    """

    listener: str
    progress_at: float
    phase: api.Phase = api.Phase.IDLE
    received_bytes: int = 0
    field_bytes: int = 0
    answer_bytes: int = 0
    announced_bytes: int = 0
    deadline: float = math.inf
    closing: bool = False

    @property
    def held_bytes(self) -> int:
        """What the connection holds of requests and answers."""
        return self.received_bytes + self.answer_bytes

    @property
    def expected_bytes(self) -> int:
        """What the body may still add."""
        if self.phase is not api.Phase.BODY:
            return 0
        return max(0, self.announced_bytes - self.received_bytes)

    def is_stalled(self, now: float) -> bool:
        """Whether there was no progress for some time."""
        return now - self.progress_at > STALL_SECONDS


class Budget:
    """What the connections of all clients hold together.

    Each call that may exceed a limit returns what is to be given up. That no
    longer counts: it is on its way to be released.
    """

    def __init__(self, limits: api.Limits) -> None:
        self._limits = limits
        self._accounts: dict[int, _Account] = {}
        self._held_bytes = 0
        # Connections without a request by listener, the longest idle first;
        # those that never had a request come before the others.
        self._unused: dict[str, dict[int, None]] = {}
        self._idle: dict[str, dict[int, None]] = {}
        self._counts: dict[str, int] = {}

    @property
    def held_bytes(self) -> int:
        """What is held of requests and answers."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._accounts)

    def set_limits(self, limits: api.Limits) -> None:
        """Apply other limits from now on."""
        self._limits = limits

    def open(
        self, connection: int, listener: str, now: float
    ) -> list[api.Effect]:
        """Count a connection; another one or this one may have to go."""
        self._accounts[connection] = _Account(listener, now)
        self._unused.setdefault(listener, {})[connection] = None
        self._idle.setdefault(listener, {})
        count = self._counts.get(listener, 0) + 1
        self._counts[listener] = count
        if count <= self._limits.connections.get(listener, math.inf):
            return []
        order = itertools.chain(self._unused[listener], self._idle[listener])
        return [self._close(next(order), api.Reason.CONNECTIONS)]

    def forget(self, connection: int) -> None:
        """Stop counting a connection that is closed."""
        account = self._accounts.pop(connection, None)
        if account is None:
            return
        self._held_bytes -= account.held_bytes
        self._leave_order(connection, account)
        if not account.closing:
            self._counts[account.listener] -= 1

    def receive(
        self,
        connection: int,
        size: int,
        lines: int,
        deadline: float,
        now: float,
    ) -> list[api.Effect]:
        """Count bytes that have arrived.

        :param lines: the number of lines that end in them.
        :param deadline: when a head that begins with them has to be whole.
        """
        account = self._accounts[connection]
        account.progress_at = now
        if account.closing or account.phase is api.Phase.REFUSED:
            return []
        if account.phase is api.Phase.IDLE:
            account.phase = api.Phase.HEAD
            account.deadline = deadline
        if account.phase is api.Phase.HEAD:
            # Counted before they are parsed, which all heads that arrive
            # together are before any of them is answered.
            account.field_bytes += lines * FIELD_BYTES
            size += lines * FIELD_BYTES
        return self._add(account, size, 0, now)

    def begin(
        self, connection: int, fields: int, now: float
    ) -> list[api.Effect]:
        """Count a request whose head is whole.

        :param fields: the number of fields of its head.
        """
        account = self._accounts[connection]
        self._leave_order(connection, account)
        account.phase = api.Phase.BODY
        account.deadline = math.inf
        size = fields * FIELD_BYTES - account.field_bytes
        account.field_bytes = 0
        return self._add(account, size, 0, now)

    def expect(self, connection: int, length: int, now: float) -> bool:
        """Whether there is room for a body of a known length.

        What others have announced and still send is taken, and what makes no
        progress can be given up.
        """
        account = self._accounts[connection]
        account.announced_bytes = length
        if length <= SMALL_BYTES:
            return True
        room = self._limits.buffer_bytes - self._held_bytes
        for other in self._accounts.values():
            if other.phase in _UNFINISHED and other.is_stalled(now):
                room += other.held_bytes
            elif other is not account:
                room -= other.expected_bytes
        return room >= account.expected_bytes

    def advance(self, connection: int, phase: api.Phase) -> None:
        """Count a request in a later phase."""
        account = self._accounts[connection]
        if account.phase is api.Phase.REFUSED:
            return
        account.phase = phase
        if phase is api.Phase.REFUSED:
            self._drop(account)

    def hold_answer(
        self, connection: int, size: int, now: float
    ) -> list[api.Effect]:
        """Count what is held of an answer; it replaces the last size."""
        account = self._accounts[connection]
        if account.closing:
            return []
        return self._add(account, 0, size - account.answer_bytes, now)

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit, and nothing to give up."""
        return self._held_bytes > self._limits.buffer_bytes

    def write(self, connection: int, deadline: float, now: float) -> None:
        """Count bytes of an answer that the client does not take yet.

        :param deadline: when it has to have taken some of them.
        """
        account = self._accounts[connection]
        if account.phase is api.Phase.BODY:
            self.advance(connection, api.Phase.REFUSED)
        elif account.phase is not api.Phase.REFUSED:
            account.phase = api.Phase.ANSWERING
        account.progress_at = now
        account.deadline = deadline

    def written(self, connection: int) -> None:
        """Count that the client has taken all that was written."""
        self._accounts[connection].deadline = math.inf

    def finish(
        self, connection: int, unread: int, deadline: float, now: float
    ) -> None:
        """Count a connection whose request has been answered.

        :param unread: what has arrived of the next request.
        :param deadline: when the head of that has to be whole.
        """
        account = self._accounts[connection]
        if account.closing:
            return
        self._drop(account)
        account.phase = api.Phase.HEAD if unread else api.Phase.IDLE
        account.deadline = deadline if unread else math.inf
        account.announced_bytes = 0
        account.progress_at = now
        account.received_bytes = unread
        self._held_bytes += unread
        self._idle[account.listener][connection] = None

    def expire(self, now: float) -> list[api.Effect]:
        """Close the connections whose deadlines have passed."""
        return [
            self._close(
                connection,
                api.Reason.HEAD_TIMEOUT
                if account.phase is api.Phase.HEAD
                else api.Reason.WRITE_TIMEOUT,
            )
            for connection, account in self._accounts.items()
            if account.deadline <= now and not account.closing
        ]

    def _add(
        self, account: _Account, received: int, answer: int, now: float
    ) -> list[api.Effect]:
        account.received_bytes += received
        account.answer_bytes += answer
        self._held_bytes += received + answer
        return self.relieve(now) if self.is_exceeded else []

    def relieve(self, now: float) -> list[api.Effect]:
        """Give up what costs clients the least if too much is held.

        What makes no progress and what is large goes first, and unfinished
        requests before whole ones. What a server works on is kept. Small
        requests go last, as that frees little.
        """
        if not self.is_exceeded:
            return []
        found = [
            (
                account.held_bytes <= SMALL_BYTES,
                rank,
                -self._waste(account, now),
                connection,
            )
            for connection, account in self._accounts.items()
            if (rank := _rank(account, now)) is not None
        ]
        limit = self._limits.buffer_bytes
        effects: list[api.Effect] = []
        for is_small, _, _, connection in sorted(found):
            share = SMALL_SHARE if is_small else RELIEVED_SHARE
            if self._held_bytes > limit * share:
                effects.append(self._release(connection, now))
        return effects

    def _waste(self, account: _Account, now: float) -> float:
        age = now - account.progress_at + _MIN_AGE_SECONDS
        return account.held_bytes * age

    def _release(self, connection: int, now: float) -> api.Effect:
        account = self._accounts[connection]
        if account.phase not in _NOT_RUN:
            return self._close(connection, api.Reason.MEMORY)
        released = self._released(connection, api.Reason.MEMORY)
        self.advance(connection, api.Phase.REFUSED)
        account.deadline = now + REFUSAL_SECONDS
        return api.Refuse(released)

    def _close(self, connection: int, reason: api.Reason) -> api.Effect:
        account = self._accounts[connection]
        released = self._released(connection, reason)
        self._leave_order(connection, account)
        self._drop(account)
        self._counts[account.listener] -= 1
        account.closing = True
        return api.Close(released)

    def _released(self, connection: int, reason: api.Reason) -> api.Released:
        account = self._accounts[connection]
        return api.Released(
            connection, reason, account.phase, account.held_bytes
        )

    def _drop(self, account: _Account) -> None:
        self._held_bytes -= account.held_bytes
        account.received_bytes = account.answer_bytes = 0
        account.field_bytes = 0

    def _leave_order(self, connection: int, account: _Account) -> None:
        self._unused[account.listener].pop(connection, None)
        self._idle[account.listener].pop(connection, None)


def _rank(account: _Account, now: float) -> int | None:
    """Return the order in which a connection is given up, if it may be."""
    if account.closing or not account.held_bytes:
        return None
    match account.phase:
        case api.Phase.HEAD | api.Phase.BODY:
            return 0
        case api.Phase.ANSWERING if account.deadline < math.inf:
            return 1 if account.is_stalled(now) else 3
        case api.Phase.WAITING:
            return 2
        case _:
            return None

"""What one connection makes an instance hold."""

from __future__ import annotations

import typing

import anyio

from ..inbound import api
from ..inbound import budget as budgets

if typing.TYPE_CHECKING:
    from collections import abc

    from . import guard as guards

__all__ = ['Holding', 'Releasable', 'STATE_KEY', 'of_scope']

# How long a client may go on sending a request that was refused, and after
# which pause it has ended.
LINGER_SECONDS: typing.Final = 1.0
QUIET_SECONDS: typing.Final = 0.1
# The key of the holding in the state of a request's scope.
STATE_KEY: typing.Final = 'holding'


class Releasable(typing.Protocol):
    """A connection that can be given up."""

    @property
    def client(self) -> str:
        """The address of the client."""

    @property
    def unwritten_bytes(self) -> int:
        """What is written and was not sent to the client yet."""

    def abort(self) -> None:
        """Close the connection without sending what is left."""


class Holding:
    """Reports what a connection holds, and gives it up if need be."""

    def __init__(
        self,
        guard: guards.ConnectionGuard,
        budget: budgets.Budget,
        number: int,
        connection: Releasable,
    ) -> None:
        self._guard = guard
        self._budget = budget
        self._number = number
        self._connection = connection
        self._refused = False
        self._closed = False
        self._dropping = False
        self._dropped_bytes = 0
        self._on_refused: abc.Callable[[], None] | None = None
        self._unwritten_bytes = 0

    @property
    def client(self) -> str:
        """The address of the client."""
        return self._connection.client

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed, or about to be."""
        return self._closed

    @property
    def is_refused(self) -> bool:
        """Whether the request is refused, as too much is held."""
        return self._refused

    def on_refused(self, refuse: abc.Callable[[], None]) -> None:
        """Set what refuses the request; without it the connection closes."""
        self._on_refused = refuse

    def receive(self, data: bytes) -> bool:
        """Count bytes that have arrived.

        :return: whether they are of use, as the connection is not closed.
        """
        if self._closed:
            return False
        guard = self._guard
        guard.apply(
            self._budget.receive(
                self._number,
                len(data),
                data.count(b'\n'),
                guard.head_deadline(),
                guard.now(),
            )
        )
        if self._dropping:
            self._dropped_bytes += len(data)
        return not (self._closed or self._dropping)

    def begin(self, fields: int, is_whole: bool) -> None:
        """Count a request whose head has this number of fields.

        :param is_whole: whether it has no body.
        """
        self._refused = False
        self._on_refused = None
        now = self._guard.now()
        self._guard.apply(self._budget.begin(self._number, fields, now))
        if is_whole:
            self.advance(api.Phase.WAITING)

    def drop_body(self) -> None:
        """Take nothing more of a request that is refused."""
        self._dropping = True
        self.advance(api.Phase.REFUSED)

    async def linger(self) -> None:
        """Wait while the client goes on sending, for a limited time.

        Closing with unread bytes resets the connection, and the client would
        lose the refusal.
        """
        ends_at = self._guard.now() + LINGER_SECONDS
        before = -1
        while before < self._dropped_bytes and self._guard.now() < ends_at:
            before = self._dropped_bytes
            await anyio.sleep(QUIET_SECONDS)

    def expect(self, length: int) -> bool:
        """Whether there is room for a body of a known length."""
        return self._budget.expect(self._number, length, self._guard.now())

    def advance(self, phase: api.Phase) -> None:
        """Count the request in a later phase."""
        self._budget.advance(self._number, phase)

    def hold_answer(self, size: int) -> bool:
        """Count what is held of the answer.

        :return: whether there is room for it.
        """
        now = self._guard.now()
        self._guard.apply(self._budget.hold_answer(self._number, size, now))
        return not self._budget.is_exceeded

    def on_written(self) -> None:
        """Count what is written and not sent yet."""
        size = self._connection.unwritten_bytes
        if size and (
            not self._unwritten_bytes or size < self._unwritten_bytes
        ):
            self._guard.watch(self)
            deadline = self._guard.write_deadline()
            self._budget.write(self._number, deadline, self._guard.now())
        elif not size and self._unwritten_bytes:
            self._guard.unwatch(self)
            self._budget.written(self._number)
        self._unwritten_bytes = size

    def finish(self, unread: int) -> None:
        """Count a connection whose request has been answered.

        :param unread: what has arrived of the next request.
        """
        guard = self._guard
        self._budget.finish(
            self._number, unread, guard.head_deadline(), guard.now()
        )

    def forget(self) -> None:
        """Stop counting the connection, which is closed."""
        self._closed = True
        self._guard.unwatch(self)
        self._guard.forget(self._number)

    def refuse(self) -> None:
        """Refuse the request, or close its connection."""
        self._refused = True
        if self._on_refused is None:
            self.abort()
        else:
            self._on_refused()

    def abort(self) -> None:
        """Close the connection."""
        self._closed = True
        self._connection.abort()


class _Uncounted(Holding):
    """That of a request that came over no connection."""

    def __init__(self) -> None:
        self._refused = False

    def on_refused(self, refuse: abc.Callable[[], None]) -> None:
        """Do nothing: the request is not refused."""

    def expect(self, length: int) -> bool:
        """Return true."""
        return True

    def drop_body(self) -> None:
        """Do nothing."""

    async def linger(self) -> None:
        """Do nothing."""

    def advance(self, phase: api.Phase) -> None:
        """Do nothing."""

    def hold_answer(self, size: int) -> bool:
        """Return true."""
        return True


def of_scope(scope: typing.MutableMapping[str, typing.Any]) -> Holding:
    """Return what the connection of a request holds."""
    holding = scope.get('state', {}).get(STATE_KEY)
    return typing.cast('Holding', holding or _Uncounted())

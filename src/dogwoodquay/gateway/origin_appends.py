"""Has origins of streams appended to the log and tells when they are."""

from __future__ import annotations

import typing

import anyio

from . import batches
from . import messages
from . import origin_log

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..wire import api as wire_api

__all__ = ['Confirmation', 'ConfirmedAppends']

# After a writer could not append, the instance does it itself for so long.
OWN_APPENDS_SECONDS: typing.Final = 1.0


class Confirmation:
    """Whether the store has acknowledged the origin of a stream."""

    def __init__(self) -> None:
        self._confirmed = anyio.Event()

    @property
    def confirmed(self) -> bool:
        """Whether the origin outlives the instances."""
        return self._confirmed.is_set()

    def confirm(self) -> None:
        """Record that the store has acknowledged the origin."""
        self._confirmed.set()

    async def wait(self, seconds: float) -> None:
        """Wait until the origin is acknowledged, for some time at most."""
        with anyio.move_on_after(seconds):
            await self._confirmed.wait()


class _Append(typing.NamedTuple):
    """An origin to be appended by another instance."""

    row: messages.OriginRow
    confirmation: Confirmation


class ConfirmedAppends:
    """Passes origins to the writers of the log, which answer once appended.

    What no writer appends stays in the log of this instance, which repeats
    its appends until one succeeds.
    """

    def __init__(
        self,
        log: origin_log.OriginLog,
        clock: clocks.Clock,
        writer_of: abc.Callable[[str], str | None],
        send: abc.Callable[
            [str, messages.AppendOrigins, float], abc.Awaitable[bool]
        ],
    ) -> None:
        """Create the queue of appends.

        :param writer_of: returns the instance that writes a stream's origin,
            ``None`` for this one.
        :param send: sends a message to an instance and returns whether that
            has confirmed it before a deadline.
        """
        self._log = log
        self._clock = clock
        self._writer_of = writer_of
        self._send = send
        self._own_until = float('-inf')
        self._batches = batches.PeerBatches(self._send_batch, in_flight=1)

    def put(self, row: messages.OriginRow) -> Confirmation:
        """Have an origin appended; return what tells of its end."""
        append = _Append(row, Confirmation())
        writer = None
        if self._clock.now() >= self._own_until:
            writer = self._writer_of(row.stream_id)
        if writer is None:
            self._append_here(append)
        else:
            self._batches.put(writer, append)
        return append.confirmation

    async def run(self) -> None:
        """Send origins to the writers until cancelled."""
        await self._batches.run()

    async def handle(
        self,
        sender: wire_api.Sender,
        message: messages.AppendOrigins,
        deadline: float,
    ) -> messages.OriginsKept | None:
        """Append the origins of a peer; declined if that fails."""
        if self._log.failing:
            return None
        confirmations = []
        for row in message.rows:
            append = _Append(row, Confirmation())
            self._append_here(append)
            confirmations.append(append.confirmation)
        for confirmation in confirmations:
            await confirmation.wait(max(0.0, deadline - self._clock.now()))
        if all(item.confirmed for item in confirmations):
            return messages.OriginsKept()
        return None

    def _append_here(self, append: _Append) -> None:
        self._log.put(append.row, append.confirmation.confirm)

    async def _send_batch(
        self, peer: str, appends: tuple[_Append, ...]
    ) -> None:
        now = self._clock.now()
        message = messages.AppendOrigins(tuple(item.row for item in appends))
        if await self._send(
            peer, message, now + origin_log.APPEND_TIMEOUT_SECONDS
        ):
            for append in appends:
                append.confirmation.confirm()
            return
        self._own_until = self._clock.now() + OWN_APPENDS_SECONDS
        for append in (*appends, *self._batches.take_queued(peer)):
            self._append_here(append)

"""Relays a stream to the connection that requested it.

The task that reads from the engine also writes to the connection, so a single
event is relayed without a delay. While a write is blocked, further events
collect in the buffers of the engine's connection and are relayed together.
"""

from __future__ import annotations

import typing

from ..dispatch import api
from ..dispatch import reasons
from . import problems

if typing.TYPE_CHECKING:
    from .. import clock as clock_module
    from . import asgi
    from . import live

__all__ = ['Relay']


class Relay:
    """A sink that stores events in a stream and sends them to the caller."""

    def __init__(
        self,
        stream: live.LiveStream,
        responder: asgi.Responder,
        clock: clock_module.Clock,
    ) -> None:
        self._stream = stream
        self._reader: live.Reader | None = stream.attach_original()
        self._responder = responder
        self._clock = clock
        self._head_sent = False

    @property
    def last_event(self) -> int:
        """The number of the last event received, -1 before the first."""
        return self._stream.last_event

    @property
    def started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._head_sent

    async def write(self, frames: bytes, last_event: int) -> None:
        """Store events and send them.

        Without a connection, waits while the caller has more undelivered
        events than the window allows.
        """
        stream = self._stream
        stream.append(frames, last_event)
        reader = self._reader
        if reader is None:
            await stream.wait_for_window()
            return
        if await reader.write(self._send(frames), self._clock):
            stream.mark_delivered()
        else:
            self.on_disconnect()

    def on_disconnect(self) -> None:
        """Detach from the stream after the connection was lost."""
        reader = self._reader
        if reader is None:
            return
        self._reader = None
        reader.end(reasons.Reason.CALLER_GONE)
        self._stream.detach(reader, self._clock.now())

    async def finish(self, refusal: api.Refusal | None) -> None:
        """End the stream for this connection and for later readers.

        :param refusal: the error that ends the stream, if it is incomplete.
        """
        error_event = b''
        if refusal is not None:
            error_event = problems.problem_event(
                refusal, self._responder.request_id
            )
        self._stream.finish(error_event, self._clock.now())
        reader = self._reader
        if reader is None:
            return
        await reader.write(self._responder.finish(error_event), self._clock)
        self.on_disconnect()

    async def _send(self, frames: bytes) -> None:
        if not self._head_sent:
            self._head_sent = True
            await self._responder.start_stream(self._stream.stream_id)
        await self._responder.send_part(frames)

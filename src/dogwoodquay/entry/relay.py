"""Relays a streamed answer over the connection that asked for it.

Events are sent from the task that reads the engine: a lone event is not
delayed, and while the connection takes no more, what comes from the engine
gathers below and is relayed together.
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
    """Takes events for a stream and sends them on as long as it can."""

    def __init__(
        self,
        stream: live.LiveStream,
        responder: asgi.Responder,
        clock: clock_module.Clock,
    ) -> None:
        self._stream = stream
        self._reader: live.Reader | None = stream.attach_first()
        self._responder = responder
        self._clock = clock
        self._started = False

    @property
    def last_event(self) -> int:
        """The number of the last event taken, and -1 before the first."""
        return self._stream.last_event

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent."""
        return self._started

    async def write(self, frames: bytes, last_event: int) -> None:
        """Keep events and send them, or wait for the caller to come back."""
        stream = self._stream
        stream.append(frames, last_event)
        reader = self._reader
        if reader is None:
            await stream.wait_for_room()
            return
        if await reader.send(self._send(frames), self._clock):
            stream.mark_read()
        else:
            self.disconnected()

    def disconnected(self) -> None:
        """Note that the connection is gone."""
        reader = self._reader
        if reader is None:
            return
        self._reader = None
        reader.end(reasons.Reason.CALLER_GONE)
        self._stream.detach(reader, self._clock.now())

    async def finish(self, refused: api.Refusal | None) -> None:
        """End the stream here and for whoever comes back to it.

        :param refused: why the stream is not whole.
        """
        closing = b''
        if refused is not None:
            closing = problems.problem_event(
                refused, self._responder.request_id
            )
        self._stream.finish(closing, self._clock.now())
        reader = self._reader
        if reader is None:
            return
        await reader.send(self._responder.end(closing), self._clock)
        self.disconnected()

    async def _send(self, frames: bytes) -> None:
        if not self._started:
            self._started = True
            await self._responder.start_stream(self._stream.stream_id)
        await self._responder.part(frames)

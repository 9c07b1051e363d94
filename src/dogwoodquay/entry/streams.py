"""The streams that an instance holds, so that callers can come back to them.

A stream has at most one reader; a new one takes over from the last.
"""

from __future__ import annotations

import secrets
import typing

import expression

from ..dispatch import api
from ..dispatch import reasons
from . import live
from . import problems

if typing.TYPE_CHECKING:
    from collections import abc
    import contextlib

    from .. import clock as clock_module
    from . import limits as limits_module

__all__ = ['StreamFinder', 'StreamTable', 'holder_of']

ID_BYTES: typing.Final = 16
FULL_SECONDS: typing.Final = 1.0


class StreamFinder(typing.Protocol):
    """Reaches the streams that other instances hold."""

    def read(
        self, holder: str, stream_id: str, caller: str, after: int
    ) -> contextlib.AbstractAsyncContextManager[
        expression.Result[abc.AsyncIterator[bytes], api.Refusal]
    ]:
        """Read a stream from another instance, as its ``StreamTable`` does.

        The iterator raises nothing when the holder is lost; it ends with an
        error event, as every stream that is not whole.
        """

    async def cancel(self, holder: str, stream_id: str, caller: str) -> bool:
        """End a stream that another instance holds."""


def holder_of(stream_id: str) -> str:
    """Return the instance that holds a stream, by the stream's id."""
    return stream_id.rpartition('.')[0]


class StreamTable:
    """The streams that this instance holds."""

    def __init__(
        self,
        instance_id: str,
        clock: clock_module.Clock,
        limits: limits_module.Limits,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._limits = limits
        self._streams: dict[str, live.LiveStream] = {}
        self._held_at_sweep = 0

    @property
    def instance_id(self) -> str:
        """The instance that holds these streams."""
        return self._instance_id

    @property
    def count(self) -> int:
        """How many streams are kept."""
        return len(self._streams)

    @property
    def unread(self) -> int:
        """How many streams run or hold events that nobody has had."""
        return sum(
            stream.unread or not stream.finished
            for stream in self._streams.values()
        )

    @property
    def held_bytes(self) -> int:
        """The size of all events that are kept."""
        return sum(stream.held_bytes for stream in self._streams.values())

    def create(
        self, caller: str, request_id: str
    ) -> expression.Result[live.LiveStream, api.Refusal]:
        """Return a new stream for a request, unless too much is kept."""
        if self._full:
            refused = api.Refusal(
                reasons.Reason.OVERLOADED,
                reasons.Outcome.NOT_RUN,
                'too many streams are kept',
                self._clock.now() + FULL_SECONDS,
            )
            return expression.Error(refused)
        name = secrets.token_hex(ID_BYTES)
        stream_id = f'{self._instance_id}.{name}'
        stream = live.LiveStream(stream_id, caller, request_id, self._limits)
        self._streams[stream_id] = stream
        return expression.Ok(stream)

    def forget(self, stream: live.LiveStream) -> None:
        """Keep a stream no longer."""
        self._streams.pop(stream.stream_id, None)

    def find(self, stream_id: str, caller: str) -> live.LiveStream | None:
        """Return a stream of a caller."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.caller != caller:
            return None
        return stream

    def read(
        self, stream_id: str, caller: str, after: int
    ) -> expression.Result[live.Reader, api.Refusal]:
        """Begin to read a stream behind an event, here or for a peer."""
        stream = self.find(stream_id, caller)
        if stream is None:
            return expression.Error(
                problems.refusal(reasons.Reason.UNKNOWN_STREAM)
            )
        return stream.attach(after).map_error(problems.refusal)

    def release(self, stream_id: str, reader: live.Reader) -> None:
        """Note that a reader's connection is gone."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.detach(reader, self._clock.now())

    @property
    def _full(self) -> bool:
        if len(self._streams) >= self._limits.max_streams:
            return True
        return self._held_at_sweep > self._limits.all_streams_bytes

    def sweep(self) -> tuple[live.LiveStream, ...]:
        """Drop what nobody came back for and end stuck connections.

        :return: the dropped streams whose requests still run.
        """
        now = self._clock.now()
        abandoned = []
        for stream in tuple(self._streams.values()):
            if stream.expires_at is not None and stream.expires_at <= now:
                self.forget(stream)
                if not stream.finished:
                    abandoned.append(stream)
            elif stream.reader is not None:
                self._end_if_stuck(stream.reader, now)
        self._shed()
        self._held_at_sweep = self.held_bytes
        return tuple(abandoned)

    def _end_if_stuck(self, reader: live.Reader, now: float) -> None:
        since = reader.sending_since
        if since is None or now - since < self._limits.write_stall_seconds:
            return
        reader.end(reasons.Reason.CALLER_GONE)

    def _shed(self) -> None:
        """Keep within the bound of all streams; finished ones go first."""
        excess = self.held_bytes - self._limits.all_streams_bytes
        for stream in tuple(self._streams.values()):
            if excess <= 0:
                return
            if stream.finished:
                excess -= stream.held_bytes
                self.forget(stream)

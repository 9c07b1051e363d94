"""The streams that an instance owns and keeps for resumption.

A stream has at most one reader; a new reader replaces the previous one.
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

__all__ = ['RemoteStreams', 'StreamTable', 'owner_of']

ID_BYTES: typing.Final = 16
FULL_RETRY_SECONDS: typing.Final = 1.0


class RemoteStreams(typing.Protocol):
    """Reads and cancels streams that other instances own."""

    def read(
        self, owner: str, stream_id: str, caller: str, after: int
    ) -> contextlib.AbstractAsyncContextManager[
        expression.Result[abc.AsyncIterator[bytes], api.Refusal]
    ]:
        """Read a stream of another instance with its ``StreamTable.read``.

        If the connection to the instance is lost, the iterator does not
        raise: it ends with an error event like every incomplete stream.
        """

    async def cancel(self, owner: str, stream_id: str, caller: str) -> bool:
        """Cancel a stream of another instance; return whether it exists."""


def owner_of(stream_id: str) -> str:
    """Return the id of the instance that owns a stream."""
    return stream_id.rpartition('.')[0]


class StreamTable:
    """The streams that this instance owns, by their id."""

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
        self._kept_bytes_at_sweep = 0

    @property
    def instance_id(self) -> str:
        """The id of this instance, which starts the ids of its streams."""
        return self._instance_id

    @property
    def count(self) -> int:
        """The number of streams."""
        return len(self._streams)

    @property
    def unfinished_count(self) -> int:
        """The number of streams that run or have undelivered events."""
        return sum(
            stream.has_undelivered or not stream.finished
            for stream in self._streams.values()
        )

    @property
    def kept_bytes(self) -> int:
        """The size of all kept events."""
        return sum(stream.kept_bytes for stream in self._streams.values())

    def create(
        self, caller: str, request_id: str
    ) -> expression.Result[live.LiveStream, api.Refusal]:
        """Create the stream of a request, unless a limit is reached."""
        if self._is_full:
            refusal = api.Refusal(
                reasons.Reason.OVERLOADED,
                reasons.Outcome.NOT_RUN,
                'the limit of streams or of their bytes is reached',
                self._clock.now() + FULL_RETRY_SECONDS,
            )
            return expression.Error(refusal)
        random_id = secrets.token_hex(ID_BYTES)
        stream_id = f'{self._instance_id}.{random_id}'
        stream = live.LiveStream(stream_id, caller, request_id, self._limits)
        self._streams[stream_id] = stream
        return expression.Ok(stream)

    def remove(self, stream: live.LiveStream) -> None:
        """Remove a stream; it can no longer be resumed."""
        self._streams.pop(stream.stream_id, None)

    def find(self, stream_id: str, caller: str) -> live.LiveStream | None:
        """Return a stream if it belongs to the caller."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.caller != caller:
            return None
        return stream

    def read(
        self, stream_id: str, caller: str, after: int
    ) -> expression.Result[live.Reader, api.Refusal]:
        """Attach a reader for a connection here or at another instance.

        :param after: the number of the last event that it leaves out.
        """
        stream = self.find(stream_id, caller)
        if stream is None:
            return expression.Error(
                problems.make_refusal(reasons.Reason.UNKNOWN_STREAM)
            )
        return stream.attach(after).map_error(problems.make_refusal)

    def release(self, stream_id: str, reader: live.Reader) -> None:
        """Detach a reader whose connection ended."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.detach(reader, self._clock.now())

    @property
    def _is_full(self) -> bool:
        if len(self._streams) >= self._limits.max_streams:
            return True
        return self._kept_bytes_at_sweep > self._limits.all_streams_bytes

    def sweep(self) -> tuple[live.LiveStream, ...]:
        """Remove expired streams and end stalled readers.

        :return: the removed streams whose requests are still running.
        """
        now = self._clock.now()
        expired = []
        for stream in tuple(self._streams.values()):
            if stream.expires_at is not None and stream.expires_at <= now:
                self.remove(stream)
                if not stream.finished:
                    expired.append(stream)
            elif stream.reader is not None:
                self._end_if_stalled(stream.reader, now)
        self._evict_finished()
        self._kept_bytes_at_sweep = self.kept_bytes
        return tuple(expired)

    def _end_if_stalled(self, reader: live.Reader, now: float) -> None:
        since = reader.blocked_since
        if since is None or now - since < self._limits.write_stall_seconds:
            return
        reader.end(reasons.Reason.CALLER_GONE)

    def _evict_finished(self) -> None:
        """Remove finished streams while all streams exceed their limit."""
        excess = self.kept_bytes - self._limits.all_streams_bytes
        for stream in tuple(self._streams.values()):
            if excess <= 0:
                return
            if stream.finished:
                excess -= stream.kept_bytes
                self.remove(stream)

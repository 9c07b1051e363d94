"""HTTP adapter to the platform's log."""

from __future__ import annotations

import typing
import urllib.parse

import expression
import httpx

from ... import clock
from .. import api
from . import bodies
from . import client
from . import responses
from . import wire

__all__ = ['HttpLog']

MAX_POLL_SECONDS: typing.Final = 20.0
# Time left before the deadline for the answer to a long poll.
ANSWER_MARGIN_SECONDS: typing.Final = 1.0
MIN_POLL_SECONDS: typing.Final = 0.1


class HttpLog:
    """The log at an address; waiting reads use long polling."""

    def __init__(
        self,
        connections: client.Connections,
        time: clock.Clock,
        address: str,
        port: int,
    ) -> None:
        self._connections = connections
        self._time = time
        self._address = address
        self._port = port

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, api.LogError]:
        """Append one entry and return its offset."""
        sent = await self._connections.fetch(
            self._address,
            self._port,
            'POST',
            _path(stream),
            deadline,
            payload,
        )
        if sent.is_error():
            return expression.Error(sent.error)
        if sent.ok.status_code != httpx.codes.CREATED:
            return expression.Error(_log_error(sent.ok))
        decoded = responses.decode(sent.ok, wire.OffsetBody)
        if decoded.is_error():
            return expression.Error(decoded.error)
        return expression.Ok(decoded.ok.offset)

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
        deadline: float,
        wait: bool = False,
    ) -> expression.Result[api.LogPage, api.LogError]:
        """Read entries, starting at an offset."""
        while True:
            result = await self._read(stream, offset, limit, deadline, wait)
            if result.is_error() or result.ok.entries or not wait:
                return result
            remaining = deadline - self._time.now() - ANSWER_MARGIN_SECONDS
            if remaining <= MIN_POLL_SECONDS:
                return result

    async def _read(
        self, stream: str, offset: int, limit: int, deadline: float, wait: bool
    ) -> expression.Result[api.LogPage, api.LogError]:
        remaining = deadline - self._time.now() - ANSWER_MARGIN_SECONDS
        poll = max(0.0, min(MAX_POLL_SECONDS, remaining)) if wait else 0.0
        query = f'offset={offset}&limit={limit}&wait={poll:.3f}'
        sent = await self._connections.fetch(
            self._address,
            self._port,
            'GET',
            f'{_path(stream)}?{query}',
            deadline,
            max_bytes=bodies.MAX_DOWNLOAD_BYTES,
        )
        if sent.is_error():
            return expression.Error(api.Unavailable(sent.error.reason))
        if sent.ok.status_code != httpx.codes.OK:
            return expression.Error(_log_error(sent.ok))
        decoded = responses.decode(sent.ok, wire.LogPageBody)
        if decoded.is_error():
            return expression.Error(api.Unavailable(decoded.error.reason))
        return expression.Ok(wire.log_page(decoded.ok))


def _path(stream: str) -> str:
    name = urllib.parse.quote(stream, safe='')
    return f'{wire.STREAMS_PATH}/{name}/entries'


def _log_error(response: httpx.Response) -> api.LogError:
    failure = responses.failure(response)
    if response.status_code == httpx.codes.GONE:
        return api.Trimmed(failure.first_offset)
    if wire.NOT_RUN_HEADER in response.headers:
        return api.Unavailable(failure.reason)
    if response.is_client_error:
        return api.Refused(failure.reason)
    return api.Ambiguous(failure.reason)

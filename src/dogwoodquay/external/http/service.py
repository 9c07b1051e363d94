"""HTTP adapter to plain services."""

from __future__ import annotations

import contextlib
import typing

import expression
import httpx

from .. import api
from . import answer
from . import bodies
from . import client
from . import marks
from . import responses
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['LOAD_KIND', 'HttpPlainService']

# How connections know the reads of load reports, which have no ids.
LOAD_KIND: typing.Final = 'load '

_ADAPTER_HEADERS: typing.Final = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        wire.ATTEMPT_HEADER,
        wire.DEADLINE_HEADER,
        wire.LAST_EVENT_HEADER,
        wire.PRIORITY_HEADER,
    }
)


class HttpPlainService:
    """Plain services over HTTP/1.1."""

    def __init__(self, connections: client.Connections) -> None:
        self._connections = connections

    @contextlib.asynccontextmanager
    async def call(
        self, address: str, port: int, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Send a request; leaving the context cancels it."""
        async with self._connections.open(
            address,
            port,
            call.method,
            call.path,
            request_headers(call),
            call.body,
            call.deadline,
            request_id=call.attempt_id,
            apart_from=(call.attempt_id,),
            id_header=wire.ATTEMPT_HEADER,
        ) as sent:
            if sent.is_error():
                yield expression.Error(sent.error)
                return
            response = sent.ok
            if _is_for_another(response, call):
                marks.discard(response)
                yield expression.Error(api.Ambiguous('answer_crossed'))
            elif _is_marked_not_run(response):
                yield expression.Error(await _refusal(response))
            elif call.stream:
                async with answer.coalesced(response) as chunks:
                    yield expression.Ok(answer.HttpAnswer(response, chunks))
            else:
                chunks = answer.chunks(response)
                yield expression.Ok(answer.HttpAnswer(response, chunks))

    async def load(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.LoadReport, api.Unavailable]:
        """Return the server's load report, which may lag."""
        sent = await self._connections.fetch(
            address,
            port,
            'GET',
            wire.LOAD_PATH,
            deadline,
            request_id=LOAD_KIND,
            foreign_header=wire.ATTEMPT_HEADER,
        )
        if sent.is_error():
            return expression.Error(api.Unavailable(sent.error.reason))
        if not sent.ok.is_success:
            reason = responses.failure(sent.ok).reason
            return expression.Error(api.Unavailable(reason))
        decoded = responses.decode(sent.ok, api.LoadReport)
        if decoded.is_error():
            return expression.Error(api.Unavailable(decoded.error.reason))
        return expression.Ok(decoded.ok)


def request_headers(call: api.UpstreamCall) -> client.Headers:
    """Return the headers of a call with those that the adapter sets."""
    kept = [
        header
        for header in call.headers
        if header[0].lower() not in _ADAPTER_HEADERS
    ]
    kept.append((wire.ATTEMPT_HEADER, call.attempt_id))
    kept.append((wire.DEADLINE_HEADER, f'{call.deadline:.3f}'))
    kept.append((wire.PRIORITY_HEADER, str(call.priority)))
    if call.resume_after >= 0:
        kept.append((wire.LAST_EVENT_HEADER, str(call.resume_after)))
    return tuple(kept)


def _is_for_another(response: httpx.Response, call: api.UpstreamCall) -> bool:
    """Whether a refusal names another attempt; it need not name one."""
    named = response.headers.get(wire.ATTEMPT_HEADER, call.attempt_id)
    return _is_marked_not_run(response) and named != call.attempt_id


def _is_marked_not_run(response: httpx.Response) -> bool:
    return (
        response.status_code == httpx.codes.SERVICE_UNAVAILABLE
        and response.headers.get(wire.NOT_RUN_HEADER) == '1'
    )


async def _refusal(response: httpx.Response) -> api.Refused:
    try:
        bodies.limit(response, bodies.MAX_ANSWER_BYTES)
        await response.aread()
    except httpx.HTTPError:
        return api.Refused('not_run')
    return api.Refused(responses.failure(response).reason)

"""Reads request bodies within limits of size, time and total memory."""

from __future__ import annotations

import typing

import anyio

from . import asgi
from ..dispatch import api
from ..dispatch import reasons
from . import eager
from ..inbound import api as inbound_api
from ..inbound import parts
from . import problems

if typing.TYPE_CHECKING:
    from . import limits as limits_module

__all__ = ['BodyReader']

OVERLOAD_RETRY_SECONDS: typing.Final = 1.0
MAX_LENGTH_DIGITS: typing.Final = 18

_BodyOrRefusal = bytes | api.Refusal


class BodyReader:
    """Reads request bodies and counts the memory of all of them."""

    def __init__(self, limits: limits_module.Limits) -> None:
        self._limits = limits
        self._buffered_bytes = 0
        self._scopes: set[anyio.CancelScope] = set()
        self._stopped = False

    @property
    def buffered_bytes(self) -> int:
        """The size of all bodies that are read and not released."""
        return self._buffered_bytes

    def release(self, body: bytes) -> None:
        """Stop counting a body that ``read`` returned."""
        self._buffered_bytes -= len(body)

    async def read(self, request: asgi.Request, now: float) -> _BodyOrRefusal:
        """Read a whole body; the caller must ``release`` it after use."""
        content_length = request.header(b'content-length')
        length = _parse_length(content_length)
        if length > self._limits.body_bytes:
            return problems.make_refusal(reasons.Reason.BODY_TOO_LARGE)
        if not request.holding.expect(length):
            return _overloaded(now)
        results: list[_BodyOrRefusal] = []
        suspended = eager.start(self._store_result(request, now, results))
        if suspended is not None:
            with anyio.move_on_after(self._limits.body_seconds) as scope:
                self._scopes.add(scope)
                request.holding.on_refused(scope.cancel)
                if self._stopped:
                    scope.cancel()
                try:
                    await suspended.finish()
                finally:
                    self._scopes.discard(scope)
        if results:
            request.holding.advance(inbound_api.Phase.RUNNING)
            return results[0]
        if request.holding.is_refused:
            return _overloaded(now)
        if self._stopped:
            return problems.make_refusal(reasons.Reason.DRAINING)
        return problems.make_refusal(reasons.Reason.BODY_TIMEOUT)

    def stop(self) -> None:
        """Refuse requests whose bodies are not whole, also later ones."""
        self._stopped = True
        for scope in self._scopes:
            scope.cancel()

    async def _store_result(
        self, request: asgi.Request, now: float, results: list[_BodyOrRefusal]
    ) -> None:
        results.append(await self._receive(request, now))

    async def _receive(
        self, request: asgi.Request, now: float
    ) -> _BodyOrRefusal:
        collected = parts.Parts()
        complete = False
        try:
            while True:
                message = await request.receive()
                if message['type'] == asgi.DISCONNECT:
                    return problems.make_refusal(reasons.Reason.BODY_CUT)
                part = message.get('body', b'')
                collected.add(part)
                self._buffered_bytes += len(part)
                if collected.size > self._limits.body_bytes:
                    return problems.make_refusal(reasons.Reason.BODY_TOO_LARGE)
                if self._buffered_bytes > self._limits.all_bodies_bytes:
                    return _overloaded(now)
                if not message.get('more_body', False):
                    break
            complete = True
        finally:
            if not complete:
                self._buffered_bytes -= collected.size
        return collected.join()


def _parse_length(content_length: str) -> int:
    if not content_length.isascii() or not content_length.isdigit():
        return 0
    return int(content_length[:MAX_LENGTH_DIGITS])


def _overloaded(now: float) -> api.Refusal:
    return api.Refusal(
        reasons.Reason.OVERLOADED,
        reasons.Outcome.NOT_RUN,
        'request bodies exceed the memory limit',
        now + OVERLOAD_RETRY_SECONDS,
    )

"""Reads request bodies within bounds of size, time and total memory."""

from __future__ import annotations

import typing

import anyio

from . import asgi
from ..dispatch import api
from ..dispatch import reasons
from . import eager
from . import problems

if typing.TYPE_CHECKING:
    from . import limits as limits_module

__all__ = ['BodyReader']

RETRY_SECONDS: typing.Final = 1.0
MAX_LENGTH_DIGITS: typing.Final = 18

_Read = bytes | api.Refusal


class BodyReader:
    """Reads bodies and counts what all of them hold."""

    def __init__(self, limits: limits_module.Limits) -> None:
        self._limits = limits
        self._held = 0

    @property
    def held_bytes(self) -> int:
        """The size of all bodies that are held now."""
        return self._held

    def release(self, body: bytes) -> None:
        """Note that a body is no longer held."""
        self._held -= len(body)

    async def read(self, request: asgi.Request, now: float) -> _Read:
        """Read a body whole; the reader of it has to release it."""
        announced = request.header(b'content-length')
        if _length(announced) > self._limits.body_bytes:
            return problems.refusal(reasons.Reason.BODY_TOO_LARGE)
        found: list[_Read] = []
        waiting = eager.start(self._read_all(request, now, found))
        if waiting is not None:
            with anyio.move_on_after(self._limits.body_seconds):
                await waiting.finish()
        return (
            found[0]
            if found
            else problems.refusal(reasons.Reason.BODY_TIMEOUT)
        )

    async def _read_all(
        self, request: asgi.Request, now: float, found: list[_Read]
    ) -> None:
        found.append(await self._parts(request, now))

    async def _parts(self, request: asgi.Request, now: float) -> _Read:
        parts: list[bytes] = []
        size = 0
        whole = False
        try:
            while True:
                message = await request.receive()
                if message['type'] == asgi.DISCONNECT:
                    return problems.refusal(reasons.Reason.BODY_CUT)
                part = message.get('body', b'')
                size += len(part)
                self._held += len(part)
                if size > self._limits.body_bytes:
                    return problems.refusal(reasons.Reason.BODY_TOO_LARGE)
                if self._held > self._limits.all_bodies_bytes:
                    return _overloaded(now)
                if part:
                    parts.append(part)
                if not message.get('more_body', False):
                    break
            whole = True
        finally:
            if not whole:
                self._held -= size
        return parts[0] if len(parts) == 1 else b''.join(parts)


def _length(announced: str) -> int:
    if not announced.isascii() or not announced.isdigit():
        return 0
    return int(announced[:MAX_LENGTH_DIGITS])


def _overloaded(now: float) -> api.Refusal:
    return api.Refusal(
        reasons.Reason.OVERLOADED,
        reasons.Outcome.NOT_RUN,
        'too many request bodies are held',
        now + RETRY_SECONDS,
    )

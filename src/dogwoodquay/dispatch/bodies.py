"""Reads answers that are not streamed and detects truncated ones."""

from __future__ import annotations

import typing

import msgspec

from . import api
from . import reasons
from . import sse

if typing.TYPE_CHECKING:
    from ..external import api as external_api

__all__ = ['header', 'read_whole']

_JSON: typing.Final = 'application/json'
_STATUS_WITHOUT_BODY: typing.Final = (204, 304)


def header(answer: external_api.UpstreamAnswer, name: str) -> str:
    """Return the value of an answer's header, empty when absent."""
    for header_name, value in answer.headers:
        if header_name == name:
            return value
    return ''


async def read_whole(
    answer: external_api.UpstreamAnswer, method: str, limit: int
) -> api.WholeAnswer:
    """Read a complete answer.

    :param limit: the maximum size of the body in bytes.
    :raises BrokenAnswer: when the body is truncated or too large.
    """
    chunks = []
    size = 0
    async for chunk in answer:
        size += len(chunk)
        if size > limit:
            raise sse.BrokenAnswer(reasons.Reason.ANSWER_TOO_LARGE)
        chunks.append(chunk)
    body = chunks[0] if len(chunks) == 1 else b''.join(chunks)
    if method != 'HEAD' and answer.status not in _STATUS_WITHOUT_BODY:
        _check_complete(answer, body)
    return api.WholeAnswer(answer.status, answer.headers, body)


def _check_complete(answer: external_api.UpstreamAnswer, body: bytes) -> None:
    length = header(answer, 'content-length')
    encoded = header(answer, 'content-encoding')
    if length and not encoded and length != str(len(body)):
        raise sse.BrokenAnswer(reasons.Reason.ANSWER_CUT)
    if header(answer, 'content-type').startswith(_JSON) and not encoded:
        _check_json(body)


def _check_json(body: bytes) -> None:
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except (msgspec.DecodeError, RecursionError):
        raise sse.BrokenAnswer(reasons.Reason.ANSWER_CUT) from None

"""Errors as ``application/problem+json``, in responses and streams."""

from __future__ import annotations

import math
import typing

import msgspec

from ..dispatch import api
from ..dispatch import reasons

__all__ = [
    'PROBLEM_TYPE',
    'headers',
    'make_refusal',
    'problem',
    'problem_event',
]

PROBLEM_TYPE: typing.Final = 'application/problem+json'
TYPE_PREFIX: typing.Final = 'urn:dogwoodquay:problem:'
MAX_DETAIL_LENGTH: typing.Final = 300

_ENCODER: typing.Final = msgspec.json.Encoder()


class _Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    type: str
    title: str
    status: int
    reason: str
    outcome: str
    detail: str = ''
    request_id: str = ''


def make_refusal(reason: reasons.Reason, detail: str = '') -> api.Refusal:
    """Return a refusal with the default outcome of its reason."""
    return api.Refusal(reason, reasons.REASONS[reason].outcome, detail)


def problem(refusal: api.Refusal, request_id: str) -> bytes:
    """Return the body of an error response."""
    info = reasons.REASONS[refusal.reason]
    return _ENCODER.encode(
        _Problem(
            TYPE_PREFIX + refusal.reason.value,
            info.title,
            info.status,
            refusal.reason.value,
            refusal.outcome.value,
            refusal.detail[:MAX_DETAIL_LENGTH],
            request_id,
        )
    )


def problem_event(refusal: api.Refusal, request_id: str) -> bytes:
    """Return the event that ends an incomplete stream."""
    return b'event: error\ndata: %b\n\n' % problem(refusal, request_id)


def headers(refusal: api.Refusal, now: float) -> api.Headers:
    """Return the headers of an error response."""
    result = [('content-type', PROBLEM_TYPE)]
    if now < refusal.retry_at < math.inf:
        seconds = max(1, math.ceil(refusal.retry_at - now))
        result.append(('retry-after', str(seconds)))
    if refusal.reason is reasons.Reason.NO_API_KEY:
        result.append(('www-authenticate', 'Bearer'))
    return tuple(result)

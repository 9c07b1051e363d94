"""The headers with which a caller controls its request."""

from __future__ import annotations

import re
import typing
import uuid

from ..dispatch import reasons
from . import problems

if typing.TYPE_CHECKING:
    from . import asgi
    from ..dispatch import api
    from . import limits as limits_module
    from ..records import api as records_api

__all__ = ['Controls', 'caller_request_id', 'parse', 'parse_last_event']

MAX_REQUEST_ID_LENGTH: typing.Final = 128
KEY_UUID_VERSION: typing.Final = 7

_DECIMAL_NUMBER: typing.Final = re.compile(r'\d{1,12}(\.\d{1,9})?\Z', re.ASCII)
_WHOLE_NUMBER: typing.Final = re.compile(r'-?\d{1,9}\Z', re.ASCII)
_VISIBLE_ASCII: typing.Final = re.compile(r'[!-~]+\Z')


class Controls(typing.NamedTuple):
    """Parsed control headers; the deadline is in seconds since the epoch."""

    deadline: float
    priority: int
    key: str


def caller_request_id(request: asgi.Request) -> str:
    """Return the caller's request id, or an empty string if not usable."""
    value = request.header(b'x-request-id')
    if len(value) > MAX_REQUEST_ID_LENGTH or not _VISIBLE_ASCII.match(value):
        return ''
    return value


def parse(
    request: asgi.Request,
    caller: records_api.Caller,
    policy: records_api.Policy,
    limits: limits_module.Limits,
    now: float,
) -> Controls | api.Refusal:
    """Parse the control headers of a request.

    The deadline and the priority are capped at their maximum.
    """
    deadline = _parse_deadline(request, policy, now)
    if deadline is None:
        return _bad_header('X-Deadline or X-Timeout-Seconds is not a number')
    if deadline <= now:
        return problems.make_refusal(reasons.Reason.DEADLINE_PASSED)
    priority = request.header(b'x-priority') or '0'
    if not _WHOLE_NUMBER.match(priority):
        return _bad_header('X-Priority is not a whole number')
    key = request.header(b'idempotency-key')
    if key and not _is_idempotency_key(key):
        return problems.make_refusal(reasons.Reason.BAD_IDEMPOTENCY_KEY)
    return Controls(
        min(deadline, now + limits.max_deadline_seconds),
        max(0, min(int(priority), caller.max_priority)),
        key.lower(),
    )


def parse_last_event(request: asgi.Request) -> int | api.Refusal:
    """Return the last event that a caller received, -1 for none."""
    value = request.header(b'last-event-id')
    if not value:
        return -1
    if not _WHOLE_NUMBER.match(value):
        return _bad_header('Last-Event-ID is not a whole number')
    return max(-1, int(value))


def _parse_deadline(
    request: asgi.Request, policy: records_api.Policy, now: float
) -> float | None:
    absolute = request.header(b'x-deadline')
    if absolute:
        return float(absolute) if _DECIMAL_NUMBER.match(absolute) else None
    timeout = request.header(b'x-timeout-seconds')
    if timeout:
        return now + float(timeout) if _DECIMAL_NUMBER.match(timeout) else None
    return now + policy.default_deadline_seconds


def _is_idempotency_key(text: str) -> bool:
    try:
        key = uuid.UUID(text)
    except ValueError:
        return False
    return key.version == KEY_UUID_VERSION and str(key) == text.lower()


def _bad_header(detail: str) -> api.Refusal:
    return problems.make_refusal(reasons.Reason.BAD_HEADER, detail)

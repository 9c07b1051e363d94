"""What is known of a request when it ends, for logs and metrics."""

from __future__ import annotations

import enum
import typing

import msgspec

if typing.TYPE_CHECKING:
    from . import api
    from ..external.http import uses

__all__ = ['Cause', 'RequestTrace', 'deadline_cause']


class Cause(enum.Enum):
    """The timer or the event that ended an attempt or a request."""

    NONE = ''
    PAUSE_LIMIT = 'pause_limit'
    HEAD_LIMIT = 'head_limit'
    CALLER_DEADLINE = 'caller_deadline'
    ROUTE_TIME = 'route_time'
    SERVER_CONNECTION = 'server_connection'
    SERVER_UNREACHABLE = 'server_unreachable'
    SERVER_REFUSED = 'server_refused'
    SERVER_ANSWER = 'server_answer'
    SERVER_EVENTS = 'server_events'
    NO_SERVER = 'no_server'
    STOPPING = 'stopping'
    CALLER = 'caller'
    EXCEPTION = 'exception'


# The causes of failed attempts, by reason. Failures by a timer depend on what
# the timer was set to.
_CAUSES: typing.Final = {
    'connection': Cause.SERVER_CONNECTION,
    'protocol': Cause.SERVER_CONNECTION,
    'connect': Cause.SERVER_UNREACHABLE,
    'bad_request': Cause.SERVER_UNREACHABLE,
    'answer_too_large': Cause.SERVER_ANSWER,
    'answers_too_large': Cause.SERVER_ANSWER,
    'head_too_large': Cause.SERVER_ANSWER,
    'answer_crossed': Cause.SERVER_ANSWER,
    'not_the_servers_answer': Cause.SERVER_ANSWER,
    'exception': Cause.EXCEPTION,
}


class Arrived(enum.Enum):
    """The part of a server's answer that has arrived."""

    NOTHING = 'nothing'
    HEAD = 'head'
    BODY = 'body'


class RequestTrace(msgspec.Struct):
    """The last attempt of a request and what ended it.

    ``version`` is the configuration's when the request was read. ``failure``
    is the reason of the last attempt's failure, empty while it is in flight.
    ``placement`` is why there was no server for another attempt.
    ``connection`` is the number of the attempt's connection, 0 before there is
    one, and ``earlier`` how many requests were sent on it before.
    """

    version: int
    server: str = ''
    attempts: int = 0
    failure: str = ''
    placement: str = ''
    cause: Cause = Cause.NONE
    stopped: bool = False
    connection: int = 0
    earlier: int = 0
    _arrived: Arrived = Arrived.NOTHING
    _last_byte_at: float = 0.0

    def start_attempt(self, server: str, attempts: int, now: float) -> None:
        """Record the start of an attempt."""
        self.server = server
        self.attempts = attempts
        self.failure = ''
        self.cause = Cause.NONE
        self.connection = 0
        self.earlier = 0
        self._arrived = Arrived.NOTHING
        self._last_byte_at = now

    def on_use(self, use: uses.Use) -> None:
        """Record the connection over which the attempt goes."""
        self.connection = use.connection
        self.earlier = use.earlier

    def on_head(self, now: float) -> None:
        """Record the arrival of the head of an answer."""
        self._arrived = Arrived.HEAD
        self._last_byte_at = now

    def on_bytes(self, now: float) -> None:
        """Record the arrival of a part of the body."""
        self._arrived = Arrived.BODY
        self._last_byte_at = now

    def fail(self, call: api.Call, reason: str) -> None:
        """Record the failure of the attempt."""
        self.failure = reason
        self.cause = self._cause_of(call, reason)

    def silence(self, now: float) -> float | None:
        """Return the time since the server's last byte.

        It counts from the start of the attempt if nothing has arrived, and
        is ``None`` without an attempt.
        """
        if not self.attempts:
            return None
        return round(now - self._last_byte_at, 3)

    def attempt_fields(self, now: float) -> dict[str, typing.Any]:
        """Return the fields of the line about a failed attempt."""
        return {
            **self._connection_fields(),
            'ended_by': self.cause.value,
            'arrived': self._arrived.value,
            'silence': self.silence(now),
        }

    def answer_fields(self) -> dict[str, typing.Any]:
        """Return what tells which answer of which server a caller got."""
        return {
            'server': self.server,
            'attempts': self.attempts,
            **self._connection_fields(),
        }

    def ending_fields(self, now: float) -> dict[str, typing.Any]:
        """Return the fields of a line about the end of the request."""
        return {
            'server': self.server,
            'attempts': self.attempts,
            'failure': self.failure,
            'placement': self.placement,
            **self.attempt_fields(now),
        }

    def _connection_fields(self) -> dict[str, int]:
        return {'connection': self.connection, 'earlier': self.earlier}

    def _cause_of(self, call: api.Call, reason: str) -> Cause:
        """Return what ended an attempt that failed for a reason."""
        match reason:
            case 'silent' if self._arrived is Arrived.NOTHING:
                return Cause.HEAD_LIMIT
            case 'silent':
                return Cause.PAUSE_LIMIT
            case 'idle' | 'timeout' | 'deadline' | 'deadline_passed':
                return deadline_cause(call)
            case _ if reason.startswith('event_'):
                return Cause.SERVER_EVENTS
            case _ if reason.startswith('status_'):
                return Cause.SERVER_REFUSED
            case _:
                return _CAUSES.get(reason, Cause.NONE)


def deadline_cause(call: api.Call) -> Cause:
    """Return what sets a request's deadline: its caller or its route."""
    if call.terms.wait_seconds <= call.route.timeout_seconds:
        return Cause.CALLER_DEADLINE
    return Cause.ROUTE_TIME

"""A request, and what servers answer to it, in the words of this project."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from ..routes import api as routes_api

__all__ = [
    'AnswerTerms',
    'Call',
    'CallerTerms',
    'ELSEWHERE_SECONDS',
    'NO_EVENT',
    'Outgoing',
    'PromptPart',
    'RawHeaders',
    'Refusal',
    'RefusalReason',
]

RawHeaders = tuple[tuple[bytes, bytes], ...]
# When another instance or server can take a request at once, in seconds.
ELSEWHERE_SECONDS: typing.Final = 0.02
# The event before the first of a stream.
NO_EVENT: typing.Final = -1


class PromptPart(typing.NamedTuple):
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class CallerTerms(typing.NamedTuple):
    """What a caller's headers say of its request.

    ``wait_seconds`` is how long the caller waits, infinite if it does not
    say. ``last_event`` is the last event that it has had of a stream.
    """

    attempt_id: str
    wait_seconds: float
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    last_event: int


class Call(typing.NamedTuple):
    """A request that was read whole and found a route.

    ``deadline`` is when its answer has to be complete, on the steady clock.
    """

    request_id: str
    method: str
    target: str
    headers: RawHeaders
    body: bytes
    terms: CallerTerms
    route: routes_api.Route
    service: str
    arrived_at: float
    deadline: float

    @property
    def objective_at(self) -> float:
        """When the first byte, or a whole plain answer, should be there."""
        return self.arrived_at + self.route.objective_seconds


class Outgoing(typing.NamedTuple):
    """What an instance itself says to a server with a request."""

    server_id: str
    wait_seconds: float
    urgency: int
    last_event: int


class AnswerTerms(typing.NamedTuple):
    """What a server's headers say of its answer.

    ``not_executed`` promises that the request did not run there.
    ``running`` and ``waiting`` are absent, as ``None``, where the server
    does not tell its load. ``idle_seconds`` is how long it keeps an idle
    connection, zero if it does not say.
    """

    attempt_id: str
    stamped: bool
    not_executed: bool
    closing: bool
    running: int | None
    waiting: int | None
    idle_seconds: float
    encoded: bool


class RefusalReason(enum.Enum):
    """Why a request gets an answer of this instance's own."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    NO_CONFIGURATION = 'no_configuration'
    NO_ROUTE = 'no_route'
    REQUEST_TIMEOUT = 'request_timeout'
    NO_SERVER = 'no_server'
    MODEL_ABSENT = 'model_absent'
    MODEL_UNDECLARED = 'model_undeclared'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    SERVERS_REFUSED = 'servers_refused'
    RETRY_BUDGET = 'retry_budget'
    MAY_HAVE_RUN = 'may_have_run'
    TIMEOUT = 'timeout'
    STOPPING = 'stopping'


class Refusal(typing.NamedTuple):
    """An answer of this instance's own.

    ``retry_after`` is in seconds, zero for none; ``detail`` is for the log.
    """

    reason: RefusalReason
    status: int
    retry_after: float = 0.0
    detail: str = ''

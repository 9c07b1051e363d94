"""Requests, answers and refusals, independent of the platform's headers."""

from __future__ import annotations

import enum
import typing

import msgspec

if typing.TYPE_CHECKING:
    from ..fleet import api as fleet_api
    from ..inbound import parts
    from ..routes import api as routes_api
    from ..tenants import api as tenants_api

__all__ = [
    'AddedHeaders',
    'AnswerHandler',
    'AnswerTerms',
    'Call',
    'CallerTerms',
    'NO_EVENT',
    'OTHER_INSTANCE_RETRY_SECONDS',
    'PromptPart',
    'RawHeaders',
    'Refusal',
    'RefusalReason',
    'ServerNotice',
]

RawHeaders = tuple[tuple[bytes, bytes], ...]
# The time to retry where another instance can take the request at once.
OTHER_INSTANCE_RETRY_SECONDS: typing.Final = 0.02
# The event id before the first event of a stream.
NO_EVENT: typing.Final = -1
# Priorities are told to servers as one digit.
_LEAST_PRIORITY: typing.Final = 9
# The priorities of routes that are told apart within one of a tenant.
_ROUTE_PRIORITIES: typing.Final = 3


class PromptPart(typing.NamedTuple):
    """A part of a prompt that several requests may share."""

    part_id: str
    tokens: int


class CallerTerms(typing.NamedTuple):
    """The parsed headers of a caller's request.

    ``wait_seconds`` is how long the caller waits, infinite if not given.
    ``last_event`` is the id of the last event of a stream that the caller
    has received, and ``resumes`` the attempt that brought its first event.
    ``api_key`` is the key as sent, empty if there is none or more than one.
    """

    attempt_id: str
    wait_seconds: float
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    last_event: int
    resumes: str = ''
    api_key: bytes = b''

    def __repr__(self) -> str:
        """Return the terms without the key, which must not be logged."""
        shown = self._asdict()
        del shown['api_key']
        return f'CallerTerms({shown})'

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has received a part of a stream before."""
        return bool(self.resumes) or self.last_event != NO_EVENT


class Charge(msgspec.Struct):
    """The tenant in whose quota a request counts, ``None`` for none.

    It changes if the request's key moves while it waits.
    """

    tenant: tenants_api.Tenant | None = None


class Call(typing.NamedTuple):
    """A complete request and its route.

    ``deadline`` is when its answer has to be complete, on the monotonic
    clock. ``identity`` is a digest that stays the same when the request comes
    again, empty if that is not known. ``tenant`` is ``None`` where none is
    declared, or on a public route without a valid key; ``key_digest`` is the
    digest of the key by which it was found. ``tenants_declared`` is whether
    the configuration declared tenants when the request came.
    ``first_version`` is the software version at which a new stream begins
    where it can, and ``origin_version`` the one that began a stream which is
    taken up; ``None`` for any. ``charge`` is shared by all copies.
    """

    request_id: str
    method: str
    target: str
    headers: RawHeaders
    body: parts.Body
    terms: CallerTerms
    route: routes_api.Route
    service: str
    arrived_at: float
    deadline: float
    identity: str = ''
    tenant: tenants_api.Tenant | None = None
    key_digest: bytes = b''
    tenants_declared: bool = False
    first_version: str | None = None
    origin_version: str | None = None
    charge: Charge | None = None

    def __repr__(self) -> str:
        """Return what may be logged of the request."""
        return f'Call({self.request_id!r}, {self.method} {self.target!r})'

    @property
    def priority(self) -> int:
        """The priority among all requests, zero is the most urgent.

        A tenant's priority goes before the route's. Both are told to servers
        as one digit, so that three classes of routes and the tenants'
        priorities 0 to 2 are kept apart; all less urgent tenants share the
        last one. Without a tenant's priority it is the route's.
        """
        if self.tenant is None or self.tenant.priority is None:
            return self.route.priority
        by_route = min(max(self.route.priority, 0), _ROUTE_PRIORITIES - 1)
        combined = _ROUTE_PRIORITIES * self.tenant.priority + by_route
        return min(combined, _LEAST_PRIORITY)

    @property
    def objective_at(self) -> float:
        """When the first byte, or a complete plain answer, is due."""
        return self.arrived_at + self.route.objective_seconds


class AddedHeaders(typing.NamedTuple):
    """The values that an instance adds to a request to a server.

    ``priority`` is the one of the request; zero is the most urgent.
    ``tenant`` is the name of its tenant, empty for none. Where tenants are
    declared (``tenants_declared``), the caller's own headers that name a
    tenant or hold a key are not forwarded.
    """

    server_id: str
    wait_seconds: float
    priority: int
    last_event: int
    tenant: str = ''
    tenants_declared: bool = False


class ServerNotice(typing.NamedTuple):
    """What a server says of itself beside an answer.

    ``leaving`` is whether it wants no more new work. ``pause_seconds`` is how
    long it wants no requests from this instance, zero for no pause.
    ``unreadable`` names a header that says neither, empty for none.
    """

    leaving: bool
    pause_seconds: float
    unreadable: str = ''


class AnswerTerms(typing.NamedTuple):
    """The parsed headers of a server's answer.

    ``stamped`` marks an answer made by the server itself. ``not_executed``
    guarantees that the request did not run there. ``running`` and ``waiting``
    are ``None`` where the server does not report its load. ``idle_seconds``
    is how long it keeps an idle connection, zero if not given. ``rate_limit``
    is how many requests per second the server takes from all instances
    together, ``None`` for no limit; ``rate_limit_unreadable`` is set if it
    gave one that is no such number. ``notice`` is ``None`` where the server
    says nothing of itself. ``pace`` is how long work takes there at present
    relative to its usual time, ``None`` if the server does not state it, and
    ``slots`` how many requests it runs at a time.
    """

    attempt_id: str
    stamped: bool
    not_executed: bool
    closing: bool
    running: int | None
    waiting: int | None
    idle_seconds: float
    encoded: bool
    rate_limit: float | None = None
    rate_limit_unreadable: bool = False
    notice: ServerNotice | None = None
    pace: float | None = None
    slots: int | None = None


class AnswerHandler(typing.Protocol):
    """Receives what the headers of an engine's answer say."""

    def __call__(
        self, server: fleet_api.ServerEntry, terms: AnswerTerms, /
    ) -> None:
        """Handle an answer to a report or an order."""


class RefusalReason(enum.Enum):
    """Why this instance refuses a request."""

    BAD_REQUEST = 'bad_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    CONFIGURATION_OUTDATED = 'configuration_outdated'
    NO_CONFIGURATION = 'no_configuration'
    NO_ROUTE = 'no_route'
    REQUEST_TIMEOUT = 'request_timeout'
    NO_SERVER = 'no_server'
    MODEL_ABSENT = 'model_absent'
    MODEL_UNDECLARED = 'model_undeclared'
    VERSION_GONE = 'version_gone'
    ORIGIN_UNKNOWN = 'origin_unknown'
    MEMORY_FULL = 'memory_full'
    OVERLOADED = 'overloaded'
    OVER_ALLOTMENT = 'over_allotment'
    UNAUTHORIZED = 'unauthorized'
    DEADLINE = 'deadline'
    PROMPT_QUARANTINED = 'prompt_quarantined'
    RATE_LIMITED = 'rate_limited'
    SERVERS_PAUSED = 'servers_paused'
    SERVERS_REFUSED = 'servers_refused'
    RETRY_BUDGET = 'retry_budget'
    MAY_HAVE_RUN = 'may_have_run'
    TIMEOUT = 'timeout'
    STOPPING = 'stopping'


class Refusal(typing.NamedTuple):
    """A refusal by this instance, without a server's answer.

    ``retry_after`` is in seconds, zero for none; ``detail`` goes to the log.
    """

    reason: RefusalReason
    status: int
    retry_after: float = 0.0
    detail: str = ''

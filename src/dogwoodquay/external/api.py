"""The abstract form of every outside system, with typed messages and errors.

An adapter answers with ``expression.Result``; the error side is one of the
classes below. ``Unavailable`` promises that nothing took effect, ``Ambiguous``
that nobody can tell. All times are seconds since the Unix epoch and all sizes
are bytes.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import typing

import expression
import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'Ambiguous',
    'ArtifactState',
    'CacheEvent',
    'CacheEvents',
    'Engine',
    'EngineError',
    'EngineState',
    'Instance',
    'InstanceKind',
    'InstanceList',
    'InstanceState',
    'LoadReport',
    'Log',
    'LogEntry',
    'LogError',
    'LogPage',
    'Order',
    'OrderKind',
    'PlainService',
    'Refused',
    'StaleFence',
    'Trimmed',
    'Unavailable',
    'UpstreamAnswer',
    'UpstreamCall',
    'WeightStore',
    'WeightStoreState',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed and certainly had no effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ambiguous:
    """The call's answer was lost; it may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The other side understood the call and refused it without effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Trimmed:
    """The entries asked for are no longer kept."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleFence:
    """The engine has seen a higher fencing number and refused the order."""

    highest_fence: int


LogError = Unavailable | Ambiguous | Refused | Trimmed
EngineError = Unavailable | Ambiguous | Refused | StaleFence


class LogEntry(typing.NamedTuple):
    """One entry of a stream: offsets rise by one, time is the log's own."""

    offset: int
    time: float
    payload: bytes


class LogPage(typing.NamedTuple):
    """Consecutive entries, with the bounds of what the stream now holds."""

    entries: tuple[LogEntry, ...]
    first_offset: int
    next_offset: int


class Log(typing.Protocol):
    """An append-only log of named streams with limited retention."""

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> expression.Result[int, LogError]:
        """Append one entry and return its offset."""

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int,
        deadline: float,
        wait: bool = False,
    ) -> expression.Result[LogPage, LogError]:
        """Read entries from an offset on.

        :param wait: when nothing is there yet, wait for an entry until the
            deadline and then answer with an empty page.
        """


class InstanceState(enum.StrEnum):
    """What the platform's list says of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


class InstanceKind(enum.StrEnum):
    """Whether a list entry is of the system's own or an upstream's."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class Instance(msgspec.Struct, frozen=True):
    """An instance of the system, or an upstream's server, on the list."""

    instance_id: str
    address: str
    port: int
    failure_domain: str
    state: InstanceState
    kind: InstanceKind = InstanceKind.ENTRY


class InstanceList(typing.Protocol):
    """The platform's lagging list of instances."""

    async def instances(
        self, deadline: float
    ) -> expression.Result[tuple[Instance, ...], Unavailable]:
        """Return the list as the platform now sees it."""

    async def announce(
        self, instance: Instance, deadline: float
    ) -> expression.Result[None, Unavailable | Ambiguous]:
        """Enter an instance on the list, or change its state there."""


class WeightStoreState(msgspec.Struct, frozen=True):
    """The limits and present use of the weight store."""

    loads_per_second: float
    full_speed_loads: int
    loads_running: int


class WeightStore(typing.Protocol):
    """The rate-limited store from which engines fetch weights."""

    async def state(
        self, deadline: float
    ) -> expression.Result[WeightStoreState, Unavailable]:
        """Return the store's limits and the loads that it serves now."""


class OrderKind(enum.StrEnum):
    """What an engine can be told to do."""

    LOAD = 'load'
    UNLOAD = 'unload'
    SET_ROLE = 'set_role'


class Order(msgspec.Struct, frozen=True):
    """An order to an engine; repeating one with the same id is harmless.

    ``base`` names the model, as ``name@version``, under an adapter, and is
    empty for a model. ``incarnation`` is the engine process that the order
    is meant for; another process refuses it.
    """

    order_id: str
    fence: int
    kind: OrderKind
    artifact: str
    memory_bytes: int
    base: str = ''
    role: str = ''
    incarnation: str = ''


class ArtifactState(msgspec.Struct, frozen=True):
    """A model or adapter version inside an engine."""

    artifact: str
    memory_bytes: int
    ready: bool
    order_id: str = ''
    unloading: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's own view of its load, true at ``time`` and lagging."""

    time: float
    running: int
    queued: int
    tokens_per_second: float
    cache_used: float


class EngineState(msgspec.Struct, frozen=True):
    """The whole contents of an engine, loads in progress included.

    ``lists_loading`` is false for engines that leave loads in progress out.
    """

    incarnation: str
    highest_fence: int
    capacity_bytes: int
    artifacts: tuple[ArtifactState, ...]
    load: LoadReport
    role: str = 'serve'
    lists_loading: bool = True


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block that entered or left an engine's cache."""

    sequence: int
    block_hash: int
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events in order; a jump of ``sequence`` is a gap."""

    incarnation: str
    next_sequence: int
    events: tuple[CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One attempt at a request to an upstream.

    ``attempt_id`` is sent as ``X-Request-Id`` and has to come back.
    ``resume_after`` is the last event number that the caller side holds, for
    engines that resume; -1 starts from the beginning.
    """

    attempt_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    priority: int = 0
    stream: bool = False
    resume_after: int = -1


class UpstreamAnswer(typing.Protocol):
    """The open answer of an upstream.

    Iterating raises ``UpstreamBroken`` (``errors`` of this package) when the
    body ends early. Chunks that arrived together come as one.
    """

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The answer's headers, names in lower case."""

    @property
    def attempt_id(self) -> str:
        """The attempt that the upstream says this answer is for."""

    def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""


class PlainService(typing.Protocol):
    """A plain HTTP service."""

    def call(
        self, address: str, port: int, call: UpstreamCall
    ) -> contextlib.AbstractAsyncContextManager[
        expression.Result[UpstreamAnswer, EngineError]
    ]:
        """Send one request; leaving the context cancels it."""

    async def load(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[LoadReport, Unavailable]:
        """Return the service's lagging report of its load."""


class Engine(PlainService, typing.Protocol):
    """A model engine; ``address`` and ``port`` select the server."""

    async def state(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[EngineState, EngineError]:
        """Return the engine's contents and load."""

    async def teach(
        self, address: str, port: int, fence: int, deadline: float
    ) -> expression.Result[EngineState, EngineError]:
        """Make the engine refuse numbers below a fence; return its state."""

    async def order(
        self, address: str, port: int, order: Order, deadline: float
    ) -> expression.Result[EngineState, EngineError]:
        """Give an order; the answer comes when it is done."""

    async def cancel(
        self, address: str, port: int, attempt_id: str, deadline: float
    ) -> expression.Result[None, EngineError]:
        """Stop the work for one attempt."""

    async def cache_events(
        self, address: str, port: int, sequence: int, deadline: float
    ) -> expression.Result[CacheEvents, EngineError]:
        """Return cache events from a sequence number on."""

    async def export_cache(
        self, address: str, port: int, block_hash: int, deadline: float
    ) -> expression.Result[bytes, EngineError]:
        """Return the cached blocks that end in a prefix hash."""

    async def import_cache(
        self, address: str, port: int, block: bytes, deadline: float
    ) -> expression.Result[None, EngineError]:
        """Put exported blocks into an engine's cache."""

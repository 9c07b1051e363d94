"""Protocols, messages and errors of the external systems.

Adapters return an ``expression.Result`` whose error is one of the classes
below. After ``Unavailable`` the call certainly had no effect; after
``Ambiguous`` it may have had one. All times are seconds since the Unix epoch
and all sizes are bytes.
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


class Unavailable(msgspec.Struct, frozen=True):
    """The call failed and certainly had no effect."""

    reason: str


class Ambiguous(msgspec.Struct, frozen=True):
    """The answer to the call was lost; the call may have taken effect."""

    reason: str


class Refused(msgspec.Struct, frozen=True):
    """The remote system refused the call, which had no effect."""

    reason: str


class Trimmed(msgspec.Struct, frozen=True):
    """The requested entries are no longer retained.

    ``first_offset`` is the offset of the oldest retained entry.
    """

    first_offset: int


class StaleFence(msgspec.Struct, frozen=True):
    """The engine has seen a higher fencing token and refused the call."""

    highest_fence: int


LogError = Unavailable | Ambiguous | Refused | Trimmed
EngineError = Unavailable | Ambiguous | Refused | StaleFence


class LogEntry(typing.NamedTuple):
    """An entry of a stream, with the time at which the log stored it.

    The offsets of a stream increase by one.
    """

    offset: int
    time: float
    payload: bytes


class LogPage(typing.NamedTuple):
    """Consecutive entries and the range of offsets that the stream holds.

    ``next_offset`` is the offset of the next append.
    """

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
        """Read entries, starting at an offset.

        :param wait: wait until the deadline for an entry if the stream has
            none at the offset yet; the page is empty if none arrives.
        """


class InstanceState(enum.StrEnum):
    """The state of an instance on the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class InstanceKind(enum.StrEnum):
    """Whether a list entry is an instance of the system or an upstream."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class Instance(msgspec.Struct, frozen=True):
    """An entry of the instance list, for an instance or an upstream."""

    instance_id: str
    address: str
    port: int
    failure_domain: str
    state: InstanceState
    kind: InstanceKind = InstanceKind.ENTRY


class InstanceList(typing.Protocol):
    """The platform's list of instances, which lags behind changes."""

    async def instances(
        self, deadline: float
    ) -> expression.Result[tuple[Instance, ...], Unavailable]:
        """Return the current list."""

    async def announce(
        self, instance: Instance, deadline: float
    ) -> expression.Result[None, Unavailable | Ambiguous]:
        """Add an instance to the list or update its entry."""


class WeightStoreState(msgspec.Struct, frozen=True):
    """The limits and the current load of the weight store.

    Loads run at full speed up to ``full_speed_loads`` at a time; more slow
    each other down.
    """

    loads_per_second: float
    full_speed_loads: int
    loads_running: int


class WeightStore(typing.Protocol):
    """The rate-limited store from which engines load model weights."""

    async def state(
        self, deadline: float
    ) -> expression.Result[WeightStoreState, Unavailable]:
        """Return the store's limits and the number of running loads."""


class OrderKind(enum.StrEnum):
    """The kinds of orders that an engine accepts."""

    LOAD = 'load'
    UNLOAD = 'unload'
    SET_ROLE = 'set_role'


class Order(msgspec.Struct, frozen=True):
    """An order to an engine, idempotent by ``order_id``.

    ``fence`` is the fencing token. ``base`` is the base model of an adapter
    as ``name@version``, and empty for a model. ``incarnation`` is the engine
    process that the order is meant for: any other process refuses the order.
    An empty one is not checked.
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
    """A model or adapter version in an engine's memory.

    ``order_id`` is the last order that loaded or unloaded it.
    """

    artifact: str
    memory_bytes: int
    ready: bool
    order_id: str = ''
    unloading: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """A server's report of its load, measured at ``time``.

    ``cache_used`` is the used fraction of the prefix cache, from 0 to 1.
    """

    time: float
    running: int
    queued: int
    tokens_per_second: float
    cache_used: float


class EngineState(msgspec.Struct, frozen=True):
    """The contents of an engine's memory and its load.

    ``artifacts`` includes loads in progress unless ``lists_loading`` is false.
    """

    incarnation: str
    highest_fence: int
    capacity_bytes: int
    artifacts: tuple[ArtifactState, ...]
    load: LoadReport
    role: str = 'serve'
    lists_loading: bool = True


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block that was stored in or evicted from an engine's cache."""

    sequence: int
    block_hash: int
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events in order; skipped ``sequence`` numbers are lost events."""

    incarnation: str
    next_sequence: int
    events: tuple[CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One attempt of a request at an upstream.

    ``attempt_id`` is sent as ``X-Request-Id``, and the answer has to repeat
    it. ``resume_after`` is the number of the last event received in earlier
    attempts, for engines that can resume a stream; -1 starts from the
    beginning.
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
    """An answer of an upstream whose body is read by iteration.

    Iterating raises ``errors.UpstreamBroken`` if the body is incomplete.
    Chunks that are available together are returned as one.
    """

    @property
    def status(self) -> int:
        """The HTTP status code."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers of the answer, with names in lower case."""

    @property
    def attempt_id(self) -> str:
        """The attempt id that the upstream returned with the answer."""

    def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Iterate over the body as it is received."""


class PlainService(typing.Protocol):
    """Plain HTTP services; ``address`` and ``port`` select the server."""

    def call(
        self, address: str, port: int, call: UpstreamCall
    ) -> contextlib.AbstractAsyncContextManager[
        expression.Result[UpstreamAnswer, EngineError]
    ]:
        """Send a request; leaving the context cancels it."""

    async def load(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[LoadReport, Unavailable]:
        """Return the server's load report, which may lag."""


class Engine(PlainService, typing.Protocol):
    """Model engines; ``address`` and ``port`` select the server."""

    async def state(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[EngineState, EngineError]:
        """Return the contents of the engine's memory and its load."""

    async def raise_fence(
        self, address: str, port: int, fence: int, deadline: float
    ) -> expression.Result[EngineState, EngineError]:
        """Raise the engine's fencing token and return its state.

        The engine then refuses orders with a lower token.
        """

    async def order(
        self, address: str, port: int, order: Order, deadline: float
    ) -> expression.Result[EngineState, EngineError]:
        """Send an order and return the state after it has been carried out."""

    async def cancel(
        self, address: str, port: int, attempt_id: str, deadline: float
    ) -> expression.Result[None, EngineError]:
        """Cancel an attempt."""

    async def cache_events(
        self, address: str, port: int, sequence: int, deadline: float
    ) -> expression.Result[CacheEvents, EngineError]:
        """Return the cache events from a sequence number."""

    async def export_cache(
        self, address: str, port: int, block_hash: int, deadline: float
    ) -> expression.Result[bytes, EngineError]:
        """Return the cached blocks of the prefix with a hash."""

    async def import_cache(
        self, address: str, port: int, block: bytes, deadline: float
    ) -> expression.Result[None, EngineError]:
        """Add exported blocks to the engine's cache."""

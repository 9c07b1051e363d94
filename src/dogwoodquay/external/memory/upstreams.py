"""Adapters to fake engines and plain services by address and port."""

from __future__ import annotations

import contextlib
import typing

import expression

from .. import api
from . import engine
from . import faults
from . import service
from . import timeline

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['MemoryEngines', 'MemoryServices']

_NO_CONNECTION: typing.Final = api.Unavailable('connect')


class MemoryServices:
    """Fake servers of plain services by address and port."""

    def __init__(self) -> None:
        self.servers: dict[tuple[str, int], service.FakeService] = {}

    def add(self, address: str, port: int, fake: service.FakeService) -> None:
        """Add a server at an address."""
        self.servers[address, port] = fake

    @contextlib.asynccontextmanager
    async def call(
        self, address: str, port: int, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Send a request; leaving the context cancels it."""
        found = self.servers.get((address, port))
        if found is None or not found.alive:
            yield expression.Error(_NO_CONNECTION)
            return
        async with found.open(call) as served:
            yield served

    async def load(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.LoadReport, api.Unavailable]:
        """Return the server's load report, which may lag."""
        found = self.servers.get((address, port))
        if found is None or not found.alive:
            return expression.Error(_NO_CONNECTION)
        return expression.Ok(found.load())


class MemoryEngines:
    """Fake engines by address and port.

    An outage in ``faults`` applies to all calls; ``slow_seconds`` delays all
    but those of requests.
    """

    def __init__(self, time: timeline.Timeline) -> None:
        self.engines: dict[tuple[str, int], engine.FakeEngine] = {}
        self.faults = faults.Faults()
        self._time = time

    def add(self, address: str, port: int, fake: engine.FakeEngine) -> None:
        """Add an engine at an address."""
        self.engines[address, port] = fake

    @contextlib.asynccontextmanager
    async def call(
        self, address: str, port: int, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Send a request; leaving the context cancels it."""
        found = self._find_alive(address, port)
        if found is None:
            yield expression.Error(_NO_CONNECTION)
            return
        async with found.open(call) as served:
            yield served

    async def load(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.LoadReport, api.Unavailable]:
        """Return the engine's load report, which may lag."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return expression.Ok(found.load())

    async def state(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Return the contents of the engine's memory and its load."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return expression.Ok(found.state())

    async def raise_fence(
        self, address: str, port: int, fence: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Raise the engine's fencing token and return its state."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return found.raise_fence(fence)

    async def order(
        self, address: str, port: int, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Send an order and return the state after it has been carried out."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return await found.order(order, deadline)

    async def cancel(
        self, address: str, port: int, attempt_id: str, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Cancel an attempt."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        found.cancel(attempt_id)
        return expression.Ok(None)

    async def cache_events(
        self, address: str, port: int, sequence: int, deadline: float
    ) -> expression.Result[api.CacheEvents, api.EngineError]:
        """Return the cache events from a sequence number."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        events = found.cache.events(sequence, found.memory.incarnation)
        return expression.Ok(events)

    async def export_cache(
        self, address: str, port: int, block_hash: int, deadline: float
    ) -> expression.Result[bytes, api.EngineError]:
        """Return the cached blocks of the prefix with a hash."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        block = found.cache.export(block_hash)
        if block is None:
            return expression.Error(api.Refused('not_cached'))
        return expression.Ok(block)

    async def import_cache(
        self, address: str, port: int, block: bytes, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Add exported blocks to the engine's cache."""
        found = await self._find_reachable(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        if not found.cache.import_blocks(block):
            return expression.Error(api.Refused('bad_block'))
        return expression.Ok(None)

    def _find_alive(self, address: str, port: int) -> engine.FakeEngine | None:
        found = self.engines.get((address, port))
        if found is None or not found.alive or self.faults.outage:
            return None
        return found

    async def _find_reachable(
        self, address: str, port: int, deadline: float
    ) -> engine.FakeEngine | None:
        if self.faults.slow_seconds:
            due = self._time.now() + self.faults.slow_seconds
            await timeline.sleep_until(self._time, min(due, deadline))
        if self._time.now() >= deadline:
            return None
        return self._find_alive(address, port)

"""The adapters to fake engines and plain services, found by address."""

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
    """Servers of plain services by address and port."""

    def __init__(self) -> None:
        self.servers: dict[tuple[str, int], service.ServiceModel] = {}

    def add(
        self, address: str, port: int, model: service.ServiceModel
    ) -> None:
        """Put a server at an address."""
        self.servers[address, port] = model

    @contextlib.asynccontextmanager
    async def call(
        self, address: str, port: int, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Send one request; leaving the context cancels it."""
        found = self.servers.get((address, port))
        if found is None or not found.alive:
            yield expression.Error(_NO_CONNECTION)
            return
        async with found.open(call) as served:
            yield served

    async def load(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.LoadReport, api.Unavailable]:
        """Return the service's lagging report of its load."""
        found = self.servers.get((address, port))
        if found is None or not found.alive:
            return expression.Error(_NO_CONNECTION)
        return expression.Ok(found.load())


class MemoryEngines:
    """Engines by address and port; ``faults`` are those of all state calls."""

    def __init__(self, time: timeline.Timeline) -> None:
        self.engines: dict[tuple[str, int], engine.EngineModel] = {}
        self.faults = faults.Faults()
        self._time = time

    def add(self, address: str, port: int, model: engine.EngineModel) -> None:
        """Put an engine at an address."""
        self.engines[address, port] = model

    @contextlib.asynccontextmanager
    async def call(
        self, address: str, port: int, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Send one request; leaving the context cancels it."""
        found = self._alive(address, port)
        if found is None:
            yield expression.Error(_NO_CONNECTION)
            return
        async with found.open(call) as served:
            yield served

    async def load(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.LoadReport, api.Unavailable]:
        """Return the engine's lagging report of its load."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return expression.Ok(found.load())

    async def state(
        self, address: str, port: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Return the engine's contents and load."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return expression.Ok(found.state())

    async def teach(
        self, address: str, port: int, fence: int, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Make the engine refuse numbers below a fence; return its state."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return found.teach(fence)

    async def order(
        self, address: str, port: int, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Give an order; the answer comes when it is done."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        return await found.order(order, deadline)

    async def cancel(
        self, address: str, port: int, attempt_id: str, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Stop the work for one attempt."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        found.cancel(attempt_id)
        return expression.Ok(None)

    async def cache_events(
        self, address: str, port: int, sequence: int, deadline: float
    ) -> expression.Result[api.CacheEvents, api.EngineError]:
        """Return cache events from a sequence number on."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        events = found.cache.events(sequence, found.memory.incarnation)
        return expression.Ok(events)

    async def export_cache(
        self, address: str, port: int, block_hash: int, deadline: float
    ) -> expression.Result[bytes, api.EngineError]:
        """Return the cached blocks that end in a prefix hash."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        block = found.cache.export(block_hash)
        if block is None:
            return expression.Error(api.Refused('not_cached'))
        return expression.Ok(block)

    async def import_cache(
        self, address: str, port: int, block: bytes, deadline: float
    ) -> expression.Result[None, api.EngineError]:
        """Put exported blocks into an engine's cache."""
        found = await self._reach(address, port, deadline)
        if found is None:
            return expression.Error(_NO_CONNECTION)
        if not found.cache.import_blocks(block):
            return expression.Error(api.Refused('bad_block'))
        return expression.Ok(None)

    def _alive(self, address: str, port: int) -> engine.EngineModel | None:
        found = self.engines.get((address, port))
        if found is None or not found.alive or self.faults.outage:
            return None
        return found

    async def _reach(
        self, address: str, port: int, deadline: float
    ) -> engine.EngineModel | None:
        if self.faults.slow_seconds:
            due = self._time.now() + self.faults.slow_seconds
            await timeline.sleep_until(self._time, min(due, deadline))
        if self._time.now() >= deadline:
            return None
        return self._alive(address, port)

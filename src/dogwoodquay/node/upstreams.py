"""Polls plain services for their load and engines for their cache events."""

from __future__ import annotations

import typing

import anyio

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..external import api as external_api
    from ..pools import api as pools_api
    from ..records import api as records_api
    from ..routing import api as routing_api

__all__ = ['UpstreamPoller']

POLL_INTERVAL_SECONDS: typing.Final = 1.0
READ_TIMEOUT_SECONDS: typing.Final = 2.0
MAX_CACHE_SERVERS: typing.Final = 16
PARALLEL_POLLS: typing.Final = 8


class UpstreamPoller:
    """Feeds the router with loads and cache events of upstream servers.

    Cache events are read from at most ``MAX_CACHE_SERVERS`` engines. For the
    others, the router knows only the prefixes of its own requests.
    """

    def __init__(
        self,
        engine: external_api.Engine,
        services: external_api.PlainService,
        router: routing_api.Router,
        catalog: abc.Callable[[], records_api.Catalog],
        views: abc.Callable[[], tuple[pools_api.PoolView, ...]],
        clock: clocks.Clock,
    ) -> None:
        self._engine = engine
        self._services = services
        self._router = router
        self._catalog = catalog
        self._views = views
        self._clock = clock
        self._sequences: dict[str, tuple[str, int]] = {}
        self._limiter = anyio.CapacityLimiter(PARALLEL_POLLS)

    async def run(self) -> typing.NoReturn:
        """Poll at a fixed interval until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def step(self) -> None:
        """Poll each upstream server once."""
        async with anyio.create_task_group() as group:
            for service in self._catalog().services.values():
                for server in service.servers:
                    group.start_soon(self._poll_load, server)
            for engine_server in self._cache_servers():
                group.start_soon(self._poll_cache, engine_server)

    def _cache_servers(self) -> list[pools_api.ServerView]:
        servers = [item for view in self._views() for item in view.servers]
        return servers[:MAX_CACHE_SERVERS]

    async def _poll_load(self, server: records_api.Server) -> None:
        deadline = self._clock.now() + READ_TIMEOUT_SECONDS
        async with self._limiter:
            result = await self._services.load(
                server.address, server.port, deadline
            )
        if result.is_ok():
            now = self._clock.now()
            self._router.update_load(server.server_id, result.ok, now)

    async def _poll_cache(self, server: pools_api.ServerView) -> None:
        incarnation, sequence = self._sequences.get(server.server_id, ('', 0))
        deadline = self._clock.now() + READ_TIMEOUT_SECONDS
        async with self._limiter:
            result = await self._engine.cache_events(
                server.address, server.port, sequence, deadline
            )
        if result.is_error():
            return
        events = result.ok
        if events.incarnation != incarnation and sequence:
            self._sequences[server.server_id] = (events.incarnation, 0)
            return
        self._sequences[server.server_id] = (
            events.incarnation,
            events.next_sequence,
        )
        now = self._clock.now()
        self._router.update_cache(server.server_id, events, now)

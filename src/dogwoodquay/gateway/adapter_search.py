"""Searches for servers with an adapter that waiting requests need."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    import anyio.abc

    from .. import clock as clocks
    from ..fleet import choice
    from ..fleet import registry as registries
    from ..fleet import server as servers

__all__ = ['AdapterFinder', 'AdapterSearches']

# Delay before a search for an adapter's server is repeated.
SEARCH_RETRY_SECONDS: typing.Final = 0.05
SEARCH_SECONDS: typing.Final = 1.0


class AdapterFinder(typing.Protocol):
    """Loads an adapter on a server that has loaded its model."""

    async def find_adapter(
        self,
        service: str,
        model: str,
        adapter: str,
        deadline: float,
        version: str | None = None,
    ) -> str:
        """Return a server that has loaded the adapter, empty for none.

        :param version: the only software version of servers that may be used.
        """


class _Key(typing.NamedTuple):
    """What is searched for; one search at a time runs for each."""

    service: str
    model: str
    adapter: str
    version: str | None


class AdapterSearches:
    """Searches for adapters, one search at a time for each of them."""

    def __init__(
        self,
        registry: registries.Registry,
        clock: clocks.Clock,
        finder: AdapterFinder,
        on_ended: abc.Callable[[], None],
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._finder = finder
        self._on_ended = on_ended
        self._allowed_at: dict[_Key, float] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run the searches from now on in a task group."""
        self._tasks = tasks

    def search(
        self, need: choice.Need, candidates: abc.Iterable[servers.Server]
    ) -> None:
        """Start loading an adapter on a server that has its model."""
        key = _Key(need.service, need.model, need.adapter, need.version)
        now = self._clock.now()
        if self._tasks is None or now < self._allowed_at.get(key, now):
            return
        if not any(
            need.permits(server) and server.has_loaded(need.model, '')
            for server in candidates
        ):
            return
        self._allowed_at[key] = float('inf')
        self._tasks.start_soon(self._search, key)

    async def _search(self, key: _Key) -> None:
        server_id = await self._finder.find_adapter(
            key.service,
            key.model,
            key.adapter,
            self._clock.now() + SEARCH_SECONDS,
            key.version,
        )
        now = self._clock.now()
        server = self._registry.get(server_id)
        # The server that is found may be one that the request cannot use.
        self._allowed_at[key] = now + SEARCH_RETRY_SECONDS
        if server is not None:
            loaded = dict(server.loaded)
            if key.model in loaded:
                loaded[key.model] = loaded[key.model] | {key.adapter}
            server.update_loaded(loaded, now)
        self._on_ended()

"""Whether a request can expect a server if it waits."""

from __future__ import annotations

import typing

from ..fleet import choice

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from ..fleet import registry as registries
    from ..fleet import server as servers

__all__ = ['Outlook', 'ServerOutlook']

# Service, model and software version.
_Kind = tuple[str, str, str | None]


class ServerOutlook:
    """Knows which servers may be used, and when models will be ready."""

    def __init__(
        self, registry: registries.Registry, clock: clocks.Clock
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._ready_at: dict[tuple[str, str], float] = {}

    def update_loading(self, ready_at: dict[tuple[str, str], float]) -> None:
        """Set when the models that no server has loaded will be ready."""
        self._ready_at = ready_at

    def ready_at(self, service: str, model: str) -> float | None:
        """Return when a model that is being loaded is ready, if known."""
        return self._ready_at.get((service, model))

    def permitted(self, need: choice.Need) -> list[servers.Server]:
        """Return the servers of a request's service and version."""
        return [
            server
            for server in self._registry.of_service(need.service)
            if need.permits(server)
        ]

    def pause_end(self, need: choice.Need) -> float | None:
        """Return when a server is usable again, if all have paused."""
        now = self._clock.now()
        if now >= self._registry.pauses_end_at:
            return None
        candidates = self._registry.of_service(need.service)
        return choice.pause_end(candidates, need, now)

    def snapshot(self) -> Outlook:
        """Return the outlook of several requests at this time."""
        return Outlook(self)


class Outlook:
    """The outlook at one time; requests of one kind share what is found."""

    def __init__(self, servers_outlook: ServerOutlook) -> None:
        self._servers = servers_outlook
        self._without_server: dict[_Kind, bool] = {}

    def is_hopeless(self, need: choice.Need, wait_deadline: float) -> bool:
        """Whether a request would wait for its deadline in vain.

        There is no server of the only version that may be used, all servers
        that can run it want no requests, or its model will be ready later.
        """
        kind = (need.service, need.model, need.version)
        if kind not in self._without_server:
            self._without_server[kind] = self._has_no_server(need)
        return self._without_server[kind] or self._load_misses_deadline(
            need, wait_deadline
        )

    def _has_no_server(self, need: choice.Need) -> bool:
        if need.version is not None and not self._servers.permitted(need):
            return True
        return self._servers.pause_end(need) is not None

    def _load_misses_deadline(
        self, need: choice.Need, wait_deadline: float
    ) -> bool:
        """Whether a model will be ready only after a request's wait deadline.

        False if a server has loaded it already. When demand moves to a model
        whose load takes longer than its callers wait, their requests are
        refused at once with the time to retry.
        """
        ready_at = self._servers.ready_at(need.service, need.model)
        if ready_at is None or ready_at <= wait_deadline:
            return False
        return not any(
            server.has_loaded(need.model, '')
            for server in self._servers.permitted(need)
        )

"""The pending moves that a planner tracks from one plan to the next."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api

__all__ = ['MoveHistory']

_Key = tuple[str, str]


class MoveHistory:
    """Tracks pending loads and unloads, and since when replicas are ready.

    An artifact that may be in memory but is not ready counts as loading,
    unless this planner requested its unload. Loads and unloads stop counting
    as pending after ``pending_timeout_seconds``.
    """

    def __init__(self, pending_timeout_seconds: float) -> None:
        self._pending_timeout = pending_timeout_seconds
        self._loading: dict[_Key, float] = {}
        self._pending_unloads: dict[_Key, float] = {}
        self._ready_since: dict[_Key, float] = {}

    def observe(self, servers: abc.Iterable[api.Contents], now: float) -> None:
        """Update the pending moves from the servers' contents."""
        loading: dict[_Key, float] = {}
        ready: dict[_Key, float] = {}
        pending_unloads: dict[_Key, float] = {}
        for server in servers:
            for artifact in server.possible:
                key = (server.server_id, artifact)
                if key in self._pending_unloads:
                    pending_unloads[key] = self._pending_unloads[key]
                elif artifact not in server.ready:
                    loading[key] = self._loading.get(key, now)
                if artifact in server.ready:
                    ready[key] = self._ready_since.get(key, now)
        oldest = now - self._pending_timeout
        self._loading = loading
        self._ready_since = ready
        self._pending_unloads = {
            key: at for key, at in pending_unloads.items() if at > oldest
        }

    def record_unload(self, server_id: str, artifact: str, now: float) -> None:
        """Record an unload that the plan contains."""
        self._pending_unloads[(server_id, artifact)] = now

    def is_loading(self, server_id: str, artifact: str, now: float) -> bool:
        """Return whether a load is pending and has not timed out."""
        since = self._loading.get((server_id, artifact))
        return since is not None and since > now - self._pending_timeout

    def is_unload_pending(self, server_id: str, artifact: str) -> bool:
        """Return whether an unload was requested and has not timed out."""
        return (server_id, artifact) in self._pending_unloads

    def ready_seconds(
        self, server_id: str, artifact: str, now: float
    ) -> float:
        """Return how long an artifact has been ready on a server."""
        since = self._ready_since.get((server_id, artifact), now)
        return now - since

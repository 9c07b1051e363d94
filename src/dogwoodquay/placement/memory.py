"""What the planner remembers of its own moves between two plans."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api

__all__ = ['MoveMemory']

_Key = tuple[str, str]


class MoveMemory:
    """Loads and unloads that the servers' contents may not show yet.

    What may be in memory without being ready is coming, unless this planner
    withdrew it; after ``patience_seconds`` nobody waits for it any more.
    """

    def __init__(self, patience_seconds: float) -> None:
        self._patience = patience_seconds
        self._coming: dict[_Key, float] = {}
        self._withdrawn: dict[_Key, float] = {}
        self._ready: dict[_Key, float] = {}

    def observe(self, servers: abc.Iterable[api.Contents], now: float) -> None:
        """Bring the memory up to date with the servers' contents."""
        coming: dict[_Key, float] = {}
        ready: dict[_Key, float] = {}
        withdrawn: dict[_Key, float] = {}
        for server in servers:
            for artifact in server.possible:
                key = (server.server_id, artifact)
                if key in self._withdrawn:
                    withdrawn[key] = self._withdrawn[key]
                elif artifact not in server.ready:
                    coming[key] = self._coming.get(key, now)
                if artifact in server.ready:
                    ready[key] = self._ready.get(key, now)
        oldest = now - self._patience
        self._coming = coming
        self._ready = ready
        self._withdrawn = {
            key: at for key, at in withdrawn.items() if at > oldest
        }

    def note_unload(self, server_id: str, artifact: str, now: float) -> None:
        """Remember an unload that the plan asks for."""
        self._withdrawn[(server_id, artifact)] = now

    def is_coming(self, server_id: str, artifact: str, now: float) -> bool:
        """Return whether a load may still end well."""
        since = self._coming.get((server_id, artifact))
        return since is not None and since > now - self._patience

    def is_withdrawn(self, server_id: str, artifact: str) -> bool:
        """Return whether an unload was asked for a short while ago."""
        return (server_id, artifact) in self._withdrawn

    def ready_seconds(
        self, server_id: str, artifact: str, now: float
    ) -> float:
        """Return for how long an artifact has been seen ready."""
        since = self._ready.get((server_id, artifact), now)
        return now - since

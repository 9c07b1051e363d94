"""Decides whether what is declared fits a pool's servers.

Every model keeps its least number of replicas, on different servers; the
first replica also holds the model's adapters. Room for the largest of these
units stays free, so that any one of them can be loaded elsewhere before it
is removed. The packing is first-fit decreasing: a function of the
declarations alone, so that every instance decides alike.
"""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Shortage', 'Unit', 'find_shortage', 'units']

_MOVE_ROOM: typing.Final = '(room for one move)'


class Unit(typing.NamedTuple):
    """What has to be placed on one server, in bytes."""

    artifact: str
    replica: int
    memory_bytes: int


class Shortage(typing.NamedTuple):
    """The first unit that finds no server, with the pool's sums in bytes."""

    pool: str
    unit: Unit
    largest_free_bytes: int
    declared_bytes: int
    move_room_bytes: int
    capacity_bytes: int

    def __str__(self) -> str:
        return (
            f'pool {self.pool}: {self.unit.artifact} needs'
            f' {self.unit.memory_bytes} bytes on one server,'
            f' the most left free is {self.largest_free_bytes};'
            f' declared {self.declared_bytes}'
            f' + room for one move {self.move_room_bytes}'
            f' of {self.capacity_bytes} bytes'
        )


def find_shortage(catalog: api.Catalog, pool_name: str) -> Shortage | None:
    """Return what does not fit a pool, or ``None`` when all does."""
    pool = catalog.pools[pool_name]
    wanted = sorted(
        units(catalog, pool_name),
        key=lambda unit: (-unit.memory_bytes, unit.artifact, unit.replica),
    )
    if not wanted:
        return None
    room = Unit(_MOVE_ROOM, 0, wanted[0].memory_bytes)
    servers = _Servers(pool.servers)
    for unit in (room, *wanted):
        if not servers.place(unit):
            return Shortage(
                pool_name,
                unit,
                servers.largest_free(unit),
                sum(item.memory_bytes for item in wanted),
                room.memory_bytes,
                sum(server.capacity_bytes for server in pool.servers),
            )
    return None


def units(catalog: api.Catalog, pool_name: str) -> abc.Iterator[Unit]:
    """Return all that has to be placed in a pool."""
    models = {
        model.name: model
        for model in catalog.models.values()
        if model.pool == pool_name
    }
    adapters = dict.fromkeys(models, 0)
    for adapter in catalog.adapters.values():
        if adapter.base in models:
            for _, size in _versions(catalog, adapter):
                adapters[adapter.base] += size
    for model in models.values():
        for artifact, size in _versions(catalog, model):
            for replica in range(model.min_replicas):
                extra = adapters[model.name] if replica == 0 else 0
                yield Unit(artifact, replica, size + extra)


def _versions(
    catalog: api.Catalog, item: api.Model | api.Adapter
) -> abc.Iterator[tuple[str, int]]:
    """Return the versions to hold; a change holds both for a while."""
    yield api.artifact_id(item.name, item.version), item.memory_bytes
    rollout = catalog.rollouts.get(item.name)
    if rollout is not None and rollout.version != item.version:
        artifact = api.artifact_id(item.name, rollout.version)
        yield artifact, rollout.memory_bytes


class _Servers:
    """Free memory while units are placed."""

    def __init__(self, servers: tuple[api.Server, ...]) -> None:
        self._free = {
            server.server_id: server.capacity_bytes for server in servers
        }
        self._held: dict[str, set[str]] = {}

    def place(self, unit: Unit) -> bool:
        """Put a unit where the least room is left; false if nowhere."""
        fitting = [
            (self._free[server_id], server_id)
            for server_id in self._open_to(unit)
            if self._free[server_id] >= unit.memory_bytes
        ]
        if not fitting:
            return False
        _, server_id = min(fitting)
        self._free[server_id] -= unit.memory_bytes
        self._held.setdefault(unit.artifact, set()).add(server_id)
        return True

    def largest_free(self, unit: Unit) -> int:
        """Return the most that a server has left for a unit."""
        free = [self._free[server_id] for server_id in self._open_to(unit)]
        return max(free, default=0)

    def _open_to(self, unit: Unit) -> tuple[str, ...]:
        held: set[str] = self._held.get(unit.artifact, set())
        return tuple(name for name in self._free if name not in held)

"""Checks that the declared models and adapters fit a pool's servers.

Each model needs its minimum number of replicas, on different servers; its
first replica also needs memory for the model's adapters. Memory for the
largest of these units is kept free, so that each unit can be loaded on
another server before it is unloaded. The units are packed by best fit in
decreasing size. The result depends only on the declarations, so that all
instances reach the same decision.
"""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['PlacementUnit', 'Shortage', 'find_shortage', 'placement_units']

_MOVE_RESERVE: typing.Final = '(reserve for one move)'


class PlacementUnit(typing.NamedTuple):
    """A replica of an artifact that needs memory on one server."""

    artifact: str
    replica: int
    memory_bytes: int


class Shortage(typing.NamedTuple):
    """The first unit that fits no server, and the totals of the pool."""

    pool: str
    unit: PlacementUnit
    largest_free_bytes: int
    declared_bytes: int
    move_reserve_bytes: int
    capacity_bytes: int

    def __str__(self) -> str:
        return (
            f'pool {self.pool}: {self.unit.artifact} needs'
            f' {self.unit.memory_bytes} bytes on one server,'
            f' but at most {self.largest_free_bytes} are free;'
            f' declared {self.declared_bytes}'
            f' + reserve for one move {self.move_reserve_bytes}'
            f' of {self.capacity_bytes} bytes'
        )


def find_shortage(catalog: api.Catalog, pool_name: str) -> Shortage | None:
    """Return the first unit that does not fit a pool, if any."""
    pool = catalog.pools[pool_name]
    required = sorted(
        placement_units(catalog, pool_name),
        key=lambda unit: (-unit.memory_bytes, unit.artifact, unit.replica),
    )
    if not required:
        return None
    reserve = PlacementUnit(_MOVE_RESERVE, 0, required[0].memory_bytes)
    servers = _FreeMemory(pool.servers)
    for unit in (reserve, *required):
        if not servers.place(unit):
            return Shortage(
                pool_name,
                unit,
                servers.largest_free(unit),
                sum(item.memory_bytes for item in required),
                reserve.memory_bytes,
                sum(server.capacity_bytes for server in pool.servers),
            )
    return None


def placement_units(
    catalog: api.Catalog, pool_name: str
) -> abc.Iterator[PlacementUnit]:
    """Return all replicas that need memory in a pool."""
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
                yield PlacementUnit(artifact, replica, size + extra)


def _versions(
    catalog: api.Catalog, item: api.Model | api.Adapter
) -> abc.Iterator[tuple[str, int]]:
    """Return the versions to keep loaded, with sizes; two in a rollout."""
    yield api.artifact_id(item.name, item.version), item.memory_bytes
    rollout = catalog.rollouts.get(item.name)
    if rollout is not None and rollout.version != item.version:
        artifact = api.artifact_id(item.name, rollout.version)
        yield artifact, rollout.memory_bytes


class _FreeMemory:
    """The free memory of each server while units are placed."""

    def __init__(self, servers: tuple[api.Server, ...]) -> None:
        self._free = {
            server.server_id: server.capacity_bytes for server in servers
        }
        self._placed: dict[str, set[str]] = {}

    def place(self, unit: PlacementUnit) -> bool:
        """Place a unit by best fit; return false if it fits no server."""
        fitting = [
            (self._free[server_id], server_id)
            for server_id in self._servers_without(unit)
            if self._free[server_id] >= unit.memory_bytes
        ]
        if not fitting:
            return False
        _, server_id = min(fitting)
        self._free[server_id] -= unit.memory_bytes
        self._placed.setdefault(unit.artifact, set()).add(server_id)
        return True

    def largest_free(self, unit: PlacementUnit) -> int:
        """Return the largest free memory of the servers allowed for a unit."""
        free = [
            self._free[server_id] for server_id in self._servers_without(unit)
        ]
        return max(free, default=0)

    def _servers_without(self, unit: PlacementUnit) -> tuple[str, ...]:
        """Return the servers that have no replica of the artifact."""
        used: set[str] = self._placed.get(unit.artifact, set())
        return tuple(name for name in self._free if name not in used)

"""Safety rules for changes of a server's contents."""

from __future__ import annotations

import enum
import typing

from . import catalog as catalogs
from ..external import api as external_api
from ..placement import api as placement_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..records import api as records_api
    from . import servers as server_ledgers

__all__ = ['MAX_LOADS_PER_SERVER', 'Denial', 'Rules']

MAX_LOADS_PER_SERVER: typing.Final = 2


class Denial(enum.StrEnum):
    """Why a move is denied; the values are metric labels."""

    UNKNOWN_SERVER = 'unknown_server'
    CONTENTS_UNKNOWN = 'contents_unknown'
    SUPERSEDED = 'superseded'
    UNREACHABLE = 'unreachable'
    LEAVING = 'leaving'
    BUSY = 'busy'
    PRESENT = 'present'
    ABSENT = 'absent'
    NO_MEMORY = 'no_memory'
    NO_BASE = 'no_base'
    BASE_IN_USE = 'base_in_use'
    LAST_REPLICA = 'last_replica'
    NO_SLOT = 'no_slot'


class Rules:
    """Checks moves against the possible contents of a pool's servers."""

    def __init__(
        self, servers: abc.Mapping[str, server_ledgers.ServerLedger]
    ) -> None:
        self._servers = servers
        self._declared: dict[str, frozenset[str]] = {}
        self._bases: dict[str, str] = {}

    def update(self, catalog: records_api.Catalog, pool: str) -> None:
        """Update the models and adapters declared for a pool."""
        self._declared = catalogs.declared_versions(catalog, pool)
        self._bases = {
            adapter.name: adapter.base for adapter in catalog.adapters.values()
        }

    def check_move(
        self, server: server_ledgers.ServerLedger, move: placement_api.Move
    ) -> Denial | None:
        """Check a new move on a server whose contents are known."""
        if server.has_order(move.artifact):
            return Denial.BUSY
        possible = move.artifact in server.possible_contents()
        match move.kind:
            case placement_api.MoveKind.LOAD if possible:
                return Denial.PRESENT
            case placement_api.MoveKind.LOAD:
                return self.check_load(
                    server, move.artifact, move.base, move.memory_bytes
                )
            case placement_api.MoveKind.UNLOAD if not possible:
                return Denial.ABSENT
            case placement_api.MoveKind.UNLOAD:
                return self.check_unload(server, move.artifact)

    def check_order(
        self, server: server_ledgers.ServerLedger, order: external_api.Order
    ) -> Denial | None:
        """Check whether a tracked order may be sent."""
        match order.kind:
            case external_api.OrderKind.LOAD:
                return self.check_load(server, order.artifact, order.base, 0)
            case external_api.OrderKind.UNLOAD:
                return self.check_unload(server, order.artifact)
            case external_api.OrderKind.SET_ROLE:
                return None

    def check_load(
        self,
        server: server_ledgers.ServerLedger,
        artifact: str,
        base: str,
        added_bytes: int,
    ) -> Denial | None:
        """Check a load against the peak memory of all possible contents."""
        if server.leaving:
            return Denial.LEAVING
        if server.possible_bytes + added_bytes > server.capacity_bytes:
            return Denial.NO_MEMORY
        adapter = catalogs.name_of(artifact) in self._bases
        if adapter and base not in server.ready_artifacts():
            return Denial.NO_BASE
        return None

    def check_unload(
        self, server: server_ledgers.ServerLedger, artifact: str
    ) -> Denial | None:
        """Check that an unload breaks no adapter and leaves a replica."""
        if self._has_dependent_adapter(server, artifact):
            return Denial.BASE_IN_USE
        if not self._leaves_ready_replica(server, artifact):
            return Denial.LAST_REPLICA
        return None

    def _has_dependent_adapter(
        self, server: server_ledgers.ServerLedger, artifact: str
    ) -> bool:
        name = catalogs.name_of(artifact)
        return any(
            self._bases.get(catalogs.name_of(other)) == name
            and server.base_of(other) in ('', artifact)
            for other in server.possible_contents()
        )

    def _leaves_ready_replica(
        self, server: server_ledgers.ServerLedger, artifact: str
    ) -> bool:
        versions = self._declared.get(catalogs.name_of(artifact), frozenset())
        if artifact in versions:
            return self._has_ready_replica(artifact, excluding=server)
        return all(self._has_ready_replica(version) for version in versions)

    def _has_ready_replica(
        self,
        artifact: str,
        excluding: server_ledgers.ServerLedger | None = None,
    ) -> bool:
        return any(
            artifact in other.ready_artifacts() and not other.leaving
            for other in self._servers.values()
            if other is not excluding
        )

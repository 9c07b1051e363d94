"""The abstract part of placement: what is planned from, and the moves."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from ..records import api as records_api

__all__ = [
    'Contents',
    'Demand',
    'Infeasible',
    'Move',
    'MoveKind',
    'Plan',
    'Planner',
    'PlannerInput',
]


class MoveKind(enum.StrEnum):
    """What a move does on its server."""

    LOAD = 'load'
    UNLOAD = 'unload'


class Contents(typing.NamedTuple):
    """What a server holds or may hold, by artifact id, in bytes.

    ``ready`` can serve now; ``possible`` is all that may be in memory,
    ready, loading or under an order without a known end. ``speed`` is how
    fast it works, as a share of the speed of a healthy server.
    """

    server_id: str
    failure_domain: str
    capacity_bytes: int
    leaving: bool
    ready: frozenset[str]
    possible: abc.Mapping[str, int]
    speed: float = 1.0


class Demand(typing.NamedTuple):
    """The offered load of an artifact, its waiting requests included."""

    artifact: str
    requests_per_second: float
    tokens_per_second: float
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerInput:
    """Everything that one plan of a pool is made from."""

    pool: str
    catalog: records_api.Catalog
    servers: tuple[Contents, ...]
    demand: tuple[Demand, ...]
    loads_running: int


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """One step; moves of a plan are in the order in which to start them."""

    kind: MoveKind
    server_id: str
    artifact: str
    memory_bytes: int
    base: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """A declaration that does not fit, with the numbers in bytes."""

    artifact: str
    reason: str
    needed_bytes: int
    free_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The next moves of a pool, and what cannot be placed."""

    moves: tuple[Move, ...]
    infeasible: tuple[Infeasible, ...]


class Planner(typing.Protocol):
    """Plans the moves of one pool; a plan is made in slices."""

    def plan(
        self, planner_input: PlannerInput, now: float
    ) -> abc.Iterator[Plan | None]:
        """Yield ``None`` after each slice of work, and last the plan."""

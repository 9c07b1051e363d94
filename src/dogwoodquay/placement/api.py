"""The abstract part of placement: the input of a plan, and its moves."""

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
    """Whether a move loads or unloads an artifact."""

    LOAD = 'load'
    UNLOAD = 'unload'


class Contents(typing.NamedTuple):
    """The artifacts in a server's memory, by artifact id.

    ``ready`` holds the artifacts that can serve now. ``possible`` maps each
    artifact that may be in memory to its size in bytes: ready, loading, or
    subject to an order whose outcome is unknown.
    ``relative_throughput`` is the server's throughput, one for a healthy
    server.
    """

    server_id: str
    failure_domain: str
    capacity_bytes: int
    leaving: bool
    ready: frozenset[str]
    possible: abc.Mapping[str, int]
    relative_throughput: float = 1.0


class Demand(typing.NamedTuple):
    """The request and token rates of an artifact, and its queue length."""

    artifact: str
    requests_per_second: float
    tokens_per_second: float
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerInput:
    """The state of a pool from which one plan is computed.

    ``loads_running`` counts the loads in progress; they count against the
    policy's ``parallel_loads``.
    """

    pool: str
    catalog: records_api.Catalog
    servers: tuple[Contents, ...]
    demand: tuple[Demand, ...]
    loads_running: int


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A load or unload of one artifact on one server.

    The moves of a plan are listed in the order in which to start them.
    """

    kind: MoveKind
    server_id: str
    artifact: str
    memory_bytes: int
    base: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Infeasible:
    """A declared artifact that cannot be placed as required.

    ``free_bytes`` is the largest free memory of any server that stays.
    """

    artifact: str
    reason: str
    needed_bytes: int
    free_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The next moves of a pool, and the artifacts that cannot be placed."""

    moves: tuple[Move, ...]
    infeasible: tuple[Infeasible, ...]


class Planner(typing.Protocol):
    """Plans the moves of one pool.

    A plan is computed in slices, so that the caller can run other work in
    between.
    """

    def plan(
        self, planner_input: PlannerInput, now: float
    ) -> abc.Iterator[Plan | None]:
        """Yield ``None`` after each slice of work, and finally the plan."""

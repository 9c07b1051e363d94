"""Plans loads for demand, where the gain exceeds the cost of the moves.

The loads add replicas of artifacts that are already served. These can be
evicted again, so they need not keep headroom for a move.
"""

from __future__ import annotations

import typing

from . import congestion
from . import headroom

if typing.TYPE_CHECKING:
    from collections import abc

    from . import desired
    from . import draft as drafts
    from . import state

__all__ = ['load_for_demand']

_MAX_NEW_REPLICAS: typing.Final = 12
# Servers that can be compared in the time of one evaluation.
_SERVERS_PER_EVALUATION: typing.Final = 8
_OVERLOAD: typing.Final = 1.0


class _Candidate(typing.NamedTuple):
    """A further replica, its net gain, and the moves that it requires."""

    net_gain: float
    server: state.ServerPlan
    artifact: str
    evictions: list[str]
    relocation: headroom.Relocation | None = None


def load_for_demand(draft: drafts.Draft) -> abc.Iterator[None]:
    """Add replicas of hot artifacts while the gain exceeds the cost."""
    for _ in range(_MAX_NEW_REPLICAS):
        if draft.load_budget <= 0:
            break
        best: _Candidate | None = None
        yield None
        for artifact in _hot_artifacts(draft):
            for server in _target_servers(draft, artifact):
                candidate = _evaluate(draft, artifact, server)
                if candidate is not None and (
                    best is None or candidate.net_gain > best.net_gain
                ):
                    best = candidate
                if draft.ends_slice():
                    yield
        if best is None:
            break
        _apply(draft, best)
    yield None
    if draft.load_budget > 0:
        yield from _report_overload(draft)


def _hot_artifacts(draft: drafts.Draft) -> list[str]:
    """Return the artifacts with the most load on overloaded servers."""
    target = draft.settings.target_load
    found: dict[str, float] = {}
    pool = draft.pool
    for artifact, item in pool.artifacts.items():
        if item.successor or draft.is_frozen(artifact):
            continue
        replicas = pool.replicas(artifact)
        for server, load in zip(replicas, pool.load_shares(artifact)):
            if server.load > target and load > 0.0:
                found[artifact] = found.get(artifact, 0.0) + load
    ranked = sorted(found, key=lambda name: (-found[name], name))
    return ranked[: draft.settings.max_hot_artifacts]


def _target_servers(
    draft: drafts.Draft, artifact: str
) -> list[state.ServerPlan]:
    """Return the least loaded servers without the artifact."""
    draft.count_evaluations(len(draft.pool.staying) // _SERVERS_PER_EVALUATION)
    servers = [s for s in draft.pool.staying if not s.may_contain(artifact)]
    servers.sort(key=lambda server: (server.load, server.server_id))
    return servers[: draft.settings.max_target_servers]


def _evaluate(
    draft: drafts.Draft, artifact: str, server: state.ServerPlan
) -> _Candidate | None:
    """Return a further replica on a server, if its net gain is positive."""
    settings = draft.settings
    pool = draft.pool
    gain = congestion.gain_of_adding(
        pool, artifact, server, settings.target_load
    )
    move_cost = draft.policy.move_weight * settings.move_cost
    weight = draft.policy.attainment_weight
    if weight * gain <= move_cost:
        return None
    item = _next_to_load(draft, artifact, server)
    memory = pool.artifacts[artifact].memory_bytes
    if item.artifact != artifact:
        memory += item.memory_bytes
    evictions = headroom.select_evictions(draft, server, memory)
    if evictions is None:
        found = headroom.find_relocation(draft, server, memory)
        if found is None:
            return None
        net_gain = weight * gain - move_cost * (1 + found.moves)
        if net_gain <= 0.0:
            return None
        return _Candidate(net_gain, server, artifact, [], found)
    loss = sum(
        congestion.loss_of_removing(pool, name, server, settings.target_load)
        for name in evictions
        if name in pool.artifacts
    )
    moves = 1 + len(evictions) + (item.artifact != artifact)
    net_gain = weight * (gain - loss) - move_cost * moves
    if net_gain <= 0.0:
        return None
    return _Candidate(net_gain, server, artifact, evictions)


def _next_to_load(
    draft: drafts.Draft, artifact: str, server: state.ServerPlan
) -> desired.Artifact:
    """Return the base of an adapter if it is missing, else the artifact."""
    item = draft.pool.artifacts[artifact]
    if not item.base or draft.has_base(server, artifact):
        return item
    return draft.pool.artifacts.get(item.base, item)


def _apply(draft: drafts.Draft, candidate: _Candidate) -> None:
    """Add a candidate's moves to the plan.

    If its memory is not free yet, a later plan contains the load; this plan
    already counts the replica.
    """
    server = candidate.server
    item = _next_to_load(draft, candidate.artifact, server)
    for name in candidate.evictions:
        if draft.is_spare(server, name):
            draft.unload(server, name, 'make_room')
    if candidate.relocation is not None:
        headroom.start_relocation(draft, candidate.relocation)
    fits = server.free_bytes >= item.memory_bytes
    if fits and not server.may_contain(item.artifact):
        draft.load(server, item.artifact, 'demand')
    if not server.may_contain(candidate.artifact):
        draft.pool.add(server, candidate.artifact)


def _report_overload(draft: drafts.Draft) -> abc.Iterator[None]:
    """Report artifacts whose servers all stay overloaded."""
    pool = draft.pool
    for artifact, need in pool.needs.items():
        replicas = pool.replicas(artifact)
        if not replicas or need <= 0.0:
            continue
        if min(server.load for server in replicas) > _OVERLOAD:
            memory = pool.artifacts[artifact].memory_bytes
            draft.report_infeasible(
                artifact, 'demand_exceeds_capacity', memory
            )
            if draft.ends_slice():
                yield

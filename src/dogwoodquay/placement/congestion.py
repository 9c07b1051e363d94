"""What congestion costs callers, and what a change of replicas gains."""

from __future__ import annotations

import typing

from . import state

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['cost', 'gain_of_adding', 'loss_of_removing']


def cost(load: float, target: float) -> float:
    """Return what callers lose at a server with a load.

    :param target: the load up to which they lose nothing.
    """
    over = load - target
    return over * over if over > 0.0 else 0.0


def gain_of_adding(
    pool: state.PoolState,
    artifact: str,
    server: state.ServerPlan,
    target: float,
) -> float:
    """Return by how much one more replica lowers the cost."""
    replicas = pool.replicas(artifact)
    placed = pool.placed(artifact)
    before = _total((item.load for item in replicas), target)
    before += cost(server.load, target)
    bare = [item.load - load for item, load in zip(replicas, placed)]
    bare.append(server.load)
    speeds = [item.speed for item in replicas]
    speeds.append(server.speed)
    shares = state.split(pool.needs[artifact], bare, speeds)
    after = _total((a + b for a, b in zip(bare, shares)), target)
    return before - after


def loss_of_removing(
    pool: state.PoolState,
    artifact: str,
    server: state.ServerPlan,
    target: float,
) -> float:
    """Return by how much one replica less raises the cost."""
    replicas = pool.replicas(artifact)
    if server not in replicas:
        return 0.0
    placed = pool.placed(artifact)
    before = _total((item.load for item in replicas), target)
    bare = {item: item.load - load for item, load in zip(replicas, placed)}
    alone = bare.pop(server)
    loads = list(bare.values())
    speeds = [item.speed for item in bare]
    shares = state.split(pool.needs[artifact], loads, speeds)
    after = _total((a + b for a, b in zip(loads, shares)), target)
    return after + cost(alone, target) - before


def _total(loads: abc.Iterable[float], target: float) -> float:
    return sum(cost(load, target) for load in loads)

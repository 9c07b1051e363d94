"""The cost of overload, and how adding or removing a replica changes it."""

from __future__ import annotations

import typing

from . import state

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['cost', 'gain_of_adding', 'loss_of_removing']


def cost(load: float, target: float) -> float:
    """Return the congestion cost of a server: the squared excess load.

    :param target: the load up to which the cost is zero.
    """
    excess = load - target
    return excess * excess if excess > 0.0 else 0.0


def gain_of_adding(
    pool: state.PoolState,
    artifact: str,
    server: state.ServerPlan,
    target: float,
) -> float:
    """Return how much a further replica on a server lowers the cost."""
    replicas = pool.replicas(artifact)
    load_shares = pool.load_shares(artifact)
    before = _total((item.load for item in replicas), target)
    before += cost(server.load, target)
    other_loads = [
        item.load - load for item, load in zip(replicas, load_shares)
    ]
    other_loads.append(server.load)
    throughputs = [item.relative_throughput for item in replicas]
    throughputs.append(server.relative_throughput)
    shares = state.spread_need(pool.needs[artifact], other_loads, throughputs)
    after = _total((a + b for a, b in zip(other_loads, shares)), target)
    return before - after


def loss_of_removing(
    pool: state.PoolState,
    artifact: str,
    server: state.ServerPlan,
    target: float,
) -> float:
    """Return how much removing a server's replica raises the cost."""
    replicas = pool.replicas(artifact)
    if server not in replicas:
        return 0.0
    load_shares = pool.load_shares(artifact)
    before = _total((item.load for item in replicas), target)
    other_loads = {
        item: item.load - load for item, load in zip(replicas, load_shares)
    }
    remaining_load = other_loads.pop(server)
    loads = list(other_loads.values())
    throughputs = [item.relative_throughput for item in other_loads]
    shares = state.spread_need(pool.needs[artifact], loads, throughputs)
    after = _total((a + b for a, b in zip(loads, shares)), target)
    return after + cost(remaining_load, target) - before


def _total(loads: abc.Iterable[float], target: float) -> float:
    return sum(cost(load, target) for load in loads)

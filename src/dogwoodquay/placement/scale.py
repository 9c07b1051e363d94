"""Loads that demand asks for, where they gain more than the move costs.

They add replicas to what is served already, so each can be given up again
and the room for a move is not lost.
"""

from __future__ import annotations

import typing

from . import congestion
from . import room

if typing.TYPE_CHECKING:
    from collections import abc

    from . import draft as drafts
    from . import state
    from . import wanted

__all__ = ['load_for_demand']

_MAX_STEPS: typing.Final = 12
_SERVERS_PER_EVALUATION: typing.Final = 8
_OVERLOAD: typing.Final = 1.0


class _Option(typing.NamedTuple):
    """One more replica, what it nets, and what has to go for it."""

    net: float
    server: state.ServerPlan
    artifact: str
    victims: list[str]
    relocation: room.Relocation | None = None


def load_for_demand(draft: drafts.Draft) -> abc.Iterator[None]:
    """Add replicas of hot artifacts while that is worth the moves."""
    for _ in range(_MAX_STEPS):
        if draft.budget <= 0:
            break
        best: _Option | None = None
        yield None
        for artifact in _hot(draft):
            for server in _cool(draft, artifact):
                option = _option(draft, artifact, server)
                if option is not None and (
                    best is None or option.net > best.net
                ):
                    best = option
                if draft.evaluated():
                    yield
        if best is None:
            break
        _take(draft, best)
    yield None
    if draft.budget > 0:
        yield from _report_overload(draft)


def _hot(draft: drafts.Draft) -> list[str]:
    """Return the artifacts with the most load on busy servers."""
    target = draft.settings.target_load
    found: dict[str, float] = {}
    pool = draft.pool
    for artifact, item in pool.artifacts.items():
        if item.successor or draft.is_frozen(artifact):
            continue
        replicas = pool.replicas(artifact)
        for server, load in zip(replicas, pool.placed(artifact)):
            if server.load > target and load > 0.0:
                found[artifact] = found.get(artifact, 0.0) + load
    ranked = sorted(found, key=lambda name: (-found[name], name))
    return ranked[: draft.settings.hot_artifacts]


def _cool(draft: drafts.Draft, artifact: str) -> list[state.ServerPlan]:
    """Return the least loaded servers without the artifact."""
    draft.spend(len(draft.pool.staying) // _SERVERS_PER_EVALUATION)
    servers = [s for s in draft.pool.staying if not s.holds(artifact)]
    servers.sort(key=lambda server: (server.load, server.server_id))
    return servers[: draft.settings.cool_servers]


def _option(
    draft: drafts.Draft, artifact: str, server: state.ServerPlan
) -> _Option | None:
    """Return the option if it nets anything."""
    settings = draft.settings
    pool = draft.pool
    gain = congestion.gain_of_adding(
        pool, artifact, server, settings.target_load
    )
    price = draft.policy.move_weight * settings.move_cost
    weight = draft.policy.attainment_weight
    if weight * gain <= price:
        return None
    item = _to_load(draft, artifact, server)
    memory = pool.artifacts[artifact].memory_bytes
    if item.artifact != artifact:
        memory += item.memory_bytes
    victims = room.make_room(draft, server, memory)
    if victims is None:
        found = room.relocation(draft, server, memory)
        if found is None:
            return None
        net = weight * gain - price * (1 + found.moves)
        if net <= 0.0:
            return None
        return _Option(net, server, artifact, [], found)
    loss = sum(
        congestion.loss_of_removing(pool, name, server, settings.target_load)
        for name in victims
        if name in pool.artifacts
    )
    moves = 1 + len(victims) + (item.artifact != artifact)
    net = weight * (gain - loss) - price * moves
    if net <= 0.0:
        return None
    return _Option(net, server, artifact, victims)


def _to_load(
    draft: drafts.Draft, artifact: str, server: state.ServerPlan
) -> wanted.Artifact:
    """Return what has to be loaded next: an adapter's base comes first."""
    item = draft.pool.artifacts[artifact]
    if not item.base or draft.fits_base(server, artifact):
        return item
    return draft.pool.artifacts.get(item.base, item)


def _take(draft: drafts.Draft, option: _Option) -> None:
    """Load now if there is room, else unload and load in a later plan."""
    server = option.server
    item = _to_load(draft, option.artifact, server)
    for name in option.victims:
        if draft.spare(server, name):
            draft.unload(server, name, 'make_room')
    if option.relocation is not None:
        room.relocate(draft, option.relocation)
    fits = server.free >= item.memory_bytes
    if fits and not server.holds(item.artifact):
        draft.load(server, item.artifact, 'demand')
    if not server.holds(option.artifact):
        draft.pool.add(server, option.artifact)


def _report_overload(draft: drafts.Draft) -> abc.Iterator[None]:
    """Name artifacts whose servers are all overloaded after all moves."""
    pool = draft.pool
    for artifact, need in pool.needs.items():
        replicas = pool.replicas(artifact)
        if not replicas or need <= 0.0:
            continue
        if min(server.load for server in replicas) > _OVERLOAD:
            memory = pool.artifacts[artifact].memory_bytes
            draft.report(artifact, 'demand_exceeds_capacity', memory)
            if draft.evaluated():
                yield

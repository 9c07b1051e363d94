"""Loads that keep every declared artifact reachable."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import draft as drafts
    from . import state
    from . import wanted

__all__ = ['load_missing', 'load_minimum', 'make_room']

_SAME_DOMAIN_PENALTY: typing.Final = 0.5
_OLD_VERSION_PENALTY: typing.Final = 10.0
_FULLNESS_WEIGHT: typing.Final = 0.5


def load_missing(draft: drafts.Draft) -> abc.Iterator[None]:
    """Load what no staying server has or gets, the most missed first."""
    pool = draft.pool
    missing = [
        item
        for item in pool.artifacts.values()
        if not item.successor and not pool.replicas(item.artifact)
    ]
    missing.sort(key=lambda item: _urgency(draft, item))
    for item in missing:
        if draft.budget <= 0:
            return
        _load_first(draft, item)
        if draft.evaluated(len(pool.staying)):
            yield


def load_minimum(draft: drafts.Draft) -> abc.Iterator[None]:
    """Load replicas up to the declared minimum, while room is kept."""
    pool = draft.pool
    for item in pool.artifacts.values():
        short = item.min_replicas - len(pool.replicas(item.artifact))
        if short <= 0 or item.successor or draft.is_frozen(item.artifact):
            continue
        if draft.budget <= 0:
            return
        server = best_server(draft, item)
        if server is not None and draft.keeps_room(server, item.memory_bytes):
            draft.load(server, item.artifact, 'min_replicas')
        elif pool.replicas(item.artifact):
            draft.report(item.artifact, 'min_replicas', item.memory_bytes)
        if draft.evaluated(len(pool.staying)):
            yield


def best_server(
    draft: drafts.Draft, item: wanted.Artifact
) -> state.ServerPlan | None:
    """Return the best server with free memory for one more replica."""
    candidates = [
        server
        for server in draft.pool.staying
        if server.free >= item.memory_bytes
        and not server.holds(item.artifact)
        and draft.fits_base(server, item.artifact)
    ]
    if not candidates:
        return None
    domains = {s.domain for s in draft.pool.replicas(item.artifact)}
    old = draft.pool.predecessor(item.artifact)

    def rank(server: state.ServerPlan) -> tuple[float, str]:
        capacity = max(1, server.contents.capacity_bytes)
        score = server.load + _FULLNESS_WEIGHT * (1 - server.free / capacity)
        if server.domain in domains:
            score += _SAME_DOMAIN_PENALTY
        if old and server.holds(old):
            score += _OLD_VERSION_PENALTY
        return (score, server.server_id)

    return min(candidates, key=rank)


def make_room(
    draft: drafts.Draft, server: state.ServerPlan, memory: int
) -> list[str] | None:
    """Return spare artifacts whose unload makes room, least needed first.

    :return: nothing to unload when unloads under way suffice, and ``None``
        when no unload would do.
    """
    missing = memory - server.free - draft.freeing(server)
    if missing <= 0:
        return []
    needs = draft.pool.needs
    groups = [draft.spare_group(server, name) for name in server.ready]
    groups = [group for group in groups if group]
    groups.sort(key=lambda group: (_need(group, needs), group[-1]))
    chosen: list[str] = []
    for group in groups:
        added = [name for name in group if name not in chosen]
        chosen += added
        missing -= sum(server.contents.possible[name] for name in added)
        if missing <= 0:
            return chosen
    return None


def _need(group: list[str], needs: dict[str, float]) -> float:
    return sum(needs.get(name, 0.0) for name in group)


def _urgency(
    draft: drafts.Draft, item: wanted.Artifact
) -> tuple[bool, bool, float, int, str]:
    """Order by reachability, then by lost demand; bases before adapters."""
    served = draft.pool.ready_anywhere(item.artifact)
    need = draft.pool.needs[item.artifact]
    return (served, bool(item.base), -need, -item.memory_bytes, item.artifact)


def _load_first(draft: drafts.Draft, item: wanted.Artifact) -> None:
    """Load the first replica, or make room for it, or report it."""
    if item.base and not draft.pool.ready(item.base):
        return
    reason = 'unreachable'
    if draft.pool.ready_anywhere(item.artifact):
        reason = 'server_leaving'
    server = best_server(draft, item)
    if server is not None:
        draft.load(server, item.artifact, reason)
        return
    if _evict_for(draft, item) or _relocate_for(draft, item):
        return
    if item.base and _load_base(draft, item):
        return
    draft.report(item.artifact, reason, item.memory_bytes)


def _evict_for(draft: drafts.Draft, item: wanted.Artifact) -> bool:
    """Unload spare replicas where that makes room most cheaply."""
    best: tuple[int, str] | None = None
    chosen: tuple[state.ServerPlan, list[str]] | None = None
    for server in draft.pool.staying:
        if server.holds(item.artifact):
            continue
        if not draft.fits_base(server, item.artifact):
            continue
        victims = make_room(draft, server, item.memory_bytes)
        if victims is None:
            continue
        rank = (len(victims), server.server_id)
        if best is None or rank < best:
            best, chosen = rank, (server, victims)
    if chosen is None:
        return False
    server, victims = chosen
    for name in victims:
        if draft.spare(server, name):
            draft.unload(server, name, 'make_room')
    return True


def _relocate_for(draft: drafts.Draft, item: wanted.Artifact) -> bool:
    """Load elsewhere what then can go from a server to make room."""
    for server in sorted(draft.pool.staying, key=lambda s: -s.free):
        if not draft.fits_base(server, item.artifact):
            continue
        short = item.memory_bytes - server.free - draft.freeing(server)
        for name in sorted(server.ready):
            if _relocatable(draft, server, name, short):
                return True
    return False


def _relocatable(
    draft: drafts.Draft, server: state.ServerPlan, name: str, short: int
) -> bool:
    """Load one artifact elsewhere if its going would make the room."""
    moved = draft.pool.artifacts.get(name)
    if moved is None or server.contents.possible[name] < short:
        return False
    if draft.is_frozen(name) or draft.sitting(server, name):
        return False
    replicas = draft.pool.replicas(name)
    if any(name in other.coming for other in replicas):
        return True
    if len(replicas) > 1:
        return False
    target = best_server(draft, moved)
    if target is None or target is server:
        return False
    draft.load(target, name, 'make_room')
    return True


def _load_base(draft: drafts.Draft, item: wanted.Artifact) -> bool:
    """Load a further replica of an adapter's base where both fit."""
    base = draft.pool.artifacts.get(item.base)
    if base is None:
        return False
    both = base._replace(memory_bytes=base.memory_bytes + item.memory_bytes)
    server = best_server(draft, both)
    if server is None:
        return False
    draft.load(server, item.base, 'adapter_base')
    return True

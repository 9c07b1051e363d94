"""Loads that keep every declared artifact reachable."""

from __future__ import annotations

import typing

from . import room

if typing.TYPE_CHECKING:
    from collections import abc

    from . import draft as drafts
    from . import state
    from . import wanted

__all__ = ['load_minimum', 'load_missing']


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
        server = room.best_server(draft, item)
        if server is not None and draft.keeps_room(server, item.memory_bytes):
            draft.load(server, item.artifact, 'min_replicas')
        elif pool.replicas(item.artifact):
            draft.report(item.artifact, 'min_replicas', item.memory_bytes)
        if draft.evaluated(len(pool.staying)):
            yield


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
    server = room.best_server(draft, item)
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
        victims = room.make_room(draft, server, item.memory_bytes)
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
    best: room.Relocation | None = None
    for server in draft.pool.staying:
        if server.holds(item.artifact):
            continue
        if not draft.fits_base(server, item.artifact):
            continue
        found = room.relocation(draft, server, item.memory_bytes)
        if found is not None and (best is None or found.moves < best.moves):
            best = found
    if best is None:
        return False
    room.relocate(draft, best)
    return True


def _load_base(draft: drafts.Draft, item: wanted.Artifact) -> bool:
    """Load a further replica of an adapter's base where both fit."""
    base = draft.pool.artifacts.get(item.base)
    if base is None:
        return False
    both = base._replace(memory_bytes=base.memory_bytes + item.memory_bytes)
    server = room.best_server(draft, both)
    if server is None:
        return False
    draft.load(server, item.base, 'adapter_base')
    return True

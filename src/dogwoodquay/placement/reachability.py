"""Plans the loads that keep every declared artifact reachable."""

from __future__ import annotations

import typing

from . import headroom

if typing.TYPE_CHECKING:
    from collections import abc

    from . import desired
    from . import draft as drafts
    from . import state

__all__ = ['load_minimum', 'load_missing']


def load_missing(draft: drafts.Draft) -> abc.Iterator[None]:
    """Load artifacts without a replica on a staying server, by urgency."""
    pool = draft.pool
    missing = [
        item
        for item in pool.artifacts.values()
        if not item.successor and not pool.replicas(item.artifact)
    ]
    missing.sort(key=lambda item: _urgency(draft, item))
    for item in missing:
        if draft.load_budget <= 0:
            return
        _load_first_replica(draft, item)
        if draft.ends_slice(len(pool.staying)):
            yield


def load_minimum(draft: drafts.Draft) -> abc.Iterator[None]:
    """Load replicas up to the declared minimum, as far as they fit.

    Headroom for one move is kept. Each plan adds at most one replica of an
    artifact.
    """
    pool = draft.pool
    for item in pool.artifacts.values():
        missing_replicas = item.min_replicas - len(
            pool.replicas(item.artifact)
        )
        if (
            missing_replicas <= 0
            or item.successor
            or draft.is_frozen(item.artifact)
        ):
            continue
        if draft.load_budget <= 0:
            return
        server = headroom.best_server(draft, item)
        if server is not None and draft.keeps_headroom(
            server, item.memory_bytes
        ):
            draft.load(server, item.artifact, 'min_replicas')
        elif pool.replicas(item.artifact):
            draft.report_infeasible(
                item.artifact, 'min_replicas', item.memory_bytes
            )
        if draft.ends_slice(len(pool.staying)):
            yield


def _urgency(
    draft: drafts.Draft, item: desired.Artifact
) -> tuple[bool, bool, float, int, str]:
    """Return the sort key: unreachable first, bases before adapters.

    Then come those with the highest demand and the largest ones.
    """
    served = draft.pool.ready_anywhere(item.artifact)
    need = draft.pool.needs[item.artifact]
    return (served, bool(item.base), -need, -item.memory_bytes, item.artifact)


def _load_first_replica(draft: drafts.Draft, item: desired.Artifact) -> None:
    """Load a first replica, free memory for it, or report it infeasible."""
    if item.base and not draft.pool.ready(item.base):
        return
    reason = 'unreachable'
    if draft.pool.ready_anywhere(item.artifact):
        reason = 'server_leaving'
    server = headroom.best_server(draft, item)
    if server is not None:
        draft.load(server, item.artifact, reason)
        return
    if _evict_for(draft, item) or _relocate_for(draft, item):
        return
    if item.base and _load_base(draft, item):
        return
    draft.report_infeasible(item.artifact, reason, item.memory_bytes)


def _evict_for(draft: drafts.Draft, item: desired.Artifact) -> bool:
    """Evict spare replicas on the server where the fewest have to go."""
    best: tuple[int, str] | None = None
    chosen: tuple[state.ServerPlan, list[str]] | None = None
    for server in draft.pool.staying:
        if server.may_contain(item.artifact):
            continue
        if not draft.has_base(server, item.artifact):
            continue
        evictions = headroom.select_evictions(draft, server, item.memory_bytes)
        if evictions is None:
            continue
        rank = (len(evictions), server.server_id)
        if best is None or rank < best:
            best, chosen = rank, (server, evictions)
    if chosen is None:
        return False
    server, evictions = chosen
    for name in evictions:
        if draft.is_spare(server, name):
            draft.unload(server, name, 'make_room')
    return True


def _relocate_for(draft: drafts.Draft, item: desired.Artifact) -> bool:
    """Start the relocation that frees enough memory in the fewest moves."""
    best: headroom.Relocation | None = None
    for server in draft.pool.staying:
        if server.may_contain(item.artifact):
            continue
        if not draft.has_base(server, item.artifact):
            continue
        found = headroom.find_relocation(draft, server, item.memory_bytes)
        if found is not None and (best is None or found.moves < best.moves):
            best = found
    if best is None:
        return False
    headroom.start_relocation(draft, best)
    return True


def _load_base(draft: drafts.Draft, item: desired.Artifact) -> bool:
    """Load another replica of an adapter's base where both fit."""
    base = draft.pool.artifacts.get(item.base)
    if base is None:
        return False
    both = base._replace(memory_bytes=base.memory_bytes + item.memory_bytes)
    server = headroom.best_server(draft, both)
    if server is None:
        return False
    draft.load(server, item.base, 'adapter_base')
    return True

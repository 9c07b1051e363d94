"""Unloads of what is no longer declared, replaced, or on leaving servers."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import draft as drafts
    from . import state
    from . import wanted

__all__ = ['unload_retired']


def unload_retired(draft: drafts.Draft) -> abc.Iterator[None]:
    """Unload what nobody needs any more, adapters before their base."""
    for server in draft.pool.servers:
        names = sorted(
            server.ready, key=lambda name: (_is_model(draft, name), name)
        )
        for name in names:
            reason = _reason(draft, server, name)
            if reason and draft.may_unload(server, name):
                draft.unload(server, name, reason)
        if draft.evaluated(len(names)):
            yield


def _is_model(draft: drafts.Draft, name: str) -> bool:
    item = draft.pool.artifacts.get(name)
    return item is not None and not item.base


def _reason(draft: drafts.Draft, server: state.ServerPlan, name: str) -> str:
    """Return why a replica is to go, or nothing."""
    item = draft.pool.artifacts.get(name)
    if item is None:
        return 'not_declared'
    if item.successor:
        return 'replaced' if _succeeded(draft, item) else ''
    if server.leaving:
        return 'server_leaving'
    if item.base and not draft.fits_base(server, name):
        return 'base_replaced'
    return ''


def _succeeded(draft: drafts.Draft, item: wanted.Artifact) -> bool:
    """Return whether the next version can take another replica's load."""
    pool = draft.pool
    ready = pool.ready(item.successor)
    if not ready:
        return False
    load = max(server.load for server in ready)
    if load <= 1.0 and len(ready) >= item.min_replicas:
        return True
    memory = pool.artifacts[item.successor].memory_bytes
    return all(
        server.free < memory
        for server in pool.staying
        if not server.holds(item.successor)
    )

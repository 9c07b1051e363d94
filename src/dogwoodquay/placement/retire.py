"""Plans the unloads of undeclared or replaced artifacts.

Replicas on leaving servers are unloaded too.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import desired
    from . import draft as drafts
    from . import state

__all__ = ['unload_retired']


def unload_retired(draft: drafts.Draft) -> abc.Iterator[None]:
    """Unload retired replicas, adapters before their base."""
    for server in draft.pool.servers:
        names = sorted(
            server.ready, key=lambda name: (_is_model(draft, name), name)
        )
        for name in names:
            reason = _unload_reason(draft, server, name)
            if reason and draft.can_unload(server, name):
                draft.unload(server, name, reason)
        if draft.ends_slice(len(names)):
            yield


def _is_model(draft: drafts.Draft, name: str) -> bool:
    item = draft.pool.artifacts.get(name)
    return item is not None and not item.base


def _unload_reason(
    draft: drafts.Draft, server: state.ServerPlan, name: str
) -> str:
    """Return the reason to unload a replica, or an empty string."""
    item = draft.pool.artifacts.get(name)
    if item is None:
        return 'not_declared'
    if item.successor:
        return 'replaced' if _can_be_replaced(draft, item) else ''
    if server.leaving:
        return 'server_leaving'
    if item.base and not draft.has_base(server, name):
        return 'base_replaced'
    return ''


def _can_be_replaced(draft: drafts.Draft, item: desired.Artifact) -> bool:
    """Return whether a successor's replicas can take over the load.

    They can if there are enough of them and none is overloaded. They also
    have to if no server has free memory for another one.
    """
    pool = draft.pool
    ready = pool.ready(item.successor)
    if not ready:
        return False
    load = max(server.load for server in ready)
    if load <= 1.0 and len(ready) >= item.min_replicas:
        return True
    memory = pool.artifacts[item.successor].memory_bytes
    return all(
        server.free_bytes < memory
        for server in pool.staying
        if not server.may_contain(item.successor)
    )

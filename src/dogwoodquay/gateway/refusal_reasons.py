"""Why no server was assigned to a request."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from ..fleet import choice
    from . import limit_waits
    from . import outlook as server_outlook

__all__ = ['reason']


def reason(
    need: choice.Need,
    outlook: server_outlook.ServerOutlook,
    limits: limit_waits.LimitWaits,
) -> api.RefusalReason:
    """Return why there is no server for a request now."""
    candidates = outlook.permitted(need)
    if not candidates and need.version is not None:
        return api.RefusalReason.VERSION_GONE
    if not candidates:
        return api.RefusalReason.NO_SERVER
    if not any(
        item.has_loaded(need.model, need.adapter) for item in candidates
    ):
        return api.RefusalReason.MODEL_ABSENT
    if outlook.pause_end(need) is not None:
        return api.RefusalReason.SERVERS_PAUSED
    if limits.all_limited(need):
        return api.RefusalReason.RATE_LIMITED
    return api.RefusalReason.OVERLOADED

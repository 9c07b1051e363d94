"""What the outcome of an attempt means for its request and its server."""

from __future__ import annotations

import typing

from ..observe import logs
from . import outcomes
from ..retry import api as retry_api

if typing.TYPE_CHECKING:
    from . import api
    from ..fleet import server as servers

__all__ = ['SERVER_ERROR', 'failure_of', 'update_health']

_LOG: typing.Final = logs.ComponentLog('request')

SERVER_ERROR: typing.Final = 500


def failure_of(
    call: api.Call,
    delivered: bool,
    outcome: outcomes.Outcome,
    attempts: int,
) -> retry_api.Failure | None:
    """Return the failure of an attempt, ``None`` if it was answered.

    :param delivered: whether the caller has received a part of the answer.
    """
    arrived = True
    match outcome:
        case outcomes.NotRun(reason, arrived):
            state = retry_api.RunState.NOT_RUN
        case outcomes.Broken(reason):
            state = retry_api.RunState.MAY_HAVE_RUN
        case outcomes.Whole(status) if delivered or (
            status >= SERVER_ERROR and call.route.repeatable
        ):
            reason = f'status_{status}'
            state = retry_api.RunState.FAILED
        case _:
            return None
    return retry_api.Failure(
        reason=reason,
        run_state=state,
        attempts=attempts,
        idempotent=call.route.repeatable,
        delivered=delivered,
        resumable=call.route.resumable,
        deadline=call.deadline,
        arrived=arrived,
    )


def update_health(
    call: api.Call,
    server: servers.Server,
    outcome: outcomes.Outcome,
    now: float,
) -> None:
    """Update a server's health by the outcome of an attempt."""
    ejected = False
    match outcome:
        case outcomes.NotRun(_, arrived, absent):
            if absent:
                server.mark_not_loaded(call.terms.model, call.terms.adapter)
            if not arrived:
                ejected = server.failed(now, unreachable=True)
        case outcomes.Broken():
            ejected = server.failed(now)
        case outcomes.Whole(status):
            # A server that asks for a pause does not fail.
            if status >= SERVER_ERROR and not server.paused(now):
                ejected = server.failed(now)
        case outcomes.Streamed():
            server.succeeded(now - call.arrived_at)
    if ejected:
        _LOG.write(
            'server_ejected',
            request=call.request_id,
            server=server.entry.server_id,
            failing=round(server.failure_rate, 2),
        )

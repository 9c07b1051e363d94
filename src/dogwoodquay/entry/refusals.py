"""Sends error responses for requests that are not dispatched."""

from __future__ import annotations

import typing

from . import asgi
from ..dispatch import api
from ..dispatch import reasons
from . import problems

if typing.TYPE_CHECKING:
    from .. import clock as clock_module
    from ..dispatch import metrics as request_metrics

__all__ = ['RefusalSender']

# Refusals for these reasons do not show whether an earlier request with the
# same idempotency key ran, so their outcome is unknown.
_UNKNOWN_WITH_KEY: typing.Final = frozenset(
    {
        reasons.Reason.BODY_CUT,
        reasons.Reason.BODY_TIMEOUT,
        reasons.Reason.DEADLINE_PASSED,
        reasons.Reason.DRAINING,
        reasons.Reason.NOT_READY,
        reasons.Reason.OVERLOADED,
    }
)


class RefusalSender:
    """Sends and counts refusals that did not come from the dispatcher."""

    def __init__(
        self,
        metrics: request_metrics.RequestMetrics,
        clock: clock_module.Clock,
    ) -> None:
        self._metrics = metrics
        self._clock = clock

    async def send(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        refusal: api.Refusal,
    ) -> None:
        """Send a refusal as a complete error response."""
        if refusal.reason in _UNKNOWN_WITH_KEY and request.header(
            b'idempotency-key'
        ):
            refusal = api.Refusal(
                refusal.reason,
                reasons.Outcome.UNKNOWN,
                refusal.detail,
                refusal.retry_at,
            )
        self._metrics.refused(refusal.reason, refusal.outcome)
        await asgi.respond(
            request,
            responder,
            reasons.REASONS[refusal.reason].status,
            problems.headers(refusal, self._clock.now()),
            problems.problem(refusal, responder.request_id),
        )

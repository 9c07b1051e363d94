"""Answers a request with why it is not served."""

from __future__ import annotations

import typing

from . import asgi
from ..dispatch import api
from ..dispatch import reasons
from . import problems

if typing.TYPE_CHECKING:
    from .. import clock as clock_module
    from ..dispatch import metrics as request_metrics

__all__ = ['Refuser']

# Reasons that say nothing of an earlier request under the same key.
_TRANSIENT: typing.Final = frozenset(
    {
        reasons.Reason.BODY_CUT,
        reasons.Reason.BODY_TIMEOUT,
        reasons.Reason.DEADLINE_PASSED,
        reasons.Reason.NOT_READY,
        reasons.Reason.OVERLOADED,
    }
)


class Refuser:
    """Sends errors that the dispatcher has not counted, and counts them."""

    def __init__(
        self,
        metrics: request_metrics.RequestMetrics,
        clock: clock_module.Clock,
    ) -> None:
        self._metrics = metrics
        self._clock = clock

    async def refuse(
        self,
        request: asgi.Request,
        responder: asgi.Responder,
        refused: api.Refusal,
    ) -> None:
        """Send an error as the whole answer."""
        if refused.reason in _TRANSIENT and request.header(b'idempotency-key'):
            refused = api.Refusal(
                refused.reason,
                reasons.Outcome.UNKNOWN,
                refused.detail,
                refused.retry_at,
            )
        self._metrics.refused(refused.reason, refused.outcome)
        await asgi.send_whole(
            request,
            responder,
            reasons.REASONS[refused.reason].status,
            problems.headers(refused, self._clock.now()),
            problems.problem(refused, responder.request_id),
        )

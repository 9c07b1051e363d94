"""Background work at the end of a request."""

from __future__ import annotations

import functools
import typing

from . import api
from . import reasons

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clock_module
    from . import background as background_module
    from ..external import api as external_api
    from ..idempotency import api as idempotency_api
    from . import in_flight
    from ..routing import api as routing_api

__all__ = ['Cleanup']

SETTLE_TIMEOUT_SECONDS: typing.Final = 60.0
CANCEL_TIMEOUT_SECONDS: typing.Final = 1.0


class Cleanup:
    """Records the ends of claims and cancels unfinished attempts."""

    def __init__(
        self,
        background: background_module.Background,
        claims: idempotency_api.Claims,
        engine: external_api.Engine,
        clock: clock_module.Clock,
    ) -> None:
        self._background = background
        self._claims = claims
        self._engine = engine
        self._clock = clock

    def settle(
        self,
        request: in_flight.InFlightRequest,
        claim: idempotency_api.Claim,
        answer: idempotency_api.StoredAnswer | None,
    ) -> None:
        """Record the end of a request with an idempotency key.

        The claim is withdrawn if the request certainly did not run.

        :param answer: the answer to store, or ``None`` if there was none.
        """
        deadline = self._clock.now() + SETTLE_TIMEOUT_SECONDS
        not_run = request.outcome is reasons.Outcome.NOT_RUN
        if answer is None and not_run:
            job = functools.partial(self._withdraw, claim, deadline)
        else:
            job = functools.partial(
                self._claims.settle, claim, answer, deadline
            )
        self._background.add(job)

    def cancel(
        self,
        call: api.Call,
        unfinished: abc.Mapping[str, routing_api.Replica],
    ) -> None:
        """Cancel the unfinished attempts of a request at its engines."""
        if call.kind is not api.UpstreamKind.ENGINE:
            return
        deadline = self._clock.now() + CANCEL_TIMEOUT_SECONDS
        for attempt_id, replica in unfinished.items():
            self._background.add(
                functools.partial(
                    self._cancel_attempt, attempt_id, replica, deadline
                )
            )

    async def _withdraw(
        self, claim: idempotency_api.Claim, deadline: float
    ) -> None:
        await self._claims.withdraw(claim, deadline)

    async def _cancel_attempt(
        self, attempt_id: str, replica: routing_api.Replica, deadline: float
    ) -> None:
        await self._engine.cancel(
            replica.address, replica.port, attempt_id, deadline
        )

"""Refuses requests that no server answers, with the time to retry."""

from __future__ import annotations

import typing

from . import api
from . import outcomes
from . import results
from . import trace as traces

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from . import exchange as exchanges
    from ..retry import api as retry_api
    from . import scheduler as schedulers

__all__ = ['Refusals']

_BAD_GATEWAY: typing.Final = 502
_UNAVAILABLE: typing.Final = 503
_GATEWAY_TIMEOUT: typing.Final = 504

# Some running requests of a full server end within this time.
RETRY_AFTER_SECONDS: typing.Final = 0.4
# The approximate time of a load from a server's own disk.
ABSENT_RETRY_AFTER_SECONDS: typing.Final = 1.0
# A request under which servers crash is refused for minutes.
QUARANTINE_RETRY_AFTER_SECONDS: typing.Final = 60.0
# A verdict that is probed has a result within about this time.
PROBE_RETRY_AFTER_SECONDS: typing.Final = 3.0
# Callers that wait for the same load are spread over this time.
RETURN_JITTER_SECONDS: typing.Final = 1.0


class Refusals:
    """Ends requests without a server's complete answer."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._rng = rng

    def end_unplaced(
        self,
        call: api.Call,
        version: str | None,
        relay: exchanges.Relay,
        may_have_run: bool,
    ) -> results.Result:
        """Return the result of a request without an assigned server."""
        reason = self._scheduler.refusal_reason(call, version)
        relay.trace.cause = (
            traces.Cause.STOPPING
            if reason is api.RefusalReason.STOPPING
            else traces.Cause.NO_SERVER
        )
        relay.trace.placement = (
            reason.value
            if self._scheduler.is_declared(call)
            else api.RefusalReason.MODEL_UNDECLARED.value
        )
        if relay.started:
            return results.Cut('no_server')
        if may_have_run:
            return api.Refusal(
                api.RefusalReason.MAY_HAVE_RUN, _BAD_GATEWAY, 0.0, reason.value
            )
        if reason is api.RefusalReason.MODEL_ABSENT:
            return self._refuse_absent_model(call)
        if reason is api.RefusalReason.VERSION_GONE:
            return self.refuse_later(reason)
        if reason is api.RefusalReason.RATE_LIMITED:
            return self._refuse_limited(call, version)
        if reason is api.RefusalReason.SERVERS_PAUSED:
            return self._refuse_paused(call, version)
        return self._refuse_not_run(call, reason)

    def end_quarantined(
        self, relay: exchanges.Relay, may_have_run: bool, clears: bool
    ) -> results.Result:
        """End a request under which, or under whose prompt, servers crash.

        :param clears: whether it may soon be found to be sound.
        """
        reason = api.RefusalReason.PROMPT_QUARANTINED
        if relay.started:
            return results.Cut(reason.value)
        if may_have_run:
            return api.Refusal(
                api.RefusalReason.MAY_HAVE_RUN, _BAD_GATEWAY, 0.0, reason.value
            )
        pause = self._with_jitter(
            PROBE_RETRY_AFTER_SECONDS
            if clears
            else QUARANTINE_RETRY_AFTER_SECONDS
        )
        return api.Refusal(reason, _UNAVAILABLE, pause)

    def end_denied(
        self, refusal: api.Refusal, may_have_run: bool
    ) -> results.Result:
        """End a request whose key has been revoked, or moved, meanwhile.

        A stream that has begun goes on instead: it was asked for with a valid
        key, and a configuration cuts off no request in flight.
        """
        if may_have_run:
            return api.Refusal(
                api.RefusalReason.MAY_HAVE_RUN,
                _BAD_GATEWAY,
                0.0,
                refusal.reason.value,
            )
        return refusal

    def end_stopping(self, relay: exchanges.Relay) -> results.Result:
        """Refuse a request that has not run and may not end before a stop."""
        relay.trace.cause = traces.Cause.STOPPING
        return api.Refusal(
            api.RefusalReason.STOPPING,
            _UNAVAILABLE,
            api.OTHER_INSTANCE_RETRY_SECONDS,
        )

    def refuse_later(self, reason: api.RefusalReason) -> api.Refusal:
        """Refuse a request that no instance can take now."""
        pause = self._with_jitter(ABSENT_RETRY_AFTER_SECONDS)
        return api.Refusal(reason, _UNAVAILABLE, pause)

    def _refuse_limited(
        self, call: api.Call, version: str | None
    ) -> api.Refusal:
        """Refuse a request that no server's limit leaves room for."""
        reason = api.RefusalReason.RATE_LIMITED
        pause = self._scheduler.seconds_until_permit(call, version)
        if pause is None:
            return self._refuse_not_run(call, reason)
        return api.Refusal(reason, _UNAVAILABLE, self._with_jitter(pause))

    def _refuse_paused(
        self, call: api.Call, version: str | None
    ) -> api.Refusal:
        """Refuse a request whose servers all want none for a while."""
        pause = self._scheduler.seconds_until_pause_end(call, version)
        pause += self._rng.uniform(0.0, RETURN_JITTER_SECONDS)
        return api.Refusal(
            api.RefusalReason.SERVERS_PAUSED, _UNAVAILABLE, pause
        )

    def _refuse_absent_model(self, call: api.Call) -> api.Refusal:
        """Refuse a request whose model no server has loaded yet."""
        seconds_until_ready = self._scheduler.seconds_until_ready(call)
        if seconds_until_ready is None:
            pause = self._with_jitter(ABSENT_RETRY_AFTER_SECONDS)
        else:
            pause = seconds_until_ready + self._rng.uniform(
                0.0, RETURN_JITTER_SECONDS
            )
        self._scheduler.defer(call, pause)
        reason = api.RefusalReason.MODEL_ABSENT
        return api.Refusal(reason, _UNAVAILABLE, pause)

    def end_after_failure(
        self,
        call: api.Call,
        relay: exchanges.Relay,
        outcome: outcomes.Outcome,
        verdict: retry_api.GiveUp,
        may_have_run: bool,
    ) -> results.Result:
        """Return the result of a request that is not sent again."""
        if relay.started:
            return results.Cut(verdict.reason)
        if isinstance(outcome, outcomes.Whole):
            return outcome
        if not may_have_run:
            return self._refuse_not_run(
                call, api.RefusalReason.SERVERS_REFUSED, verdict.reason
            )
        past_deadline = self._clock.now() >= call.deadline
        return api.Refusal(
            api.RefusalReason.MAY_HAVE_RUN,
            _GATEWAY_TIMEOUT if past_deadline else _BAD_GATEWAY,
            0.0,
            verdict.reason,
        )

    def _refuse_not_run(
        self, call: api.Call, reason: api.RefusalReason, detail: str = ''
    ) -> api.Refusal:
        """Refuse a request that did not run, with the time to retry."""
        pause = RETRY_AFTER_SECONDS
        if reason is api.RefusalReason.STOPPING:
            pause = api.OTHER_INSTANCE_RETRY_SECONDS
        else:
            planned = self._scheduler.overload.retry_after(call)
            if planned is not None:
                return api.Refusal(reason, _UNAVAILABLE, planned, detail)
        return api.Refusal(
            reason, _UNAVAILABLE, self._with_jitter(pause), detail
        )

    def _with_jitter(self, seconds: float) -> float:
        """Vary a delay, so that callers do not retry together."""
        return seconds * self._rng.uniform(0.75, 1.25)

"""Forwards a request to servers in one or several attempts."""

from __future__ import annotations

import typing

import anyio

from . import api
from . import failures
from ..observe import logs
from . import outcomes
from ..retry import api as retry_api
from ..retry import windowed
from . import trace as traces

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from . import exchange as exchanges
    from ..fleet import server as servers
    from . import metrics as gateway_metrics
    from ..retry import window
    from ..routes import api as routes_api
    from . import scheduler as schedulers

__all__ = ['Cut', 'Forwarder', 'abandon_seconds']

_LOG: typing.Final = logs.ComponentLog('request')

_BAD_GATEWAY: typing.Final = 502
_UNAVAILABLE: typing.Final = 503
_GATEWAY_TIMEOUT: typing.Final = 504

# A caller abandons its stream after a gap of the longest of these: a least
# time, and multiples of the objectives for the first byte and for gaps.
MIN_ABANDON_SECONDS: typing.Final = 2.0
ABANDON_OBJECTIVES: typing.Final = 4
ABANDON_GAPS: typing.Final = 8
# The share of the abandon time that a stream may wait for a server.
STREAM_WAIT_SHARE: typing.Final = 0.8
# The share of a plain request's time that it may wait for a server.
PLAIN_WAIT_SHARE: typing.Final = 0.5
# A stream's attempt fails after a pause of so many gap objectives.
GAP_OBJECTIVES: typing.Final = 5.0
MIN_GAP_SECONDS: typing.Final = 0.7
# The share of the time left in which a server has to start its answer, where
# another attempt is allowed.
HEAD_SHARE: typing.Final = 0.5
# The share of the abandon time after which a stream is tried elsewhere.
FIRST_EVENT_SHARE: typing.Final = 0.75
# Above this share of its capacity a server counts as slow, not as failed.
BUSY_SHARE: typing.Final = 0.5
# Some running requests of a full server end within this time.
RETRY_AFTER_SECONDS: typing.Final = 0.4
# The approximate time of a load from a server's own disk.
ABSENT_RETRY_AFTER_SECONDS: typing.Final = 1.0
# Callers that wait for the same load are spread over this time.
RETURN_JITTER_SECONDS: typing.Final = 1.0
# With less time left, a request is not sent any more.
MIN_WORK_SECONDS: typing.Final = 0.02


class Cut(typing.NamedTuple):
    """A stream that has started and cannot be completed."""

    reason: str


Result = outcomes.Whole | outcomes.Streamed | api.Refusal | Cut


class _AnswerStart:
    """Reports the start of an answer to the scheduler, once."""

    def __init__(
        self, scheduler: schedulers.Scheduler, server: servers.Server
    ) -> None:
        self._scheduler = scheduler
        self._server = server
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the answer has started."""
        return self._started

    def on_part(self) -> None:
        """Handle the arrival of a part of the answer."""
        if not self._started:
            self._started = True
            self._scheduler.on_answer_started(self._server)


class Forwarder:
    """Forwards requests until they are answered or refused."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        exchange: exchanges.Exchange,
        budget: window.RetryWindow,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._scheduler = scheduler
        self._exchange = exchange
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def run(self, call: api.Call, relay: exchanges.Relay) -> Result:
        """Forward a request until it is answered, refused or cut."""
        if not self._scheduler.is_declared(call):
            # A newer configuration, not yet active here, may declare it.
            pause = self._with_jitter(ABSENT_RETRY_AFTER_SECONDS)
            reason = api.RefusalReason.MODEL_UNDECLARED
            return api.Refusal(reason, _UNAVAILABLE, pause)
        retries = windowed.WindowedRetries(
            call.service, call.route.max_attempts, self._budget, self._rng
        )
        retries.started(self._clock.now())
        self._scheduler.record_arrival(call)
        avoid: frozenset[str] = frozenset()
        attempts = 0
        may_have_run = False
        while True:
            wait_deadline = self._wait_deadline(call, relay)
            server = await self._scheduler.acquire(call, avoid, wait_deadline)
            if server is None:
                return self._end_unplaced(call, relay, may_have_run)
            attempts += 1
            answer_start = _AnswerStart(self._scheduler, server)
            try:
                outcome = await self._attempt(
                    call, server, relay, answer_start, attempts
                )
            finally:
                self._scheduler.release(call, server, answer_start.started)
            failure = failures.failure_of(
                call, relay.started, outcome, attempts
            )
            if failure is None:
                return typing.cast('Result', outcome)
            may_have_run = (
                may_have_run
                or failure.run_state is not retry_api.RunState.NOT_RUN
            )
            now = self._clock.now()
            relay.trace.fail(call, failure.reason)
            verdict = retries.decide(failure, now)
            _LOG.write(
                'attempt_failed',
                request=call.request_id,
                server=server.entry.server_id,
                reason=failure.reason,
                run_state=failure.run_state.value,
                verdict=verdict.reason,
                again=isinstance(verdict, retry_api.Retry),
                **relay.trace.attempt_fields(now),
            )
            self._metrics.attempt_failed(failure.reason)
            if isinstance(verdict, retry_api.GiveUp):
                return self._end_after_failure(
                    call, relay, outcome, verdict, may_have_run
                )
            self._metrics.retried(failure.reason)
            avoid |= {server.entry.server_id}
            await anyio.sleep(max(0.0, verdict.at - self._clock.now()))

    async def _attempt(
        self,
        call: api.Call,
        server: servers.Server,
        relay: exchanges.Relay,
        answer_start: _AnswerStart,
        attempts: int,
    ) -> outcomes.Outcome:
        now = self._clock.now()
        relay.trace.start_attempt(server.entry.server_id, attempts, now)
        if now + MIN_WORK_SECONDS >= call.deadline:
            return outcomes.NotRun('deadline_passed', arrived=False)
        _LOG.write(
            'sent',
            request=call.request_id,
            server=server.entry.server_id,
            load=server.load(now),
            own=server.in_flight,
            attempt=attempts,
            model=call.terms.model,
            adapter=call.terms.adapter,
            waited=round(now - call.arrived_at, 3),
            left=round(call.deadline - now, 3),
        )
        head_deadline = self._head_deadline(call, server, attempts)
        relay.trace.set_limits(
            head=head_deadline < call.deadline,
            pause=_pause_limited(call.route),
        )
        outcome = await self._exchange.run(
            call,
            server,
            relay,
            head_deadline,
            self._gap_seconds(call),
            answer_start.on_part,
        )
        self._update_health(call, server, outcome)
        return outcome

    def _head_deadline(
        self, call: api.Call, server: servers.Server, attempts: int
    ) -> float:
        """Return the deadline for the head of a server's answer.

        A busy server may use all the time left: under load, a second attempt
        only adds to the work.
        """
        now = self._clock.now()
        route = call.route
        if not route.repeatable or attempts >= route.max_attempts:
            return call.deadline
        if (
            server.load(now)
            > self._scheduler.request_capacity(server) * BUSY_SHARE
        ):
            return call.deadline
        deadline = now + (call.deadline - now) * HEAD_SHARE
        if route.streaming:
            # The caller would abandon the stream before a later attempt.
            deadline = min(
                deadline, now + abandon_seconds(call) * FIRST_EVENT_SHARE
            )
        return deadline

    def _update_health(
        self,
        call: api.Call,
        server: servers.Server,
        outcome: outcomes.Outcome,
    ) -> None:
        """Update a server's health by the outcome of an attempt."""
        now = self._clock.now()
        ejected = False
        match outcome:
            case outcomes.NotRun(_, arrived, absent):
                if absent:
                    server.mark_not_loaded(
                        call.terms.model, call.terms.adapter
                    )
                if not arrived:
                    ejected = server.failed(now, unreachable=True)
            case outcomes.Broken():
                ejected = server.failed(now)
            case outcomes.Whole(status):
                if status >= failures.SERVER_ERROR:
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

    def _end_unplaced(
        self, call: api.Call, relay: exchanges.Relay, may_have_run: bool
    ) -> Result:
        """Return the result of a request without an assigned server."""
        reason = self._scheduler.refusal_reason(call)
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
            return Cut('no_server')
        if may_have_run:
            return api.Refusal(
                api.RefusalReason.MAY_HAVE_RUN, _BAD_GATEWAY, 0.0, reason.value
            )
        if reason is api.RefusalReason.MODEL_ABSENT:
            return self._refuse_absent_model(call)
        return self._refuse_not_run(reason)

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

    def _end_after_failure(
        self,
        call: api.Call,
        relay: exchanges.Relay,
        outcome: outcomes.Outcome,
        verdict: retry_api.GiveUp,
        may_have_run: bool,
    ) -> Result:
        if relay.started:
            return Cut(verdict.reason)
        if isinstance(outcome, outcomes.Whole):
            return outcome
        if not may_have_run:
            return self._refuse_not_run(
                api.RefusalReason.SERVERS_REFUSED, verdict.reason
            )
        past_deadline = self._clock.now() >= call.deadline
        return api.Refusal(
            api.RefusalReason.MAY_HAVE_RUN,
            _GATEWAY_TIMEOUT if past_deadline else _BAD_GATEWAY,
            0.0,
            verdict.reason,
        )

    def _refuse_not_run(
        self, reason: api.RefusalReason, detail: str = ''
    ) -> api.Refusal:
        """Refuse a request that did not run, with the time to retry."""
        pause = RETRY_AFTER_SECONDS
        if reason is api.RefusalReason.STOPPING:
            pause = api.OTHER_INSTANCE_RETRY_SECONDS
        return api.Refusal(
            reason, _UNAVAILABLE, self._with_jitter(pause), detail
        )

    def _with_jitter(self, seconds: float) -> float:
        """Vary a delay, so that callers do not retry together."""
        return seconds * self._rng.uniform(0.75, 1.25)

    def _wait_deadline(self, call: api.Call, relay: exchanges.Relay) -> float:
        """Return when a request leaves the wait queue."""
        if relay.started:
            limit = self._clock.now() + self._gap_seconds(call)
        elif call.route.streaming:
            limit = call.arrived_at + abandon_seconds(call) * STREAM_WAIT_SHARE
        else:
            span = call.deadline - call.arrived_at
            limit = call.arrived_at + span * PLAIN_WAIT_SHARE
        return min(limit, call.deadline - MIN_WORK_SECONDS)

    def _gap_seconds(self, call: api.Call) -> float:
        """Return the longest pause allowed in a server's answer."""
        route = call.route
        if not _pause_limited(route):
            return max(call.deadline - self._clock.now(), MIN_WORK_SECONDS)
        pause = route.gap_objective_seconds * GAP_OBJECTIVES
        return max(pause, MIN_GAP_SECONDS)


def _pause_limited(route: routes_api.Route) -> bool:
    """Whether a pause of a server ends its attempt before the deadline."""
    return route.streaming and route.resumable


def abandon_seconds(call: api.Call) -> float:
    """Return the gap after which a caller abandons its stream."""
    route = call.route
    return max(
        MIN_ABANDON_SECONDS,
        route.objective_seconds * ABANDON_OBJECTIVES,
        route.gap_objective_seconds * ABANDON_GAPS,
    )

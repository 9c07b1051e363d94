"""Takes a request through its attempts at servers."""

from __future__ import annotations

import typing

import anyio

from . import api
from ..observe import logs
from . import outcomes
from ..retry import api as retry_api
from ..retry import windowed

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from . import exchange as exchanges
    from ..fleet import server as servers
    from . import metrics as gateway_metrics
    from ..retry import window
    from . import scheduler as schedulers

__all__ = ['Cut', 'Forwarder', 'patience']

_LOG: typing.Final = logs.PartLog('request')

_BAD_GATEWAY: typing.Final = 502
_UNAVAILABLE: typing.Final = 503
_GATEWAY_TIMEOUT: typing.Final = 504
_SERVER_ERROR: typing.Final = 500

# Callers give a stream up after the longest gap of these.
ABANDON_SECONDS: typing.Final = 2.0
ABANDON_OBJECTIVES: typing.Final = 4
ABANDON_GAPS: typing.Final = 8
# The share of a caller's patience within which a stream has to begin.
PATIENCE_SHARE: typing.Final = 0.8
# The share of a plain request's time that may go by before it is sent.
PLAIN_SHARE: typing.Final = 0.5
# Pauses of a stream, in gap objectives, after which its server is given up.
GAP_OBJECTIVES: typing.Final = 5.0
MIN_GAP_SECONDS: typing.Final = 0.7
# The share of the time left in which a server has to begin its answer, when
# another one may be tried after it.
HEAD_SHARE: typing.Final = 0.5
# The share of a caller's patience after which a stream is begun elsewhere.
FIRST_EVENT_SHARE: typing.Final = 0.75
# How full a server is that is taken to be slow rather than silent.
BUSY_SHARE: typing.Final = 0.5
# Within it some running requests of a full server end.
RETRY_AFTER_SECONDS: typing.Final = 0.4
# A load from a server's own disk takes about so long.
ABSENT_RETRY_AFTER_SECONDS: typing.Final = 1.0
# Callers that wait for the same load come back spread over so long.
RETURN_SPREAD_SECONDS: typing.Final = 1.0
# What is left of a request's time when it is no longer worth sending.
MIN_WORK_SECONDS: typing.Final = 0.02


class Cut(typing.NamedTuple):
    """A stream that was begun and cannot be finished."""

    reason: str


Result = outcomes.Whole | outcomes.Streamed | api.Refusal | Cut


class _Progress:
    """Tells the scheduler once that a server has begun its answer."""

    def __init__(
        self, scheduler: schedulers.Scheduler, server: servers.Server
    ) -> None:
        self._scheduler = scheduler
        self._server = server
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the answer has begun."""
        return self._started

    def begin(self) -> None:
        """Note a part of the answer."""
        if not self._started:
            self._started = True
            self._scheduler.started(self._server)


class Forwarder:
    """Runs requests to their end."""

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
        """Run a request until it has an answer or can have none."""
        if not self._scheduler.declares(call):
            # A newer configuration, not in force here yet, may know it.
            pause = self._spread(ABSENT_RETRY_AFTER_SECONDS)
            reason = api.RefusalReason.MODEL_UNDECLARED
            return api.Refusal(reason, _UNAVAILABLE, pause)
        retries = windowed.WindowedRetries(
            call.service, call.route.max_attempts, self._budget, self._rng
        )
        retries.started(self._clock.now())
        self._scheduler.arrived(call)
        avoid: frozenset[str] = frozenset()
        attempts = 0
        ran = False
        while True:
            give_up_at = self._give_up_at(call, relay)
            server = await self._scheduler.acquire(call, avoid, give_up_at)
            if server is None:
                return self._unplaced(call, relay, ran)
            attempts += 1
            progress = _Progress(self._scheduler, server)
            try:
                outcome = await self._attempt(
                    call, server, relay, progress, attempts
                )
            finally:
                self._scheduler.release(call, server, progress.started)
            failure = self._failure(call, relay, outcome, attempts)
            if failure is None:
                return typing.cast('Result', outcome)
            ran = ran or failure.run_state is not retry_api.RunState.NOT_RUN
            verdict = retries.decide(failure, self._clock.now())
            _LOG.write(
                'attempt_failed',
                request=call.request_id,
                server=server.entry.server_id,
                reason=failure.reason,
                run_state=failure.run_state.value,
                verdict=verdict.reason,
                again=isinstance(verdict, retry_api.Retry),
            )
            self._metrics.attempt_failed(failure.reason)
            if isinstance(verdict, retry_api.GiveUp):
                return self._gave_up(call, relay, outcome, verdict, ran)
            self._metrics.retried(failure.reason)
            avoid |= {server.entry.server_id}
            await anyio.sleep(max(0.0, verdict.at - self._clock.now()))

    async def _attempt(
        self,
        call: api.Call,
        server: servers.Server,
        relay: exchanges.Relay,
        progress: _Progress,
        attempts: int,
    ) -> outcomes.Outcome:
        now = self._clock.now()
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
        outcome = await self._exchange.run(
            call,
            server,
            relay,
            head_deadline,
            self._gap_seconds(call),
            progress.begin,
        )
        self._judge(call, server, outcome)
        return outcome

    def _head_deadline(
        self, call: api.Call, server: servers.Server, attempts: int
    ) -> float:
        """Return until when a server may take to begin its answer.

        A server that is busy is let finish what it has begun: under load a
        second attempt only adds to what all have to do.
        """
        now = self._clock.now()
        route = call.route
        if not route.repeatable or attempts >= route.max_attempts:
            return call.deadline
        if server.load(now) > self._scheduler.places(server) * BUSY_SHARE:
            return call.deadline
        deadline = now + (call.deadline - now) * HEAD_SHARE
        if route.streaming:
            # A caller would have left before a later second attempt.
            deadline = min(deadline, now + patience(call) * FIRST_EVENT_SHARE)
        return deadline

    def _judge(
        self,
        call: api.Call,
        server: servers.Server,
        outcome: outcomes.Outcome,
    ) -> None:
        """Let the server's health follow from an attempt's end."""
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
                if status >= _SERVER_ERROR:
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

    def _failure(
        self,
        call: api.Call,
        relay: exchanges.Relay,
        outcome: outcomes.Outcome,
        attempts: int,
    ) -> retry_api.Failure | None:
        """Return what went wrong in an attempt, nothing for an answer."""
        arrived = True
        match outcome:
            case outcomes.NotRun(reason, arrived):
                state = retry_api.RunState.NOT_RUN
            case outcomes.Broken(reason):
                state = retry_api.RunState.MAY_HAVE_RUN
            case outcomes.Whole(status) if (
                status >= _SERVER_ERROR and call.route.repeatable
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
            delivered=relay.started,
            resumable=call.route.resumable,
            deadline=call.deadline,
            arrived=arrived,
        )

    def _unplaced(
        self, call: api.Call, relay: exchanges.Relay, ran: bool
    ) -> Result:
        """Return the end of a request for which there is no server."""
        if relay.started:
            return Cut('no_server')
        reason = self._scheduler.why_none(call)
        if ran:
            return api.Refusal(
                api.RefusalReason.MAY_HAVE_RUN, _BAD_GATEWAY, 0.0, reason.value
            )
        if reason is api.RefusalReason.MODEL_ABSENT:
            return self._absent(call)
        return self._not_run(reason)

    def _absent(self, call: api.Call) -> api.Refusal:
        """Refuse a request whose model no server holds yet."""
        ready_in = self._scheduler.ready_in(call)
        if ready_in is None:
            pause = self._spread(ABSENT_RETRY_AFTER_SECONDS)
        else:
            pause = ready_in + self._rng.uniform(0.0, RETURN_SPREAD_SECONDS)
        self._scheduler.sent_away(call, pause)
        reason = api.RefusalReason.MODEL_ABSENT
        return api.Refusal(reason, _UNAVAILABLE, pause)

    def _gave_up(
        self,
        call: api.Call,
        relay: exchanges.Relay,
        outcome: outcomes.Outcome,
        verdict: retry_api.GiveUp,
        ran: bool,
    ) -> Result:
        if relay.started:
            return Cut(verdict.reason)
        if isinstance(outcome, outcomes.Whole):
            return outcome
        if not ran:
            return self._not_run(
                api.RefusalReason.SERVERS_REFUSED, verdict.reason
            )
        late = self._clock.now() >= call.deadline
        return api.Refusal(
            api.RefusalReason.MAY_HAVE_RUN,
            _GATEWAY_TIMEOUT if late else _BAD_GATEWAY,
            0.0,
            verdict.reason,
        )

    def _not_run(
        self, reason: api.RefusalReason, detail: str = ''
    ) -> api.Refusal:
        """Refuse a request that no server has run, with when to return."""
        pause = RETRY_AFTER_SECONDS
        if reason is api.RefusalReason.STOPPING:
            pause = api.ELSEWHERE_SECONDS
        return api.Refusal(reason, _UNAVAILABLE, self._spread(pause), detail)

    def _spread(self, seconds: float) -> float:
        """Vary a time, so that callers do not come back together."""
        return seconds * self._rng.uniform(0.75, 1.25)

    def _give_up_at(self, call: api.Call, relay: exchanges.Relay) -> float:
        """Return until when a request may wait for a server."""
        if relay.started:
            limit = self._clock.now() + self._gap_seconds(call)
        elif call.route.streaming:
            limit = call.arrived_at + patience(call) * PATIENCE_SHARE
        else:
            span = call.deadline - call.arrived_at
            limit = call.arrived_at + span * PLAIN_SHARE
        return min(limit, call.deadline - MIN_WORK_SECONDS)

    def _gap_seconds(self, call: api.Call) -> float:
        """Return how long a server's answer may pause."""
        route = call.route
        if not (route.streaming and route.resumable):
            return max(call.deadline - self._clock.now(), MIN_WORK_SECONDS)
        pause = route.gap_objective_seconds * GAP_OBJECTIVES
        return max(pause, MIN_GAP_SECONDS)


def patience(call: api.Call) -> float:
    """Return after how long a gap a caller gives its stream up."""
    route = call.route
    return max(
        ABANDON_SECONDS,
        route.objective_seconds * ABANDON_OBJECTIVES,
        route.gap_objective_seconds * ABANDON_GAPS,
    )

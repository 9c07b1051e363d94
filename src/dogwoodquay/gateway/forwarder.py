"""Forwards a request to servers in one or several attempts."""

from __future__ import annotations

import math
import typing

import anyio

from . import api
from . import attempt as attempts
from . import failures
from ..observe import exceptions
from ..observe import logs
from . import outcomes
from . import patience
from . import refusals
from ..retry import api as retry_api
from ..retry import windowed
from ..stopping import intake as intakes

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from . import crashes as crash_watches
    from . import exchange as exchanges
    from ..fleet import server as servers
    from . import metrics as gateway_metrics
    from . import results
    from . import resumption
    from ..retry import window
    from . import scheduler as schedulers
    from . import silence as silences
    from ..traffic import stall_watch
    from ..traffic import tenancy as tenancies

__all__ = ['Forwarder']

_LOG: typing.Final = logs.ComponentLog('request')

# The reason of attempts that are ended for another server.
_SILENT: typing.Final = 'silent'
# The reason for no further attempt where servers may crash under the request.
_SUSPECT: typing.Final = 'suspect_prompt'

# Above this share of its capacity a server counts as slow, not as failed.
BUSY_SHARE: typing.Final = 0.5


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
        silence: silences.SilenceWatch,
        versions: resumption.StreamVersions,
        crashes: crash_watches.CrashWatch,
        tenancy: tenancies.Tenancy,
        stalls: stall_watch.StallWatch,
        intake: intakes.Intake | None = None,
    ) -> None:
        """Create the forwarder.

        :param intake: which requests are sent to servers in a planned stop.
        """
        self._intake = intake or intakes.Intake()
        self._tenancy = tenancy
        self._stalls = stalls
        self._crashes = crashes
        self._silence = silence
        self._versions = versions
        self._scheduler = scheduler
        self._exchange = exchange
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._exceptions = exceptions.ExceptionLog(_LOG, clock)
        self._refusals = refusals.Refusals(scheduler, clock, rng)

    async def run(
        self, call: api.Call, relay: exchanges.Relay
    ) -> results.Result:
        """Forward a request until it is answered, refused or cut."""
        try:
            return await self._run(call, relay)
        finally:
            self._crashes.finish(call)

    async def _run(
        self, call: api.Call, relay: exchanges.Relay
    ) -> results.Result:
        if self._crashes.is_refused(call):
            return self._end_quarantined(call, relay, False)
        place = await self._versions.find(call)
        if place is None:
            return self._refusals.refuse_later(
                api.RefusalReason.ORIGIN_UNKNOWN
            )
        call = call._replace(
            service=place.service, origin_version=place.version
        )
        call = call._replace(first_version=self._versions.first_version(call))
        if not self._scheduler.is_declared(call):
            # A newer configuration, not yet active here, may declare it.
            return self._refusals.refuse_later(
                api.RefusalReason.MODEL_UNDECLARED
            )
        retries = windowed.WindowedRetries(
            call.service, call.route.max_attempts, self._budget, self._rng
        )
        retries.started(self._clock.now())
        self._scheduler.record_arrival(call)
        try:
            return await self._run_attempts(
                call, place.version, retries, relay
            )
        finally:
            retries.return_reserved()

    async def _run_attempts(
        self,
        call: api.Call,
        version: str | None,
        retries: windowed.WindowedRetries,
        relay: exchanges.Relay,
    ) -> results.Result:
        """Send a request to one server after another.

        :param version: the software version at which it has to run, ``None``
            for any.
        """
        avoid: frozenset[str] = frozenset()
        number = 0
        may_have_run = False
        server: servers.Server | None = None
        while True:
            if server is None:
                deadline = patience.wait_deadline(
                    call, relay.started, self._clock.now()
                )
                with self._crashes.waiting(call) as scope:
                    server = await self._scheduler.acquire(
                        call, avoid, deadline, version, relay.started
                    )
                if scope.cancelled_caught:
                    return self._end_quarantined(call, relay, may_have_run)
            if server is None:
                return self._refusals.end_unplaced(
                    call, version, relay, may_have_run
                )
            if self._crashes.is_refused(call):
                self._scheduler.release(call, server, False)
                return self._end_quarantined(call, relay, may_have_run)
            if not (relay.started or may_have_run or self._admits(call)):
                self._scheduler.release(call, server, False)
                return self._refusals.end_stopping(relay)
            if not relay.started:
                renewed = self._tenancy.renew(call)
                if isinstance(renewed, api.Refusal):
                    self._scheduler.release(call, server, False)
                    return self._refusals.end_denied(renewed, may_have_run)
                call = renewed
            number += 1
            attempt = self._begin_attempt(
                call, server, retries, avoid, number, version, relay
            )
            avoid = attempt.avoid
            outcome, server = await self._attempt(attempt, relay)
            version = attempt.required_version
            if server is not None:
                may_have_run = True
                self._record_moved(attempt, server, relay)
                continue
            failure = failures.failure_of(call, relay.started, outcome, number)
            if failure is None:
                return typing.cast('results.Result', outcome)
            may_have_run = (
                may_have_run
                or failure.run_state is not retry_api.RunState.NOT_RUN
            )
            verdict: retry_api.Retry | retry_api.GiveUp
            if self._crashes.may_repeat(call, outcome):
                verdict = retries.decide(failure, self._clock.now())
            else:
                verdict = retry_api.GiveUp(_SUSPECT, failure.run_state)
            self._record_failed(attempt, failure, verdict, relay)
            if isinstance(verdict, retry_api.GiveUp):
                return self._refusals.end_after_failure(
                    call, relay, outcome, verdict, may_have_run
                )
            await anyio.sleep(max(0.0, verdict.at - self._clock.now()))

    def _end_quarantined(
        self, call: api.Call, relay: exchanges.Relay, may_have_run: bool
    ) -> results.Result:
        return self._refusals.end_quarantined(
            relay, may_have_run, self._crashes.may_be_cleared(call)
        )

    def _admits(self, call: api.Call) -> bool:
        """Whether a planned stop leaves time for a request not yet sent."""
        return self._intake.admits(
            call.route, call.deadline, self._clock.now()
        )

    def _begin_attempt(
        self,
        call: api.Call,
        server: servers.Server,
        retries: windowed.WindowedRetries,
        avoid: frozenset[str],
        number: int,
        version: str | None,
        relay: exchanges.Relay,
    ) -> attempts.Attempt:
        in_flight = self._crashes.begin(call, server)

        async def on_started() -> resumption.Confirmation | None:
            started_at = self._clock.now()
            if in_flight is not None:
                in_flight.started_at = started_at
            if _is_whole(call, number):
                self._scheduler.overload.times.on_first_event(
                    call, started_at - now
                )
            self._scheduler.on_answer_started(server)
            if relay.started:
                return None
            return await self._versions.record(call, attempt.version)

        now = self._clock.now()
        attempt = attempts.Attempt(
            call,
            server,
            retries,
            avoid,
            number,
            version,
            self._head_patience(call, server, now),
            patience.gap_patience(call),
            now,
            on_started,
            in_flight,
        )
        return attempt

    async def _attempt(
        self, attempt: attempts.Attempt, relay: exchanges.Relay
    ) -> tuple[outcomes.Outcome, servers.Server | None]:
        """Run an attempt.

        :return: its outcome, and the server for the next attempt if this one
            was ended in favour of that.
        """
        outcome: outcomes.Outcome = outcomes.Broken(_SILENT)
        successor = None
        self._silence.add(attempt)
        try:
            with attempt.scope:
                outcome = await self._send(attempt, relay)
            ended = isinstance(outcome, outcomes.Whole | outcomes.Streamed)
            if not ended and attempt.successor_fits:
                successor = attempt.take_successor()
        finally:
            self._silence.discard(attempt)
            self._crashes.leave(attempt.in_flight)
            self._scheduler.release(
                attempt.call, attempt.server, attempt.started
            )
            unused = attempt.take_successor()
            if unused is not None:
                attempt.retries.return_move()
                self._scheduler.release(attempt.call, unused, False)
        return outcome, successor

    async def _send(
        self, attempt: attempts.Attempt, relay: exchanges.Relay
    ) -> outcomes.Outcome:
        call, server = attempt.call, attempt.server
        now = self._clock.now()
        relay.trace.start_attempt(server.entry.server_id, attempt.number, now)
        if now + patience.MIN_WORK_SECONDS >= call.deadline:
            return outcomes.NotRun('deadline_passed', arrived=False)
        relay.on_sent()
        _LOG.write(
            'sent',
            request=call.request_id,
            server=server.entry.server_id,
            version=attempt.version,
            load=server.load(now),
            own=server.in_flight,
            attempt=attempt.number,
            model=call.terms.model,
            adapter=call.terms.adapter,
            waited=round(now - call.arrived_at, 3),
            left=round(call.deadline - now, 3),
        )
        outcome = await self._exchange_contained(attempt, relay)
        ended_at = self._clock.now()
        failures.update_health(call, server, outcome, ended_at)
        self._scheduler.overload.on_outcome(
            call, outcome, ended_at - now, _is_whole(call, attempt.number)
        )
        self._crashes.end(attempt.in_flight, outcome)
        if isinstance(outcome, outcomes.NotRun) and not outcome.arrived:
            self._crashes.on_unreachable(server.entry)
        return outcome

    async def _exchange_contained(
        self, attempt: attempts.Attempt, relay: exchanges.Relay
    ) -> outcomes.Outcome:
        """Send a request; an unexpected exception is a failed attempt.

        Whatever a server sends, another one may take the request.
        """
        watched = self._stalls.sent(attempt.server.entry)
        if watched is not None:
            attempt.watch(watched)
        try:
            return await self._exchange.run(
                attempt.call, attempt.server, relay, attempt
            )
        except Exception as error:
            self._exceptions.record(
                error, server=attempt.server.entry.server_id
            )
            return outcomes.Broken('exception')
        finally:
            if watched is not None:
                watched.ended()

    def _record_failed(
        self,
        attempt: attempts.Attempt,
        failure: retry_api.Failure,
        verdict: retry_api.Retry | retry_api.GiveUp,
        relay: exchanges.Relay,
    ) -> None:
        """Log and count the failure of an attempt."""
        again = isinstance(verdict, retry_api.Retry)
        relay.trace.fail(attempt.call, failure.reason)
        _LOG.write(
            'attempt_failed',
            request=attempt.call.request_id,
            server=attempt.server.entry.server_id,
            reason=failure.reason,
            run_state=failure.run_state.value,
            verdict=verdict.reason,
            again=again,
            **relay.trace.attempt_fields(self._clock.now()),
        )
        self._metrics.attempt_failed(failure.reason)
        if again:
            self._metrics.retried(failure.reason)

    def _record_moved(
        self,
        attempt: attempts.Attempt,
        successor: servers.Server,
        relay: exchanges.Relay,
    ) -> None:
        """Log and count an attempt that was ended for another server."""
        relay.trace.fail(attempt.call, _SILENT)
        _LOG.write(
            'moved',
            request=attempt.call.request_id,
            server=attempt.server.entry.server_id,
            successor=successor.entry.server_id,
            **relay.trace.attempt_fields(self._clock.now()),
        )
        self._metrics.attempt_failed(_SILENT)
        self._metrics.retried(_SILENT)

    def _head_patience(
        self, call: api.Call, server: servers.Server, now: float
    ) -> float:
        """Return the time without an answer before a successor is sought.

        Under load, another attempt only adds to the work.
        """
        capacity = self._scheduler.request_capacity(server)
        if server.load(now) > capacity * BUSY_SHARE:
            return math.inf
        return patience.head_patience(call, now)


def _is_whole(call: api.Call, number: int) -> bool:
    """Whether an attempt is for the answer from its begin."""
    return number == 1 and not call.terms.takes_up_stream

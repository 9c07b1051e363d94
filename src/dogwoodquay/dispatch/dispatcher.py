"""Takes a request through claims, admission, routing and its attempts."""

from __future__ import annotations

import typing

import anyio

from ..admission import api as admission_api
from . import aftermath
from . import api
from . import attempt
from . import background
from . import claiming
from ..external import api as external_api
from . import flight as flights
from . import gate
from ..once import api as once_api
from . import reasons
from ..retry import api as retry_api
from ..routing import api as routing_api
from . import tries as tries_module

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clock_module
    from . import metrics as path_metrics
    from ..records import api as records_api

__all__ = ['Dispatcher']

MAX_ANSWER_BYTES: typing.Final = 16 << 20
# A claim that ends before the request does can tell that nothing ran.
CLAIM_MARGIN_SECONDS: typing.Final = 0.05
_DRAIN_POLL_SECONDS: typing.Final = 0.02
_OK: typing.Final = 200

_Result = api.Whole | api.Streamed | api.Refusal


class _Progress:
    """Tells routing and the metrics of an attempt's first byte."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        attempt_id: str,
        started: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._attempt_id = attempt_id
        self._started = started

    def first_byte(self) -> None:
        self._dispatcher.note_first_byte(self._attempt_id, self._started)


class Dispatcher:
    """Runs requests; all that it needs is passed in.

    ``run_background`` has to run as long as requests do: it moves the queue
    and records what became of keys.

    :param on_answer: told of each whole answer, when it has been given.
    """

    def __init__(
        self,
        catalog: abc.Callable[[], records_api.Catalog],
        router: routing_api.Router,
        admission: admission_api.Admission,
        retries: retry_api.RetryPolicy,
        claims: once_api.Claims,
        engine: external_api.Engine,
        services: external_api.PlainService,
        clock: clock_module.Clock,
        rng: random.Random,
        metrics: path_metrics.PathMetrics,
        on_answer: abc.Callable[[api.Call, api.Whole | api.Streamed], None]
        | None = None,
    ) -> None:
        self._on_answer = on_answer
        self._catalog = catalog
        self._router = router
        self._gate = gate.Gate(admission, clock)
        self._retries = retries
        self._claims = claims
        self._engine = engine
        self._services = services
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._flights: dict[str, flights.Flight] = {}
        self._draining = False
        self._background = background.Background()
        self._aftermath = aftermath.Aftermath(
            self._background, claims, engine, clock
        )

    @property
    def in_flight(self) -> int:
        """How many requests are under way, queued ones included."""
        return len(self._flights)

    @property
    def queued(self) -> int:
        """How many requests wait for admission."""
        return self._gate.waiting

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self._draining

    async def run(
        self, call: api.Call, sink: api.Sink | None = None
    ) -> _Result:
        """Run a request to its end.

        :param sink: takes the events of a streamed answer.
        """
        now = self._clock.now()
        flight = flights.Flight(call, now)
        if self._draining:
            return self._count(flight.refuse(reasons.Reason.DRAINING))
        if now >= call.deadline:
            return self._count(flight.refuse(reasons.Reason.DEADLINE_PASSED))
        self._flights[call.request_id] = flight
        try:
            result = await self._run_scoped(flight, sink)
        finally:
            del self._flights[call.request_id]
        if self._on_answer is not None:
            if not isinstance(result, api.Refusal):
                self._on_answer(call, result)
        return self._count(result)

    def is_reachable(self, artifact: str) -> bool:
        """Tell whether an artifact has a replica for new requests."""
        return bool(self._router.replicas(artifact))

    def end(self, request_id: str, reason: reasons.Reason) -> None:
        """End a request early; its caller is told the reason."""
        flight = self._flights.get(request_id)
        if flight is not None:
            flight.end(reason)

    async def drain(self, deadline: float) -> None:
        """Refuse new requests and end the old ones at the deadline."""
        self._draining = True
        while self._flights and self._clock.now() < deadline:
            await anyio.sleep(_DRAIN_POLL_SECONDS)
        for flight in tuple(self._flights.values()):
            flight.end(reasons.Reason.INSTANCE_STOPPING)
        while self._flights:
            await anyio.sleep(_DRAIN_POLL_SECONDS)

    async def run_background(self) -> None:
        """Move the queue and do what no answer waits for."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._gate.run)
            group.start_soon(self._background.run)

    def note_first_byte(self, attempt_id: str, started: float) -> None:
        """Note the first byte of an attempt's answer."""
        now = self._clock.now()
        self._router.first_token(attempt_id, now)
        self._metrics.first_byte(now - started)

    async def _run_scoped(
        self, flight: flights.Flight, sink: api.Sink | None
    ) -> _Result:
        with flight.scope:
            if flight.call.key:
                return await self._run_claimed(flight, sink)
            return await self._run_admitted(flight, sink)
        return flight.ended()

    async def _run_claimed(
        self, flight: flights.Flight, sink: api.Sink | None
    ) -> _Result:
        call = flight.call
        claim = await self._claims.claim(
            call.caller,
            call.key,
            claiming.body_digest(call),
            call.deadline - CLAIM_MARGIN_SECONDS,
        )
        match claim:
            case once_api.Granted(granted):
                flight.key_decided()
                return await self._run_granted(flight, sink, granted)
            case once_api.Known(answer):
                return await claiming.replay(answer, sink)
            case _:
                return claiming.refusal_of(claim, self._clock.now())

    async def _run_granted(
        self,
        flight: flights.Flight,
        sink: api.Sink | None,
        claim: once_api.Claim,
    ) -> _Result:
        recorder = claiming.RecordingSink(sink) if sink is not None else None
        answer: once_api.StoredAnswer | None = None
        try:
            result = await self._run_admitted(flight, recorder)
            match result:
                case api.Whole():
                    answer = claiming.stored_answer(result)
                case api.Streamed() if recorder is not None:
                    answer = recorder.stored()
        finally:
            self._aftermath.settle(flight, claim, answer)
        return result

    async def _run_admitted(
        self, flight: flights.Flight, sink: api.Sink | None
    ) -> _Result:
        call = flight.call
        rejected = await self._gate.enter(
            admission_api.Ticket(
                request_id=call.request_id,
                caller=call.caller,
                artifact=call.artifact,
                priority=call.priority,
                deadline=call.deadline,
                prompt_tokens=call.prompt_tokens,
            )
        )
        if rejected is not None:
            reason = reasons.from_label(
                rejected.reason, reasons.Reason.OVERLOADED
            )
            return flight.refuse(reason, rejected.reason, rejected.retry_at)
        try:
            return await self._attempts(flight, sink)
        finally:
            self._gate.leave(call.request_id)

    async def _attempts(
        self, flight: flights.Flight, sink: api.Sink | None
    ) -> _Result:
        tries = tries_module.Tries(flight.call)
        answered = False
        try:
            result = await self._try_until_answered(flight, sink, tries)
            answered = not isinstance(result, api.Refusal)
        finally:
            self._aftermath.cancel(flight.call, tries.left_over(answered))
        return result

    async def _try_until_answered(
        self,
        flight: flights.Flight,
        sink: api.Sink | None,
        tries: tries_module.Tries,
    ) -> _Result:
        call = flight.call
        upstream = self._upstream(call)
        exchange = attempt.Exchange(call, upstream, sink, MAX_ANSWER_BYTES)
        self._retries.started(self._clock.now())
        while True:
            now = self._clock.now()
            if now >= call.deadline:
                return flight.refuse(reasons.Reason.DEADLINE_PASSED)
            if not tries.resuming:
                refusal = self._route(flight, tries, now)
                if refusal is not None:
                    return refusal
            result = await self._attempt(flight, exchange, tries)
            if not isinstance(result, attempt.AttemptFailed):
                self._retries.succeeded(self._clock.now())
                return result
            verdict = self._decide(flight, exchange, tries, result)
            if isinstance(verdict, api.Refusal):
                return verdict
            tries.follow(verdict.resume)
            self._metrics.retried(result.reason.value, verdict.resume)
            await self._pause_until(verdict.at)

    def _route(
        self, flight: flights.Flight, tries: tries_module.Tries, now: float
    ) -> api.Refusal | None:
        request = tries.next_request()
        match self._router.choose(request, now, self._rng):
            case routing_api.Choice(replica):
                tries.chosen(replica)
                return None
            case routing_api.NoReplica(label, retry_at):
                reason = reasons.from_label(
                    label, reasons.Reason.NO_READY_REPLICA
                )
                return flight.refuse(reason, label, retry_at)

    async def _attempt(
        self,
        flight: flights.Flight,
        exchange: attempt.Exchange,
        tries: tries_module.Tries,
    ) -> api.Whole | api.Streamed | attempt.AttemptFailed:
        progress = _Progress(self, tries.attempt_id, flight.started)
        result = None
        tries.begin()
        flight.exposed()
        try:
            result = await exchange.run(
                tries.attempt_id,
                tries.replica.address,
                tries.replica.port,
                progress,
            )
        finally:
            self._attempt_ended(flight, tries, result)
        return result

    def _attempt_ended(
        self,
        flight: flights.Flight,
        tries: tries_module.Tries,
        result: api.Whole | api.Streamed | attempt.AttemptFailed | None,
    ) -> None:
        ok = isinstance(result, api.Whole | api.Streamed)
        if not tries.resuming:
            self._router.finished(tries.attempt_id, ok, self._clock.now())
        if isinstance(result, attempt.AttemptFailed):
            flight.attempt_ended(result.run_state)
            self._metrics.attempt_failed(result.reason)
            if result.run_state is retry_api.RunState.MAY_HAVE_RUN:
                tries.left()

    def _decide(
        self,
        flight: flights.Flight,
        exchange: attempt.Exchange,
        tries: tries_module.Tries,
        failed: attempt.AttemptFailed,
    ) -> retry_api.Retry | api.Refusal:
        call = flight.call
        failure = retry_api.Failure(
            reason=failed.reason.value,
            run_state=failed.run_state,
            attempts=tries.count,
            idempotent=call.idempotent,
            delivered=exchange.delivered,
            resumable=failed.resumable,
            deadline=call.deadline,
        )
        now = self._clock.now()
        match self._retries.decide(failure, now):
            case retry_api.Retry() as again:
                return again
            case retry_api.GiveUp(label):
                reason = reasons.from_label(label, failed.reason)
                return flight.refuse(reason, failed.detail)

    def _upstream(self, call: api.Call) -> external_api.PlainService:
        if call.kind is api.Kind.ENGINE:
            return self._engine
        return self._services

    async def _pause_until(self, at: float) -> None:
        pause = at - self._clock.now()
        if pause > 0:
            await anyio.sleep(pause)

    def _count(self, result: _Result) -> _Result:
        match result:
            case api.Refusal(reason, outcome):
                self._metrics.refused(reason, outcome)
            case api.Whole(status):
                self._metrics.answered(status)
            case api.Streamed():
                self._metrics.answered(_OK)
        return result

"""Runs requests through claims, admission, routing and attempts."""

from __future__ import annotations

import typing

import anyio

from ..admission import api as admission_api
from . import api
from . import attempt
from . import attempts as attempts_module
from . import background
from . import claiming
from . import cleanup
from ..external import api as external_api
from . import gate
from ..idempotency import api as idempotency_api
from . import in_flight as in_flight_module
from . import planned_stop
from . import reasons
from ..retry import api as retry_api
from ..routing import api as routing_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from .. import clock as clock_module
    from . import metrics as request_metrics
    from ..records import api as records_api

__all__ = ['Dispatcher']

MAX_ANSWER_BYTES: typing.Final = 16 << 20
# Claims end this long before a request's deadline, so that the refusal can
# still state that this attempt did not run.
CLAIM_MARGIN_SECONDS: typing.Final = 0.05
_DRAIN_POLL_SECONDS: typing.Final = 0.02
_OK: typing.Final = 200

_Result = api.WholeAnswer | api.StreamedAnswer | api.Refusal


class _FirstByteListener:
    """Reports the first byte of an attempt to the dispatcher."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        attempt_id: str,
        started_at: float,
    ) -> None:
        self._dispatcher = dispatcher
        self._attempt_id = attempt_id
        self._started_at = started_at

    def on_first_byte(self) -> None:
        self._dispatcher.on_first_byte(self._attempt_id, self._started_at)


class Dispatcher:
    """Runs requests with the given policies, claims and upstreams.

    ``run_background`` has to run as long as requests do: it processes the
    admission queue and records the ends of claims.

    :param on_answer: called with each complete answer after its delivery.
    """

    def __init__(
        self,
        catalog: abc.Callable[[], records_api.Catalog],
        router: routing_api.Router,
        admission: admission_api.Admission,
        retries: retry_api.RetryPolicy,
        claims: idempotency_api.Claims,
        engine: external_api.Engine,
        services: external_api.PlainService,
        clock: clock_module.Clock,
        rng: random.Random,
        metrics: request_metrics.RequestMetrics,
        on_answer: abc.Callable[
            [api.Call, api.WholeAnswer | api.StreamedAnswer], None
        ]
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
        self._requests: dict[str, in_flight_module.InFlightRequest] = {}
        self._stop = planned_stop.PlannedStop()
        self._background = background.Background()
        self._cleanup = cleanup.Cleanup(
            self._background, claims, engine, clock
        )

    @property
    def in_flight(self) -> int:
        """The number of in-flight requests, queued ones included."""
        return len(self._requests)

    @property
    def queued(self) -> int:
        """The number of requests that wait for admission."""
        return self._gate.waiting

    @property
    def stop(self) -> planned_stop.PlannedStop:
        """The planned stop, which says what requests are taken."""
        return self._stop

    async def run(
        self, call: api.Call, sink: api.Sink | None = None
    ) -> _Result:
        """Run a request and return its result.

        :param sink: receives the events of a streamed answer.
        """
        now = self._clock.now()
        request = in_flight_module.InFlightRequest(call, now)
        if not self._stop.admits(call):
            return self._count_result(request.refuse(reasons.Reason.DRAINING))
        if now >= call.deadline:
            return self._count_result(
                request.refuse(reasons.Reason.DEADLINE_PASSED)
            )
        self._requests[call.request_id] = request
        try:
            result = await self._run_scoped(request, sink)
        finally:
            del self._requests[call.request_id]
        if self._on_answer is not None:
            if not isinstance(result, api.Refusal):
                self._on_answer(call, result)
        return self._count_result(result)

    def is_reachable(self, artifact: str) -> bool:
        """Return whether an artifact has a replica for new requests."""
        return bool(self._router.replicas(artifact))

    def end(self, request_id: str, reason: reasons.Reason) -> None:
        """End a request early with a refusal for a reason."""
        request = self._requests.get(request_id)
        if request is not None:
            request.end(reason)

    async def drain(self, deadline: float) -> None:
        """Refuse new requests and end in-flight ones at the deadline."""
        self._stop.drain()
        while self._requests and self._clock.now() < deadline:
            await anyio.sleep(_DRAIN_POLL_SECONDS)
        for request in tuple(self._requests.values()):
            request.end(reasons.Reason.INSTANCE_STOPPING)
        while self._requests:
            await anyio.sleep(_DRAIN_POLL_SECONDS)

    async def run_background(self) -> None:
        """Process the admission queue and run the background jobs."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._gate.run)
            group.start_soon(self._background.run)

    def on_first_byte(self, attempt_id: str, started_at: float) -> None:
        """Report the first byte of an answer to routing and metrics."""
        now = self._clock.now()
        self._router.first_token(attempt_id, now)
        self._metrics.first_byte(now - started_at)

    async def _run_scoped(
        self, request: in_flight_module.InFlightRequest, sink: api.Sink | None
    ) -> _Result:
        with request.scope:
            if request.call.key:
                return await self._run_claimed(request, sink)
            return await self._run_admitted(request, sink)
        return request.early_end_refusal()

    async def _run_claimed(
        self, request: in_flight_module.InFlightRequest, sink: api.Sink | None
    ) -> _Result:
        call = request.call
        claim = await self._claims.claim(
            call.caller,
            call.key,
            claiming.body_digest(call),
            call.deadline - CLAIM_MARGIN_SECONDS,
        )
        match claim:
            case idempotency_api.Granted(granted):
                request.on_key_granted()
                return await self._run_granted(request, sink, granted)
            case idempotency_api.Known(answer):
                return await claiming.replay(answer, sink)
            case _:
                return claiming.refusal_for(claim, self._clock.now())

    async def _run_granted(
        self,
        request: in_flight_module.InFlightRequest,
        sink: api.Sink | None,
        claim: idempotency_api.Claim,
    ) -> _Result:
        recorder = claiming.RecordingSink(sink) if sink is not None else None
        answer: idempotency_api.StoredAnswer | None = None
        try:
            result = await self._run_admitted(request, recorder)
            match result:
                case api.WholeAnswer():
                    answer = claiming.stored_answer(result)
                case api.StreamedAnswer() if recorder is not None:
                    answer = recorder.stored()
        finally:
            self._cleanup.settle(request, claim, answer)
        return result

    async def _run_admitted(
        self, request: in_flight_module.InFlightRequest, sink: api.Sink | None
    ) -> _Result:
        call = request.call
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
            return request.refuse(reason, rejected.reason, rejected.retry_at)
        try:
            return await self._run_attempts(request, sink)
        finally:
            self._gate.leave(call.request_id)

    async def _run_attempts(
        self, request: in_flight_module.InFlightRequest, sink: api.Sink | None
    ) -> _Result:
        attempts = attempts_module.Attempts(request.call)
        answered = False
        try:
            result = await self._attempt_until_answered(
                request, sink, attempts
            )
            answered = not isinstance(result, api.Refusal)
        finally:
            self._cleanup.cancel(request.call, attempts.unfinished(answered))
        return result

    async def _attempt_until_answered(
        self,
        request: in_flight_module.InFlightRequest,
        sink: api.Sink | None,
        attempts: attempts_module.Attempts,
    ) -> _Result:
        call = request.call
        upstream = self._upstream(call)
        exchange = attempt.Exchange(call, upstream, sink, MAX_ANSWER_BYTES)
        self._retries.started(self._clock.now())
        while True:
            now = self._clock.now()
            if now >= call.deadline:
                return request.refuse(reasons.Reason.DEADLINE_PASSED)
            if not attempts.resuming:
                refusal = self._route(request, attempts, now)
                if refusal is not None:
                    return refusal
            result = await self._run_attempt(request, exchange, attempts)
            if not isinstance(result, attempt.AttemptFailed):
                self._retries.succeeded(self._clock.now())
                return result
            verdict = self._decide_retry(request, exchange, attempts, result)
            if isinstance(verdict, api.Refusal):
                return verdict
            attempts.set_resuming(verdict.resume)
            self._metrics.retried(result.reason.value, verdict.resume)
            await self._pause_until(verdict.at)

    def _route(
        self,
        request: in_flight_module.InFlightRequest,
        attempts: attempts_module.Attempts,
        now: float,
    ) -> api.Refusal | None:
        route_request = attempts.next_route_request()
        match self._router.choose(route_request, now, self._rng):
            case routing_api.Choice(replica):
                attempts.on_replica_chosen(replica)
                return None
            case routing_api.NoReplica(label, retry_at):
                reason = reasons.from_label(
                    label, reasons.Reason.NO_READY_REPLICA
                )
                return request.refuse(reason, label, retry_at)

    async def _run_attempt(
        self,
        request: in_flight_module.InFlightRequest,
        exchange: attempt.Exchange,
        attempts: attempts_module.Attempts,
    ) -> api.WholeAnswer | api.StreamedAnswer | attempt.AttemptFailed:
        listener = _FirstByteListener(
            self, attempts.attempt_id, request.started_at
        )
        result = None
        attempts.count_attempt()
        request.on_attempt_started()
        try:
            result = await exchange.run(
                attempts.attempt_id,
                attempts.replica.address,
                attempts.replica.port,
                listener,
            )
        finally:
            self._on_attempt_ended(request, attempts, result)
        return result

    def _on_attempt_ended(
        self,
        request: in_flight_module.InFlightRequest,
        attempts: attempts_module.Attempts,
        result: api.WholeAnswer
        | api.StreamedAnswer
        | attempt.AttemptFailed
        | None,
    ) -> None:
        answered = isinstance(result, api.WholeAnswer | api.StreamedAnswer)
        if not attempts.resuming:
            self._router.finished(
                attempts.attempt_id, answered, self._clock.now()
            )
        if isinstance(result, attempt.AttemptFailed):
            request.on_attempt_ended(result.run_state)
            self._metrics.attempt_failed(result.reason)
            if result.run_state is retry_api.RunState.MAY_HAVE_RUN:
                attempts.record_unfinished()

    def _decide_retry(
        self,
        request: in_flight_module.InFlightRequest,
        exchange: attempt.Exchange,
        attempts: attempts_module.Attempts,
        failed: attempt.AttemptFailed,
    ) -> retry_api.Retry | api.Refusal:
        call = request.call
        failure = retry_api.Failure(
            reason=failed.reason.value,
            run_state=failed.run_state,
            attempts=attempts.count,
            idempotent=call.idempotent,
            delivered=exchange.delivered,
            resumable=failed.resumable,
            deadline=call.deadline,
        )
        now = self._clock.now()
        match self._retries.decide(failure, now):
            case retry_api.Retry() as retry:
                return retry
            case retry_api.GiveUp(label):
                reason = reasons.from_label(label, failed.reason)
                return request.refuse(reason, failed.detail)

    def _upstream(self, call: api.Call) -> external_api.PlainService:
        if call.kind is api.UpstreamKind.ENGINE:
            return self._engine
        return self._services

    async def _pause_until(self, at: float) -> None:
        pause = at - self._clock.now()
        if pause > 0:
            await anyio.sleep(pause)

    def _count_result(self, result: _Result) -> _Result:
        match result:
            case api.Refusal(reason, outcome):
                self._metrics.refused(reason, outcome)
            case api.WholeAnswer(status):
                self._metrics.answered(status)
            case api.StreamedAnswer():
                self._metrics.answered(_OK)
        return result

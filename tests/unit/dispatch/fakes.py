"""Fakes of the dispatcher's dependencies and a faulty upstream."""

from __future__ import annotations

import collections
import contextlib
import enum
import hashlib
import random
import typing

import anyio
import expression

from dogwoodquay.admission import api as admission_api
from dogwoodquay import clock as clock_module
from dogwoodquay.dispatch import dispatcher
from dogwoodquay.dispatch import metrics as request_metrics
from dogwoodquay.external import api as external_api
from dogwoodquay.external import errors
from dogwoodquay.idempotency import api as idempotency_api
from dogwoodquay.observe import metrics
from dogwoodquay.records import api as records_api
from dogwoodquay.retry import budget
from dogwoodquay.routing import api as routing_api

API_KEYS = {'counter': 'key-of-counter', 'yard': 'key-of-yard'}
EVENTS = 8


class Fault(enum.Enum):
    """The fault that the upstream injects into one call."""

    NONE = 'none'
    REFUSED = 'refused'
    UNAVAILABLE = 'unavailable'
    AMBIGUOUS = 'ambiguous'
    STATUS = 'status'
    CROSSED = 'crossed'
    CROSSED_BODY = 'crossed_body'
    CROSSED_EVENT = 'crossed_event'
    LOST_EVENT = 'lost_event'
    REPEATED_EVENT = 'repeated_event'
    CUT = 'cut'
    BROKEN = 'broken'
    DELAYED = 'delayed'
    ENDLESS = 'endless'
    HUNG = 'hung'


def words(body: bytes) -> list[str]:
    """Return the words of the correct answer to a request's body."""
    digest = hashlib.sha256(body).hexdigest()
    return [f'{digest}:{index} ' for index in range(EVENTS)]


def event(number: int, attempt_id: str, word: str) -> bytes:
    """Return one event of a stream."""
    return b'id: %d\ndata: {"id":"%b","text":"%b"}\n\n' % (
        number,
        attempt_id.encode(),
        word.encode(),
    )


class Answer:
    """An upstream answer that is being read."""

    def __init__(
        self,
        attempt_id: str,
        chunks: typing.AsyncIterator[bytes],
        content_type: str,
        status: int = 200,
    ) -> None:
        self.attempt_id = attempt_id
        self.status = status
        self.headers = (('content-type', content_type),)
        self._chunks = chunks

    def __aiter__(self) -> typing.AsyncIterator[bytes]:
        return self._chunks


class FaultyUpstream:
    """An engine and a plain service that inject faults.

    Each call injects the next of ``faults``, or the result of ``draw`` when
    there are none.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.faults: collections.deque[Fault] = collections.deque()
        self.draw: typing.Callable[[], Fault] = lambda: Fault.NONE
        self.delay = 0.0
        self.padding = 0
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.calls: list[external_api.UpstreamCall] = []
        self.cancelled: list[str] = []
        self.stopped = 0
        self.rng = rng or random.Random(1)

    def next_fault(self) -> Fault:
        return self.faults.popleft() if self.faults else self.draw()

    @contextlib.asynccontextmanager
    async def call(
        self, address: str, port: int, call: external_api.UpstreamCall
    ) -> typing.AsyncIterator[typing.Any]:
        self.calls.append(call)
        fault = self.next_fault()
        match fault:
            case Fault.REFUSED:
                yield expression.Error(external_api.Refused('busy'))
                return
            case Fault.UNAVAILABLE:
                yield expression.Error(external_api.Unavailable('connect'))
                return
        if call.resume_after < 0:
            self.runs[call.body] += 1
        if fault is Fault.AMBIGUOUS:
            yield expression.Error(external_api.Ambiguous('reset'))
            return
        if fault is Fault.HUNG:
            try:
                await anyio.sleep_forever()
            finally:
                self.stopped += 1
        yield expression.Ok(self._answer(call, fault))

    async def cancel(
        self, address: str, port: int, attempt_id: str, deadline: float
    ) -> typing.Any:
        self.cancelled.append(attempt_id)
        return expression.Ok(None)

    def _answer(self, call: external_api.UpstreamCall, fault: Fault) -> Answer:
        attempt = call.attempt_id
        if fault is Fault.CROSSED:
            attempt = 'f' * 24 + '-00'
        if fault is Fault.STATUS:
            return Answer(
                attempt, _single_chunk(b'{}'), 'application/json', 500
            )
        if call.stream:
            return Answer(
                attempt, self._events(call, fault), 'text/event-stream'
            )
        return Answer(attempt, self._whole(call, fault), 'application/json')

    async def _whole(
        self, call: external_api.UpstreamCall, fault: Fault
    ) -> typing.AsyncIterator[bytes]:
        attempt_id = (
            call.attempt_id if fault is not Fault.CROSSED_BODY else 'other'
        )
        text = ''.join(words(call.body))
        body = f'{{"id":"{attempt_id}","text":"{text}"}}'.encode()
        await self._pause(fault)
        yield body[: len(body) // 2]
        if fault is Fault.BROKEN:
            raise errors.UpstreamBroken('reset')
        if fault is not Fault.CUT:
            yield body[len(body) // 2 :]

    async def _events(
        self, call: external_api.UpstreamCall, fault: Fault
    ) -> typing.AsyncIterator[bytes]:
        first = call.resume_after + 1
        faulty = self.rng.randint(first, EVENTS - 1) if first < EVENTS else -1
        for number, word in enumerate(words(call.body)):
            if number < first:
                continue
            await self._pause(fault)
            attempt = call.attempt_id
            if number == faulty:
                if fault is Fault.CUT:
                    return
                if fault is Fault.BROKEN:
                    yield event(number, attempt, word)[:20]
                    raise errors.UpstreamBroken('reset')
                if fault is Fault.LOST_EVENT:
                    continue
                if fault is Fault.REPEATED_EVENT:
                    yield event(number, attempt, word)
                if fault is Fault.CROSSED_EVENT:
                    attempt = 'f' * 24 + '-00'
                    word = 'wrong'
            yield event(number, attempt, word + 'x' * self.padding)
        yield b'id: %d\ndata: [DONE]\n\n' % EVENTS
        if fault is Fault.ENDLESS:
            await anyio.sleep_forever()

    async def _pause(self, fault: Fault) -> None:
        if fault is Fault.DELAYED or self.delay:
            await anyio.sleep(self.delay or 0.001)
        else:
            await anyio.sleep(0)


async def _single_chunk(data: bytes) -> typing.AsyncIterator[bytes]:
    yield data


class Router:
    """Chooses the first replica whose server is not to be avoided."""

    def __init__(self) -> None:
        self.servers = [
            routing_api.Replica(f's{n}', '127.0.0.1', 9000 + n, f'd{n % 3}')
            for n in range(3)
        ]
        self.open: set[str] = set()
        self.requests: list[routing_api.RouteRequest] = []

    def choose(
        self,
        request: routing_api.RouteRequest,
        now: float,
        rng: random.Random,
    ) -> routing_api.Choice | routing_api.NoReplica:
        self.requests.append(request)
        allowed = [
            server
            for server in self.servers
            if server.server_id not in request.avoid_servers
        ]
        if not allowed:
            return routing_api.NoReplica('no_ready_replica', now + 2.0)
        self.open.add(request.attempt_id)
        return routing_api.Choice(allowed[0], now)

    def first_token(self, attempt_id: str, now: float) -> None:
        pass

    def finished(self, attempt_id: str, ok: bool, now: float) -> None:
        self.open.remove(attempt_id)

    def replicas(self, artifact: str) -> tuple[routing_api.Replica, ...]:
        return tuple(self.servers)


class Admission:
    """Admits all requests unless set to queue or reject them."""

    def __init__(self) -> None:
        self.inside: set[str] = set()
        self.queue = False
        self.queued: list[str] = []
        self.reject = ''

    def offer(self, ticket: admission_api.Ticket, now: float) -> typing.Any:
        if self.reject:
            return admission_api.Rejected(
                ticket.request_id, self.reject, now + 3.0
            )
        if self.queue:
            self.queued.append(ticket.request_id)
            return admission_api.Queued(ticket.request_id)
        self.inside.add(ticket.request_id)
        return admission_api.Admitted(ticket.request_id)

    def release(self, request_id: str, now: float) -> tuple[typing.Any, ...]:
        self.inside.discard(request_id)
        if request_id in self.queued:
            self.queued.remove(request_id)
        return ()

    def tick(self, now: float) -> tuple[typing.Any, ...]:
        if self.queue:
            return ()
        admitted = tuple(map(admission_api.Admitted, self.queued))
        self.inside.update(self.queued)
        self.queued.clear()
        return admitted

    def next_due(self) -> float:
        return 0.0


class Claims:
    """Decides claims in memory."""

    def __init__(self) -> None:
        self.answers: dict[tuple[str, str], typing.Any] = {}
        self.digests: dict[tuple[str, str], bytes] = {}
        self.refuse = ''
        self.hang = False
        self.attempt_only = False
        self.withdrawn: list[str] = []

    async def claim(
        self, caller: str, key: str, body_digest: bytes, deadline: float
    ) -> idempotency_api.ClaimAnswer:
        await (anyio.sleep_forever() if self.hang else anyio.sleep(0))
        if self.refuse:
            return idempotency_api.KeyRefused(
                self.refuse, attempt_only=self.attempt_only
            )
        claim_key = (caller, key)
        if self.digests.setdefault(claim_key, body_digest) != body_digest:
            return idempotency_api.Conflict()
        if claim_key in self.answers:
            return self.answers[claim_key]  # type: ignore[no-any-return]
        self.answers[claim_key] = idempotency_api.Running('here')
        claim = idempotency_api.Claim(
            f'{caller}-{key}', *claim_key, body_digest, 'here'
        )
        return idempotency_api.Granted(claim)

    async def settle(
        self,
        claim: idempotency_api.Claim,
        answer: idempotency_api.StoredAnswer | None,
        deadline: float,
    ) -> None:
        claim_key = (claim.caller, claim.key)
        if answer is None:
            self.answers[claim_key] = idempotency_api.Unknown()
        else:
            self.answers[claim_key] = idempotency_api.Known(answer)

    async def withdraw(
        self, claim: idempotency_api.Claim, deadline: float
    ) -> bool:
        self.withdrawn.append(claim.key)
        del self.answers[claim.caller, claim.key]
        del self.digests[claim.caller, claim.key]
        return True


def catalog() -> records_api.Catalog:
    """Return two callers, a model with an adapter, and a service."""
    callers = {
        name: records_api.Caller(
            name, hashlib.sha256(key.encode()).hexdigest()
        )
        for name, key in API_KEYS.items()
    }
    models = {'ticket': records_api.Model('ticket', 'v1', 1 << 30, 'pool')}
    adapters = {'welt': records_api.Adapter('welt', 'v1', 'ticket', 1 << 20)}
    charge = records_api.Operation('POST', '/tickets/{id}/charge')
    services = {'counter': records_api.Service('counter', (), (charge,))}
    return records_api.Catalog(
        offset=1,
        models=models,
        adapters=adapters,
        services=services,
        callers=callers,
    )


class Rig:
    """A dispatcher with fake dependencies."""

    def __init__(self, retry_share: float = 1.0) -> None:
        self.clock = clock_module.SystemClock()
        self.catalog = catalog()
        self.router = Router()
        self.admission = Admission()
        self.claims = Claims()
        self.upstream = FaultyUpstream()
        self.registry = metrics.Registry('here')
        self.metrics = request_metrics.RequestMetrics(self.registry)
        settings = budget.RetrySettings(retry_share, max_attempts=3)
        self.retries = budget.BudgetedRetries(random.Random(2), settings)
        self._fill_budget()
        self.dispatcher = dispatcher.Dispatcher(
            catalog=lambda: self.catalog,
            router=typing.cast('routing_api.Router', self.router),
            admission=typing.cast('admission_api.Admission', self.admission),
            retries=self.retries,
            claims=self.claims,
            engine=typing.cast('external_api.Engine', self.upstream),
            services=typing.cast('external_api.Engine', self.upstream),
            clock=self.clock,
            rng=random.Random(3),
            metrics=self.metrics,
        )

    def _fill_budget(self) -> None:
        now = self.clock.now()
        for _ in range(100):
            self.retries.started(now)
        for _ in range(100):
            self.retries.succeeded(now)

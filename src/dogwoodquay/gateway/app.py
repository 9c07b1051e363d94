"""The callers' interface of the gateway, as an ASGI application."""

from __future__ import annotations

import typing

import anyio

from . import answer as answers
from . import api
from . import closings
from ..entry import asgi
from . import identity
from ..inbound import api as inbound_api
from . import planned_stop
from . import reading
from . import results
from ..routes import table
from ..stopping import intake as intakes
from . import trace as traces

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from . import forwarder as forwarders
    from . import metrics as gateway_metrics
    from ..routes import api as routes_api
    from . import start_hold
    from ..tenants import api as tenants_api
    from ..traffic import tenancy as tenancies
    from ..traffic import tenant_accounts
    from . import versions as configuration_versions

__all__ = ['ConfigurationFreshness', 'GatewayApp']

_NOT_FOUND: typing.Final = 404
_UNAVAILABLE: typing.Final = 503
_GATEWAY_TIMEOUT: typing.Final = 504
# A refusal with one of these means that the request did not run.
_NOT_RUN: typing.Final = frozenset({401, 429, 503})
# Time to retry before the first configuration is read.
STARTING_RETRY_AFTER_SECONDS: typing.Final = 0.3
# The same while a newer configuration is on its way.
OUTDATED_RETRY_AFTER_SECONDS: typing.Final = 0.5
# The same while the store is unavailable, which lasts for seconds.
STORE_UNAVAILABLE_RETRY_AFTER_SECONDS: typing.Final = 2.5


_STOPPING = api.Refusal(
    api.RefusalReason.STOPPING, _UNAVAILABLE, api.OTHER_INSTANCE_RETRY_SECONDS
)
_NO_ROUTE = api.Refusal(api.RefusalReason.NO_ROUTE, _NOT_FOUND)
# Refusals by routes, limits and keys, which a newer configuration may change.
_FINAL: typing.Final = frozenset(
    {
        api.RefusalReason.NO_ROUTE,
        api.RefusalReason.HEADERS_TOO_LARGE,
        api.RefusalReason.BODY_TOO_LARGE,
        api.RefusalReason.UNAUTHORIZED,
    }
)


class _Rejected(typing.NamedTuple):
    """A refusal before a request was forwarded, and whether to close."""

    refusal: api.Refusal
    close: bool = False


class ConfigurationFreshness(typing.Protocol):
    """What is known of versions newer than the active one."""

    async def confirm(self) -> bool:
        """Return whether the active version is known to be the newest."""

    @property
    def store_unavailable(self) -> bool:
        """Whether the store does not answer, so that versions are delayed."""

    @property
    def versions(self) -> configuration_versions.ConfigurationVersions:
        """The versions that are active and known."""


class GatewayApp:
    """Reads requests, forwards them and sends their answers."""

    def __init__(
        self,
        forwarder: forwarders.Forwarder,
        codec: answers.CallerCodec,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: gateway_metrics.GatewayMetrics,
        freshness: ConfigurationFreshness,
        tenancy: tenancies.Tenancy,
        accounts: tenant_accounts.TenantAccounts,
        hold: start_hold.StartHold | None = None,
        intake: intakes.Intake | None = None,
    ) -> None:
        """Create the application.

        :param hold: holds requests while the instance starts.
        :param intake: which requests are taken in a planned stop.
        """
        self._tenancy = tenancy
        self._hold = hold
        self._freshness = freshness
        self._accounts = accounts
        self._forwarder = forwarder
        self._context = answers.AnswerContext(
            codec, clock, metrics, lambda: freshness.versions.active
        )
        self._clock = clock
        self._rng = rng
        self._routes: table.RouteTable | None = None
        self._in_flight = 0
        self._requests: dict[anyio.CancelScope, answers.Answer] = {}
        self._streams: set[anyio.CancelScope] = set()
        self._stop = planned_stop.PlannedStop(
            clock, intake or intakes.Intake()
        )

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""
        return self._in_flight

    @property
    def configured(self) -> bool:
        """Whether there is an active configuration."""
        return self._routes is not None

    def configure(self, configuration: routes_api.Configuration) -> None:
        """Activate a configuration for the requests that follow."""
        self._routes = table.RouteTable(configuration)
        self._stop.keep_routes(configuration)
        self._tenancy.configure(configuration)

    @property
    def streams(self) -> int:
        """The number of streams in flight."""
        return len(self._streams)

    def end_requests(self) -> None:
        """End all requests in flight, each with a true answer."""
        self._stop.end()
        for scope, answer in tuple(self._requests.items()):
            answer.trace.stopped = True
            scope.cancel()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request or the server's lifespan."""
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        self._in_flight += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._in_flight -= 1

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve a request and record an end that has no answer."""
        arrived_at = self._clock.now()
        request = asgi.Request(scope, receive)
        terms = self._context.codec.caller_terms(request.raw_headers)
        answer = answers.Answer(
            self._context,
            terms,
            send,
            arrived_at,
            lambda: self._stop.begun,
            lambda: closings.closed_by(scope),
            request.holding,
        )
        try:
            await self._answer(request, terms, arrived_at, answer)
        except anyio.get_cancelled_exc_class():
            answer.record_cancelled()
            raise
        except Exception as error:
            answer.record_failed(error)
            raise

    async def _answer(
        self,
        request: asgi.Request,
        terms: api.CallerTerms,
        arrived_at: float,
        answer: answers.Answer,
    ) -> None:
        with anyio.CancelScope() as scope:
            request.holding.on_refused(scope.cancel)
            self._requests[scope] = answer
            try:
                found = await self._admit(request, terms, arrived_at, answer)
            finally:
                del self._requests[scope]
        if scope.cancelled_caught:
            found = _Rejected(_ended_refusal(request), close=True)
        match found:
            case None:
                answer.record_left()
            case _Rejected(refusal, close):
                if close and not self._stop.begun:
                    request.holding.drop_body()
                await answer.refuse(
                    refusal, close, lambda: self._end_refused(request, refusal)
                )
            case api.Call():
                answer.resume_after(terms.last_event)
                with self._stop.forwarding(found, answer):
                    await self._forward(found, request, answer)

    async def _end_refused(
        self, request: asgi.Request, refusal: api.Refusal
    ) -> None:
        """Take what a caller within the limits still sends."""
        full = refusal.reason is api.RefusalReason.MEMORY_FULL
        if full and request.has_unread_body:
            await request.holding.linger()
        await self._stop.discard_body(request)

    async def _admit(
        self,
        request: asgi.Request,
        terms: api.CallerTerms,
        arrived_at: float,
        answer: answers.Answer,
    ) -> api.Call | _Rejected | None:
        """Read and check a request; ``None`` if its caller has left."""
        if self._hold is not None and not self._hold.released:
            await self._hold.wait(terms.wait_seconds)
        routes = self._routes
        refusal = reading.check(request, routes)
        if routes is None:
            if self._stop.begun:
                return _Rejected(_STOPPING, close=True)
            return _Rejected(refusal or self._refuse_starting(), close=True)
        if refusal is not None:
            refusal = await self._by_configuration(refusal, routes)
            return _Rejected(refusal, close=True)
        expected = routes.match(reading.host(request), request.path)
        if not self._stop.reads(expected, terms, arrived_at):
            return _Rejected(_STOPPING, close=True)
        limits = routes.configuration.limits
        body = await reading.read_body(request, limits)
        if body is None:
            return None
        answer.on_body_read()
        request.holding.advance(inbound_api.Phase.WAITING)
        if isinstance(body, api.Refusal):
            body = await self._by_configuration(body, routes)
            return _Rejected(body, close=True)
        route = await self._match(request, routes)
        if isinstance(route, api.Refusal):
            return _Rejected(route)
        tenant = await self._find_tenant(route, terms)
        if isinstance(tenant, api.Refusal):
            return _Rejected(tenant)
        if not self._stop.admits(route, terms, arrived_at):
            return _Rejected(_STOPPING, close=True)
        target = reading.target(request)
        headers = tuple(request.raw_headers)
        call = api.Call(
            request_id=terms.attempt_id,
            method=request.method,
            target=target,
            headers=headers,
            body=body,
            terms=terms,
            route=route,
            service=table.pick_service(route, self._rng),
            arrived_at=arrived_at,
            deadline=planned_stop.deadline_of(route, terms, arrived_at),
            identity=identity.digest(
                request.method, target, headers, body, terms
            ),
            charge=api.Charge(),
        )
        call = self._tenancy.assign(call, tenant)
        refusal = self._accounts.admit(call)
        return call if refusal is None else _Rejected(refusal)

    async def _forward(
        self, call: api.Call, request: asgi.Request, answer: answers.Answer
    ) -> None:
        """Forward a request until its deadline or until its caller leaves."""
        caller_left = False
        result: results.Result | None = None

        async def watch() -> None:
            nonlocal caller_left
            await request.wait_disconnected()
            if result is None:
                caller_left = True
                group.cancel_scope.cancel()

        left = max(0.0, call.deadline - self._clock.now())
        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            with anyio.move_on_after(left) as scope:
                request.holding.on_refused(scope.cancel)
                self._requests[scope] = answer
                if call.route.streaming:
                    self._streams.add(scope)
                try:
                    result = await self._forwarder.run(call, answer)
                finally:
                    del self._requests[scope]
                    self._streams.discard(scope)
            if not caller_left:
                result = result or self._end_timed_out(call, request, answer)
                if isinstance(result, api.Refusal):
                    result = await self._by_configuration(result, self._routes)
                await answer.finish(call, result)
            group.cancel_scope.cancel()
        if caller_left:
            answer.record_left()
        if not _may_have_run(result, answer):
            self._accounts.refund(call)

    def _refuse_starting(self) -> api.Refusal:
        """Return the refusal before the first configuration."""
        return api.Refusal(
            api.RefusalReason.NO_CONFIGURATION,
            _UNAVAILABLE,
            self._retry_after(STARTING_RETRY_AFTER_SECONDS),
        )

    async def _match(
        self, request: asgi.Request, routes: table.RouteTable
    ) -> routes_api.Route | api.Refusal:
        """Return the route of a request, if need be of a newer version."""
        host = reading.host(request)
        route = routes.match(host, request.path)
        if route is not None:
            return route
        refusal = await self._by_configuration(_NO_ROUTE, routes)
        if self._routes is not None and self._routes is not routes:
            return self._routes.match(host, request.path) or refusal
        return refusal

    async def _find_tenant(
        self, route: routes_api.Route, terms: api.CallerTerms
    ) -> tenants_api.Tenant | api.Refusal | None:
        """Return a request's tenant, if need be of a newer version."""
        routes = self._routes
        found = self._tenancy.identify(route, terms.api_key)
        if not isinstance(found, api.Refusal):
            return found
        refusal = await self._by_configuration(found, routes)
        if self._routes is not routes:
            found = self._tenancy.identify(route, terms.api_key)
        return refusal if isinstance(found, api.Refusal) else found

    async def _by_configuration(
        self, refusal: api.Refusal, routes: table.RouteTable | None
    ) -> api.Refusal:
        """Return a final refusal, or a temporary one if it may be wrong.

        A newer configuration may allow what the one in use does not.
        """
        if refusal.reason not in _FINAL:
            return refusal
        if await self._freshness.confirm() and self._routes is routes:
            return refusal
        versions = self._freshness.versions
        return api.Refusal(
            api.RefusalReason.CONFIGURATION_OUTDATED,
            _UNAVAILABLE,
            self._retry_after(OUTDATED_RETRY_AFTER_SECONDS),
            f'{refusal.reason.value}, '
            f'version {versions.active} of {versions.newest}',
        )

    def _retry_after(self, seconds: float) -> float:
        """Vary a delay, which is longer while the store is unavailable."""
        if self._freshness.store_unavailable:
            seconds = STORE_UNAVAILABLE_RETRY_AFTER_SECONDS
        return seconds * self._rng.uniform(0.75, 1.25)

    def _end_timed_out(
        self, call: api.Call, request: asgi.Request, answer: answers.Answer
    ) -> results.Result:
        reason = api.RefusalReason.TIMEOUT
        answer.trace.cause = traces.deadline_cause(call)
        if answer.trace.stopped:
            reason = api.RefusalReason.STOPPING
            answer.trace.cause = traces.Cause.STOPPING
        if answer.started:
            return results.Cut(reason.value)
        if request.holding.is_refused and not answer.trace.attempts:
            return reading.memory_full(request)
        if answer.trace.stopped and not answer.trace.attempts:
            return _STOPPING
        return api.Refusal(reason, _GATEWAY_TIMEOUT)


def _ended_refusal(request: asgi.Request) -> api.Refusal:
    """Return why a request was ended before it was forwarded."""
    if request.holding.is_refused:
        return reading.memory_full(request)
    return _STOPPING


def _may_have_run(
    result: results.Result | None, answer: answers.Answer
) -> bool:
    """Whether a server may have run any part of a request.

    A refusal with one of these statuses promises that none has.
    """
    if isinstance(result, api.Refusal) and result.status in _NOT_RUN:
        return False
    return answer.trace.attempts > 0

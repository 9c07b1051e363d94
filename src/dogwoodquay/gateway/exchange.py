"""Runs one attempt of a request at one server."""

from __future__ import annotations

import typing

import httpx

from . import api
from . import events
from ..external import api as external_api
from ..external.http import bodies
from ..external.http import marks
from . import held
from ..inbound import parts
from . import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..external.http import client
    from ..fleet import server as servers
    from . import notices as server_notices
    from . import server_limits
    from . import trace as traces
    from ..traffic import server_capacity

__all__ = ['Exchange', 'HeaderCodec', 'Relay']

_OK: typing.Final = 200
_MISDIRECTED: typing.Final = 421
# Callers take these as a guarantee that the request did not run.
_NOT_RUN_STATUSES: typing.Final = frozenset({408, 421, 429, 503})
# A connection is reused within this share of the time that its server keeps
# it, so that no request is sent on a connection that is being closed.
IDLE_SHARE: typing.Final = 0.7
# Used where a server names no idle time, or zero. The header gives whole
# seconds with the fraction cut off, so small values are imprecise.
IDLE_UNKNOWN_SECONDS: typing.Final = 3.0
# The caller of ``run`` ends it at the deadline. The timers of the connection
# come later, so that it is never open which of them ends a request.
TIMER_MARGIN_SECONDS: typing.Final = 0.25


class HeaderCodec(typing.Protocol):
    """Writes headers of requests to servers and parses their answers'."""

    def for_server(
        self, headers: api.RawHeaders, outgoing: api.AddedHeaders
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request as sent to a server."""

    def answer_terms(
        self, status: int, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> api.AnswerTerms:
        """Parse the headers of a server's answer."""


class Relay(typing.Protocol):
    """Receives the events of a streamed answer for its caller."""

    @property
    def splitter(self) -> events.EventSplitter:
        """Checks that event ids are consecutive across all attempts."""

    @property
    def started(self) -> bool:
        """Whether a part of the answer was sent to the caller."""

    @property
    def trace(self) -> traces.RequestTrace:
        """Records what arrives of the answer."""

    def on_sent(self) -> None:
        """Record that a server gets the request now."""

    async def start(
        self, status: int, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of the answer; later calls have no effect."""

    async def send(self, data: bytes) -> None:
        """Send complete events."""

    def hold(self, size: int) -> bool:
        """Count what is held of the answer; return whether there is room."""


class Progress(typing.Protocol):
    """Receives the progress of an attempt."""

    @property
    def may_pass_on(self) -> bool:
        """Whether events may be passed on to the caller."""

    def on_received(self) -> None:
        """Handle the arrival of bytes of the answer."""

    async def on_part(self) -> None:
        """Handle complete events before they are passed on."""

    def on_waiting(self, now: float) -> None:
        """Handle that all received bytes have been passed on."""


class Exchange:
    """Sends requests to servers and reads their answers."""

    def __init__(
        self,
        connections: client.Connections,
        codec: HeaderCodec,
        clock: clocks.Clock,
        limits: server_limits.ServerLimits,
        notices: server_notices.ServerNotices,
        capacity: server_capacity.ServerCapacity,
        on_paced: abc.Callable[[str], None] = lambda _: None,
    ) -> None:
        self._on_paced = on_paced
        self._notices = notices
        self._capacity = capacity
        self._limits = limits
        self._connections = connections
        self._codec = codec
        self._clock = clock
        self._held = held.HeldAnswers()

    async def run(
        self,
        call: api.Call,
        server: servers.Server,
        relay: Relay,
        progress: Progress,
    ) -> outcomes.Outcome:
        """Run an attempt, until the deadline of the request at most."""
        entry = server.entry
        now = self._clock.now()
        pace = self._capacity.pace_at_start(server)
        outgoing = api.AddedHeaders(
            entry.server_id,
            call.deadline - now,
            call.priority,
            relay.splitter.last_event,
            '' if call.tenant is None else call.tenant.name,
            call.tenants_declared,
        )
        async with self._connections.open_raw(
            entry.address,
            entry.port,
            call.method,
            call.target,
            self._codec.for_server(call.headers, outgoing),
            call.body,
            max(call.deadline, now) + TIMER_MARGIN_SECONDS,
            max(call.deadline - now, 0.0) + TIMER_MARGIN_SECONDS,
            call.terms.attempt_id,
            (call.terms.attempt_id,),
            relay.trace.on_use,
        ) as sent:
            if sent.is_ok():
                outcome = await self._read_answer(
                    call,
                    server,
                    relay,
                    sent.ok,
                    now,
                    progress,
                )
                seconds = self._clock.now() - now
                match outcome:
                    case outcomes.Whole(status):
                        self._capacity.on_completed(
                            server, call.route.name, status, seconds, pace
                        )
                    case outcomes.Streamed():
                        self._capacity.on_streamed(
                            server,
                            call.terms.model,
                            outcome.events,
                            outcome.seconds,
                            seconds,
                            pace,
                        )
                return outcome
            if isinstance(sent.error, external_api.Unavailable):
                return outcomes.NotRun(sent.error.reason, arrived=False)
            return outcomes.Broken(sent.error.reason)

    async def _read_answer(
        self,
        call: api.Call,
        server: servers.Server,
        relay: Relay,
        response: httpx.Response,
        sent_at: float,
        progress: Progress,
    ) -> outcomes.Outcome:
        seconds = self._clock.now() - sent_at
        relay.trace.on_head(self._clock.now())
        status = response.status_code
        headers = tuple(response.headers.raw)
        terms = self._codec.answer_terms(status, headers)
        progress.on_received()
        if terms.attempt_id != call.terms.attempt_id:
            marks.discard(response)
            return outcomes.Broken('answer_crossed')
        _mark_connection(response, terms)
        if status != _MISDIRECTED:
            # That may be the answer of another server at this address.
            self._update_server(server, terms)
            self._limits.on_answer(server.entry, terms, sent_at)
            self._notices.on_answer(server, terms)
            self._capacity.on_answer(server, terms)
        try:
            if terms.not_executed:
                # Servers may write a refusal again, where it would look like
                # the answer to a further attempt.
                marks.bar_repeat(response)
                bodies.limit(response, bodies.MAX_ANSWER_BYTES)
                await self._read_body(relay, response)
                absent = status == _MISDIRECTED
                return outcomes.NotRun(f'status_{status}', True, absent)
            unmarked = (
                status in _NOT_RUN_STATUSES and not call.route.repeatable
            )
            if terms.encoded or not terms.stamped or unmarked:
                marks.discard(response)
                return outcomes.Broken('not_the_servers_answer')
            if status == _OK and call.route.streaming:
                return await self._relay_events(
                    relay, response, headers, progress
                )
            bodies.limit(response, bodies.MAX_ANSWER_BYTES)
            body = await self._read_body(relay, response)
        except httpx.HTTPError as error:
            return outcomes.Broken(bodies.broken_reason(error))
        except events.BrokenStream as error:
            marks.discard(response)
            return outcomes.Broken(str(error))
        server.succeeded(seconds)
        return outcomes.Whole(status, headers, body, _framed(response))

    def _update_server(
        self, server: servers.Server, terms: api.AnswerTerms
    ) -> None:
        if terms.pace is not None:
            self._on_paced(server.entry.service)
        if terms.running is not None and terms.waiting is not None:
            total = terms.running + terms.waiting
            server.update_load(total, self._clock.now())

    async def _read_body(
        self, relay: Relay, response: httpx.Response
    ) -> parts.Body:
        body = parts.Parts()
        with self._held.share() as share:
            async for chunk in _stream(response):
                relay.trace.on_bytes(self._clock.now())
                body.add(chunk)
                share.resize(body.size)
                if body.size > held.FREE_BYTES and not relay.hold(body.size):
                    raise bodies.AnswerTooLarge('answers_too_large')
            return body.body()

    async def _relay_events(
        self,
        relay: Relay,
        response: httpx.Response,
        headers: tuple[tuple[bytes, bytes], ...],
        progress: Progress,
    ) -> outcomes.Outcome:
        relay.splitter.restart()
        progress.on_waiting(self._clock.now())
        first_event, first_at, last_at = api.NO_EVENT, 0.0, 0.0
        unsent = b''
        with self._held.share() as share:
            async for chunk in _stream(response):
                progress.on_received()
                relay.trace.on_bytes(self._clock.now())
                whole = relay.splitter.feed(chunk)
                share.resize(relay.splitter.partial_bytes + len(unsent))
                if whole.data:
                    last_at = self._clock.now()
                    if not first_at:
                        first_event, first_at = whole.last_event, last_at
                    await progress.on_part()
                    unsent = _join_events(unsent, whole.data)
                if unsent and progress.may_pass_on:
                    await relay.start(response.status_code, headers)
                    # A hand-over may have ended the attempt before this.
                    relay.splitter.mark_passed_on(whole)
                    await relay.send(unsent)
                    unsent = b''
                if whole.fault:
                    raise events.BrokenStream(whole.fault)
                progress.on_waiting(self._clock.now())
        if relay.splitter.partial:
            raise events.BrokenStream('event_cut')
        await relay.start(response.status_code, headers)
        if unsent:
            # A complete stream is not taken up, so that nothing is awaited.
            relay.splitter.mark_passed_on(whole)
            await relay.send(unsent)
        return outcomes.Streamed(
            _framed(response),
            relay.splitter.last_event - first_event,
            last_at - first_at,
        )


def _join_events(unsent: bytes, data: bytes) -> bytes:
    """Return events that are held back, with new ones.

    :raises bodies.AnswerTooLarge: if they are too large to be held.
    """
    if len(unsent) + len(data) > bodies.MAX_ANSWER_BYTES:
        raise bodies.AnswerTooLarge('answer_too_large')
    return unsent + data if unsent else data


def _mark_connection(response: httpx.Response, terms: api.AnswerTerms) -> None:
    """Set how long the connection of an answer may be used again."""
    if terms.closing:
        marks.discard(response)
    elif terms.idle_seconds:
        marks.keep_idle(response, terms.idle_seconds * IDLE_SHARE)
    else:
        marks.keep_idle(response, IDLE_UNKNOWN_SECONDS)


def _framed(response: httpx.Response) -> bool:
    """Whether the end of an answer is marked within its bytes."""
    headers = response.headers
    return 'content-length' in headers or 'transfer-encoding' in headers


def _stream(response: httpx.Response) -> httpx.AsyncByteStream:
    return typing.cast('httpx.AsyncByteStream', response.stream)

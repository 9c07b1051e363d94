"""Tests of what is logged and counted when a connection ends early."""

from __future__ import annotations

import asyncio
import typing
import unittest
from unittest import mock

import anyio

from . import fakes
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.routes import api as routes_api

Kind = routes_api.RouteKind

_ENDINGS: typing.Final = frozenset(
    {
        'request:answered',
        'request:caller_gone',
        'request:connection_lost',
        'request:cut',
        'request:refused',
    }
)

_Line = dict[str, typing.Any]


def _event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def _head(request: loopback.Received) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.headers["attempt-id"]}\r\n'
        'Response-Stamp: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n'
    ).encode()


def _streams(
    *events: bytes, silent: bool = False, end: bool = False
) -> loopback.Script:
    """Return a script that sends events, then ends, breaks or is silent."""

    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(_head(request) + loopback.chunked(*events, end=end))
        await writer.drain()
        if silent:
            await asyncio.sleep(5.0)
        return end

    return script


async def _never_answers(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    await asyncio.sleep(5.0)
    return False


class _EndingsTest(unittest.IsolatedAsyncioTestCase):
    """Keeps the lines of a test."""

    def setUp(self) -> None:
        """Collect the lines."""
        self.lines = fakes.log_lines(self)

    def assert_ending(self, event: str, **fields: typing.Any) -> _Line:
        """Check that exactly one line tells of an end, with these fields."""
        endings = [
            line for line in self.lines if line['message_type'] in _ENDINGS
        ]
        self.assertEqual(1, len(endings), endings)
        (line,) = endings
        found = {name: line.get(name) for name in fields}
        self.assertEqual(fields, found)
        self.assertEqual(f'request:{event}', line['message_type'])
        self.assertEqual('c0ffee', line['request'])
        return line

    def failed_attempts(self) -> list[_Line]:
        """Return the lines about failed attempts."""
        return [
            line
            for line in self.lines
            if line['message_type'] == 'request:attempt_failed'
        ]

    async def wait_for_ending(self) -> None:
        """Wait until a line tells of an end."""
        with anyio.fail_after(5.0):
            while not any(
                line['message_type'] in _ENDINGS for line in self.lines
            ):
                await anyio.sleep(0.01)


class CutTest(_EndingsTest):
    """A cut stream tells what ended its last attempt, and the verdict."""

    async def _call(
        self,
        script: loopback.Script,
        extra: str = '',
        extra_retries: int = 50,
        names: tuple[str, ...] = ('u1',),
        **changes: typing.Any,
    ) -> loopback.Site:
        upstreams = [loopback.Upstream(name, script) for name in names]
        site = loopback.Site(*upstreams, extra_retries=extra_retries)
        async with site.running():
            site.configure(loopback.route(kind=Kind.STREAMING, **changes))
            answer = await site.call('POST', body=b'x', extra=extra)
        self.assertFalse(answer.whole)
        return site

    async def test_silent_without_successor(self) -> None:
        """The only attempt lasts to the deadline, which ends it."""
        site = await self._call(
            _streams(_event(1), silent=True), resumable=True, max_attempts=1
        )
        line = self.assert_ending(
            'cut',
            reason='timeout',
            failure='',
            ended_by='caller_deadline',
            arrived='body',
            server='u1',
            attempts=1,
            last_event=1,
        )
        self.assertLessEqual(1.5, line['silence'])
        self.assertEqual([], self.failed_attempts())
        (silent,) = (
            line
            for line in self.lines
            if line['message_type'] == 'request:server_silent'
        )
        self.assertEqual('u1', silent['server'])
        self.assertLessEqual(0.7, silent['seconds'])
        self.assertEqual({'timeout': 1}, site.counts('gateway_cuts_total'))
        # Labels by name: ended_by, failure, reason.
        self.assertEqual(
            {'caller_deadline  timeout': 1},
            site.counts('gateway_cut_attempts_total'),
        )

    async def test_no_other_server(self) -> None:
        """A stream could go on, but there is no second server."""
        breaks = _streams(_event(1))
        site = loopback.Site(loopback.Upstream('u1', breaks))

        async def leaves(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            await breaks(request, writer)
            site.registry.remove('u1', 0)
            return False

        site.upstreams[0].script = leaves
        async with site.running():
            site.configure(loopback.route(kind=Kind.STREAMING, resumable=True))
            answer = await site.call()
        self.assertFalse(answer.whole)
        self.assert_ending(
            'cut',
            reason='no_server',
            failure='protocol',
            ended_by='no_server',
            placement='version_gone',
            server='u1',
        )
        (attempt,) = self.failed_attempts()
        self.assertEqual('server_connection', attempt['ended_by'])

    async def test_retry_budget_spent(self) -> None:
        """A stream could go on, but no retry is left."""
        await self._call(
            _streams(_event(1)),
            names=('u1', 'u2'),
            extra_retries=0,
            resumable=True,
        )
        self.assert_ending(
            'cut',
            reason='retry_budget_spent',
            failure='protocol',
            ended_by='server_connection',
        )

    async def test_broken_connection(self) -> None:
        """The server broke off a stream that cannot be resumed."""
        await self._call(_streams(_event(1)))
        self.assert_ending(
            'cut',
            reason='may_have_run',
            failure='protocol',
            ended_by='server_connection',
            arrived='body',
        )

    async def test_out_of_order(self) -> None:
        """The server left out an event."""
        await self._call(_streams(_event(1), _event(3), end=True))
        self.assert_ending(
            'cut', failure='event_out_of_order', ended_by='server_events'
        )

    async def test_route_time(self) -> None:
        """The route's time ended an attempt in flight."""
        await self._call(_streams(_event(1), silent=True), timeout_seconds=0.4)
        self.assert_ending(
            'cut',
            reason='timeout',
            failure='',
            ended_by='route_time',
            arrived='body',
            server='u1',
        )

    async def test_caller_deadline(self) -> None:
        """The caller's own deadline ended an attempt in flight."""
        await self._call(
            _streams(_event(1), silent=True), extra='Deadline-Ms: 400'
        )
        self.assert_ending(
            'cut', reason='timeout', failure='', ended_by='caller_deadline'
        )

    async def test_stopping(self) -> None:
        """A planned stop is not a time that ran out."""
        upstream = loopback.Upstream('u1', _streams(_event(1), silent=True))
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.STREAMING))
            site.freshness.versions.on_active(1, 0.0)
            async with anyio.create_task_group() as group:
                group.start_soon(site.call)
                while not upstream.received:
                    await anyio.sleep(0.01)
                await anyio.sleep(0.1)
                site.freshness.versions.on_active(2, 0.0)
                site.app.end_requests()
        self.assert_ending(
            'cut',
            reason='stopping',
            ended_by='stopping',
            version=1,
            active_version=2,
        )
        self.assertEqual({'stopping': 1}, site.counts('gateway_cuts_total'))


class RefusedTest(_EndingsTest):
    """A refusal after an attempt tells what ended it."""

    async def test_no_head(self) -> None:
        """The only server sent no head before the deadline."""
        upstream = loopback.Upstream('u1', _never_answers)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route())
            answer = await site.call()
        self.assertEqual(504, answer.status)
        line = self.assert_ending(
            'refused',
            reason='timeout',
            failure='',
            ended_by='caller_deadline',
            arrived='nothing',
            server='u1',
            attempts=1,
        )
        self.assertLessEqual(1.5, line['silence'])
        self.assertEqual([], self.failed_attempts())

    async def test_later_timers_of_the_connection(self) -> None:
        """They cannot end a request before its own deadline does."""
        sent: list[tuple[float, float, float]] = []
        upstream = loopback.Upstream('u1', _never_answers)
        site = loopback.Site(upstream)
        open_raw = site.connections.open_raw

        def opened(*args: typing.Any) -> typing.Any:
            sent.append((site.connections.now(), args[6], args[7]))
            return open_raw(*args)

        site.connections.open_raw = opened  # type: ignore[method-assign]
        async with site.running():
            site.configure(loopback.route(timeout_seconds=0.3))
            await site.call()
        ((now, deadline, read_seconds),) = sent
        self.assertGreater(deadline, now + 0.3)
        self.assertGreater(read_seconds, 0.3)

    async def test_route_time(self) -> None:
        """The body of a plain answer did not end in the route's time."""
        upstream = loopback.Upstream('u1', _streams(b'part', silent=True))
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(timeout_seconds=0.4))
            answer = await site.call()
        self.assertEqual(504, answer.status)
        self.assert_ending(
            'refused', reason='timeout', ended_by='route_time', arrived='body'
        )

    async def test_without_attempt(self) -> None:
        """A refusal without an attempt tells the versions and no more."""
        async with loopback.Site().running() as site:
            site.configure(loopback.route())
            site.freshness.versions.on_active(3, 0.0)
            await site.call(target='/other/x')
        line = self.assert_ending(
            'refused', reason='no_route', version=3, active_version=3
        )
        self.assertNotIn('failure', line)

    async def test_stopping(self) -> None:
        """A planned stop ends a stream that has not started."""
        upstream = loopback.Upstream('u1', _never_answers)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.STREAMING))
            async with anyio.create_task_group() as group:
                group.start_soon(site.call)
                while not upstream.received:
                    await anyio.sleep(0.01)
                site.app.end_requests()
        self.assert_ending(
            'refused', reason='stopping', status=504, ended_by='stopping'
        )

    async def test_broken_connection(self) -> None:
        """The server broke off a plain answer."""
        upstream = loopback.Upstream('u1', _streams(b'part'))
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            answer = await site.call('POST', body=b'x')
        self.assertEqual(502, answer.status)
        self.assert_ending(
            'refused',
            reason='may_have_run',
            failure='protocol',
            ended_by='server_connection',
            arrived='body',
        )


class StoppedTest(_EndingsTest):
    """Requests whose heads come when a planned stop has ended all others."""

    async def _call(self, path: bytes) -> bytes:
        """Send a request without its body; return what is answered."""
        async with loopback.Site().running() as site:
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            reader, writer = await site.connect()
            ends_at = clocks.SteadyClock().now()
            site.intake.leave(ends_at)
            site.intake.drain(ends_at)
            site.app.end_requests()
            writer.write(
                b'POST %s HTTP/1.1\r\nHost: a.example\r\n'
                b'Attempt-Id: c0ffee\r\nContent-Length: 2\r\n\r\n' % path
            )
            # The HTTP server's own answer would come with its end.
            site.stop_within(0.2)
            answer = await reader.readuntil(b'\r\n\r\n')
            writer.close()
        return answer

    async def test_body_not_whole(self) -> None:
        """One that would be read is refused."""
        self.assertIn(b' 503 ', await self._call(b'/r/x'))

    async def test_no_route(self) -> None:
        """The same without a route."""
        self.assertIn(b' 503 ', await self._call(b'/none/x'))


class LostTest(_EndingsTest):
    """An end without a result of the forwarder has a line, too."""

    async def _leave(
        self, script: loopback.Script, body: bytes, **changes: typing.Any
    ) -> loopback.Site:
        """Send a request, whose body may be incomplete, and leave."""
        upstream = loopback.Upstream('u1', script)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(**changes))
            _, writer = await site.connect()
            writer.write(
                b'POST /r/x HTTP/1.1\r\nHost: a.example\r\n'
                b'Attempt-Id: c0ffee\r\nContent-Length: 4\r\n\r\n' + body
            )
            while len(body) == 4 and not upstream.received:
                await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            writer.close()
            await self.wait_for_ending()
        return site

    async def test_left_in_body(self) -> None:
        """A caller that left before the end of its body has a line."""
        site = await self._leave(_never_answers, b'ab')
        self.assert_ending('caller_gone', phase='body', closed_by='reader')
        self.assertEqual(
            {'body': 1}, site.counts('gateway_callers_gone_phases_total')
        )

    async def test_left_waiting(self) -> None:
        """A caller left before the first byte of its answer."""
        site = await self._leave(_never_answers, b'abcd')
        self.assert_ending(
            'caller_gone', phase='waiting', server='u1', arrived='nothing'
        )
        self.assertEqual(
            {'waiting': 1}, site.counts('gateway_callers_gone_phases_total')
        )

    async def test_left_in_answer(self) -> None:
        """A caller left amid its answer."""
        site = await self._leave(
            _streams(_event(1), silent=True), b'abcd', kind=Kind.STREAMING
        )
        self.assert_ending(
            'caller_gone', phase='answer', last_event=1, arrived='body'
        )
        self.assertEqual(
            {'answer': 1}, site.counts('gateway_callers_gone_phases_total')
        )

    async def test_exception(self) -> None:
        """An unexpected exception names the request."""
        upstream = loopback.Upstream('u1', _never_answers)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route())
            error = KeyError('missing')
            with (
                mock.patch.object(
                    site.scheduler,
                    'record_arrival',
                    autospec=True,
                    side_effect=error,
                ),
                self.assertLogs('hypercorn.error'),
            ):
                answer = await site.call()
        self.assertEqual(500, answer.status)
        self.assert_ending(
            'connection_lost',
            ended_by='exception',
            error='KeyError',
            phase='waiting',
        )
        self.assertEqual(
            {'exception waiting': 1},
            site.counts('gateway_connections_lost_total'),
        )

    async def test_cancelled_at_stop(self) -> None:
        """The HTTP server ended a request that outlasted its stop."""
        # The stream server of asyncio reports the cancelled connection.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        upstream = loopback.Upstream('u1', _never_answers)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            _, writer = await site.connect()
            writer.write(
                b'GET /r/x HTTP/1.1\r\nHost: a.example\r\n'
                b'Attempt-Id: c0ffee\r\n\r\n'
            )
            while not upstream.received:
                await anyio.sleep(0.01)
            site.stop_within(0.05)
            await self.wait_for_ending()
            writer.close()
        self.assert_ending(
            'connection_lost', ended_by='stopping', phase='waiting'
        )

    async def test_whole_answer(self) -> None:
        """A whole answer on a kept connection counts as nothing else."""
        upstream = loopback.Upstream('u1', _streams(_event(1), end=True))
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.STREAMING))
            answer = await site.call()
            await anyio.sleep(0.1)
        self.assertTrue(answer.whole)
        self.assert_ending('answered', status=200)
        self.assertEqual({}, site.counts('gateway_callers_gone_total'))
        self.assertEqual({}, site.counts('gateway_connections_lost_total'))

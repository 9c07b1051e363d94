"""Tests of forwarding requests over real sockets."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio

from . import fakes
from . import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.routes import api as routes_api

Kind = routes_api.RouteKind


async def _answer(
    writer: asyncio.StreamWriter,
    request: loopback.Received,
    status: str = '200 OK',
    body: bytes = b'done',
    extra: str = 'Response-Stamp: 3e1b',
    attempt: str = '',
) -> bool:
    attempt = attempt or request.headers['attempt-id']
    head = (
        f'HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{extra}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    await writer.drain()
    return True


def _answers(**changes: typing.Any) -> loopback.Script:
    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        return await _answer(writer, request, **changes)

    return script


async def _breaks_connection(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    writer.transport.abort()
    return False


async def _never_answers(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    await asyncio.sleep(5.0)
    return False


def _refuses() -> loopback.Script:
    return _answers(
        status='503 Service Unavailable', body=b'', extra='Not-Executed: 1'
    )


class ForwardTest(unittest.IsolatedAsyncioTestCase):
    """Requests and answers are passed on unchanged."""

    async def test_verbatim(self) -> None:
        """Requests and answers are passed on with all their parts.

        Some headers are changed on purpose, and the HTTP client adds none.
        """
        upstream = loopback.Upstream('u1', _answers(body=b'the answer'))
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            answer = await site.call(
                'POST', '/r/%7Ea//b?x=%20&y', b'{"a": 1}', 'X-Own: 1'
            )
        self.assertEqual((200, b'the answer'), (answer.status, answer.body))
        self.assertEqual('3e1b', answer.headers['response-stamp'])
        (request,) = upstream.received
        self.assertEqual('POST /r/%7Ea//b?x=%20&y HTTP/1.1', request.line)
        self.assertEqual(b'{"a": 1}', request.body)
        self.assertEqual('a.example', request.headers['host'])
        self.assertEqual('u1', request.headers['expect-instance'])
        self.assertEqual('1', request.headers['x-own'])
        self.assertLessEqual(int(request.headers['deadline-ms']), 2000)
        for name in ('accept', 'accept-encoding', 'user-agent'):
            self.assertNotIn(name, request.headers)

    async def test_server_error(self) -> None:
        """A server's error answer is returned unchanged."""
        upstream = loopback.Upstream(
            'u1', _answers(status='500 Failed', body=b'no')
        )
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            answer = await site.call('POST', body=b'x')
        self.assertEqual((500, b'no'), (answer.status, answer.body))
        self.assertEqual(1, len(upstream.received))

    async def test_connection_reused(self) -> None:
        """A second request needs no new connection to the server."""
        upstream = loopback.Upstream('u1', _answers())
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route())
            for _ in range(3):
                self.assertEqual(200, (await site.call()).status)
            self.assertEqual(0, upstream.closed)

    async def test_refused_by_this_instance(self) -> None:
        """Requests without a configuration, route or server are refused."""
        async with loopback.Site().running() as site:
            starting = await site.call()
            site.configure(loopback.route())
            unknown = await site.call(target='/other/x')
            nowhere = await site.call()
        self.assertEqual(503, starting.status)
        self.assertEqual(404, unknown.status)
        self.assertEqual(503, nowhere.status)
        self.assertGreater(float(nowhere.headers['retry-after']), 0.0)

    async def test_held_during_the_start(self) -> None:
        """A request before the first configuration is served once it comes.

        Its body is read after the hold, and it reaches a server once.
        """
        upstream = loopback.Upstream('u1', _answers(body=b'late'))
        async with loopback.Site(upstream).running() as site:
            early = asyncio.create_task(site.call('POST', body=b'{"a": 1}'))
            await asyncio.sleep(0.1)
            self.assertFalse(early.done())
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            answer = await early
        self.assertEqual((200, b'late'), (answer.status, answer.body))
        (request,) = upstream.received
        self.assertEqual(b'{"a": 1}', request.body)

    async def test_two_body_lengths(self) -> None:
        """A request with two body lengths reaches no server."""
        upstream = loopback.Upstream('u1', _answers())
        inner = b'GET /r/inner HTTP/1.1\r\nHost: a.example\r\n\r\n'
        body = b'0\r\n\r\n' + inner
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route())
            answer = await site.raw(
                b'POST /r/x HTTP/1.1\r\nHost: a.example\r\n'
                b'Attempt-Id: 1\r\nTransfer-Encoding: chunked\r\n'
                b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
            )
            await anyio.sleep(0.05)
        self.assertEqual(400, answer.status)
        self.assertEqual('close', answer.headers['connection'])
        self.assertEqual([], upstream.received)

    async def test_caller_leaves(self) -> None:
        """A request ends at its server when its caller leaves."""
        upstream = loopback.Upstream('u1', _never_answers)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(max_attempts=1))
            _, writer = await site.connect()
            writer.write(
                b'GET /r/x HTTP/1.1\r\nHost: a.example\r\n'
                b'Attempt-Id: 1\r\n\r\n'
            )
            while not upstream.received:
                await anyio.sleep(0.01)
            server = site.registry.get('u1')
            assert server is not None
            self.assertEqual(1, server.in_flight)
            writer.close()
            with anyio.fail_after(2.0):
                while server.in_flight:
                    await anyio.sleep(0.01)


class RetryTest(unittest.IsolatedAsyncioTestCase):
    """Which requests are retried, and the answer if they are not."""

    async def _call_two_servers(
        self, first: loopback.Script, **changes: typing.Any
    ) -> tuple[loopback.Answer, int]:
        """Return the answer and the number of servers that got the request.

        The server that is asked first answers by the script, the other one
        with success.
        """
        asked: list[str] = []

        def script(name: str) -> loopback.Script:
            async def run(
                request: loopback.Received, writer: asyncio.StreamWriter
            ) -> bool:
                asked.append(name)
                if len(asked) == 1:
                    return await first(request, writer)
                return await _answer(writer, request)

            return run

        upstreams = [
            loopback.Upstream(name, script(name)) for name in ('u1', 'u2')
        ]
        async with loopback.Site(*upstreams).running() as site:
            site.configure(loopback.route(**changes))
            answer = await site.call('POST', body=b'x')
        self.assertEqual(len(asked), len(set(asked)))
        return answer, len(asked)

    async def test_broken(self) -> None:
        """A request that may have run is retried only if it is idempotent."""
        answer, asked = await self._call_two_servers(_breaks_connection)
        self.assertEqual((200, 2), (answer.status, asked))
        answer, asked = await self._call_two_servers(
            _breaks_connection, kind=Kind.NON_IDEMPOTENT
        )
        self.assertEqual((502, 1), (answer.status, asked))

    async def test_not_executed(self) -> None:
        """A request that a server did not run is sent to another one."""
        answer, asked = await self._call_two_servers(
            _refuses(), kind=Kind.NON_IDEMPOTENT, max_attempts=1
        )
        self.assertEqual((200, 2), (answer.status, asked))

    async def test_answer_to_another_request(self) -> None:
        """The answer to another request is dropped."""
        crossed = _answers(attempt='0ther')
        answer, asked = await self._call_two_servers(crossed)
        self.assertEqual((200, b'done', 2), (*answer[::2], asked))
        answer, asked = await self._call_two_servers(
            crossed, kind=Kind.NON_IDEMPOTENT
        )
        self.assertEqual((502, 1), (answer.status, asked))

    async def test_not_a_servers_answer(self) -> None:
        """A success without a stamp, or encoded, is not passed on."""
        for extra in ('X-None: 1', 'Response-Stamp: 1\r\nContent-Encoding: x'):
            answer, asked = await self._call_two_servers(
                _answers(extra=extra), kind=Kind.NON_IDEMPOTENT
            )
            self.assertEqual((502, 1), (answer.status, asked))

    async def test_unmarked_503(self) -> None:
        """A request may have run if a 503 lacks the not-executed header."""
        for extra in ('X-None: 1', 'Response-Stamp: 1'):
            failed = _answers(status='503 Failed', body=b'', extra=extra)
            answer, asked = await self._call_two_servers(
                failed, kind=Kind.NON_IDEMPOTENT
            )
            self.assertEqual((502, 1), (answer.status, asked))

    async def test_all_servers_refuse(self) -> None:
        """If all servers refuse a request, its caller gets a time to retry."""
        upstream = loopback.Upstream('u1', _refuses())
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.NON_IDEMPOTENT))
            answer = await site.call('POST', body=b'x')
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers['retry-after']), 0.0)


def _event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def _streams(*parts: bytes, end: bool = True) -> loopback.Script:
    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.headers['attempt-id']
        writer.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n'
            'Response-Stamp: 3e1b\r\nContent-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        writer.write(loopback.chunked(*parts, end=end))
        await writer.drain()
        return end

    return script


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams end complete, are resumed elsewhere or are visibly cut."""

    async def _call(
        self,
        *scripts: loopback.Script,
        **changes: typing.Any,
    ) -> tuple[loopback.Answer, list[loopback.Received]]:
        """Answer each attempt by the next script, at whichever server."""
        remaining = list(scripts)
        received: list[loopback.Received] = []

        async def run(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            received.append(request)
            return await remaining.pop(0)(request, writer)

        upstreams = [loopback.Upstream(name, run) for name in ('u1', 'u2')]
        async with loopback.Site(*upstreams).running() as site:
            site.configure(loopback.route(kind=Kind.STREAMING, **changes))
            answer = await site.call('POST', body=b'x')
        return answer, received

    async def test_whole(self) -> None:
        """All events arrive in order, however they are split into chunks."""
        text = b''.join(_event(number) for number in range(1, 6))
        answer, _ = await self._call(_streams(text[:31], text[31:]))
        self.assertTrue(answer.whole)
        self.assertEqual(text, answer.body)

    async def test_resumed(self) -> None:
        """The caller gets one answer, with each event once."""
        first = _streams(_event(1), _event(2), b'id: 3\nda', end=False)
        second = _streams(_event(3), _event(4))
        answer, received = await self._call(first, second, resumable=True)
        self.assertTrue(answer.whole)
        expected = b''.join(_event(number) for number in range(1, 5))
        self.assertEqual(expected, answer.body)
        self.assertEqual('2', received[1].headers['last-event-id'])

    async def test_not_resumable(self) -> None:
        """A stream that was cut does not look complete to its caller."""
        first = _streams(_event(1), _event(2), end=False)
        answer, received = await self._call(first)
        self.assertFalse(answer.whole)
        self.assertEqual(_event(1) + _event(2), answer.body)
        self.assertEqual(1, len(received))

    async def test_missing_event(self) -> None:
        """Events after a missing one are not passed on."""
        first = _streams(_event(1), _event(3))
        second = _streams(_event(2), _event(3))
        answer, _ = await self._call(first, second, resumable=True)
        self.assertTrue(answer.whole)
        expected = b''.join(_event(number) for number in range(1, 4))
        self.assertEqual(expected, answer.body)

    async def test_no_events(self) -> None:
        """A stream that breaks before its first event is refused."""
        answer, received = await self._call(_breaks_connection)
        self.assertEqual((502, 1), (answer.status, len(received)))

    async def test_undeclared_model(self) -> None:
        """Its requests are refused at once, although a server is free."""
        upstream = loopback.Upstream('u1', _breaks_connection)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.STREAMING))
            spec = routes_api.EngineSpec(4, 1000, 100.0, 2, 1.0, {})
            service = routes_api.Service('s', '/healthz', 100, spec)
            site.scheduler.configure({'s': service})
            answer = await site.call('POST', body=b'x', extra='Model: m')
            self.assertEqual({}, site.scheduler.demand())
        self.assertEqual(503, answer.status)
        self.assertIn('retry-after', answer.headers)
        self.assertEqual([], upstream.received)

    async def test_loading_model(self) -> None:
        """A caller that cannot wait for a load learns its expected end."""
        upstream = loopback.Upstream('u1', _breaks_connection)
        async with loopback.Site(upstream).running() as site:
            site.configure(loopback.route(kind=Kind.STREAMING))
            ready_at = clocks.SteadyClock().now() + 40.0
            site.scheduler.update_loading({('s', 'm'): ready_at})
            answer = await site.call('POST', body=b'x', extra='Model: m')
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers['retry-after']), 30.0)
        self.assertEqual([], upstream.received)


class OutdatedConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """A final refusal needs a configuration that is known to be current."""

    async def test_no_route_while_behind(self) -> None:
        """A route that a newer version may have is refused for now."""
        lines = fakes.log_lines(self)
        async with loopback.Site().running() as site:
            site.configure(loopback.route())
            site.freshness.versions.on_active(1, 0.0)
            current = await site.call(target='/other/x')
            site.freshness.versions.on_heard_of(7, 0.0)
            behind = await site.call(target='/other/x')
        self.assertEqual((404, 503), (current.status, behind.status))
        self.assertLess(0.0, float(behind.headers['retry-after']))
        refusals = [
            (line['reason'], line['detail'])
            for line in lines
            if line['message_type'] == 'request:refused'
        ]
        self.assertEqual(
            [
                ('no_route', ''),
                ('configuration_outdated', 'no_route, version 1 of 7'),
            ],
            refusals,
        )

    async def test_no_route_while_store_unavailable(self) -> None:
        """Nobody tells of newer versions, so there may be one."""
        async with loopback.Site().running() as site:
            site.configure(loopback.route())
            site.freshness.store_unavailable = True
            answer = await site.call(target='/other/x')
        self.assertEqual(503, answer.status)
        self.assertLess(1.0, float(answer.headers['retry-after']))

    async def test_version_found_by_the_refusal(self) -> None:
        """A version that is read before a refusal has its routes used."""
        lines = fakes.log_lines(self)
        other = loopback.route(path_prefix='/other/')
        async with loopback.Site().running() as site:
            site.configure(loopback.route())
            site.freshness.on_confirm = lambda: site.configure(other)
            for target in ('/other/x', '/none/x'):
                await site.call(target=target)
        reasons = [
            line['reason']
            for line in lines
            if line['message_type'] == 'request:refused'
        ]
        self.assertEqual(['no_server', 'configuration_outdated'], reasons)

    async def test_limits_while_behind(self) -> None:
        """A newer version may also permit larger requests."""
        body = b'x' * (loopback.LIMITS.max_body_bytes + 1)
        header = 'X: ' + 'x' * loopback.LIMITS.max_header_bytes
        statuses = []
        async with loopback.Site().running() as site:
            site.configure(loopback.route())
            site.freshness.versions.on_active(1, 0.0)
            for version in (1, 7):
                site.freshness.versions.on_heard_of(version, 0.0)
                large = await site.call('POST', body=body)
                long = await site.call(extra=header)
                statuses.append((large.status, long.status))
        self.assertEqual([(413, 431), (503, 503)], statuses)

    async def test_malformed_while_behind(self) -> None:
        """No version permits a malformed request."""
        async with loopback.Site().running() as site:
            site.configure(loopback.route())
            site.freshness.versions.on_heard_of(7, 0.0)
            answer = await site.raw(b'GET /r/x HTTP/1.1\r\n\r\n')
        self.assertEqual(400, answer.status)

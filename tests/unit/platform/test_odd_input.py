"""Tests of odd input from other programs: any bytes give a value or an error.

An exception would end a watch that serves all (LOST), or a request that
another server can take.
"""

from __future__ import annotations

import asyncio
import json
import math
import typing
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from ..gateway import fakes
from ..gateway import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.external import decoding
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import events
from dogwoodquay.gateway import store_api
from dogwoodquay.gateway import watch
from dogwoodquay.platform import engines
from dogwoodquay.platform import headers
from dogwoodquay.platform import manifest
from dogwoodquay.platform import servers
from dogwoodquay.routes import api as routes_api
from dogwoodquay.wire import codec

_ENTRY: typing.Final = {
    'Service': 's',
    'Address': '127.0.0.1:9',
    'Zone': 'd1',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'Sequence': 1,
    'Models': [{'Name': 'm', 'Version': 1, 'Adapters': ['a1']}],
}
_MANIFEST: typing.Final = {
    'Version': 1,
    'Routes': [
        {
            'Name': 'r',
            'Host': 'a.example',
            'PathPrefix': '/r/',
            'Type': 'idempotent',
            'TimeoutMs': 800,
            'Service': 's',
        }
    ],
}
_REPORT: typing.Final = {'Models': [], 'Sequence': 1, 'KvTotal': 9}

_NUMBERS: typing.Final = (
    b'-1',
    b'0',
    b'1e308',
    b'1e309',
    b'-1e308',
    b'0.5',
    b'9' * 400,
    b'9' * 5000,
    b'-' + b'9' * 400,
    str(2**63).encode(),
    str(2**64).encode(),
)
_ODD: typing.Final = (
    *_NUMBERS,
    b'[' * 3000,
    b'[' * 3000 + b']' * 3000,
    b'{"a":' * 3000 + b'1' + b'}' * 3000,
    b'null',
    b'""',
    b'"\\ud800"',
    b'"\xff"',
    b'"127.0.0.1:70000"',
    b'"127.0.0.1:0"',
    b'"127.0.0.1:' + b'9' * 5000 + b'"',
    '"127.0.0.1:\u0663\u0664"'.encode(),
    '"\u00e4:80"'.encode(),
    b'"example:80"',
    b'":80"',
    b'"' + b'x' * 5000 + b'"',
    b'true',
    b'[7]',
    b'[null]',
    b'{}',
)


def _changed(fields: dict[str, typing.Any], name: str, value: bytes) -> bytes:
    """Return a JSON object with one member replaced or added."""
    marked = json.dumps({**fields, name: '@'}).encode()
    return marked.replace(b'"@"', value, 1)


def _bodies(
    fields: dict[str, typing.Any],
) -> strategies.SearchStrategy[bytes]:
    """Return bodies that are odd in one field, or altogether."""
    names = strategies.sampled_from([*fields, 'Labels'])
    values = strategies.sampled_from(_ODD) | strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        strategies.lists,
    ).map(lambda value: json.dumps(value).encode())
    changed = strategies.builds(
        _changed, strategies.just(fields), names, values
    )
    return changed | strategies.binary(max_size=64)


_KEYS: typing.Final = strategies.text(max_size=20) | strategies.sampled_from(
    ['i-1', 'i 1', 'i\r\nx: y', '\u20ac', 'x' * 300, ' i']
)


class DecodersTest(unittest.TestCase):
    """Decoders are total, and what they return is in range."""

    @settings(max_examples=400)
    @given(_KEYS, _bodies(_ENTRY))
    def test_entries(self, key: str, body: bytes) -> None:
        """An entry names a server that can be connected to, or none."""
        found = servers.decode(key, body)
        if found.is_error():
            self.assertLessEqual(
                len(found.error), decoding.MAX_REASON_CHARACTERS
            )
            return
        entry = found.ok
        self.assertTrue(0 < entry.port < 65536)
        self.assertTrue(0 < entry.slots <= 1_000_000)
        self.assertTrue(0 <= entry.report_number <= decoding.MAX_COUNT)
        self.assertTrue(entry.server_id.isprintable())
        entry.server_id.encode('latin-1')

    def test_every_odd_value(self) -> None:
        """Each value in each field."""
        for value in _ODD:
            for name in (*_ENTRY, 'Labels'):
                servers.decode('i', _changed(_ENTRY, name, value))
            for name in (*_MANIFEST, 'Limits', 'Labels'):
                manifest.decode(_changed(_MANIFEST, name, value))
            for name in (*_REPORT, 'AtHand', 'Coming', 'Running'):
                body = _changed(_REPORT, name, value)
                found = decoding.decode_json(body, engines._Report)
                if found.is_ok():
                    self.assertLessEqual(
                        engines._report(found.ok).order_number,
                        decoding.MAX_COUNT,
                    )

    @given(_bodies(_MANIFEST))
    def test_manifests(self, body: bytes) -> None:
        """A configuration is decoded, or is refused with a reason."""
        manifest.decode(body)

    @given(_bodies(_REPORT))
    def test_reports(self, body: bytes) -> None:
        """A report of an engine."""
        found = decoding.decode_json(body, engines._Report)
        if found.is_ok():
            engines._report(found.ok)

    @given(strategies.binary(max_size=200))
    def test_messages(self, data: bytes) -> None:
        """A frame of a peer."""
        try:
            frame = codec.decode(data, codec.Frame)
            codec.Codec().message(frame.body)
        except codec.CodecError:
            return

    def test_nested_messages(self) -> None:
        """A frame that nests deeply, or announces more than there is."""
        for data in (
            b'\x81' * 3000,
            b'\x81' * 100_000 + b'\x01',
            b'\x9b\xff' + b'\xff' * 7,
            b'\x5b\x7f' + b'\xff' * 7,
            b'\xc2\x5a\x00\x00\x10\x00' + b'\xff' * 4096,
            b'\xc0\x61x',
        ):
            with self.assertRaises(codec.CodecError):
                codec.decode(data, codec.Frame)

    @given(strategies.binary(max_size=30))
    def test_event_ids(self, text: bytes) -> None:
        """The id of an event."""
        events.EventSplitter(3).feed(b'id: ' + text + b'\n\n')

    def test_long_event_id(self) -> None:
        """An id of more digits than a number may have."""
        found = events.EventSplitter(3).feed(b'id: ' + b'9' * 5000 + b'\n\n')
        self.assertEqual('event_id', found.fault)


_HEADER_VALUES: typing.Final = (
    *_NUMBERS,
    b'nan',
    b'inf',
    b'1e308,1e308,8',
    b'1e308,0,8',
    b'9' * 400 + b',0,8',
    '\u0663'.encode(),
    b'\xb2',
    b'a:' + b'9' * 5000,
    b'timeout=1e308',
    b'timeout=' + b'9' * 400,
    b',,,',
    b'',
)


class HeadersTest(unittest.TestCase):
    """Headers of callers and servers."""

    ANSWER = (
        b'server-load',
        b'server-limit',
        b'keep-alive',
        b'attempt-id',
        b'connection',
        b'content-encoding',
    )
    CALLER = (
        b'deadline-ms',
        b'token-usage',
        b'prompt-prefix',
        b'last-event-id',
        b'resumes',
        b'model',
    )

    def test_every_odd_value(self) -> None:
        """Each value in each header."""
        for value in _HEADER_VALUES:
            for name in self.ANSWER:
                self._check_answer(name, value)
            for name in self.CALLER:
                self._check_caller(name, value)

    @given(strategies.sampled_from(ANSWER), strategies.binary())
    def test_answers(self, name: bytes, value: bytes) -> None:
        """What is computed of a server's headers stays finite."""
        self._check_answer(name, value)

    @given(strategies.sampled_from(CALLER), strategies.binary())
    def test_callers(self, name: bytes, value: bytes) -> None:
        """The same for a caller's headers."""
        self._check_caller(name, value)

    def _check_answer(self, name: bytes, value: bytes) -> None:
        terms = headers.answer_terms(200, [(name, value)])
        load = (terms.running or 0) + (terms.waiting or 0)
        self.assertTrue(math.isfinite(load / 3))
        self.assertTrue(math.isfinite(terms.idle_seconds))
        self.assertTrue(math.isfinite((terms.rate_limit or 0.0) * 1000.0))

    def _check_caller(self, name: bytes, value: bytes) -> None:
        terms = headers.caller_terms([(name, value)])
        tokens = terms.prompt_tokens + terms.output_tokens
        tokens += sum(part.tokens for part in terms.prompt_parts)
        self.assertTrue(math.isfinite(tokens * 1.5))
        self.assertGreaterEqual(terms.wait_seconds, 0.0)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """No entry ends the watch of the list."""

    async def test_every_odd_value(self) -> None:
        """Servers behind an odd entry are followed."""
        clock = clocks.ManualClock()
        store = fakes.FakeStore(clock)
        registry = registries.Registry()
        subject = watch.ServerWatch(
            store,
            store_api.Topic('any'),
            servers.decode,
            registry,
            0.7,
            clock,
            fakes.make_metrics(),
            lambda: None,
        )
        count = 0
        for value in _ODD:
            for name in (*_ENTRY, 'Labels'):
                count += 1
                store.put('odd', _changed(_ENTRY, name, value))
                store.put(f's{count}', json.dumps(_ENTRY).encode())
                await subject.step()
                self.assertIn(f's{count}', registry.servers)


def _answers(name: bytes, value: bytes) -> loopback.Script:
    """Return a script that sends a head with one odd header, and closes."""

    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.headers['attempt-id'].encode()
        writer.write(
            b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: 3\r\n'
            b'%s: %s\r\n\r\n' % (attempt, name, value)
        )
        await writer.drain()
        return False

    return script


async def _sound(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    attempt = request.headers['attempt-id'].encode()
    writer.write(
        b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: 3\r\n'
        b'Content-Length: 5\r\n\r\nsound' % attempt
    )
    await writer.drain()
    return True


class OddServerTest(unittest.IsolatedAsyncioTestCase):
    """A server with odd answers costs no request that another can take."""

    async def test_odd_heads(self) -> None:
        """Each value in a header that is read, and in those of HTTP."""
        for name in (b'content-length', b'transfer-encoding', b'server-load'):
            for value in _HEADER_VALUES:
                await self._assert_served(name, value)

    async def test_exception(self) -> None:
        """An unexpected exception is a failed attempt, logged once."""
        lines = fakes.log_lines(self)
        site = loopback.Site(
            *(loopback.Upstream(name, _sound) for name in ('u1', 'u2'))
        )
        whole = site.exchange.run

        async def run(
            call: typing.Any, server: typing.Any, *args: typing.Any
        ) -> typing.Any:
            if server.entry.server_id == 'u1':
                raise OverflowError
            return await whole(call, server, *args)

        site.exchange.run = run  # type: ignore[method-assign]
        async with site.running():
            site.configure(
                loopback.route(kind=routes_api.RouteKind.IDEMPOTENT)
            )
            for _ in range(6):
                self.assertEqual(200, (await site.call()).status)
        kinds = [line['message_type'] for line in lines]
        self.assertEqual(1, kinds.count('request:exception'))
        self.assertNotIn('request:connection_lost', kinds)

    async def _assert_served(self, name: bytes, value: bytes) -> None:
        lines = fakes.log_lines(self)
        site = loopback.Site(
            loopback.Upstream('u1', _answers(name, value)),
            loopback.Upstream('u2', _sound),
        )
        async with site.running():
            site.configure(
                loopback.route(kind=routes_api.RouteKind.IDEMPOTENT)
            )
            for _ in range(3):
                answer = await site.call()
                self.assertEqual(200, answer.status, (name, value[:20]))
                self.assertTrue(answer.whole)
        lost = [
            line
            for line in lines
            if line['message_type'] == 'request:connection_lost'
        ]
        self.assertEqual([], lost, (name, value[:20]))

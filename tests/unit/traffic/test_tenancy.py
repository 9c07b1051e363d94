"""Tests of requests of tenants, with and without valid keys."""

from __future__ import annotations

import asyncio
import json
import typing
import unittest

import anyio

from dogwoodquay.gateway import api
from dogwoodquay.gateway import resumption
from dogwoodquay.platform import headers
from dogwoodquay.routes import api as routes_api
from dogwoodquay.tenants import api as tenants_api
from tests.unit.gateway import fakes
from tests.unit.gateway import loopback

_A = tenants_api.Tenant('a', ('secret',), 1)
_B = tenants_api.Tenant('b', ('other',))
_KEY = 'Api-Key: secret'


async def _serve(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    attempt = request.headers['attempt-id']
    writer.write(
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n'
        'Response-Stamp: 1\r\nContent-Length: 0\r\n\r\n'.encode()
    )
    await writer.drain()
    return True


class _TenancyCase(unittest.IsolatedAsyncioTestCase):
    """A site with one server."""

    def setUp(self) -> None:
        self.lines = fakes.log_lines(self)
        self.upstream = loopback.Upstream('u1', _serve)
        self.site = loopback.Site(self.upstream)
        self.route = loopback.route(priority=2)

    def _reasons(self) -> list[str]:
        return [
            line['detail'] or line['reason']
            for line in self.lines
            if line['message_type'] == 'request:refused'
        ]


class RequestTest(_TenancyCase):
    """Only requests with a valid key reach a server, without the key."""

    async def _statuses(self, *extras: str) -> list[int]:
        return [(await self.site.call(extra=extra)).status for extra in extras]

    async def test_keys(self) -> None:
        """The server gets the tenant's name, and nobody gets the key."""
        async with self.site.running() as site:
            site.configure(self.route, tenants=(_A, _B))
            statuses = await self._statuses(
                f'{_KEY}\r\nTenant: b\r\nTENANT: b\r\nApi_Key: secret',
                '',
                'Api-Key: wrong',
                f'{_KEY}\r\n{_KEY}',
                'Tenant: a',
            )
        self.assertEqual([200, 401, 401, 401, 401], statuses)
        (request,) = self.upstream.received
        self.assertEqual('a', request.headers['tenant'])
        self.assertEqual('5', request.headers['request-priority'])
        self.assertNotIn('secret', request.headers.values())
        self.assertEqual(
            ['no_key', 'unknown_key', 'no_key', 'no_key'], self._reasons()
        )
        self.assertEqual(
            {'no_key': 3, 'unknown_key': 1},
            site.counts('gateway_unauthorized_total'),
        )
        self.assertNotIn('secret', json.dumps(self.lines, default=repr))

    async def test_trailers(self) -> None:
        """A trailer neither holds a key nor becomes a header."""
        chunked = b'Transfer-Encoding: chunked\r\n\r\n'
        head = b'POST /r/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n'
        trailer = b'0\r\nTenant: b\r\nApi-Key: secret\r\n\r\n'
        async with self.site.running() as site:
            site.configure(self.route, tenants=(_A, _B))
            refused = await site.raw(head + chunked + trailer)
            key = b'Api-Key: secret\r\n'
            served = await site.raw(head + key + chunked + trailer)
        self.assertEqual((401, 200), (refused.status, served.status))
        (request,) = self.upstream.received
        self.assertEqual('a', request.headers['tenant'])
        self.assertNotIn('api-key', request.headers)

    async def test_public_route(self) -> None:
        """No key is needed, and a wrong one does no harm."""
        async with self.site.running() as site:
            public = self.route._replace(public=True)
            site.configure(public, tenants=(_A,))
            statuses = await self._statuses('Tenant: a', 'Api-Key: x', _KEY)
        self.assertEqual([200] * 3, statuses)
        named = [r.headers.get('tenant') for r in self.upstream.received]
        self.assertEqual([None, None, 'a'], named)

    async def test_no_tenants(self) -> None:
        """Without declared tenants the headers have no meaning."""
        async with self.site.running() as site:
            site.configure(self.route)
            statuses = await self._statuses('', f'{_KEY}\r\nTenant: z')
        self.assertEqual([200] * 2, statuses)
        request = self.upstream.received[1]
        self.assertEqual('z', request.headers['tenant'])
        self.assertEqual('secret', request.headers['api-key'])
        self.assertEqual('2', request.headers['request-priority'])

    async def test_no_usable_record(self) -> None:
        """Odd records do not open the site; they are logged once."""
        dropped = (
            tenants_api.Dropped('#0', tenants_api.DropReason.NAME),
            tenants_api.Dropped('#1', tenants_api.DropReason.NO_KEYS),
        )
        async with self.site.running() as site:
            site.configure(self.route, dropped=dropped)
            self.assertEqual([401, 401], await self._statuses('', _KEY))
        (line,) = (
            line
            for line in self.lines
            if line['message_type'] == 'tenants:dropped'
        )
        self.assertEqual({'name': 1, 'no_keys': 1}, line['reasons'])
        self.assertEqual(
            {'name': 1, 'no_keys': 1},
            site.counts('gateway_tenants_dropped_total'),
        )

    async def test_newer_version(self) -> None:
        """A key may be new: nobody is refused for good by an old version."""
        async with self.site.running() as site:
            site.configure(self.route, tenants=(_B,))
            site.freshness.store_unavailable = True
            statuses = await self._statuses(_KEY, 'Api-Key: other')
            site.freshness.store_unavailable = False
            site.freshness.on_confirm = lambda: site.configure(
                self.route, tenants=(_A,)
            )
            statuses += await self._statuses(_KEY)
        self.assertEqual([503, 200, 200], statuses)


class RevocationTest(_TenancyCase):
    """A key that is withdrawn while its request waits."""

    async def _call_with_change(
        self, *after: tenants_api.Tenant, breaks: bool = False
    ) -> int:
        """Change the tenants during the first of two attempts."""

        async def refuse(
            request: loopback.Received, writer: asyncio.StreamWriter
        ) -> bool:
            if len(self.upstream.received) > 1:
                return await _serve(request, writer)
            self.site.configure(self.route, tenants=after)
            if breaks:
                return False
            writer.write(
                b'HTTP/1.1 503 X\r\nAttempt-Id: c0ffee\r\nNot-Executed: 1\r\n'
                b'Response-Stamp: 1\r\nContent-Length: 0\r\n\r\n'
            )
            await writer.drain()
            return True

        self.upstream.script = refuse
        async with self.site.running() as site:
            site.configure(self.route, tenants=(_A, _B))
            second = loopback.Upstream('u2', refuse)
            second.received = self.upstream.received
            await second.start()
            site.registry.update(second.entry(), 0.0)
            answer = await site.call(extra=_KEY)
            second.stop()
            await anyio.sleep(0)
        server = site.registry.get('u1')
        assert server is not None
        self.assertEqual(0, server.in_flight)
        return answer.status

    async def test_revoked(self) -> None:
        """A request that has not run gets 401 and is not sent again."""
        self.assertEqual(401, await self._call_with_change(_B))
        self.assertEqual(1, len(self.upstream.received))
        self.assertEqual(['key_revoked'], self._reasons())

    async def test_moved(self) -> None:
        """Both versions allow the request; it runs for who has the key.

        Guards against valid requests that get 401 (DENIED).
        """
        moved = _B._replace(api_keys=_A.api_keys)
        self.assertEqual(200, await self._call_with_change(_A._replace(
            api_keys=('new',)), moved))  # fmt: skip
        first, second = self.upstream.received
        self.assertEqual(_A.name, first.headers['tenant'])
        self.assertEqual(_B.name, second.headers['tenant'])

    async def test_kept(self) -> None:
        """Another version with the key changes nothing."""
        self.assertEqual(200, await self._call_with_change(_A))

    async def test_may_have_run(self) -> None:
        """A 401 would say that it did not run."""
        self.assertEqual(502, await self._call_with_change(_B, breaks=True))
        self.assertEqual(['unauthorized'], self._reasons())


def _call(**changes: typing.Any) -> api.Call:
    terms = headers.caller_terms(((b'attempt-id', b'1'),))
    call = api.Call('1', 'GET', '/', (), b'', terms, loopback.route(),
                    's', 0.0, 1.0)  # fmt: skip
    return call._replace(**changes)


class CallTest(unittest.TestCase):
    """What follows from the tenant of a request."""

    def test_priority(self) -> None:
        """The tenant's goes before the route's, in one digit."""
        for by_tenant, by_route, expected in (
            (None, 7, 7),
            (0, 0, 0),
            (0, 9, 2),
            (1, 0, 3),
            (2, 1, 7),
            (5, 1, 9),
        ):
            call = _call(
                route=loopback.route(priority=by_route),
                tenant=_A._replace(priority=by_tenant),
            )
            self.assertEqual(expected, call.priority)
        plain = _call(route=loopback.route(priority=4))
        self.assertEqual(4, plain.priority)

    def test_stream_of_another_tenant(self) -> None:
        """It is told apart; without tenants nothing is added to the record."""
        owners = {
            resumption._owner(_call(tenant=tenant))
            for tenant in (None, _A, _B)
        }
        self.assertEqual(3, len(owners))
        self.assertIn('', owners)

    def test_revoked_on_a_public_route(self) -> None:
        """It needs no key, but does not run in the name of the tenant."""
        subject = fakes.make_tenancy()
        call = _call(route=loopback.route(public=True), tenant=_A)
        subject.configure(
            routes_api.Configuration(1, (), {}, loopback.LIMITS, (_B,))
        )
        renewed = subject.renew(call)
        assert isinstance(renewed, api.Call)
        self.assertIsNone(renewed.tenant)

    def test_key_is_not_kept(self) -> None:
        """A request in flight holds the digest of its key alone."""
        subject = fakes.make_tenancy()
        subject.configure(
            routes_api.Configuration(1, (), {}, loopback.LIMITS, (_A,))
        )
        sent = ((b'api-key', b'secret'),)
        terms = headers.caller_terms(sent)
        call = subject.assign(_call(headers=sent, terms=terms), _A)
        self.assertNotIn('secret', str((*call, call)))
        self.assertEqual(b'', call.terms.api_key)
        self.assertEqual(call, subject.renew(call))

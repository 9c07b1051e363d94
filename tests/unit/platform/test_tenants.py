"""Tests of decoding declared tenants, and of the headers about them."""

from __future__ import annotations

import json
import typing
import unittest

import msgspec

from . import test_odd_input
from dogwoodquay.external import decoding
from dogwoodquay.gateway import api as gateway_api
from dogwoodquay.platform import headers
from dogwoodquay.platform import manifest
from dogwoodquay.routes import api as routes_api
from dogwoodquay.tenants import api

Reason = api.DropReason


def _decode(
    *records: bytes | dict[str, typing.Any], public: bytes = b'false'
) -> routes_api.Configuration:
    items = (
        item if isinstance(item, bytes) else json.dumps(item).encode()
        for item in records
    )
    body = (
        b'{"Version": 1, "Routes": [{"Name": "r", "Host": "h", "PathPrefix":'
        b'"/", "Type": "idempotent", "TimeoutMs": 1, "Public": %s}],'
        b'"Tenants": [%s]}' % (public, b','.join(items))
    )
    decoded = manifest.decode(body)
    assert decoded.is_ok(), decoded.error
    return decoded.ok


def _tenant(**fields: typing.Any) -> dict[str, typing.Any]:
    return {'Name': 'a', 'ApiKeys': ['k']} | fields


class RecordsTest(unittest.TestCase):
    """Usable records are used, whatever stands beside them."""

    def test_complete_record(self) -> None:
        """All fields, and the defaults of absent ones."""
        full = _tenant(
            Priority=1, RatePerS=2.5, Burst=9, Unit='token_count',
            PlainTokens=30, More=[],
        )  # fmt: skip
        found = _decode(full, _tenant(Name='b', RatePerS=0)).tenants
        self.assertEqual(
            (
                api.Tenant('a', ('k',), 1, 2.5, 9.0, api.Unit.TOKENS, 30),
                api.Tenant('b', ('k',)),
            ),
            found,
        )

    def test_dropped_records(self) -> None:
        """None costs another tenant its service, or shows a key."""
        odd: tuple[tuple[bytes | dict[str, typing.Any], Reason], ...] = (
            (b'7', Reason.UNREADABLE),
            (_tenant(Name=''), Reason.NAME),
            (_tenant(Name='a\r\nTenant: b'), Reason.NAME),
            (_tenant(Name=' a'), Reason.NAME),
            (_tenant(Name=5), Reason.NAME),
            ({'Name': 'x'}, Reason.NO_KEYS),
            (_tenant(ApiKeys='secret'), Reason.NO_KEYS),
            (_tenant(ApiKeys=[]), Reason.NO_KEYS),
            (_tenant(RatePerS='5'), Reason.RATE_UNREADABLE),
            (_tenant(Burst=True), Reason.RATE_UNREADABLE),
            (_tenant(Name='good'), Reason.NAME_TWICE),
        )
        good = _tenant(Name='good')
        for record, reason in odd:
            found = _decode(good, record)
            self.assertEqual(['good'], [item.name for item in found.tenants])
            reasons = [item.reason for item in found.dropped_tenants]
            self.assertEqual([reason], reasons)
            self.assertNotIn('secret', repr(found))
        alone = _decode(b'7')
        self.assertTrue(alone.tenants_declared)
        self.assertFalse(_decode().tenants_declared)

    def test_odd_rates(self) -> None:
        """A rate that is no limit by mistake would let a tenant use all."""
        for value in (b'-1', b'1e999', b'-1e999', b'9' * 400):
            found = _decode(
                b'{"Name":"a","ApiKeys":["k"],"RatePerS":%s}' % value
            )
            self.assertEqual(0.0, found.tenants[0].rate)
            self.assertEqual(
                (api.Dropped('a', Reason.RATE),), found.dropped_tenants
            )

    def test_odd_parts(self) -> None:
        """A key or another part is dropped alone."""
        found = _decode(
            _tenant(
                ApiKeys=['', 7, 'k'],
                Priority=-1,
                Unit='cups',
                PlainTokens='x',
                Burst=-2,
                RatePerS=3,
            )  # fmt: skip
        )
        self.assertEqual((api.Tenant('a', ('k',), None, 3.0),), found.tenants)
        self.assertEqual(
            {
                Reason.KEY, Reason.PRIORITY, Reason.UNIT,
                Reason.PLAIN_TOKENS, Reason.BURST,
            },
            {item.reason for item in found.dropped_tenants},
        )  # fmt: skip

    def test_every_odd_value(self) -> None:
        """No value that the decoder can hold stops the configuration."""
        good = json.dumps(_tenant(Name='good')).encode()
        for value in test_odd_input._ODD:
            if decoding.decode_json(value, msgspec.Raw).is_error():
                continue
            for name in ('Name', 'ApiKeys', 'Priority', 'RatePerS', 'Burst',
                         'Unit', 'PlainTokens'):  # fmt: skip
                record = test_odd_input._changed(_tenant(), name, value)
                found = _decode(good, record, value)
                self.assertEqual('good', found.tenants[0].name)

    def test_public(self) -> None:
        """Only true opens a route."""
        for value in (b'true', b'1', b'"true"', b'null', b'false', b'[]'):
            (route,) = _decode(public=value).routes
            self.assertEqual(value == b'true', route.public)


class HeadersTest(unittest.TestCase):
    """The key stays here, and only this instance names the tenant."""

    SENT = (
        (b'api-key', b'secret'),
        (b'tenant', b'other'),
        (b'Tenant', b'another'),
        (b'api_key', b'secret'),
        (b'x-own', b'1'),
    )

    def _forwarded(self, **changes: typing.Any) -> list[tuple[bytes, bytes]]:
        outgoing = gateway_api.AddedHeaders('i', 1.0, 2, -1, **changes)
        sent = headers.for_server(self.SENT, outgoing)
        names = {name for name, _ in self.SENT}
        return [item for item in sent if item[0] in names]

    def test_declared(self) -> None:
        """A caller cannot name a tenant itself, however it is spelt."""
        for name, added in (('', []), ('a', [(b'tenant', b'a')])):
            self.assertEqual(
                [(b'x-own', b'1'), *added],
                self._forwarded(tenant=name, tenants_declared=True),
            )

    def test_not_declared(self) -> None:
        """Such headers have no meaning and are forwarded as before."""
        self.assertEqual(list(self.SENT), self._forwarded())

    def test_key(self) -> None:
        """A repeated header holds no valid key, and no key is shown."""
        terms = headers.caller_terms(self.SENT)
        self.assertEqual(b'secret', terms.api_key)
        self.assertNotIn('secret', repr(terms))
        twice = headers.caller_terms((*self.SENT[:1], *self.SENT[:1]))
        self.assertEqual(b'', twice.api_key)

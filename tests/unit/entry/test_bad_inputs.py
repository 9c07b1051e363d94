"""Tests that bad requests get a client error with a reason."""

from __future__ import annotations

import typing
import unittest

import anyio

from dogwoodquay.entry import targets
from dogwoodquay.records import api as records_api
from tests.unit.entry import bad_inputs
from tests.unit.entry import client

COUNT = 2000
SEED = 20


class GeneratedTest(unittest.TestCase):
    """Generated requests over sockets to a real server."""

    def test_no_server_error_and_no_hang(self) -> None:
        report = anyio.run(bad_inputs.run, COUNT, SEED)
        self.assertEqual(report.unexpected, [])
        self.assertEqual(report.sent, COUNT)
        self.assertEqual(report.leaked_body_bytes, 0)
        self.assertLessEqual(report.leaked_tasks, 0)
        self.assertLessEqual(
            report.peak_body_bytes, bad_inputs.LIMITS.all_bodies_bytes
        )
        self.assertGreater(len(report.statuses), 6)


class ReasonTest(unittest.TestCase):
    """Each kind of bad input is refused with its own reason."""

    def check(
        self,
        reason: str,
        status: int,
        body: bytes = b'',
        path: str = bad_inputs.CHAT,
        method: str = 'POST',
        headers: dict[str, str] | None = None,
    ) -> None:
        async def main() -> client.Response:
            harness = client.EntryHarness(bad_inputs.LIMITS)
            sent = body or bad_inputs.valid_body()
            with anyio.fail_after(10):
                return await harness.request(method, path, sent, headers)

        response = anyio.run(main)
        self.assertEqual(response.status, status)
        self.assertIn(f'"reason":"{reason}"'.encode(), response.body)
        kind = response.headers['content-type']
        self.assertEqual(kind, 'application/problem+json')

    def test_bad_bodies(self) -> None:
        valid_body = bad_inputs.valid_body
        deep = b'{"model":"ticket","pad":' + b'[' * 9000
        cases: list[tuple[str, int, bytes]] = [
            ('bad_json', 400, b'{'),
            ('bad_utf8', 400, valid_body().replace(b'torn', b'\xc3\x28')),
            ('json_too_deep', 400, deep),
            ('bad_field', 400, valid_body(messages=3)),
            ('bad_field', 400, valid_body(messages=[])),
            ('bad_field', 400, valid_body(messages=[{'role': 1}])),
            ('bad_field', 400, b'[]'),
            ('unknown_model', 404, valid_body(model='nobody')),
            ('body_too_large', 413, valid_body(pad='x' * (64 << 10))),
        ]
        for reason, status, body in cases:
            with self.subTest(reason=reason, body=body[:60]):
                self.check(reason, status, body)

    def test_bad_headers(self) -> None:
        cases: list[tuple[str, int, dict[str, str]]] = [
            ('headers_too_large', 431, {'x-pad': 'y' * 17_000}),
            ('bad_header', 400, {'x-deadline': 'nan'}),
            ('bad_header', 400, {'x-timeout-seconds': '-1'}),
            ('bad_header', 400, {'x-priority': 'high'}),
            ('deadline_passed', 504, {'x-deadline': '1000'}),
            ('bad_idempotency_key', 400, {'idempotency-key': 'once'}),
            ('unsupported_media_type', 415, {'content-type': 'text/plain'}),
            ('no_api_key', 401, {'authorization': ''}),
            ('unknown_api_key', 401, {'authorization': 'Bearer x'}),
        ]
        for reason, status, headers in cases:
            with self.subTest(reason=reason):
                self.check(reason, status, headers=headers)

    def test_bad_paths(self) -> None:
        service = '/services/counter'
        cases = [
            ('unknown_path', 404, '/v1/none', 'GET'),
            ('method_not_allowed', 405, bad_inputs.CHAT, 'GET'),
            ('unknown_service', 404, '/services/none/x', 'GET'),
            ('bad_request_line', 400, f'{service}/a/../b', 'GET'),
            ('bad_request_line', 400, f'{service}/a%2Fb', 'GET'),
            ('unknown_stream', 404, '/v1/streams/x', 'GET'),
        ]
        for reason, status, path, method in cases:
            with self.subTest(path=path):
                self.check(reason, status, path=path, method=method)


class ServicePathTest(unittest.TestCase):
    """Equivalent paths select the same non-idempotent operation."""

    def test_equivalent_paths(self) -> None:
        charge = records_api.Operation('POST', '/tickets/{id}/charge')
        service = records_api.Service('counter', (), (charge,))
        for path in (
            '/services/counter/tickets/7/charge',
            '/services/counter//tickets/7/charge/',
            '/services/counter/tickets/7/%63harge',
            '/services/counter/Tickets/7/CHARGE',
        ):
            found = typing.cast(
                'targets.ServicePath', targets.parse_service_path(path)
            )
            with self.subTest(path=path):
                self.assertFalse(
                    targets.is_idempotent(service, 'POST', found.canonical)
                )
        other = targets.is_idempotent(service, 'GET', '/tickets/7/charge')
        self.assertTrue(other)

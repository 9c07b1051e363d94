"""Bad requests get a client error with a reason, at once."""

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
        self.assertEqual(report.wrong, [])
        self.assertEqual(report.sent, COUNT)
        self.assertEqual(report.left_held_bytes, 0)
        self.assertLessEqual(report.left_tasks, 0)
        self.assertLessEqual(
            report.peak_held_bytes, bad_inputs.LIMITS.all_bodies_bytes
        )
        self.assertGreater(len(report.statuses), 6)


class ReasonTest(unittest.TestCase):
    """Each kind of bad input is told its own reason."""

    def check(
        self,
        reason: str,
        status: int,
        body: bytes = b'',
        path: str = bad_inputs.CHAT,
        method: str = 'POST',
        headers: dict[str, str] | None = None,
    ) -> None:
        async def main() -> client.Reply:
            site = client.Site(bad_inputs.LIMITS)
            sent = body or bad_inputs.valid()
            with anyio.fail_after(10):
                return await site.request(method, path, sent, headers)

        reply = anyio.run(main)
        self.assertEqual(reply.status, status)
        self.assertIn(f'"reason":"{reason}"'.encode(), reply.body)
        kind = reply.headers['content-type']
        self.assertEqual(kind, 'application/problem+json')

    def test_bodies(self) -> None:
        valid = bad_inputs.valid
        deep = b'{"model":"ticket","pad":' + b'[' * 9000
        cases: list[tuple[str, int, bytes]] = [
            ('bad_json', 400, b'{'),
            ('bad_utf8', 400, valid().replace(b'torn', b'\xc3\x28')),
            ('json_too_deep', 400, deep),
            ('bad_field', 400, valid(messages=3)),
            ('bad_field', 400, valid(messages=[])),
            ('bad_field', 400, valid(messages=[{'role': 1}])),
            ('bad_field', 400, b'[]'),
            ('unknown_model', 404, valid(model='nobody')),
            ('body_too_large', 413, valid(pad='x' * (64 << 10))),
        ]
        for reason, status, body in cases:
            with self.subTest(reason=reason, body=body[:60]):
                self.check(reason, status, body)

    def test_headers(self) -> None:
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

    def test_paths(self) -> None:
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
    """A non-idempotent operation is known under all of its spellings."""

    def test_spellings(self) -> None:
        charge = records_api.Operation('POST', '/tickets/{id}/charge')
        service = records_api.Service('counter', (), (charge,))
        for path in (
            '/services/counter/tickets/7/charge',
            '/services/counter//tickets/7/charge/',
            '/services/counter/tickets/7/%63harge',
            '/services/counter/Tickets/7/CHARGE',
        ):
            found = typing.cast(
                'targets.ServicePath', targets.service_path(path)
            )
            with self.subTest(path=path):
                self.assertFalse(
                    targets.is_idempotent(service, 'POST', found.canonical)
                )
        other = targets.is_idempotent(service, 'GET', '/tickets/7/charge')
        self.assertTrue(other)

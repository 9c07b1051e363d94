"""Tests of when requests count against their tenants' quotas."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from dogwoodquay.gateway import api
from tests.unit.gateway import loopback

_OVER = api.Refusal(api.RefusalReason.OVER_ALLOTMENT, 429, 0.7)


async def _breaks_connection(
    request: loopback.Received, writer: asyncio.StreamWriter
) -> bool:
    writer.transport.abort()
    return False


def _answers(head: str) -> loopback.Script:
    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.headers['attempt-id']
        writer.write(
            f'HTTP/1.1 {head}\r\nAttempt-Id: {attempt}\r\n'
            'Response-Stamp: 3e1b\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        await writer.drain()
        return True

    return script


_SERVES = _answers('200 OK')
_REFUSES = _answers('503 Service Unavailable\r\nNot-Executed: 1')


class ChargesTest(unittest.IsolatedAsyncioTestCase):
    """A request is admitted once, and refunded if it ran nowhere."""

    async def _counts(
        self, *scripts: loopback.Script, refusal: api.Refusal | None = None
    ) -> tuple[int, int, int]:
        """Return a request's status, admissions and refunds."""
        upstreams = [
            loopback.Upstream(f'u{number}', script)
            for number, script in enumerate(scripts)
        ]
        async with loopback.Site(*upstreams).running() as site:
            site.configure(loopback.route())
            with (
                mock.patch.object(
                    site.accounts, 'admit', autospec=True, return_value=refusal
                ) as admit,
                mock.patch.object(
                    site.accounts, 'refund', autospec=True
                ) as refund,
            ):
                answer = await site.call()
        if refusal is not None:
            self.assertEqual('0.700', answer.headers['retry-after'])
            self.assertFalse(
                [item for up in upstreams for item in up.received]
            )
        return answer.status, admit.call_count, refund.call_count

    async def test_served(self) -> None:
        """Guards against units that are given back for served requests."""
        self.assertEqual((200, 1, 0), await self._counts(_SERVES))

    async def test_over_the_quota(self) -> None:
        """Guards against servers that get what is over the quota."""
        counts = await self._counts(_SERVES, refusal=_OVER)
        self.assertEqual((429, 1, 0), counts)

    async def test_no_server(self) -> None:
        """Guards against charges for a request without a server."""
        self.assertEqual((503, 1, 1), await self._counts())

    async def test_refused_by_all(self) -> None:
        """Guards against a charge for each attempt, or for none that ran."""
        counts = await self._counts(_REFUSES, _REFUSES)
        self.assertEqual((503, 1, 1), counts)

    async def test_may_have_run(self) -> None:
        """Guards against refunds of what a server may have run."""
        status, admitted, refunded = await self._counts(_breaks_connection)
        self.assertGreaterEqual(status, 502)
        self.assertEqual((1, 0), (admitted, refunded))

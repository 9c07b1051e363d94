"""Tests of claims with real membership and peers on loopback sockets."""

from __future__ import annotations

import contextlib
import random
import typing
import unittest

import anyio

from dogwoodquay.external.memory import log
from dogwoodquay.external.memory import timeline
from dogwoodquay.idempotency import answers
from dogwoodquay.idempotency import api
from dogwoodquay.idempotency import shell
from tests.unit.membership import loopback

from . import samples

if typing.TYPE_CHECKING:
    from collections import abc

LARGE = api.StoredAnswer(200, (), bytes(10 * answers.MAX_INLINE_BYTES))


class LoopbackTest(unittest.IsolatedAsyncioTestCase):
    """Tests of three instances with sockets and a log in memory."""

    def setUp(self) -> None:
        self.time = timeline.SystemTimeline()
        self.log = log.MemoryLog(self.time, random.Random(1))
        self.net = loopback.Net()
        self.key = samples.make_key(1, self.time.now())
        self.claims: dict[str, shell.LogClaims] = {}

    @contextlib.asynccontextmanager
    async def _running(
        self, loopback_instance: loopback.Instance
    ) -> abc.AsyncIterator[None]:
        async with (
            loopback_instance.running(),
            anyio.create_task_group() as tasks,
        ):
            claims = shell.LogClaims(
                shell.ClaimSettings(),
                self.log,
                loopback_instance.membership,
                loopback_instance.transport,
                loopback_instance.clock,
                random.Random(1),
            )
            self.claims[loopback_instance.name] = claims
            tasks.start_soon(claims.run)
            yield
            tasks.cancel_scope.cancel()

    async def _claim(
        self, loopback_instance: loopback.Instance
    ) -> api.ClaimAnswer:
        claims = self.claims[loopback_instance.name]
        deadline = self.time.now() + 10.0
        return await claims.claim('lakeshore', self.key, b'body', deadline)

    async def test_large_answer_and_failure_of_its_holder(self) -> None:
        """A large answer is fetched from its holder until the holder fails."""
        first, second, third = self.net.make(3)
        async with self._running(first), self._running(second):
            async with self._running(third):
                await loopback.until(
                    lambda: loopback.agree(first, second, third)
                )
                granted = await self._claim(third)
                assert isinstance(granted, api.Granted), granted
                await self.claims[third.name].settle(
                    granted.claim, LARGE, self.time.now() + 10.0
                )
                self.assertEqual(api.Known(LARGE), await self._claim(first))
            await loopback.until(lambda: loopback.agree(first, second))
            known = await self._claim(second)
            assert isinstance(known, api.Known), known
            self.assertTrue(known.answer.truncated)
            self.assertEqual(LARGE.status, known.answer.status)

    async def test_claimant_fails_before_its_answer(self) -> None:
        """The request is running, then unknown once the failure is found."""
        first, second, third = self.net.make(3)
        async with self._running(first), self._running(second):
            async with self._running(third):
                await loopback.until(
                    lambda: loopback.agree(first, second, third)
                )
                granted = await self._claim(third)
                self.assertIsInstance(granted, api.Granted)
                self.assertEqual(
                    api.Running(third.name), await self._claim(first)
                )
            await loopback.until(lambda: loopback.agree(first, second))
            for loopback_instance in (first, second):
                self.assertEqual(
                    api.Unknown(), await self._claim(loopback_instance)
                )

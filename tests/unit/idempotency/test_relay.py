"""Tests of appends through relays."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from dogwoodquay.external.memory import faults
from dogwoodquay.idempotency import api
from dogwoodquay.idempotency import relay

from . import fakes
from . import samples

ANSWER = api.StoredAnswer(201, (), b'ticket')


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Tests of four instances, one of which is the relay."""

    def setUp(self) -> None:
        patch = mock.patch.object(relay, 'RELAYS_PER_STREAM', 1)
        patch.start()
        self.addCleanup(patch.stop)
        self.net = fakes.Net(4, relay_above=1)
        log = self.net.nodes[0].claims._relay
        (relay_member,) = log.relays('claims.0')
        self.relay = relay_member.port
        self.others = [n for n in range(4) if n != self.relay]

    async def _claim(self, node: int, number: int = 1) -> api.ClaimAnswer:
        now = self.net.time.now()
        return await self.net.nodes[node].claims.claim(
            'lakeshore', samples.make_key(number, now), b'x', now + 5.0
        )

    async def test_relay_appends_for_all(self) -> None:
        """The relay appends the claims and settlements of all instances."""
        async with self.net.running():
            for node in self.others:
                answer = await self._claim(node, node)
                assert isinstance(answer, api.Granted), answer
                await self.net.nodes[node].claims.settle(
                    answer.claim, ANSWER, self.net.deadline_in()
                )
        self.assertEqual(6, self.net.relayed)
        relay_appends = self.net.nodes[self.relay].claims.appends
        self.assertEqual(self.net.log.appends, relay_appends)

    async def test_relay_is_unreachable(self) -> None:
        """Instances append directly while their relay is unreachable."""
        self.net.unreachable.add(self.relay)
        async with self.net.running():
            for node in self.others:
                answer = await self._claim(node, node)
                self.assertIsInstance(answer, api.Granted)
        self.assertEqual(0, self.net.relayed)

    async def test_relay_loses_the_answer_of_an_append(self) -> None:
        """A claim is granted by reading the log despite an unsure relay."""
        self.net.log.faults.inject(faults.CallFault.LOSE_ANSWER)
        async with self.net.running():
            answer = await self._claim(self.others[0])
            self.assertIsInstance(answer, api.Granted)

    async def test_log_is_unavailable(self) -> None:
        """The relay reports failed appends without waiting for a deadline."""
        self.net.log.faults.outage = True
        async with self.net.running():
            with anyio.fail_after(4.0):
                answer = await self._claim(self.others[0])
            self.assertIsInstance(answer, api.KeyRefused)

"""End-to-end tests of the descriptors that an instance holds."""

from __future__ import annotations

import asyncio
import os
import typing
import unittest

from . import processes
from . import server as servers

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0
_ROUNDS: typing.Final = 6
_AT_ONCE: typing.Final = 24


def _descriptors(instance: processes.Instance) -> int:
    return len(os.listdir(f'/proc/{instance.process.pid}/fd'))


class ReplacedServersTest(unittest.IsolatedAsyncioTestCase):
    """Connections to servers that have left are closed (RECOVER).

    An instance out of descriptors takes no new connection.
    """

    async def _use(self, instance: processes.Instance, number: int) -> None:
        """Send many requests at once, each over a connection of its own."""
        answers = await asyncio.gather(
            *(
                instance.call(f'/plain/{item}', f'{number}-{item}')
                for item in range(_AT_ONCE)
            )
        )
        self.assertEqual({200}, {answer.status for answer in answers})

    async def _replaced(
        self, site: processes.Site, number: int, closes: bool
    ) -> servers.Server:
        """Start a server in the place of all others of its service."""
        server = servers.Server(
            site.store, f'n{number}', 'desk', slots=_AT_ONCE
        )
        await server.start()
        (instance,) = site.instances
        while not any(
            line['message_type'] == 'servers:added'
            and line['server'] == server.server_id
            for line in instance.log_lines()
        ):
            await asyncio.sleep(0.02)
        for old in site.servers:
            if old.server_id.startswith(('d', 'n')):
                site.store.put('keyed.servers', old.server_id, None)
                if closes:
                    old.http.stop()
        site.servers.append(server)
        return server

    async def _assert_closed(self, closes: bool) -> None:
        """Fail if descriptors gather while servers are replaced.

        :param closes: whether servers close their connections as they leave.
        """
        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            processes.Site.running(1) as site,
        ):
            (instance,) = site.instances
            counts = []
            for number in range(_ROUNDS):
                await self._replaced(site, number, closes)
                await self._use(instance, number)
                await asyncio.sleep(0.3)
                counts.append(_descriptors(instance))
            if not closes:
                await asyncio.sleep(3.0)
            await asyncio.sleep(0.7)
            self.assertLess(
                _descriptors(instance), counts[0] + _AT_ONCE, counts
            )

    async def test_closed_by_the_server(self) -> None:
        """The peer has closed, and nobody uses its address again."""
        await self._assert_closed(True)

    async def test_kept_open_by_the_server(self) -> None:
        """The server has left the list and still listens."""
        await self._assert_closed(False)


class CallersTest(unittest.IsolatedAsyncioTestCase):
    """Connections that their callers have closed are closed (RECOVER)."""

    async def test_closed_by_the_caller(self) -> None:
        """They were kept until they had been idle for long enough."""
        async with (
            asyncio.timeout(_TEST_TIMEOUT_SECONDS),
            processes.Site.running(1) as site,
        ):
            (instance,) = site.instances
            await instance.call('/plain/0', 'first')
            before = _descriptors(instance)
            for number in range(4 * _AT_ONCE):
                await instance.call(f'/plain/{number}', f'a{number}')
            await asyncio.sleep(0.3)
            self.assertLess(_descriptors(instance), before + _AT_ONCE)

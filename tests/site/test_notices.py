"""End-to-end tests of servers that say that they leave or pause.

Their entries in the list say that they are ready all the while.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing
import unittest

from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 40.0
_INSTANCES: typing.Final = 3
# The time to drain in the settings of the tests.
_DRAIN_SECONDS: typing.Final = 2.0
# Requests that a server may still get from an instance after this time.
_PAUSE_GRACE_SECONDS: typing.Final = 0.5
_PAUSE_REQUESTS: typing.Final = 2


class _NoticesCase(unittest.IsolatedAsyncioTestCase):
    """A site with two servers of each service and several instances."""

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[processes.Site]:
        """Run a site, with requests for both services at all instances."""

        def add_servers(site: processes.Site) -> None:
            self.desks = [site.desk, servers.Server(site.store, 'd2', 'desk')]
            self.engines = [
                site.engine,
                servers.Server(site.store, 'e2', 'engines', 'loaded'),
            ]
            site.servers = [*self.desks, *self.engines]

        self.answers: list[tuple[float, int]] = []
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                _INSTANCES, add_servers=add_servers
            ) as site:
                async with asyncio.TaskGroup() as group:
                    tasks = [
                        group.create_task(self._send(instance, number, kind))
                        for number, instance in enumerate(site.instances)
                        for kind in ('plain', 'stream')
                    ]
                    yield site
                    for task in tasks:
                        task.cancel()

    async def _send(
        self, instance: processes.Instance, number: int, kind: str
    ) -> None:
        """Send requests one after the other."""
        count = 0
        while True:
            count += 1
            attempt = f'{kind}-{number}-{count}'
            sent = time.monotonic()
            if kind == 'plain':
                answer = await instance.call(f'/plain/{count}', attempt)
            else:
                answer = await instance.call(
                    '/stream/x', attempt, 'POST', 'loaded'
                )
            self.answers.append((sent, answer.status))
            await asyncio.sleep(0.02)

    def assert_served(self) -> None:
        """Fail if a caller got another answer than a success."""
        self.assertEqual({200}, {status for _, status in self.answers})


class LeavingTest(_NoticesCase):
    """A server says that it leaves in its answers alone (DRAIN)."""

    async def test_all_instances_leave_it(self) -> None:
        """Also those that had no answer of it learn so, by their peers."""
        async with self.running() as site:
            await asyncio.sleep(1.0)
            told = time.monotonic()
            for server in (self.desks[0], self.engines[0]):
                server.notices = (('Server-Leaving', '1'),)
            await asyncio.sleep(1.0)
            for server in (self.desks[0], self.engines[0]):
                server.register('ready')
            await asyncio.sleep(2.5)
            for server in (self.desks[0], self.engines[0]):
                late = [
                    at for at in server.arrivals if at > told + _DRAIN_SECONDS
                ]
                self.assertEqual([], late)
            for instance in site.instances:
                left = {
                    (line['server'], line.get('source'))
                    for line in instance.log_lines()
                    if line['message_type'] == 'servers:leaving'
                }
                self.assertEqual({'d1', 'e1'}, {name for name, _ in left})
                self.assertLessEqual(
                    {source for _, source in left}, {'answer', 'peer'}
                )
        self.assert_served()


class PauseTest(_NoticesCase):
    """A server asks for a pause (BUDGET)."""

    async def test_other_servers_take_the_work(self) -> None:
        """Reports and orders count as requests, and callers see nothing."""
        async with self.running() as site:
            await asyncio.sleep(1.0)
            paused = (self.desks[0], self.engines[0])
            began = time.monotonic()
            for server in paused:
                server.arrivals.clear()
                server.pause = '2.5'
            await asyncio.sleep(2.0)
            for server in paused:
                late = [
                    at
                    for at in server.arrivals
                    if at > began + _PAUSE_GRACE_SECONDS + 0.3
                ]
                self.assertLessEqual(
                    len(late), _PAUSE_REQUESTS * len(site.instances)
                )
                server.pause = None
                server.arrivals.clear()
            await asyncio.sleep(3.0)
            for server in paused:
                self.assertNotEqual([], server.arrivals)
        self.assert_served()

    async def test_no_server_left(self) -> None:
        """Callers are refused at once, and served after the pause."""
        async with self.running():
            await asyncio.sleep(1.0)
            began = time.monotonic()
            for server in self.desks:
                server.arrivals.clear()
                server.pause = '1.5'
            await asyncio.sleep(1.2)
            for server in self.desks:
                late = [
                    at
                    for at in server.arrivals
                    if at > began + _PAUSE_GRACE_SECONDS
                ]
                self.assertLessEqual(len(late), _PAUSE_REQUESTS * _INSTANCES)
                server.pause = None
            refused = [at for at, status in self.answers if status != 200]
            self.assertNotEqual([], refused)
            await asyncio.sleep(2.0)
            ended = time.monotonic()
            await asyncio.sleep(1.0)
        after = {status for at, status in self.answers if at > ended}
        self.assertEqual({200}, after)
        self.assertLessEqual(
            {status for _, status in self.answers}, {200, 503}
        )

"""The whole path as separate processes, before stand-ins."""

from __future__ import annotations

import asyncio
import signal
import typing
import unittest

from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

# Far above what anything here takes, so that a hang ends the test.
_SECONDS: typing.Final = 60.0


async def _until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.02)


async def _served(
    instance: processes.Instance, target: str, status: int
) -> None:
    """Call until the answer has a status."""
    number = 0
    while (await instance.call(target, f'a{number}')).status != status:
        number += 1
        await asyncio.sleep(0.05)


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Requests go through two instances."""

    async def test_plain_and_stream(self) -> None:
        """Both kinds of answers come whole, and each runs once."""
        async with asyncio.timeout(_SECONDS):
            async with processes.Site.running(2) as site:
                for number, instance in enumerate(site.instances):
                    attempt = f'plain-{number}'
                    answer = await instance.call('/plain/x', attempt)
                    self.assertEqual(200, answer.status)
                    self.assertEqual(b'd1 GET /plain/x ', answer.body)
                    attempt = f'stream-{number}'
                    answer = await instance.call(
                        '/stream/x', attempt, 'POST', 'held'
                    )
                    self.assertEqual((200, True), answer[::2])
                    self.assertEqual(4, answer.body.count(b'data:'))
                answer = await site.instances[0].call('/none/', 'n')
                self.assertEqual(404, answer.status)
                runs = site.desk.runs + site.engine.runs
                self.assertEqual(4, len(set(runs)))
                self.assertEqual(4, len(runs))

    async def test_absent_model(self) -> None:
        """A model is loaded when a caller asks for it, by one holder."""
        async with asyncio.timeout(_SECONDS):
            async with processes.Site.running(2) as site:
                answer = await site.instances[1].call(
                    '/stream/x', 'a', 'POST', 'absent'
                )
                self.assertEqual((200, True), answer[::2])
                self.assertEqual({'held', 'absent'}, site.engine.models)
                holders = {name for name, _ in site.engine.holders}
                self.assertEqual(1, len(holders))

    async def test_new_configuration(self) -> None:
        """A newer version is in force on all instances, without restart."""
        async with asyncio.timeout(_SECONDS):
            async with processes.Site.running(2) as site:
                added = processes.added_route('/added/')
                site.store.put(
                    'keyed.op', 'config', processes.manifest(2, added)
                )
                for instance in site.instances:
                    await _served(instance, '/added/x', 200)
                site.store.put('keyed.op', 'config', processes.manifest(3))
                for instance in site.instances:
                    await _served(instance, '/added/x', 404)

    async def test_leaving_server(self) -> None:
        """A server that says that it leaves gets nothing new."""
        async with asyncio.timeout(_SECONDS):
            async with processes.Site.running(1) as site:
                (instance,) = site.instances
                site.desk.register('draining')
                await _served(instance, '/plain/x', 503)
                runs = len(site.desk.runs)
                answer = await instance.call('/plain/x', 'late')
                self.assertEqual(503, answer.status)
                self.assertEqual(runs, len(site.desk.runs))


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Processes that are stopped or killed."""

    async def test_stream_outlasts_the_stop(self) -> None:
        """SIGTERM lets a stream end; the process ends by itself after it."""
        async with asyncio.timeout(_SECONDS):
            async with processes.Site.running(1) as site:
                (instance,) = site.instances
                site.engine.events = 30
                site.engine.event_seconds = 0.05
                stream = asyncio.ensure_future(
                    instance.call('/stream/x', 's', 'POST', 'held')
                )
                await _until(lambda: bool(site.engine.runs))
                instance.process.send_signal(signal.SIGTERM)
                answer = await stream
                self.assertEqual((200, True), answer[::2])
                self.assertEqual(30, answer.body.count(b'data:'))
                self.assertEqual(0, await instance.stopped())

    async def _bring(self, instance: processes.Instance, adapter: str) -> None:
        """Have an adapter brought to the engine by asking for it."""
        model = f'held/{adapter}'
        answer = await instance.call('/stream/x', adapter, 'POST', model)
        self.assertEqual(200, answer.status)

    async def _holder_first(
        self, site: processes.Site
    ) -> tuple[processes.Instance, processes.Instance]:
        """Return who holds the duty, after an order of its, and the other."""
        await _until(lambda: bool(site.store.holder()))
        first, second = site.instances
        if site.store.holder() != first.member:
            first, second = second, first
        await self._bring(second, 'a1')
        return first, second

    async def test_killed_holder(self) -> None:
        """Another instance takes the duty under a higher number."""
        async with asyncio.timeout(_SECONDS):
            async with processes.Site.running(2) as site:
                first, second = await self._holder_first(site)
                first.process.kill()
                await _until(lambda: site.store.holder() == second.member)
                await self._bring(second, 'a2')
                fences = [fence for _, fence in site.engine.holders]
                self.assertEqual(sorted(fences), fences)
                self.assertGreater(fences[-1], fences[0])

    async def test_holder_stopped_in_an_outage(self) -> None:
        """Its heir gives orders while the store is away."""
        async with asyncio.timeout(_SECONDS):
            async with processes.Site.running(2) as site:
                first, second = await self._holder_first(site)
                site.store.away = True
                first.process.send_signal(signal.SIGTERM)
                await _until(
                    lambda: any(
                        line['message_type'] == 'duty:taken_over'
                        for line in second.lines()
                    )
                )
                await self._bring(second, 'a2')
                self.assertEqual(2, len(set(site.engine.holders)))
                self.assertEqual(0, await first.stopped())
                site.store.away = False
                await _until(lambda: site.store.holder() == second.member)

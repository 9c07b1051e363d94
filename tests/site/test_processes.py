"""End-to-end tests of gateway processes with stand-ins."""

from __future__ import annotations

import asyncio
import signal
import typing
import unittest

from . import processes

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 60.0


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.02)


async def _wait_for_status(
    instance: processes.Instance, target: str, status: int
) -> None:
    """Repeat a request until the reply has a status."""
    number = 0
    while (await instance.call(target, f'a{number}')).status != status:
        number += 1
        await asyncio.sleep(0.05)


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Requests through one or two instances."""

    async def test_plain_and_stream(self) -> None:
        """Plain and streamed replies are complete; each request runs once."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                for number, instance in enumerate(site.instances):
                    attempt = f'plain-{number}'
                    answer = await instance.call('/plain/x', attempt)
                    self.assertEqual(200, answer.status)
                    self.assertEqual(b'd1 GET /plain/x ', answer.body)
                    attempt = f'stream-{number}'
                    answer = await instance.call(
                        '/stream/x', attempt, 'POST', 'loaded'
                    )
                    self.assertEqual((200, True), answer[::2])
                    self.assertEqual(4, answer.body.count(b'data:'))
                answer = await site.instances[0].call('/none/', 'n')
                self.assertEqual(404, answer.status)
                attempts = (
                    site.desk.executed_attempts + site.engine.executed_attempts
                )
                self.assertEqual(4, len(set(attempts)))
                self.assertEqual(4, len(attempts))

    async def test_absent_model(self) -> None:
        """A requested model is loaded, by orders of a single instance."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                answer = await site.instances[1].call(
                    '/stream/x', 'a', 'POST', 'absent'
                )
                self.assertEqual((200, True), answer[::2])
                self.assertEqual({'loaded', 'absent'}, site.engine.models)
                order_sources = {name for name, _ in site.engine.order_sources}
                self.assertEqual(1, len(order_sources))

    async def test_new_configuration(self) -> None:
        """All instances apply a newer configuration without a restart."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                added = processes.plain_route('/added/')
                site.store.put(
                    'keyed.op', 'config', processes.manifest(2, added)
                )
                for instance in site.instances:
                    await _wait_for_status(instance, '/added/x', 200)
                site.store.put('keyed.op', 'config', processes.manifest(3))
                for instance in site.instances:
                    await _wait_for_status(instance, '/added/x', 404)

    async def test_leaving_server(self) -> None:
        """A draining server gets no new requests."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1) as site:
                (instance,) = site.instances
                site.desk.register('draining')
                await _wait_for_status(instance, '/plain/x', 503)
                count = len(site.desk.executed_attempts)
                answer = await instance.call('/plain/x', 'late')
                self.assertEqual(503, answer.status)
                self.assertEqual(count, len(site.desk.executed_attempts))


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Instances that are stopped or killed."""

    async def test_stream_completes_after_sigterm(self) -> None:
        """After SIGTERM a stream completes before the process exits."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(1) as site:
                (instance,) = site.instances
                site.engine.events = 30
                site.engine.event_seconds = 0.05
                stream = asyncio.ensure_future(
                    instance.call('/stream/x', 's', 'POST', 'loaded')
                )
                await _wait_until(lambda: bool(site.engine.executed_attempts))
                instance.process.send_signal(signal.SIGTERM)
                answer = await stream
                self.assertEqual((200, True), answer[::2])
                self.assertEqual(30, answer.body.count(b'data:'))
                self.assertEqual(0, await instance.wait_stopped())

    async def _load_adapter(
        self, instance: processes.Instance, adapter: str
    ) -> None:
        """Request an adapter so that it is loaded on the engine."""
        model = f'loaded/{adapter}'
        answer = await instance.call('/stream/x', adapter, 'POST', model)
        self.assertEqual(200, answer.status)

    async def _owner_and_other(
        self, site: processes.Site
    ) -> tuple[processes.Instance, processes.Instance]:
        """Return the owner of the engine orders and the other instance.

        The owner has given at least one order.
        """
        await _wait_until(lambda: bool(site.store.owner()))
        owner_instance, other_instance = site.instances
        if site.store.owner() != owner_instance.member:
            owner_instance, other_instance = other_instance, owner_instance
        await self._load_adapter(other_instance, 'a1')
        return owner_instance, other_instance

    async def test_killed_owner(self) -> None:
        """Another instance takes over with a higher fencing token."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                owner_instance, other_instance = await self._owner_and_other(
                    site
                )
                owner_instance.process.kill()
                await _wait_until(
                    lambda: site.store.owner() == other_instance.member
                )
                await self._load_adapter(other_instance, 'a2')
                fences = [fence for _, fence in site.engine.order_sources]
                self.assertEqual(sorted(fences), fences)
                self.assertGreater(fences[-1], fences[0])

    async def test_owner_stopped_in_an_outage(self) -> None:
        """The successor gives orders while the store is unavailable."""
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(2) as site:
                owner_instance, other_instance = await self._owner_and_other(
                    site
                )
                site.store.unavailable = True
                owner_instance.process.send_signal(signal.SIGTERM)
                await _wait_until(
                    lambda: any(
                        line['message_type'] == 'duty:taken_over'
                        for line in other_instance.log_lines()
                    )
                )
                await self._load_adapter(other_instance, 'a2')
                self.assertEqual(2, len(set(site.engine.order_sources)))
                self.assertEqual(0, await owner_instance.wait_stopped())
                site.store.unavailable = False
                await _wait_until(
                    lambda: site.store.owner() == other_instance.member
                )

"""End-to-end tests of answers without a length or chunks."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import unittest

from . import processes
from . import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

# Far longer than any test takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 30.0

_Place = servers.Place


class _UnframedCase(unittest.IsolatedAsyncioTestCase):
    """A site with two servers of each service, and one instance."""

    unframed = True

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[processes.Instance]:
        """Run a site whose streams may go on at another server."""

        def add_servers(site: processes.Site) -> None:
            site.servers += [
                servers.Server(site.store, 'd2', 'desk'),
                servers.Server(site.store, 'e2', 'engines', 'loaded'),
            ]
            for item in site.servers:
                item.unframed = self.unframed

        again = processes.route(
            '/again/',
            'engines',
            Type='streaming',
            Resumable=True,
            MaxAttempts=2,
        )
        async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
            async with processes.Site.running(
                1, processes.manifest(1, again), add_servers
            ) as site:
                self.servers = site.servers
                yield site.instances[0]

    def expected(self) -> bytes:
        """Return the events of a whole stream."""
        return b''.join(
            f'id: {number}\ndata: x{number}\n\n'.encode()
            for number in range(4)
        )

    async def stream(
        self, instance: processes.Instance, target: str
    ) -> processes.Answer:
        """Send a request for a stream."""
        return await instance.call(target, 'attempt', 'POST', 'loaded')

    def break_off(self, place: _Place, event: int, end: bool) -> None:
        """Break a stream off at the server that gets the request first.

        :param end: whether it ends as if it were complete, not by a reset.
        """
        broken = {'attempt': (place, event)}
        for server in self.servers:
            if end:
                server.ends = broken
            else:
                server.resets = broken

    async def assert_cut(self, place: _Place, event: int, end: bool) -> None:
        """Check that a stream that cannot go on does not look complete."""
        async with self.running() as instance:
            self.break_off(place, event, end)
            answer = await self.stream(instance, '/stream/x')
        self.assertEqual(200, answer.status)
        self.assertFalse(answer.complete)
        whole = self.expected()
        self.assertEqual(whole[: len(answer.body)], answer.body)
        self.assertTrue(answer.body.endswith(b'\n\n'))

    async def assert_goes_on(
        self, place: _Place, event: int, end: bool
    ) -> None:
        """Check that a stream goes on at another server."""
        async with self.running() as instance:
            self.break_off(place, event, end)
            answer = await self.stream(instance, '/again/x')
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual(self.expected(), answer.body)


class UnframedPlainAnswerTest(_UnframedCase):
    """Plain answers that end with their connection."""

    async def test_end_of_the_connection(self) -> None:
        """The answer is complete."""
        async with self.running() as instance:
            for number in range(4):
                answer = await instance.call('/plain/x', f'a{number}')
                self.assertEqual((200, True), (answer.status, answer.complete))
                self.assertTrue(answer.body.endswith(b' GET /plain/x '))

    async def test_reset_connection(self) -> None:
        """The answer is not complete, and the request is sent again."""
        async with self.running() as instance:
            for server in self.servers:
                server.resets['a'] = (_Place.BODY, 1)
            answer = await instance.call('/plain/x', 'a')
            self.assertEqual(502, answer.status)
            once = {'b': (_Place.BODY, 1)}
            for server in self.servers:
                server.resets = once
            answer = await instance.call('/plain/x', 'b')
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertTrue(answer.body.endswith(b' GET /plain/x '))


class UnframedStreamTest(_UnframedCase):
    """Streams that end with their connection."""

    async def test_end_of_the_connection(self) -> None:
        """The stream is complete."""
        async with self.running() as instance:
            answer = await self.stream(instance, '/stream/x')
        self.assertEqual((200, True), (answer.status, answer.complete))
        self.assertEqual(self.expected(), answer.body)

    async def test_end_within_an_event(self) -> None:
        """The stream has been broken off."""
        await self.assert_cut(_Place.WITHIN_EVENT, 2, end=True)

    async def test_reset_within_an_event(self) -> None:
        """The stream has been broken off."""
        await self.assert_cut(_Place.WITHIN_EVENT, 2, end=False)

    async def test_reset_between_events(self) -> None:
        """The stream has been broken off."""
        await self.assert_cut(_Place.BETWEEN_EVENTS, 2, end=False)

    async def test_goes_on_after_an_end_within_an_event(self) -> None:
        """The event is sent once, by another server."""
        await self.assert_goes_on(_Place.WITHIN_EVENT, 2, end=True)

    async def test_goes_on_after_a_reset(self) -> None:
        """No event is missing or repeated."""
        await self.assert_goes_on(_Place.BETWEEN_EVENTS, 2, end=False)


class FramedStreamTest(_UnframedCase):
    """Chunked streams whose last chunk comes too early."""

    unframed = False

    async def test_end_within_an_event(self) -> None:
        """The stream has been broken off, whatever its framing says."""
        await self.assert_cut(_Place.WITHIN_EVENT, 2, end=True)

    async def test_goes_on_after_an_end_within_an_event(self) -> None:
        """The event is sent once, by another server."""
        await self.assert_goes_on(_Place.WITHIN_EVENT, 2, end=True)

"""Tests of passing configurations on between instances."""

from __future__ import annotations

import contextlib
import typing
import unittest
from unittest import mock
import zlib

import anyio

from . import fakes
from ..wire import loopback
from dogwoodquay import clock as clocks
from dogwoodquay.gateway import copies
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import store_api
from dogwoodquay.wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

BODY = b'{"Version": 8, "Routes": ["%s"]}' % (b'a.example' * 40_000)
POSITION = store_api.Position(1, 31)
COPY = copies.ConfigurationCopy(8, BODY, POSITION)


class _Instance:
    """The copies of one instance and its connections."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.peers = loopback.make_peer(name)
        clock = clocks.SystemClock()
        self.copies = copies.ConfigurationCopies(self.peers, clock)
        self.peers.register(messages.ConfigurationBody)
        self.peers.register(
            messages.FetchConfiguration, self.copies.handle_fetch
        )

    @property
    def member(self) -> str:
        """Its member name."""
        host, port = self.peers.address
        return f'{self.name}@{host}:{port}'


class FetchTest(unittest.IsolatedAsyncioTestCase):
    """A follower asks the holder that the owner names."""

    async def asyncSetUp(self) -> None:
        """Create a holder and two followers."""
        self._create()

    def _create(self) -> None:
        self.holder = _Instance('front-1')
        self.followers = [_Instance('front-2'), _Instance('front-3')]
        self.asker = self.followers[0].copies

    @contextlib.asynccontextmanager
    async def _running(self) -> abc.AsyncIterator[None]:
        instances = (self.holder, *self.followers)
        peers = (instance.peers for instance in instances)
        async with loopback.running(*peers):
            for follower in self.followers:
                follower.copies.on_view(False, self.holder.member)
            yield

    async def _fetch(
        self, newer_than: int = 7
    ) -> copies.ConfigurationCopy | None:
        return await self.asker.fetch(newer_than)

    async def _fetch_body(
        self, compressed: bytes
    ) -> copies.ConfigurationCopy | None:
        """Fetch from a holder that answers with these bytes."""
        answer = messages.ConfigurationBody(8, 31, compressed, 1)
        return await self._fetch_answer(answer)

    async def _fetch_answer(
        self, answer: messages.ConfigurationBody
    ) -> copies.ConfigurationCopy | None:
        """Fetch from a new holder that gives this answer."""
        self._create()
        self.holder.peers = loopback.make_peer('front-1')
        self.holder.peers.register(messages.ConfigurationBody)
        self.holder.peers.register(
            messages.FetchConfiguration, mock.AsyncMock(return_value=answer)
        )
        async with self._running():
            return await self._fetch()

    async def test_whole_body(self) -> None:
        """The follower gets the body and the offset as the holder has it."""
        self.holder.copies.keep(COPY)
        async with self._running():
            self.assertEqual(COPY, await self._fetch())
            self.assertEqual(COPY, await self._fetch(-1))

    async def test_not_newer(self) -> None:
        """A version that the follower has already is not passed on."""
        async with self._running():
            self.assertIsNone(await self._fetch())
            self.holder.copies.keep(COPY)
            self.assertIsNone(await self._fetch(8))
            self.assertIsNone(await self._fetch(9))

    async def test_nothing_newer_sent(self) -> None:
        """A holder sends no body to whom has its version already."""
        self.holder.copies.keep(COPY)
        sender = wire_api.Sender('front-2', self.holder.peers.address)
        answer = await self.holder.copies.handle_fetch(
            sender, messages.FetchConfiguration(8), float('inf')
        )
        self.assertEqual(messages.ConfigurationBody(-1, 0, b''), answer)

    async def test_older_version_received(self) -> None:
        """An answer with an older version is not used."""
        answer = messages.ConfigurationBody(7, 31, zlib.compress(BODY, 1))
        self.assertIsNone(await self._fetch_answer(answer))

    async def test_newer_version_replaces(self) -> None:
        """The holder passes on the version that it kept last."""
        newer = copies.ConfigurationCopy(9, b'{}', POSITION)
        self.holder.copies.keep(COPY)
        async with self._running():
            self.assertEqual(COPY, await self._fetch())
            self.holder.copies.keep(newer)
            self.assertEqual(newer, await self._fetch())

    async def test_two_askers_at_once(self) -> None:
        """The body is compressed once for all askers."""
        self.holder.copies.keep(COPY)
        found: list[copies.ConfigurationCopy | None] = []

        async def fetch(follower: _Instance) -> None:
            found.append(await follower.copies.fetch(7))

        with mock.patch.object(
            zlib, 'compress', wraps=zlib.compress
        ) as compress:
            async with self._running(), anyio.create_task_group() as group:
                for follower in self.followers:
                    group.start_soon(fetch, follower)
        self.assertEqual([COPY, COPY], found)
        self.assertEqual(1, compress.call_count)

    async def test_corrupt_bodies(self) -> None:
        """Truncated and changed bodies are not taken for a configuration."""
        packed = zlib.compress(BODY, 1)
        changed = bytearray(packed)
        changed[len(changed) // 2] ^= 0x55
        for bad in (b'', packed[:-1], packed[:99], bytes(changed), BODY):
            with self.subTest(size=len(bad)):
                self.assertIsNone(await self._fetch_body(bad))
        self.assertEqual(COPY, await self._fetch_body(packed))

    async def test_oversized_body(self) -> None:
        """A body that unpacks to more than the limit is refused."""
        bomb = zlib.compress(bytes(copies.MAX_BODY_BYTES + 1), 1)
        self.assertIsNone(await self._fetch_body(bomb))

    async def test_frame_limit(self) -> None:
        """The largest body fits a frame; a larger one is not sent."""
        noise = fakes.rng().randbytes(copies.MAX_COMPRESSED_BYTES)
        fitting = copies.ConfigurationCopy(8, noise[:-1024], POSITION)
        self.holder.copies.keep(fitting)
        async with self._running():
            self.assertEqual(fitting, await self._fetch())
            self.holder.copies.keep(COPY._replace(version=9, body=noise))
            self.assertIsNone(await self._fetch(8))

    async def test_no_holder(self) -> None:
        """Without a holder nobody is asked, for as long as it is waited."""
        async with self._running():
            self.asker.on_view(False, '')
            with mock.patch.object(copies, 'HOLDER_WAIT_SECONDS', 0.05):
                self.assertIsNone(await self.asker.fetch(7))

    async def test_reader_without_holder(self) -> None:
        """An instance that reads the store waits for no holder."""
        self.asker.on_view(True, '')
        with anyio.fail_after(10.0):
            self.assertIsNone(await self.asker.fetch(7))

    async def test_holder_named_later(self) -> None:
        """A follower waits for a holder that has time for it."""
        self.holder.copies.keep(COPY)
        with (
            mock.patch.object(copies, 'FOLLOW_SECONDS', 60.0),
            mock.patch.object(copies, 'HOLDER_WAIT_SECONDS', 60.0),
            anyio.fail_after(10.0),
        ):
            async with self._running():
                self.asker.on_view(False, '')
                async with anyio.create_task_group() as group:
                    group.start_soon(self._expect_copy)
                    await anyio.sleep(0.01)
                    self.asker.on_view(False, self.holder.member)

    async def _expect_copy(self) -> None:
        self.assertEqual(COPY, await self.asker.fetch(7))

    async def test_view_lost_while_waiting(self) -> None:
        """The wait for a holder ends at once with the owner's views."""
        found: list[copies.ConfigurationCopy | None] = []

        async def fetch() -> None:
            found.append(await self.asker.fetch(7))

        with (
            mock.patch.object(copies, 'FOLLOW_SECONDS', 60.0),
            anyio.fail_after(10.0),
        ):
            self.asker.on_view(False, '')
            async with anyio.create_task_group() as group:
                group.start_soon(fetch)
                await anyio.sleep(0.01)
                self.asker.on_view_lost()
        self.assertEqual([None], found)

    async def test_unreachable_holder(self) -> None:
        """A holder that is gone is asked once; the next view names another."""
        self.holder.copies.keep(COPY)
        async with self._running():
            self.asker.on_view(False, 'front-9@127.0.0.1:1')
            peers = self.followers[0].peers
            with mock.patch.object(
                peers, 'request', wraps=peers.request
            ) as request:
                self.assertIsNone(await self._fetch())
                self.assertIsNone(await self._fetch())
            self.assertEqual(1, request.call_count)
            self.asker.on_view(False, self.holder.member)
            self.assertEqual(COPY, await self._fetch())

    async def test_frozen_holder(self) -> None:
        """A holder that does not answer is given up at the deadline."""

        async def freeze(*arguments: typing.Any) -> None:
            await anyio.sleep_forever()

        self.holder.peers = loopback.make_peer('front-1')
        self.holder.peers.register(messages.FetchConfiguration, freeze)
        async with self._running():
            with anyio.fail_after(10.0):
                found = await self.asker.fetch(7)
        self.assertIsNone(found)

    async def test_large_configuration(self) -> None:
        """A configuration that takes long to copy is read from the store."""
        size = copies.MAX_BODY_BYTES
        self.holder.copies.keep(COPY)
        async with self._running():
            self.asker.on_view(False, self.holder.member)
            self.asker.keep(copies.ConfigurationCopy(7, bytes(size), POSITION))
            self.assertTrue(self.asker.following)
            self.assertEqual(COPY, await self._fetch())
            self.asker.keep(
                copies.ConfigurationCopy(7, bytes(size + 1), POSITION)
            )
            self.assertFalse(self.asker.following)
            self.assertIsNone(await self._fetch())

    async def test_wait_for_other_holder(self) -> None:
        """A pause ends when a view names a holder that was not asked."""
        member = self.holder.member
        with anyio.fail_after(10.0):
            await self.asker.wait_for_other_holder(0.01)
            for named in (member, 'front-7@127.0.0.1:7'):
                async with anyio.create_task_group() as group:
                    group.start_soon(self.asker.wait_for_other_holder, 3600.0)
                    await anyio.sleep(0.01)
                    self.asker.on_view(False, named)

    async def test_same_holder_named_again(self) -> None:
        """The holder that was asked does not end a pause."""
        self.asker.on_view(False, self.holder.member)
        with anyio.move_on_after(0.1) as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.asker.wait_for_other_holder, 3600.0)
                await anyio.sleep(0.01)
                self.asker.on_view(False, '')
                await anyio.sleep(0.01)
                self.asker.on_view(False, self.holder.member)
        self.assertTrue(scope.cancelled_caught)

    async def test_pause_with_large_configuration(self) -> None:
        """Holders do not matter where nothing is copied."""
        size = copies.MAX_BODY_BYTES + 1
        self.asker.keep(copies.ConfigurationCopy(7, bytes(size), POSITION))
        with anyio.move_on_after(0.1) as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.asker.wait_for_other_holder, 3600.0)
                await anyio.sleep(0.01)
                self.asker.on_view(False, self.holder.member)
        self.assertTrue(scope.cancelled_caught)

    async def test_earlier_build(self) -> None:
        """A holder of an earlier build does not know the message."""
        self.holder.peers = loopback.make_peer('front-1')
        async with self._running():
            self.assertIsNone(await self._fetch())


class FollowingTest(unittest.IsolatedAsyncioTestCase):
    """An instance reads the store itself unless a fresh view spares it."""

    async def asyncSetUp(self) -> None:
        """Create copies on a clock that only the test moves."""
        self.clock = clocks.ManualClock()
        transport = typing.cast('wire_api.Transport', None)
        self.copies = copies.ConfigurationCopies(transport, self.clock)

    async def _returns(self, seconds: float) -> bool:
        """Whether the wait for a read returns within a time."""
        with anyio.move_on_after(seconds) as scope:
            await self.copies.wait_to_read()
        return not scope.cancelled_caught

    async def test_start(self) -> None:
        """Before the first view the store is read."""
        self.assertFalse(self.copies.following)
        self.assertTrue(await self._returns(10.0))

    async def test_appointed(self) -> None:
        """A reader waits for nothing."""
        self.copies.on_view(False, '')
        self.copies.on_view(True, '')
        self.assertFalse(self.copies.following)
        self.assertTrue(await self._returns(10.0))

    async def test_silent_owner(self) -> None:
        """Following ends ``FOLLOW_SECONDS`` after the last view."""
        self.copies.on_view(False, '')
        self.clock.advance(0.9 * copies.FOLLOW_SECONDS)
        self.assertTrue(self.copies.following)
        self.copies.on_view(False, '')
        self.clock.advance(0.9 * copies.FOLLOW_SECONDS)
        self.assertTrue(self.copies.following)
        self.assertFalse(await self._returns(0.02))
        self.clock.advance(0.1 * copies.FOLLOW_SECONDS)
        self.assertFalse(self.copies.following)
        self.assertTrue(await self._returns(10.0))

    async def test_wait_ends_with_the_last_view(self) -> None:
        """A wait ends by itself when the last view gets too old."""
        transport = typing.cast('wire_api.Transport', None)
        self.copies = copies.ConfigurationCopies(
            transport, clocks.SteadyClock()
        )
        self.copies.on_view(False, '')
        self.assertTrue(await self._returns(10.0))
        self.assertFalse(self.copies.following)

    async def test_wait_ends_at_once(self) -> None:
        """A lost view, or one that appoints a reader, ends waits at once."""
        ends: tuple[abc.Callable[[], None], ...] = (
            self.copies.on_view_lost,
            lambda: self.copies.on_view(True, ''),
        )
        for end in ends:
            with (
                mock.patch.object(copies, 'FOLLOW_SECONDS', 60.0),
                anyio.fail_after(10.0),
            ):
                self.copies.on_view(False, '')
                async with anyio.create_task_group() as group:
                    for _ in range(2):
                        group.start_soon(self.copies.wait_to_read)
                    await anyio.sleep(0.01)
                    end()
            self.assertFalse(self.copies.following)

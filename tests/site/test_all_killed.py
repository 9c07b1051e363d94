"""End-to-end tests of streams whose instances are all killed at once.

Nothing in the memory of an instance is left then.
"""

from __future__ import annotations

import asyncio
import typing

from . import streams
from . import versions

_INSTANCES: typing.Final = 4
_STREAMS: typing.Final = 24
# Streams have run for so long when their instances are killed.
_RUN_SECONDS: typing.Final = 1.0
# The store has been down for so long when streams begin.
_OUTAGE_SECONDS: typing.Final = 0.5
# Streams in an outage have run for so long when their instances are killed.
_OUTAGE_RUN_SECONDS: typing.Final = 0.6
_EVENT_SECONDS: typing.Final = 0.2
# What a server that is in need asks for, longer than the outage.
_PAUSE_SECONDS: typing.Final = 3
# Servers have been listed for longer than a stream may last.
_LISTED_SECONDS: typing.Final = 1.7 * versions.LIMIT_SECONDS


class AllKilledTest(versions.VersionsTest):
    """All instances are killed while they pass streams on."""

    async def _begin(
        self, requesters: versions.Requesters
    ) -> list[streams.Stream]:
        """Begin streams at all instances."""
        requesters.hold()
        found: list[streams.Stream] = []
        for instance in requesters.live:
            count = _STREAMS // _INSTANCES
            found += await requesters.begin(count, instance)
        self.assert_began(found)
        await asyncio.sleep(_RUN_SECONDS)
        return found

    async def _take_up(
        self, requesters: versions.Requesters, found: list[streams.Stream]
    ) -> None:
        requesters.let_go()
        await requesters.take_up(found, 1)
        self.assert_one_version(found)
        self.assert_goes_on_or_not_run(requesters, found)

    async def test_refused_though_its_version_serves(self) -> None:
        """Two versions serve before and after."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH
        ) as requesters:
            found = await self._begin(requesters)
            self.assert_both_versions(found)
            await requesters.kill_all(found)
            await requesters.start_all()
            await self._take_up(requesters, found)
            await self.assert_floor(requesters, found)

    async def test_refused_though_it_began_before_the_release(self) -> None:
        """Servers of a new version come after the streams have begun."""
        fleet = versions.TWO_OF_EACH
        async with versions.Requesters.running(
            _INSTANCES, fleet[:2]
        ) as requesters:
            found = await self._begin(requesters)
            await requesters.kill_all(found)
            for item in fleet[2:]:
                await requesters.add_server(*item)
            await requesters.start_all()
            await self._take_up(requesters, found)
            await self.assert_floor(requesters, found)

    async def test_joined_after_its_version_left(self) -> None:
        """The old servers leave just before the instances are killed."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH
        ) as requesters:
            found = await self._begin(requesters)
            self.assert_both_versions(found)
            for server_id in ('a1', 'a2'):
                requesters.engine(server_id).register('draining')
            await requesters.kill_all(found)
            for server_id in ('a1', 'a2'):
                requesters.leave(server_id)
            await requesters.start_all()
            await self._take_up(requesters, found)
            old = [item for item in found if item.events[0][1] == versions.OLD]
            for stream in old:
                self.assertEqual(
                    versions.UNAVAILABLE, stream.status, stream.story
                )
                self.assertLess(
                    stream.seconds, versions.AT_ONCE_SECONDS, stream.story
                )
            new = [item for item in found if item not in old]
            await self.assert_floor(requesters, new)

    async def test_joined_without_history(self) -> None:
        """The store has forgotten what it knew of the streams."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH
        ) as requesters:
            found = await self._begin(requesters)
            await requesters.kill_all(found)
            for topic in requesters.site.store.raw_topics():
                requesters.site.store.drop_history(topic)
            await requesters.start_all()
            await self._take_up(requesters, found)

    async def test_killed_twice(self) -> None:
        """All instances are killed again while the streams go on."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH
        ) as requesters:
            found = await self._begin(requesters)
            await requesters.kill_all(found)
            await requesters.start_all()
            for stream in found:
                stream.start(requesters.rng.choice(requesters.live))
            await asyncio.sleep(_RUN_SECONDS)
            await requesters.kill_all(found)
            await requesters.start_all()
            await self._take_up(requesters, found)
            await self.assert_floor(requesters, found)


class OutageTest(versions.VersionsTest):
    """All instances are killed while the store is down (LOST).

    Which version began a stream is then written nowhere; its identifier tells
    it where the list has not changed for long.
    """

    async def _begin_in_outage(
        self, requesters: versions.Requesters
    ) -> list[streams.Stream]:
        """Begin streams while the store is down, and kill all instances."""
        requesters.site.store.unavailable = True
        await asyncio.sleep(_OUTAGE_SECONDS)
        requesters.hold()
        found: list[streams.Stream] = []
        for instance in requesters.live:
            count = _STREAMS // _INSTANCES
            found += await requesters.begin(count, instance)
        self.assert_began(found)
        await requesters.kill_all(found)
        requesters.site.store.unavailable = False
        return found

    async def _take_up(
        self, requesters: versions.Requesters, found: list[streams.Stream]
    ) -> None:
        await requesters.start_all()
        requesters.let_go()
        await requesters.take_up(found, 1)
        self.assert_one_version(found)
        self.assert_goes_on_or_not_run(requesters, found)

    async def test_refused_though_one_version_ever_served(self) -> None:
        """The log of the list tells that there was no other."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH[:2]
        ) as requesters:
            found = await self._begin_in_outage(requesters)
            await self._take_up(requesters, found)
            await self.assert_floor(requesters, found)

    async def test_refused_though_two_versions_serve(self) -> None:
        """Two versions serve before, meanwhile and after."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH
        ) as requesters:
            async with requesters.beating():
                await asyncio.sleep(_LISTED_SECONDS)
                found = await self._begin_in_outage(requesters)
                self.assert_both_versions(found)
                await self._take_up(requesters, found)
                await self.assert_floor(requesters, found)

    async def test_joined_beside_a_paused_version(self) -> None:
        """The only server of a version takes no requests meanwhile (ORDER).

        Streams whose identifiers select it begin at the other version.
        """
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH[:3]
        ) as requesters:
            for engine in requesters.engines:
                engine.event_seconds = _EVENT_SECONDS
            async with requesters.beating():
                await asyncio.sleep(_LISTED_SECONDS)
                requesters.site.store.unavailable = True
                await asyncio.sleep(_OUTAGE_SECONDS)
                requesters.engine('b1').pause = str(_PAUSE_SECONDS)
                calm = self._start_everywhere(requesters)
                await asyncio.gather(*(stream.ended() for stream in calm))
                self.assert_one_version(calm)
                self._assert_all_answered(calm)
                found = self._start_everywhere(requesters)
                await asyncio.sleep(_OUTAGE_RUN_SECONDS)
                await requesters.kill_all(found)
                requesters.site.store.unavailable = False
                requesters.engine('b1').pause = None
                await requesters.start_all()
                await requesters.take_up(found)
                self.assert_one_version(found)
                self._assert_all_answered(found)

    def _start_everywhere(
        self, requesters: versions.Requesters
    ) -> list[streams.Stream]:
        """Send new streams to all instances in turn."""
        found = [requesters.new_stream() for _ in range(_STREAMS)]
        for number, stream in enumerate(found):
            stream.start(requesters.live[number % _INSTANCES])
        return found

    def _assert_all_answered(self, found: list[streams.Stream]) -> None:
        missing = [stream for stream in found if not stream.answered]
        self.assertEqual(0, len(missing), versions.stories(missing))

    async def test_joined_after_a_version_came(self) -> None:
        """Servers of another version come just before the outage."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH[:2]
        ) as requesters:
            async with requesters.beating():
                await asyncio.sleep(_LISTED_SECONDS)
                for item in versions.TWO_OF_EACH[2:]:
                    await requesters.add_server(*item)
                found = await self._begin_in_outage(requesters)
                await self._take_up(requesters, found)

    async def test_joined_after_the_other_version_left(self) -> None:
        """The log of the list tells of the version that is gone."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH
        ) as requesters:
            found = await self._begin_in_outage(requesters)
            self.assert_both_versions(found)
            for server_id in ('a1', 'a2'):
                requesters.leave(server_id)
            await self._take_up(requesters, found)

    async def test_joined_without_the_history_of_the_list(self) -> None:
        """The store has forgotten who was listed before."""
        async with versions.Requesters.running(
            _INSTANCES, versions.TWO_OF_EACH
        ) as requesters:
            found = await self._begin_in_outage(requesters)
            for server_id in ('a1', 'a2'):
                requesters.leave(server_id)
            requesters.site.store.drop_history('keyed.servers')
            await self._take_up(requesters, found)

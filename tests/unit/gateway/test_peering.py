"""Tests of the messages between instances and the owner of the duty."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import anyio
import expression

from . import fakes
from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import configuration_watch
from dogwoodquay.gateway import controller
from dogwoodquay.gateway import copies
from dogwoodquay.gateway import departures
from dogwoodquay.gateway import fencing
from dogwoodquay.gateway import messages
from dogwoodquay.gateway import origins
from dogwoodquay.gateway import ownership as order_ownership
from dogwoodquay.gateway import peering
from dogwoodquay.gateway import readers
from dogwoodquay.gateway import scheduler as schedulers
from dogwoodquay.gateway import server_limits
from dogwoodquay.gateway import store_api
from dogwoodquay.platform import headers
from dogwoodquay.ratelimit import api as limit_api
from dogwoodquay.traffic import server_capacity
from dogwoodquay.wire import api as wire_api

_Handlers = dict[type, wire_api.Handler]


class _Network:
    """Instances by port; answers from those in ``lossy`` are lost."""

    def __init__(self) -> None:
        self.handlers: dict[int, _Handlers] = {}
        self.lossy: set[int] = set()


class _Transport:
    """The transport of one instance."""

    def __init__(self, network: _Network, port: int) -> None:
        self._network = network
        self._handlers: _Handlers = network.handlers.setdefault(port, {})
        self._sender = wire_api.Sender(
            f'front-{port}', wire_api.PeerAddress('127.0.0.1', port)
        )

    def register(
        self,
        message_type: type[wire_api.Message],
        handler: wire_api.Handler | None = None,
        stream: wire_api.StreamHandler | None = None,
    ) -> None:
        """Register a message type."""
        if handler is not None:
            self._handlers[message_type] = handler

    def send(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        coalesce: str = '',
    ) -> bool:
        """Send no one-way messages."""
        return False

    async def request(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        answer_type: type[wire_api.Answer],
        deadline: float,
    ) -> expression.Result[wire_api.Answer, wire_api.WireError]:
        """Call the handler of another instance."""
        handler = self._network.handlers.get(peer.port, {}).get(type(message))
        if handler is None:
            return expression.Error(wire_api.Unreachable('connect'))
        answer = await handler(self._sender, message, deadline)
        if peer.port in self._network.lossy:
            return expression.Error(wire_api.NoAnswer('timeout'))
        if answer is None:
            return expression.Error(wire_api.Declined('declined'))
        return expression.Ok(typing.cast('wire_api.Answer', answer))

    def stream(
        self,
        peer: wire_api.PeerAddress,
        message: wire_api.Message,
        answer_type: type[wire_api.Answer],
        deadline: float,
    ) -> typing.Any:
        """Support no streams."""
        raise NotImplementedError


class _UnresponsiveEngines:
    """Engines that never answer."""

    async def report(self, *arguments: typing.Any) -> typing.Any:
        """Never answer."""
        await anyio.sleep_forever()

    async def order(self, *arguments: typing.Any) -> typing.Any:
        """Never answer."""
        await anyio.sleep_forever()


class _Instance:
    """The parts of one instance that deal with the duty and its peers."""

    def __init__(
        self, network: _Network, store: fakes.FakeStore, port: int
    ) -> None:
        clock = store.clock
        settings = fakes.instance_settings(f'front-{port}')
        settings = settings._replace(peers=settings.peers._replace(port=port))
        metrics = fakes.make_metrics()
        registry = registries.Registry()
        self.ownership = order_ownership.OrderOwnership(
            store, settings, clock, fakes.rng(), metrics
        )
        self.limits = server_limits.ServerLimits(
            self.ownership.member, registry, clock, metrics
        )
        self.accounts = fakes.make_accounts(clock)
        self.capacity = server_capacity.ServerCapacity(
            registry, clock, fakes.rng(), metrics
        )
        self.controller = controller.Controller(
            self.ownership,
            registry,
            _UnresponsiveEngines(),
            settings,
            clock,
            metrics,
            fakes.rng(),
            self.limits,
        )
        transport = _Transport(network, port)
        self.copies = copies.ConfigurationCopies(transport, clock)
        self.origins = origins.StreamOrigins(
            transport,
            self.ownership.member,
            settings.failure_domain,
            clock,
            metrics,
            fakes.make_origin_log(clock),
        )
        self.peering = peering.Peering(
            transport,
            self.ownership,
            self.controller,
            registry,
            clock,
            self.copies,
            self.origins,
            departures.DepartureNews(registry, clock, metrics),
            fakes.make_crashes(clock),
            self.limits,
            fakes.make_stalls(registry, clock, enabled=True),
            self.accounts,
            self.capacity,
        )
        self.registry = registry
        self.scheduler = schedulers.Scheduler(
            registry,
            'd1',
            clock,
            fakes.rng(),
            self.peering,
            self.limits,
            self.capacity,
        )

    async def publish_load(self) -> None:
        """Send the load to the owner once."""
        await self.peering.publish_load(self.scheduler)

    def attach(self, version: int) -> None:
        """Attach a watch of the configuration with a version in force."""
        configuration = mock.Mock(spec=configuration_watch.ConfigurationWatch)
        configuration.version = version
        self.peering.attach(self.scheduler, configuration)


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """The owner is stopped while the store is unavailable."""

    async def asyncSetUp(self) -> None:
        """Create an owner to which two instances have sent their load."""
        self.network = _Network()
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.instances = [
            _Instance(self.network, self.store, port)
            for port in (7001, 7002, 7003)
        ]
        self.owner = self.instances[0]
        for instance in self.instances:
            await instance.ownership.step()
            await instance.publish_load()
        self.store.unavailable = True

    def _owners(self) -> list[_Instance]:
        now = self.store.clock.now()
        return [
            item for item in self.instances if item.ownership.may_order(now)
        ]

    async def _stop(self) -> None:
        with anyio.move_on_after(0.2):
            await self.owner.peering.hand_over()

    async def test_peer_takes_over(self) -> None:
        """A peer owns the duty at once, and the others send it their load."""
        await self._stop()
        (successor,) = self._owners()
        self.assertIsNot(self.owner, successor)
        for _ in range(2):
            for instance in self.instances:
                await instance.publish_load()
        owners = {instance.ownership.owner for instance in self.instances}
        self.assertEqual({successor.ownership.member}, owners)
        self.assertEqual(2, len(successor.controller.recent_peers()))

    async def test_answer_lost(self) -> None:
        """Two peers may own the duty then, but with different tokens."""
        self.network.lossy.update({7002, 7003})
        await self._stop()
        successors = self._owners()
        self.assertEqual(2, len(successors))
        self.assertEqual(
            2, len({successor.ownership.fence for successor in successors})
        )

    async def test_store_available(self) -> None:
        """While the store answers, the duty is handed to no peer."""
        self.store.unavailable = False
        await self._stop()
        self.assertEqual([], self._owners())

    async def test_store_available_again(self) -> None:
        """An owner without a successor leaves once the store answers."""
        self.network.handlers.clear()
        await self._stop()
        self.assertIn(self.owner.ownership.member, self.store.members)
        self.store.unavailable = False
        await self._stop()
        self.assertEqual({}, self.store.members)

    async def test_load_received_while_stopping(self) -> None:
        """A stopping owner without a known peer learns of one meanwhile."""
        self.store.clock.advance(5.0)
        await self._stop()
        self.assertEqual([], self._owners())
        await self.instances[1].publish_load()
        await self._stop()
        self.assertEqual([self.instances[1]], self._owners())


class CopiesTest(unittest.IsolatedAsyncioTestCase):
    """The owner's views spare most instances reads of the store."""

    async def asyncSetUp(self) -> None:
        """Create an owner with more instances than readers."""
        self.network = _Network()
        self.clock = clocks.ManualClock()
        store = fakes.FakeStore(self.clock)
        self.instances = [
            _Instance(self.network, store, 7001 + number)
            for number in range(2 * readers.READERS)
        ]
        self.owner = self.instances[0]
        for _ in range(2):
            for instance in self.instances:
                instance.attach(7)
                await instance.ownership.step()
                await instance.publish_load()

    def _followers(self) -> list[_Instance]:
        return [item for item in self.instances if item.copies.following]

    async def _fetch(
        self, instance: _Instance
    ) -> copies.ConfigurationCopy | None:
        return await instance.copies.fetch(7)

    async def test_most_follow(self) -> None:
        """The owner and the appointed readers do not follow."""
        count = len(self._followers())
        least = len(self.instances) - readers.READERS - 1
        self.assertIn(count, (least, least + 1))
        self.assertNotIn(self.owner, self._followers())

    async def test_copy_of_a_new_version(self) -> None:
        """A follower gets a new version from an instance that has it."""
        copy = copies.ConfigurationCopy(
            8, b'{"Version": 8}', store_api.Position(0, 5)
        )
        follower = self._followers()[0]
        holder = next(
            item
            for item in self.instances
            if item not in (follower, self.owner)
        )
        holder.copies.keep(copy)
        holder.attach(8)
        await holder.publish_load()
        await follower.publish_load()
        self.assertEqual(copy, await self._fetch(follower))

    async def test_unreachable_owner(self) -> None:
        """Following ends at once when the owner does not answer."""
        follower = self._followers()[0]
        self.network.handlers.pop(7001)
        await follower.publish_load()
        self.assertFalse(follower.copies.following)
        self.assertIsNone(await self._fetch(follower))

    async def test_unknown_owner(self) -> None:
        """Following ends at once when the owner is not known any more."""
        follower = self._followers()[0]
        follower.ownership.on_owner_unreachable()
        await follower.publish_load()
        self.assertFalse(follower.copies.following)

    async def test_silent_owner(self) -> None:
        """Without a view, all instances read the store after a time."""
        self.clock.advance(copies.FOLLOW_SECONDS)
        self.assertEqual([], self._followers())

    async def test_new_version_published_at_once(self) -> None:
        """A new version is published before the next load is due."""
        instance = self._followers()[0]
        published = anyio.Event()
        loads = mock.AsyncMock(side_effect=lambda _: published.set())
        with (
            mock.patch.object(peering, 'LOAD_INTERVAL_SECONDS', 60.0),
            mock.patch.object(instance.peering, 'publish_load', loads),
            anyio.fail_after(10.0),
        ):
            async with anyio.create_task_group() as group:
                group.start_soon(instance.peering.run)
                await anyio.sleep(0.01)
                self.assertFalse(published.is_set())
                instance.peering.publish_soon()
                await published.wait()
                await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        self.assertEqual(1, loads.await_count)


class RosterTest(unittest.IsolatedAsyncioTestCase):
    """The owner's view carries the roster when it has changed."""

    async def asyncSetUp(self) -> None:
        """Create three instances that have sent their load twice."""
        self.network = _Network()
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.instances = [
            _Instance(self.network, self.store, port)
            for port in (7001, 7002, 7003)
        ]
        self.rosters: dict[int, list[list[str]]] = {}
        for number, item in enumerate(self.instances):
            self._record_rosters(number, item)
        await self._publish(2)

    def _record_rosters(self, number: int, instance: _Instance) -> None:
        seen = self.rosters.setdefault(number, [])
        update = instance.origins.update_roster

        def record(roster: tuple[messages.InstanceRow, ...]) -> None:
            seen.append([row.member.split('@')[0] for row in roster])
            update(roster)

        patch = mock.patch.object(instance.origins, 'update_roster', record)
        patch.start()
        self.addCleanup(patch.stop)

    async def _publish(self, times: int, *stopped: int) -> None:
        for _ in range(times):
            self.clock.advance(0.25)
            for number, instance in enumerate(self.instances):
                if number not in stopped:
                    await instance.ownership.step()
                    await instance.publish_load()

    async def test_owner_and_others_apply_it(self) -> None:
        """All instances know all of them, with their domains."""
        expected = ['front-7001', 'front-7002', 'front-7003']
        for seen in self.rosters.values():
            self.assertEqual(expected, seen[-1])

    async def test_unchanged(self) -> None:
        """Without a change, no roster is sent."""
        for seen in self.rosters.values():
            seen.clear()
        await self._publish(3)
        self.assertEqual([[], [], []], list(self.rosters.values()))

    async def test_dead_instance(self) -> None:
        """The others learn that an instance has died."""
        await self._publish(10, 2)
        expected = ['front-7001', 'front-7002']
        self.assertEqual(expected, self.rosters[0][-1])
        self.assertEqual(expected, self.rosters[1][-1])

    async def test_next_owner(self) -> None:
        """The first roster of the next owner lacks only the dead one."""
        self.network.handlers.pop(7001)
        for seen in self.rosters.values():
            seen.clear()
        await self._publish(30, 0)
        self.assertIn(self._owner(), (1, 2))
        expected = ['front-7002', 'front-7003']
        self.assertEqual(
            [[], [expected], [expected]], [*self.rosters.values()]
        )

    async def test_owner_lost(self) -> None:
        """Without an owner, an instance keeps its last roster."""
        for seen in self.rosters.values():
            seen.clear()
        self.store.unavailable = True
        self.network.handlers.clear()
        self.clock.advance(5.0)
        await self._publish(2, 0)
        self.assertEqual([], self.rosters[1])

    def _owner(self) -> int:
        now = self.clock.now()
        (owner,) = (
            number
            for number, item in enumerate(self.instances)
            if number and item.ownership.is_owner(now)
        )
        return owner


class FindAdapterTest(unittest.IsolatedAsyncioTestCase):
    """Instances ask the owner for servers with adapters."""

    async def test_software_version_is_passed_on(self) -> None:
        """The owner searches among servers of the requested version."""
        network = _Network()
        store = fakes.FakeStore(clocks.ManualClock())
        owner, other = (
            _Instance(network, store, port) for port in (7001, 7002)
        )
        for instance in (owner, other):
            await instance.ownership.step()
            await instance.publish_load()
        found = mock.AsyncMock(return_value='s1')
        with mock.patch.object(owner.controller, 'find_adapter', found):
            for instance in (owner, other):
                for version in (None, '', 'v1'):
                    answer = await instance.peering.find_adapter(
                        'models', 'm', 'a1', 5.0, version
                    )
                    self.assertEqual('s1', answer)
                    found.assert_awaited_with(
                        'models', 'm', 'a1', 5.0, version
                    )
        self.assertEqual(6, found.await_count)


class DeparturesTest(unittest.IsolatedAsyncioTestCase):
    """Instances tell each other which servers have left."""

    async def asyncSetUp(self) -> None:
        """Create an owner and two instances that know a server."""
        self.network = _Network()
        self.store = fakes.FakeStore(clocks.ManualClock())
        self.instances = [
            _Instance(self.network, self.store, port)
            for port in (7001, 7002, 7003)
        ]
        for instance in self.instances:
            instance.registry.update(entries.entry(), self.now)
            await instance.ownership.step()
            await instance.publish_load()
        self.store.clock.advance(1.0)

    @property
    def now(self) -> float:
        """The time of all instances."""
        return self.store.clock.now()

    def _used_at(self) -> list[bool]:
        return [
            bool(instance.registry.of_service('models'))
            for instance in self.instances
        ]

    async def _publish(self) -> None:
        for instance in self.instances:
            await instance.publish_load()

    async def test_known_at_one_instance(self) -> None:
        """The owner learns it from one instance and tells the others."""
        self.instances[2].registry.remove('s1', self.now)
        await self._publish()
        await self._publish()
        self.assertEqual([False, False, False], self._used_at())

    async def test_known_at_the_owner(self) -> None:
        """The owner's view tells of it."""
        self.instances[0].registry.update(
            entries.entry(state=fleet_api.ServerState.LEAVING), self.now
        )
        await self.instances[1].publish_load()
        self.assertEqual([False, False, True], self._used_at())

    async def test_old_departures(self) -> None:
        """Departures are passed on for some time only."""
        self.instances[0].registry.remove('s1', self.now)
        self.store.clock.advance(departures.NEWS_SECONDS + 0.1)
        await self._publish()
        self.assertEqual([False, True, True], self._used_at())

    async def test_listed_since(self) -> None:
        """A list that was read after the removal counts."""
        self.instances[0].registry.remove('s1', self.now)
        self.store.clock.advance(1.0)
        self.instances[1].registry.on_complete_read(self.now)
        await self._publish()
        self.assertEqual([False, True, False], self._used_at())


class ServerLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Limits and permits go by way of the owner."""

    async def asyncSetUp(self) -> None:
        """Create three instances that list a server; the first one owns."""
        self.network = _Network()
        self.clock = clocks.ManualClock()
        self.store = fakes.FakeStore(self.clock)
        self.entry = entries.entry('s1')
        self.instances = [
            _Instance(self.network, self.store, port)
            for port in (7001, 7002, 7003)
        ]
        for item in self.instances:
            item.registry.update(self.entry, self.clock.now())
        await self._publish(2)

    async def _publish(self, times: int, *stopped: int) -> None:
        for _ in range(times):
            self.clock.advance(0.25)
            for number, instance in enumerate(self.instances):
                if number not in stopped:
                    await instance.ownership.step()
                    await instance.publish_load()

    def _answer(self, instance: _Instance, rate: float | None) -> None:
        """Apply a server's answer with a limit, or with none."""
        named = () if rate is None else ((b'server-limit', b'%g' % rate),)
        stamp = (b'response-stamp', b'x')
        terms = headers.answer_terms(200, (stamp, *named))
        instance.limits.on_answer(self.entry, terms, self.clock.now())

    def _want(self, instance: _Instance, count: int) -> typing.Any:
        """Let requests of an instance wait for the server."""
        key = server_limits.key_of(self.entry)
        wants = [limit_api.Want(key, 1, count)]
        return mock.patch.object(
            instance.scheduler, 'permits_wanted', lambda: wants
        )

    def _permits(self, instance: _Instance) -> int:
        key = server_limits.key_of(self.entry)
        return instance.limits.limits.permits(key, self.clock.now())

    async def test_known_to_all(self) -> None:
        """What one instance hears, all know, also that a limit has ended."""
        self._answer(self.instances[1], 2.5)
        await self._publish(2)
        rates = [item.limits.rate(self.entry) for item in self.instances]
        self.assertEqual([2.5] * 3, rates)
        self._answer(self.instances[2], None)
        await self._publish(2)
        rates = [item.limits.rate(self.entry) for item in self.instances]
        self.assertEqual([None] * 3, rates)

    async def test_load_and_pace(self) -> None:
        """What a server states of its load and pace, all know soon."""
        load = (b'server-load', b'3,1,4,250')
        terms = headers.answer_terms(200, (load,))
        teller = self.instances[1]
        teller.capacity.on_answer(teller.registry.servers['s1'], terms)
        await self._publish(1)
        key = server_limits.key_of(self.entry)
        later = self.instances[2].capacity.capacities.servers[key]
        self.assertEqual((3, 1), (later.running, later.waiting))
        self.assertEqual(2.5, later.stated_pace)

    async def test_permits(self) -> None:
        """The instance that wants permits gets them at the limit's rate."""
        self._answer(self.instances[1], 4.0)
        with self._want(self.instances[1], 9):
            await self._publish(1)
            self.assertEqual(0, self._permits(self.instances[1]))
            await self._publish(2)
        got = [self._permits(item) for item in self.instances]
        self.assertEqual([0, 2, 0], got)

    async def test_load_that_comes_first(self) -> None:
        """A new owner begins anew, also before its own load."""
        self._answer(self.instances[1], 8.0)
        first, second, third = self.instances
        with self._want(third, 9):
            await self._publish(4)
        self.store.unavailable = True
        await first.ownership.leave()
        self.assertTrue(
            second.ownership.take_over('x', fencing.OrderToken(0, 9, 1))
        )
        first.ownership.handed_over(second.ownership.member)
        third.ownership.on_owner_unreachable()
        third.ownership.on_owner_reported(second.ownership.member)
        self.clock.advance(0.7)
        with self._want(third, 9):
            await third.publish_load()
            self.assertEqual(0, self._permits(third))
            self.clock.advance(0.25)
            await third.publish_load()
        self.assertEqual(0, self._permits(third))
        # One of three members follows it: a third of eight a second.
        with self._want(third, 9):
            self.clock.advance(0.25)
            await third.publish_load()
        self.assertEqual(1, self._permits(third))

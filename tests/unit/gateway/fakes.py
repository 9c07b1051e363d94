"""Fakes of the gateway's surroundings."""

from __future__ import annotations

import random
import typing

import anyio
import eliot
import expression

from dogwoodquay import clock as clocks
from dogwoodquay.external import api as external_api
from dogwoodquay.external.http import client
from dogwoodquay.gateway import copies
from dogwoodquay.gateway import crashes
from dogwoodquay.gateway import metrics
from dogwoodquay.gateway import origin_appends
from dogwoodquay.gateway import origin_log
from dogwoodquay.gateway import origins
from dogwoodquay.gateway import server_limits
from dogwoodquay.gateway import settings
from dogwoodquay.gateway import store_api
from dogwoodquay.observe import metrics as metrics_module
from dogwoodquay.platform import headers
from dogwoodquay.traffic import server_capacity
from dogwoodquay.traffic import stall_watch
from dogwoodquay.traffic import tenancy
from dogwoodquay.traffic import tenant_accounts

if typing.TYPE_CHECKING:
    from collections import abc
    import unittest

    from dogwoodquay.fleet import registry as registries

__all__ = [
    'FakeCopies',
    'FakeOrigins',
    'FakeEarlierList',
    'FakeServerList',
    'FakeStore',
    'instance_settings',
    'log_lines',
    'make_accounts',
    'make_crashes',
    'make_limits',
    'make_metrics',
    'make_tenancy',
]

_LOST: typing.Final = external_api.Ambiguous('timeout')


def instance_settings(
    name: str = 'front-1', **changes: typing.Any
) -> settings.InstanceSettings:
    """Return the settings of an instance, with changes."""
    default_settings = settings.InstanceSettings(
        instance_id=name,
        failure_domain='d1',
        callers=settings.Address('127.0.0.1', 0),
        readiness=settings.Address('127.0.0.1', 0),
        peers=settings.Address('127.0.0.1', 7000),
        store=settings.Address('127.0.0.1', 1),
        list_interval_seconds=0.7,
        configuration_age_seconds=1.0,
        stop_seconds=8.0,
        lease_seconds=3.0,
        fences_checked=True,
        member_seconds=1.2,
        retry_share=0.2,
        retry_window_seconds=10.0,
        ceiling_window_seconds=5.0,
        heartbeat_seconds=1.2,
    )
    return default_settings._replace(**changes)


def make_metrics() -> metrics.GatewayMetrics:
    """Return metrics with a registry of their own."""
    return metrics.GatewayMetrics(metrics_module.Registry('test'))


def make_origin_log(
    clock: clocks.Clock, store: FakeLog | None = None
) -> origin_log.OriginLog:
    """Return a log of origins, in a topic of its own if none is given."""
    return origin_log.OriginLog(
        store or FakeLog(), clock, make_metrics(), lambda: False
    )


def make_crashes(clock: clocks.Clock) -> crashes.CrashWatch:
    """Return a watch of crashes that opens no connection by itself."""
    connections = client.Connections(clock)
    return crashes.CrashWatch(connections, clock, make_metrics(), 'front-0')


def make_tenancy() -> tenancy.Tenancy:
    """Return a tenancy without declared tenants."""
    accounts = make_accounts(clocks.ManualClock())
    return tenancy.Tenancy(headers, make_metrics(), accounts)


def make_stalls(
    registry: registries.Registry,
    clock: clocks.Clock,
    enabled: bool = False,
) -> stall_watch.StallWatch:
    """Return a watch of stalled servers, of no service unless enabled."""
    return stall_watch.StallWatch(
        registry, clock, make_metrics(), lambda _: enabled
    )


def make_accounts(clock: clocks.Clock) -> tenant_accounts.TenantAccounts:
    """Return accounts without tenants."""
    return tenant_accounts.TenantAccounts(
        instance_settings(), clock, rng(), make_metrics()
    )


def make_limits(
    registry: registries.Registry, clock: clocks.Clock
) -> server_limits.ServerLimits:
    """Return limits of servers, none of which is limited at first."""
    return server_limits.ServerLimits(
        'front-1@127.0.0.1:7000', registry, clock, make_metrics()
    )


def make_capacity(
    registry: registries.Registry, clock: clocks.Clock
) -> server_capacity.ServerCapacity:
    """Return the learned capacity of servers, none of which is paced."""
    return server_capacity.ServerCapacity(
        registry, clock, rng(), make_metrics()
    )


def log_lines(test: unittest.TestCase) -> list[dict[str, typing.Any]]:
    """Return a list that receives the lines logged until the test ends."""
    lines: list[dict[str, typing.Any]] = []
    eliot.add_destinations(lines.append)
    test.addCleanup(eliot.remove_destination, lines.append)
    # The first destination also receives what was logged before.
    lines.clear()
    return lines


class FakeCopies(copies.ConfigurationCopies):
    """Copies of other instances: the next answer and what was kept."""

    def __init__(self) -> None:
        self.answer: copies.ConfigurationCopy | None = None
        self.kept: list[int] = []
        self.is_following = False
        self.fetched = 0
        self.holders_change = False
        self.fetchable = anyio.Event()
        self.fetchable.set()

    @property
    def following(self) -> bool:
        """Whether the store is left alone."""
        return self.is_following

    async def wait_to_read(self) -> None:
        """Wait until a test cancels it, if following."""
        while self.is_following:
            await anyio.sleep(0.01)

    def keep(self, copy: copies.ConfigurationCopy) -> None:
        """Record the version."""
        self.kept.append(copy.version)

    async def wait_for_other_holder(self, seconds: float) -> None:
        """Wait; a view names other holders all the time, if set so."""
        await anyio.sleep(0.001 if self.holders_change else seconds)

    async def fetch(self, newer_than: int) -> copies.ConfigurationCopy | None:
        """Return the answer once it is on hand."""
        self.fetched += 1
        await self.fetchable.wait()
        return self.answer


class FakeOrigins:
    """Records of stream origins in memory."""

    def __init__(self) -> None:
        self.found: tuple[origins.Origin, ...] = ()
        self.log_complete = True
        self.asked: list[str] = []
        self.recorded: list[tuple[str, origins.Origin, float]] = []
        self.confirmation = origin_appends.Confirmation()
        self.confirmation.confirm()

    async def record(
        self,
        stream_id: str,
        origin: origins.Origin,
        lifetime_seconds: float,
        confirmed: bool = False,
    ) -> origin_appends.Confirmation:
        """Keep a record."""
        self.recorded.append((stream_id, origin, lifetime_seconds))
        return self.confirmation

    async def find(
        self, stream_id: str, deadline: float, owner: str = ''
    ) -> tuple[origins.Origin, ...]:
        """Return what is to be found."""
        self.asked.append(stream_id)
        return self.found


class FakeEarlierList:
    """Knows what was listed before; ``extend`` calls ``on_extend``.

    ``states`` are what :meth:`weights` returns.
    """

    def __init__(self) -> None:
        self.states: list[dict[str, int]] | None = None
        self.asked: list[float] = []
        self.on_extend: abc.Callable[[], None] = lambda: None

    async def extend(self, since: float, deadline: float) -> None:
        """Extend what is known."""
        self.asked.append(since)
        self.on_extend()

    async def weights(
        self, service: str, model: str, since: float, deadline: float
    ) -> list[dict[str, int]] | None:
        """Return the states of the list."""
        return self.states


class FakeLog:
    """A topic in memory; appends and reads may fail.

    With ``late``, appends are lost to their callers and take effect later,
    by :meth:`apply_late`.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.page_records = 1000
        self.unavailable = False
        self.late = False
        self.appends = 0
        self.reads = 0
        self.late_records: list[bytes] = []
        self.era = 0
        # Unset while answers to reads are on their way.
        self.answers = anyio.Event()
        self.answers.set()

    def trim(self) -> None:
        """Drop all records."""
        self.first_offset += len(self.records)
        self.records = []

    def restore(self, count: int) -> None:
        """Come back from a copy with the first records."""
        self.era += 1
        del self.records[count:]

    def apply_late(self) -> None:
        """Append what was lost to its callers, the last one first."""
        self.records.extend(reversed(self.late_records))
        self.late_records = []

    async def append(
        self, topic: store_api.Topic, record: bytes, deadline: float
    ) -> expression.Result[None, store_api.StoreError]:
        """Append a record."""
        self.appends += 1
        await anyio.lowlevel.checkpoint()
        if self.unavailable:
            return expression.Error(external_api.Unavailable('status_503'))
        if self.late:
            self.late_records.append(record)
            return expression.Error(external_api.Ambiguous('timeout'))
        self.records.append(record)
        return expression.Ok(None)

    async def read_log(
        self,
        topic: store_api.Topic,
        position: store_api.Position,
        deadline: float,
    ) -> expression.Result[store_api.LogRecords, store_api.StoreError]:
        """Return records as they are when the read begins."""
        self.reads += 1
        if self.unavailable:
            return expression.Error(external_api.Unavailable('status_503'))
        end = self.first_offset + len(self.records)
        offset = position.offset
        if not self.first_offset <= offset <= end:
            return expression.Error(external_api.Trimmed(self.first_offset))
        if position.era not in (0, self.era):
            return expression.Error(store_api.Restored(self.era))
        start = offset - self.first_offset
        found = tuple(self.records[start : start + self.page_records])
        await self.answers.wait()
        await anyio.lowlevel.checkpoint()
        return expression.Ok(
            store_api.LogRecords(
                found, store_api.Position(self.era, offset + len(found)), end
            )
        )


class FakeServerList:
    """The reads of the list; ``on_read`` is called by each."""

    def __init__(self) -> None:
        self.available = True
        self.on_read: typing.Callable[[], None] = lambda: None
        self.waits: list[tuple[float, float]] = []

    async def wait_read(self, after: float, deadline: float) -> bool:
        """Read at once, if available."""
        self.waits.append((after, deadline))
        if self.available:
            self.on_read()
        return self.available


class FakeStore:
    """A store in memory with keyed records and a group of one partition."""

    def __init__(self, clock: clocks.ManualClock) -> None:
        self.clock = clock
        self.unavailable = False
        self.unanswered_reads = 0
        self.newest_seconds = 0.0
        self.calls = 0
        self.records: list[store_api.NewestRecord] = []
        self.first_offset = 0
        self.generation = 0
        self.era = 0
        self.members: dict[str, float] = {}
        self.partition_owner = ''
        self.partition_moving = False
        self.unassigned_joins = 0
        self.single_records = False
        self.holds_polls = False
        self.begins_cancelled = False
        self.late_seconds = 0.0
        # Unset while records are on their way over a slow link.
        self.transfer = anyio.Event()
        self.transfer.set()

    def put(self, key: str, value: bytes) -> None:
        """Add a record."""
        self.records.append(store_api.NewestRecord(key, value))

    async def write(
        self,
        topic: store_api.Topic,
        records: abc.Mapping[str, bytes],
        deadline: float,
    ) -> expression.Result[None, store_api.StoreError]:
        """Write records with keys."""
        self.calls += 1
        if self.unavailable:
            return expression.Error(_LOST)
        for item in records.items():
            self.put(*item)
        return expression.Ok(None)

    def restore(self, generation: int, *members: str) -> None:
        """Come back from a copy with an older state of the group."""
        self.restore_records(len(self.records))
        self.generation = generation
        self.members = dict.fromkeys(members, self.clock.now() + 1.0)
        self.partition_owner = ''
        self._assign_partition()

    def restore_records(self, count: int) -> None:
        """Come back from a copy with the first records."""
        self.era += 1
        del self.records[count:]

    async def newest(
        self,
        topic: store_api.Topic,
        deadline: float,
        on_begin: abc.Callable[[], None] = store_api.ignore_begin,
    ) -> expression.Result[store_api.Records, store_api.StoreError]:
        """Return the newest record of each key, after a delay if any."""
        self.calls += 1
        if self.newest_seconds:
            await anyio.sleep(self.newest_seconds)
        if self.clock.now() + self.late_seconds > deadline:
            return expression.Error(_LOST)
        if self.unavailable:
            return expression.Error(_LOST)
        newest = {record.key: record for record in self.records}
        kept = tuple(record for record in newest.values() if record.value)
        on_begin()
        await self.transfer.wait()
        end = store_api.Position(self.era, len(self.records))
        return expression.Ok(store_api.Records(kept, end, end.offset))

    async def read(
        self,
        topic: store_api.Topic,
        position: store_api.Position,
        wait_seconds: float,
        deadline: float,
        single: bool = False,
        on_begin: abc.Callable[[], None] = store_api.ignore_begin,
    ) -> expression.Result[store_api.Records, store_api.StoreError]:
        """Return records from a position on; some reads get no answer."""
        self.calls += 1
        era, offset = position
        await anyio.sleep(0.001)
        if self.unanswered_reads:
            self.unanswered_reads -= 1
            await anyio.sleep_forever()
        try:
            while self.holds_polls and wait_seconds:
                if offset < len(self.records):
                    break
                await anyio.sleep(0.001)
        except anyio.get_cancelled_exc_class():
            if self.begins_cancelled:
                on_begin()
            raise
        if self.unavailable:
            return expression.Error(_LOST)
        if offset < self.first_offset:
            return expression.Error(external_api.Trimmed(self.first_offset))
        if era not in (0, self.era) or offset > len(self.records):
            return expression.Error(store_api.Restored(self.era))
        records = tuple(self.records[offset:])
        if single and self.single_records:
            records = records[:1]
        if records:
            on_begin()
            await self.transfer.wait()
        return expression.Ok(
            store_api.Records(
                records,
                store_api.Position(self.era, offset + len(records)),
                len(self.records),
            )
        )

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
        deadline: float,
    ) -> expression.Result[store_api.Membership, store_api.StoreError]:
        """Join; the first member owns the partition."""
        self.calls += 1
        if self.unavailable:
            return expression.Error(_LOST)
        self._expire()
        if member not in self.members:
            self.generation += 1
        self.members[member] = self.clock.now() + ttl_seconds
        self._assign_partition()
        partitions = (
            frozenset({0}) if self.partition_owner == member else frozenset()
        )
        if self.unassigned_joins:
            self.unassigned_joins -= 1
            partitions = frozenset()
        return expression.Ok(
            store_api.Membership(self.generation, partitions, self.era)
        )

    async def leave(self, group: str, member: str, deadline: float) -> bool:
        """Leave the group."""
        self.calls += 1
        if self.unavailable:
            return False
        if self.members.pop(member, None) is not None:
            self.generation += 1
            self._assign_partition()
        return True

    async def owner(
        self, group: str, partition: int, deadline: float
    ) -> expression.Result[store_api.GroupView, store_api.StoreError]:
        """Return the owner, empty while the partition moves."""
        self.calls += 1
        if self.unavailable:
            return expression.Error(_LOST)
        self._expire()
        owner = '' if self.partition_moving else self.partition_owner
        view = store_api.GroupView(owner, bool(self.members))
        return expression.Ok(view)

    def _expire(self) -> None:
        now = self.clock.now()
        for member, until in list(self.members.items()):
            if now >= until:
                del self.members[member]
                self.generation += 1
        self._assign_partition()

    def _assign_partition(self) -> None:
        if self.partition_owner not in self.members:
            self.partition_owner = next(iter(self.members), '')


def rng() -> random.Random:
    """Return a generator with a fixed seed."""
    return random.Random(5)

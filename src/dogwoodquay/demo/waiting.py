"""Publishes the example records and waits until targets are ready."""

from __future__ import annotations

import contextlib
import random
import typing

import anyio

from ..external.http import client as http_client
from ..external.http import log as http_log
from . import fleet as fleets
from ..operators import client
from ..operators import publisher
from ..records import catalog
from ..standin import examples

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..operators import api as operators_api
    from ..standin import site as sites

__all__ = ['NotReached', 'Watcher', 'publish_examples']

PUBLISH_TIMEOUT_SECONDS: typing.Final = 15.0
POLL_SECONDS: typing.Final = 0.2


class NotReached(Exception):
    """The site did not reach the expected state."""


async def publish_examples(
    site: sites.StandInSite,
    clock: clocks.Clock,
    *deployments: examples.Deployment,
) -> int:
    """Publish the example records of the deployments.

    :return: the offset of the last record.
    :raises ExceptionGroup: with a :class:`NotReached`, if a record is refused
        or not decided in time.
    """
    records = examples.records(site, *deployments)
    offset = -1
    async with http_client.Connections(clock) as connections:
        log = http_log.HttpLog(connections, clock, *site.log_address)
        record_publisher = publisher.Publisher(log, clock, random.Random())
        async with anyio.create_task_group() as group:
            group.start_soon(record_publisher.run)
            await record_publisher.wait_caught_up(
                clock.now() + PUBLISH_TIMEOUT_SECONDS
            )
            for record in records:
                deadline = clock.now() + PUBLISH_TIMEOUT_SECONDS
                decision = await record_publisher.publish(
                    record.payload, deadline
                )
                offset = _accepted_offset(record, decision)
            group.cancel_scope.cancel()
    return offset


class Watcher:
    """Polls the status of the instances over persistent connections."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._clients: dict[str, client.OperatorsClient] = {}

    @contextlib.asynccontextmanager
    async def running(self) -> abc.AsyncIterator[Watcher]:
        """Open clients for all instances of the fleet and close them later."""
        async with contextlib.AsyncExitStack() as stack:
            for member in self._fleet.members:
                self._clients[
                    member.instance_id
                ] = await stack.enter_async_context(
                    client.OperatorsClient(member.operators_url, fleets.TOKEN)
                )
            yield self

    async def statuses(self) -> tuple[operators_api.Status, ...]:
        """Return the status of each live instance that replies."""
        results = [
            await self._clients[member.instance_id].status()
            for member in self._fleet.live
        ]
        return tuple(result.ok for result in results if result.is_ok())

    async def wait_reachable(
        self,
        offset: int,
        seconds: float,
        ignored_servers: frozenset[str] = frozenset(),
    ) -> None:
        """Wait until each live instance sees a ready server for each target.

        :param offset: the lowest active configuration offset to wait for.
        :param ignored_servers: servers that do not count as ready.
        :raises NotReached: if it takes longer than ``seconds``.
        """
        missing = 'no status'
        with anyio.move_on_after(seconds):
            while True:
                missing = await self._find_missing(offset, ignored_servers)
                if not missing:
                    return
                await anyio.sleep(POLL_SECONDS)
        raise NotReached(missing)

    async def _find_missing(
        self, offset: int, ignored_servers: frozenset[str]
    ) -> str:
        statuses = await self.statuses()
        if len(statuses) < len(self._fleet.live):
            return 'an instance does not report its status'
        problems = (
            _missing_at_instance(status, offset, ignored_servers)
            for status in statuses
        )
        return next(filter(None, problems), '')


def _missing_at_instance(
    status: operators_api.Status, offset: int, ignored_servers: frozenset[str]
) -> str:
    if not status.ready or status.configuration.offset < offset:
        return f'{status.instance_id} is not ready at offset {offset}'
    unreachable = [
        target.name
        for target in status.targets
        if not set(target.ready_on) - ignored_servers
    ]
    if unreachable:
        count = len(unreachable)
        return f'{count} targets are not ready, such as {unreachable[0]}'
    return ''


def _accepted_offset(
    record: examples.ExampleRecord,
    decision: publisher.Published | publisher.Undecided,
) -> int:
    match decision:
        case publisher.Undecided(reason):
            raise NotReached(f'{record.kind} {record.name}: {reason}')
        case publisher.Published(catalog.RefusedRecord() as refused):
            raise NotReached(
                f'{record.kind} {record.name}: {refused.explanation}'
            )
        case publisher.Published(outcome):
            return outcome.offset

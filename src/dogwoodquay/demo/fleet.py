"""Starts, stops and kills the entry instances of the demonstration."""

from __future__ import annotations

import dataclasses
import json
import typing

import anyio
import anyio.abc

from ..node import instance as instances
from ..settings import load
from . import sockets

if typing.TYPE_CHECKING:
    from ..standin import site as sites

__all__ = ['Fleet', 'Member', 'settings_text']

LOOPBACK: typing.Final = '127.0.0.1'
TOKEN: typing.Final = 'example-operators-token'
SECRET: typing.Final = 'example-secret-of-the-peers'
FAILURE_DOMAINS: typing.Final = ('domain-a', 'domain-b', 'domain-c')
STOP_SECONDS: typing.Final = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One instance with its state and cancel scope."""

    instance_id: str
    instance: instances.Instance
    scope: anyio.CancelScope
    ended: anyio.Event
    addresses: instances.Addresses = instances.Addresses(0, 0, 0)
    killed: bool = False
    leaving: bool = False

    @property
    def ports(self) -> tuple[int, ...]:
        """All ports that the instance listens on."""
        return dataclasses.astuple(self.addresses)

    @property
    def operators_url(self) -> str:
        """Base URL of the operators' interface."""
        return f'http://{LOOPBACK}:{self.addresses.operators}'

    @property
    def callers_url(self) -> str:
        """Base URL of the callers' interface."""
        return f'http://{LOOPBACK}:{self.addresses.callers}'


def settings_text(
    site: sites.StandInSite, instance_id: str, failure_domain: str
) -> str:
    """Return the text of an instance's settings file."""
    platform = {
        'log': _endpoint(site.log_address),
        'instance_list': _endpoint(site.list_address),
        'weight_store': _endpoint(site.weights_address),
    }
    listen = {'address': LOOPBACK, 'port': 0}
    return json.dumps(
        {
            'instance': {
                'instance_id': instance_id,
                'failure_domain': failure_domain,
                'region': 'demo',
            },
            'callers': {'listen': listen},
            'peers': {'listen': listen, 'secrets': [SECRET]},
            'operators': {'listen': listen, 'token': TOKEN},
            'platform': platform,
            'agreement': {'unready_seconds': 0, 'stop_seconds': STOP_SECONDS},
        },
        indent=2,
    )


class Fleet:
    """Entry instances of one site, all on one event loop."""

    def __init__(
        self, site: sites.StandInSite, group: anyio.abc.TaskGroup
    ) -> None:
        self._site = site
        self._group = group
        self._members: list[Member] = []

    @property
    def members(self) -> tuple[Member, ...]:
        """All instances that were started, also the ended ones."""
        return tuple(self._members)

    @property
    def live(self) -> tuple[Member, ...]:
        """The instances that are running."""
        return tuple(
            member for member in self._members if not member.ended.is_set()
        )

    def balancer_urls(self) -> tuple[str, ...]:
        """Return the URLs that a load balancer would use.

        It excludes a gracefully stopping instance at once, and never
        detects a crash.
        """
        return tuple(
            member.callers_url
            for member in self._members
            if not member.leaving
        )

    async def start(self, count: int) -> None:
        """Start instances, spread over the failure domains in turn."""
        first = len(self._members)
        for index in range(first, first + count):
            await self._start(
                f'entry-{index + 1}',
                FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            )

    async def kill(self, member: Member) -> None:
        """Break all connections of an instance and cancel it, like a crash."""
        member.killed = True
        sockets.break_connections(member.ports)
        member.scope.cancel()
        await member.ended.wait()

    async def stop(self, member: Member) -> None:
        """Stop an instance gracefully and wait for its end."""
        member.leaving = True
        member.instance.stop()
        await member.ended.wait()

    async def kill_all(self) -> None:
        """Kill all live instances."""
        for member in self.live:
            await self.kill(member)

    async def _start(self, instance_id: str, failure_domain: str) -> None:
        text = settings_text(self._site, instance_id, failure_domain)
        instance = instances.Instance(load.parse(text).ok)
        member = Member(
            instance_id, instance, anyio.CancelScope(), anyio.Event()
        )
        self._group.start_soon(_run, member)
        member.addresses = await instance.started()
        self._members.append(member)


async def _run(member: Member) -> None:
    try:
        with member.scope:
            await member.instance.run()
    except* Exception:
        # Errors are expected when an instance is killed.
        if not member.killed:
            raise
    finally:
        member.ended.set()


def _endpoint(address: sites.Address) -> dict[str, object]:
    return {'address': address.host, 'port': address.port}

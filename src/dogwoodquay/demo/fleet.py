"""The entry instances of the demonstration, which can be killed."""

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
DOMAINS: typing.Final = ('domain-a', 'domain-b', 'domain-c')
STOP_SECONDS: typing.Final = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One instance and the means to end it."""

    instance_id: str
    instance: instances.Instance
    scope: anyio.CancelScope
    ended: anyio.Event
    addresses: instances.Addresses = instances.Addresses(0, 0, 0)
    killed: bool = False
    leaving: bool = False

    @property
    def ports(self) -> tuple[int, ...]:
        """All ports that it listens on."""
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
    """Return an instance's settings, as a file would hold them."""
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
    """Instances of one site on one loop."""

    def __init__(
        self, site: sites.StandInSite, group: anyio.abc.TaskGroup
    ) -> None:
        self._site = site
        self._group = group
        self._members: list[Member] = []

    @property
    def members(self) -> tuple[Member, ...]:
        """Every instance that was started, the killed ones too."""
        return tuple(self._members)

    @property
    def live(self) -> tuple[Member, ...]:
        """The instances that run."""
        return tuple(
            found for found in self._members if not found.ended.is_set()
        )

    def balanced(self) -> tuple[str, ...]:
        """Return where a balancer sends callers.

        It knows of planned stops at once, and of no crash.
        """
        return tuple(
            found.callers_url for found in self._members if not found.leaving
        )

    async def start(self, count: int) -> None:
        """Start instances, one after the other in each failure domain."""
        first = len(self._members)
        for index in range(first, first + count):
            await self._start(
                f'entry-{index + 1}', DOMAINS[index % len(DOMAINS)]
            )

    async def kill(self, member: Member) -> None:
        """End an instance at once, as a crash would."""
        member.killed = True
        sockets.break_connections(member.ports)
        member.scope.cancel()
        await member.ended.wait()

    async def stop(self, member: Member) -> None:
        """Carry out the planned stop of an instance."""
        member.leaving = True
        member.instance.stop()
        await member.ended.wait()

    async def kill_all(self) -> None:
        """End all instances at once."""
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
        # What a killed instance leaves undone is of no interest.
        if not member.killed:
            raise
    finally:
        member.ended.set()


def _endpoint(address: sites.Address) -> dict[str, object]:
    return {'address': address.host, 'port': address.port}

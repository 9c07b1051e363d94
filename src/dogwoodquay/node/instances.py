"""Polls the platform's instance list for all components of an instance.

When an upstream changes between live and leaving, that is also published by
gossip, so that an instance with a stale list learns of it from its peers.
"""

from __future__ import annotations

import typing

import anyio
import expression

from ..external import api as external_api
from ..gossip import api as gossip_api

if typing.TYPE_CHECKING:
    from .. import clock as clocks
    from ..routing import api as routing_api

__all__ = ['LEAVING_PREFIX', 'InstanceWatch']

LEAVING_PREFIX: typing.Final = 'leaving/'
POLL_INTERVAL_SECONDS: typing.Final = 1.0
READ_TIMEOUT_SECONDS: typing.Final = 2.0
LEAVING_LIFETIME_SECONDS: typing.Final = 600.0

_NOT_READ: typing.Final = external_api.Unavailable('not read yet')


class InstanceWatch:
    """Polls the list and tracks the upstreams that are leaving.

    Implements ``external.api.InstanceList`` for the system's own instances.
    """

    def __init__(
        self,
        source: external_api.InstanceList,
        replicated_map: gossip_api.ReplicatedMap,
        router: routing_api.Router,
        clock: clocks.Clock,
    ) -> None:
        self._source = source
        self._replicated_map = replicated_map
        self._router = router
        self._clock = clock
        self._last: expression.Result[
            tuple[external_api.Instance, ...], external_api.Unavailable
        ] = expression.Error(_NOT_READ)
        self._leaving: frozenset[str] = frozenset()
        self._listed_states: dict[str, external_api.InstanceState] = {}
        replicated_map.watch(LEAVING_PREFIX, self._on_leaving_item)

    @property
    def leaving(self) -> frozenset[str]:
        """The ids of the upstream servers that are leaving."""
        return self._leaving

    async def instances(
        self, deadline: float
    ) -> expression.Result[
        tuple[external_api.Instance, ...], external_api.Unavailable
    ]:
        """Return the system's own instances by the last successful read."""
        return self._last.map(
            lambda listed: tuple(
                item
                for item in listed
                if item.kind is external_api.InstanceKind.ENTRY
            )
        )

    async def announce(
        self, instance: external_api.Instance, deadline: float
    ) -> expression.Result[
        None, external_api.Unavailable | external_api.Ambiguous
    ]:
        """Add this instance to the list, or update its state there."""
        return await self._source.announce(instance, deadline)

    async def run(self) -> typing.NoReturn:
        """Read the list at a fixed interval until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def step(self) -> None:
        """Read the list once; keep the last result if that fails."""
        deadline = self._clock.now() + READ_TIMEOUT_SECONDS
        result = await self._source.instances(deadline)
        if result.is_error():
            if self._last.is_error():
                self._last = result
            return
        self._last = result
        self._update_upstreams(result.ok)

    def _update_upstreams(
        self, listed: tuple[external_api.Instance, ...]
    ) -> None:
        upstreams = [
            item
            for item in listed
            if item.kind is external_api.InstanceKind.UPSTREAM
        ]
        for item in upstreams:
            before = self._listed_states.get(
                item.instance_id, external_api.InstanceState.LIVE
            )
            self._listed_states[item.instance_id] = item.state
            if item.state is not before:
                leaving = item.state is external_api.InstanceState.LEAVING
                self._publish_leaving(item.instance_id, leaving)

    def _publish_leaving(self, server_id: str, leaving: bool) -> None:
        """Publish a change that this instance read from the list.

        Only changes are published: a list that lags behind a peer's must not
        revert the newer state that the peer has published.
        """
        now = self._clock.now()
        current = self._replicated_map.get(LEAVING_PREFIX + server_id)
        epoch = 0 if current is None else current.version.epoch + 1
        item = gossip_api.Item(
            LEAVING_PREFIX + server_id,
            gossip_api.Version(epoch, int(leaving)),
            b'\x01' if leaving else b'\x00',
            now + LEAVING_LIFETIME_SECONDS,
        )
        self._set_leaving(server_id, leaving)
        self._replicated_map.put(item)

    def _on_leaving_item(self, item: gossip_api.Item) -> None:
        server_id = item.key.removeprefix(LEAVING_PREFIX)
        self._set_leaving(server_id, item.payload == b'\x01')

    def _set_leaving(self, server_id: str, leaving: bool) -> None:
        now = self._clock.now()
        if leaving:
            self._leaving |= {server_id}
            self._router.mark_leaving(server_id, now)
        else:
            self._leaving -= {server_id}
            self._router.mark_live(server_id, now)

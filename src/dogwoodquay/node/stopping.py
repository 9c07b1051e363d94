"""The planned stop of an instance, which lets requests in flight finish."""

from __future__ import annotations

import typing

import anyio

from ..external import api as external_api
from ..observe import logs

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import callers as caller_server
    from . import instances
    from ..membership import api as membership_api
    from ..membership import shell as membership_shell
    from . import pools as pools_module
    from ..settings import schema
    from . import weights as weights_module
    from ..wire import api as wire_api

__all__ = ['PlannedStop']

ANNOUNCE_TIMEOUT_SECONDS: typing.Final = 5.0
LIST_REFRESH_SECONDS: typing.Final = 30.0
HAND_OVER_TIMEOUT_SECONDS: typing.Final = 10.0
FINAL_GOSSIP_SECONDS: typing.Final = 0.3
IN_FLIGHT_POLL_SECONDS: typing.Final = FINAL_GOSSIP_SECONDS / 10

_LOG: typing.Final = logs.ComponentLog('stop')


class PlannedStop:
    """Carries out a planned stop.

    The instance becomes unready, is marked as leaving on the platform's list
    and for its peers, hands its duties over, waits until the balancer has
    stopped sending requests, and finishes the requests in flight.
    """

    def __init__(
        self,
        settings: schema.Settings,
        clock: clocks.Clock,
        own: membership_api.Member,
        address: abc.Callable[[], wire_api.PeerAddress],
        watch: instances.InstanceWatch,
        membership: membership_shell.GossipMembership,
        pools: pools_module.PoolDuties,
        weights: weights_module.WeightsDuty,
        callers: caller_server.CallerServer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._own = own
        self._address = address
        self._watch = watch
        self._membership = membership
        self._pools = pools
        self._weights = weights
        self._callers = callers
        self._state = external_api.InstanceState.LIVE

    async def announce(self) -> None:
        """Refresh this instance's entry on the platform's list."""
        while True:
            await self._announce_once()
            await anyio.sleep(LIST_REFRESH_SECONDS)

    async def run(self, stop: anyio.Event, stop_now: anyio.Event) -> None:
        """Wait for ``stop`` and carry the stop out.

        :param stop_now: ends the requests in flight without waiting.
        """
        await stop.wait()
        _LOG.write('began', in_flight=self._callers.in_flight)
        agreement = self._settings.agreement
        self._callers.leave(
            self._clock.now()
            + agreement.unready_seconds
            + agreement.stop_seconds
        )
        self._state = external_api.InstanceState.LEAVING
        self._membership.announce_leaving()
        async with anyio.create_task_group() as group:
            group.start_soon(self._announce_once)
            group.start_soon(self._hand_over)
            group.start_soon(self._close_callers, stop_now)
        self._membership.announce_exit()
        await anyio.sleep(FINAL_GOSSIP_SECONDS)
        _LOG.write('ended')

    async def _announce_once(self) -> None:
        address = self._address()
        instance = external_api.Instance(
            self._own.instance_id,
            address.address,
            address.port,
            self._own.failure_domain,
            self._state,
        )
        deadline = self._clock.now() + ANNOUNCE_TIMEOUT_SECONDS
        await self._watch.announce(instance, deadline)

    async def _hand_over(self) -> None:
        deadline = self._clock.now() + HAND_OVER_TIMEOUT_SECONDS
        async with anyio.create_task_group() as group:
            group.start_soon(self._pools.hand_over, deadline)
            group.start_soon(self._weights.duty.hand_over, deadline)

    async def _close_callers(self, stop_now: anyio.Event) -> None:
        unready = self._settings.agreement.unready_seconds
        with anyio.move_on_after(unready):
            await stop_now.wait()
        self._callers.shut_down()
        deadline = self._clock.now() + self._settings.agreement.stop_seconds
        with anyio.move_on_after(deadline - self._clock.now()):
            async with anyio.create_task_group() as group:
                group.start_soon(self._end_in_flight_on, stop_now)
                while self._callers.in_flight:
                    await anyio.sleep(IN_FLIGHT_POLL_SECONDS)
                group.cancel_scope.cancel()

    async def _end_in_flight_on(self, stop_now: anyio.Event) -> None:
        await stop_now.wait()
        await self._callers.end_in_flight()

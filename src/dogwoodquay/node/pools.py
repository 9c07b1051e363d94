"""The pools that this instance stands by, and those that it owns."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import anyio.abc

from . import duties
from ..ledger import runner as ledger_runner
from ..ledger import term as ledger_term
from ..ownership import core as ownership_core
from ..ownership import proposal
from ..placement import planner as planners

if typing.TYPE_CHECKING:
    from collections import abc

    from . import demand as demands
    from ..external import api as external_api
    from . import instances as watches
    from ..ledger import weight_slots
    from ..records import api as records_api
    from . import views as boards

__all__ = ['Candidacy', 'PoolDuties', 'PoolParts', 'StandingPool']

SYNC_SECONDS: typing.Final = 0.5
CANDIDATES: typing.Final = 4


class Candidacy:
    """Whether this instance is among those that may have to claim a duty.

    Only these follow the duty's stream.
    """

    def __init__(self, parts: duties.DutyParts) -> None:
        self._parts = parts

    def stands(self, duty: str) -> bool:
        """Return whether this instance should follow a duty's stream."""
        ranking = proposal.rank_instances(duty, self._parts.membership.live())
        return self._parts.instance_id in ranking[:CANDIDATES]


@dataclasses.dataclass(frozen=True)
class PoolParts:
    """What owning a pool needs beside the duty itself."""

    engine: external_api.Engine
    permits: weight_slots.PermitSource
    views: boards.ViewBoard
    demand: demands.DemandExchange
    instances: watches.InstanceWatch
    catalog: abc.Callable[[], records_api.Catalog]


class StandingPool:
    """One pool's duty and its ledger."""

    def __init__(
        self, name: str, duty_parts: duties.DutyParts, parts: PoolParts
    ) -> None:
        self._duty = duties.Duty(
            ownership_core.pool_duty(name),
            duty_parts,
            lambda tenure: self._ledger.set_term(tenure),
        )
        self._ledger = ledger_runner.LedgerRunner(
            name,
            ledger_term.Parts(
                instance_id=duty_parts.instance_id,
                engine=parts.engine,
                state=self._duty.state,
                follower=self._duty.follower,
                writer=self._duty.writer,
                planner=planners.CostPlanner(),
                permits=parts.permits,
                clock=duty_parts.clock,
                catalog=parts.catalog,
                demand=lambda: parts.demand.demand(name),
                leaving=lambda: parts.instances.leaving,
                previous_view=lambda: parts.views.view(name),
                publish=parts.views.publish,
                throughputs=lambda: parts.demand.speeds(name),
            ),
        )
        self._scope = anyio.CancelScope()

    @property
    def duty(self) -> duties.Duty:
        """The duty of owning the pool."""
        return self._duty

    @property
    def ledger(self) -> ledger_runner.LedgerRunner:
        """The ledger, which runs while this instance owns the pool."""
        return self._ledger

    async def run(self) -> None:
        """Stand by the pool until stopped."""
        with self._scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._duty.run)
                group.start_soon(self._ledger.run)

    def stop(self) -> None:
        """Stand by the pool no longer."""
        self._scope.cancel()


class PoolDuties:
    """Starts and stops standing by pools as records and members change."""

    def __init__(self, duty_parts: duties.DutyParts, parts: PoolParts) -> None:
        self._duty_parts = duty_parts
        self._parts = parts
        self._candidacy = Candidacy(duty_parts)
        self._standing: dict[str, StandingPool] = {}

    @property
    def standing(self) -> dict[str, StandingPool]:
        """The pools that this instance stands by, by name."""
        return dict(self._standing)

    async def run(self) -> None:
        """Follow the catalogue and the members until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._sync(group)
                await anyio.sleep(SYNC_SECONDS)

    async def hand_over(self, deadline: float) -> None:
        """Give every owned pool to another instance."""
        async with anyio.create_task_group() as group:
            for pool in self._standing.values():
                group.start_soon(pool.duty.hand_over, deadline)

    def _sync(self, group: anyio.abc.TaskGroup) -> None:
        declared = self._parts.catalog().pools
        for name in declared:
            if name not in self._standing and self._stands(name):
                pool = StandingPool(name, self._duty_parts, self._parts)
                self._standing[name] = pool
                group.start_soon(pool.run)
        for name, pool in list(self._standing.items()):
            keep = pool.duty.tenure is not None or self._stands(name)
            if name not in declared or not keep:
                del self._standing[name]
                pool.stop()

    def _stands(self, pool: str) -> bool:
        return self._candidacy.stands(ownership_core.pool_duty(pool))

"""The pools that this instance owns or is a candidate to own."""

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
    from . import instances as instances_module
    from ..ledger import weight_slots
    from ..records import api as records_api
    from . import views as views_module

__all__ = ['Candidacy', 'CandidatePool', 'PoolDependencies', 'PoolDuties']

SYNC_INTERVAL_SECONDS: typing.Final = 0.5
CANDIDATES: typing.Final = 4


class Candidacy:
    """Decides whether this instance is a candidate to own a duty.

    Only the candidates, which are the ``CANDIDATES`` instances that rank
    first, follow the duty's stream.
    """

    def __init__(self, dependencies: duties.DutyDependencies) -> None:
        self._dependencies = dependencies

    def is_candidate(self, duty: str) -> bool:
        """Return whether this instance ranks as a candidate for a duty."""
        ranking = proposal.rank_instances(
            duty, self._dependencies.membership.live()
        )
        return self._dependencies.instance_id in ranking[:CANDIDATES]


@dataclasses.dataclass(frozen=True)
class PoolDependencies:
    """The components and data that a pool's ledger depends on."""

    engine: external_api.Engine
    permits: weight_slots.PermitSource
    views: views_module.ViewExchange
    demand: demands.DemandExchange
    instances: instances_module.InstanceWatch
    catalog: abc.Callable[[], records_api.Catalog]


class CandidatePool:
    """The duty of managing one pool, and the pool's ledger."""

    def __init__(
        self,
        name: str,
        duty_dependencies: duties.DutyDependencies,
        dependencies: PoolDependencies,
    ) -> None:
        self._duty = duties.Duty(
            ownership_core.pool_duty(name),
            duty_dependencies,
            lambda term: self._ledger.set_term(term),
        )
        self._ledger = ledger_runner.LedgerRunner(
            name,
            ledger_term.Parts(
                instance_id=duty_dependencies.instance_id,
                engine=dependencies.engine,
                state=self._duty.state,
                follower=self._duty.follower,
                writer=self._duty.writer,
                planner=planners.CostPlanner(),
                permits=dependencies.permits,
                clock=duty_dependencies.clock,
                catalog=dependencies.catalog,
                demand=lambda: dependencies.demand.demand(name),
                leaving=lambda: dependencies.instances.leaving,
                previous_view=lambda: dependencies.views.view(name),
                publish=dependencies.views.publish,
                throughputs=lambda: dependencies.demand.relative_throughputs(
                    name
                ),
            ),
        )
        self._scope = anyio.CancelScope()

    @property
    def duty(self) -> duties.Duty:
        """The duty of managing the pool."""
        return self._duty

    @property
    def ledger(self) -> ledger_runner.LedgerRunner:
        """The ledger, active while this instance owns the pool."""
        return self._ledger

    async def run(self) -> None:
        """Follow the pool's duty, and manage the pool while it is owned."""
        with self._scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._duty.run)
                group.start_soon(self._ledger.run)

    def stop(self) -> None:
        """Stop ``run``."""
        self._scope.cancel()


class PoolDuties:
    """Follows the duties of the pools that this instance can own.

    The set of pools changes with the catalog and the membership.
    """

    def __init__(
        self,
        duty_dependencies: duties.DutyDependencies,
        dependencies: PoolDependencies,
    ) -> None:
        self._duty_dependencies = duty_dependencies
        self._dependencies = dependencies
        self._candidacy = Candidacy(duty_dependencies)
        self._candidate_pools: dict[str, CandidatePool] = {}

    @property
    def candidate_pools(self) -> dict[str, CandidatePool]:
        """The pools that this instance owns or can own, by name."""
        return dict(self._candidate_pools)

    async def run(self) -> None:
        """Follow the catalog and the membership until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._update_candidates(group)
                await anyio.sleep(SYNC_INTERVAL_SECONDS)

    async def hand_over(self, deadline: float) -> None:
        """Hand every owned pool over to another instance."""
        async with anyio.create_task_group() as group:
            for pool in self._candidate_pools.values():
                group.start_soon(pool.duty.hand_over, deadline)

    def _update_candidates(self, group: anyio.abc.TaskGroup) -> None:
        declared = self._dependencies.catalog().pools
        for name in declared:
            if name not in self._candidate_pools and self._is_candidate(name):
                pool = CandidatePool(
                    name, self._duty_dependencies, self._dependencies
                )
                self._candidate_pools[name] = pool
                group.start_soon(pool.run)
        for name, pool in list(self._candidate_pools.items()):
            keep = pool.duty.term is not None or self._is_candidate(name)
            if name not in declared or not keep:
                del self._candidate_pools[name]
                pool.stop()

    def _is_candidate(self, pool: str) -> bool:
        return self._candidacy.is_candidate(ownership_core.pool_duty(pool))

"""Tests of the runner over fake engines and a fake log."""

from __future__ import annotations

import contextlib
import random
import typing
import unittest

import anyio

from . import helpers
from dogwoodquay.external import memory
from dogwoodquay.external.memory import engine as engine_models
from dogwoodquay.ledger import runner as runners
from dogwoodquay.ledger import tenure as tenures
from dogwoodquay.ownership import runner as ownership_runner
from dogwoodquay.placement import api as placement_api
from dogwoodquay.pools import api as pools_api
from tests.unit.journal import helpers as journal_helpers

if typing.TYPE_CHECKING:
    from collections import abc

_WAIT_SECONDS: typing.Final = 30


class _Planner:
    """Wants model ``x`` on each server, after it has failed some times."""

    def __init__(self) -> None:
        self.failures = 0

    def plan(
        self, planner_input: placement_api.PlannerInput, now: float
    ) -> abc.Iterator[placement_api.Plan | None]:
        yield None
        if self.failures > 0:
            self.failures -= 1
            raise ZeroDivisionError
        moves = tuple(
            helpers.load(server.server_id, 'x@1')
            for server in planner_input.servers
            if 'x@1' not in server.possible
        )
        yield placement_api.Plan(moves, ())


class _Permits:
    async def acquire(
        self, pool: str, pool_epoch: int, wanted: int, deadline: float
    ) -> frozenset[int]:
        return frozenset(range(6))

    async def release(
        self,
        pool: str,
        pool_epoch: int,
        slots: frozenset[int],
        deadline: float,
    ) -> bool:
        return True


class _Site:
    """Two engines, a log, and owners that come and go."""

    def __init__(self, fencing: bool) -> None:
        time = memory.SystemTimeline()
        self.log = journal_helpers.make_log()
        self.catalog = helpers.make_catalog(fencing)
        self.adapter = memory.MemoryEngines(time)
        self.models = []
        store = memory.MemoryWeightStore(time, loads_per_second=100.0)
        for server in self.catalog.pools[helpers.POOL].servers:
            profile = engine_models.EngineProfile(server.server_id, 8, fencing)
            model = engine_models.EngineModel(
                profile, time, store, random.Random(1)
            )
            self.models.append(model)
            self.adapter.add(server.address, server.port, model)
        self.views: list[pools_api.PoolView] = []
        self.planner = _Planner()

    def ready(self) -> int:
        """Return on how many engines the model is ready."""
        return sum(
            any(item.ready for item in model.state().artifacts)
            for model in self.models
        )

    def view(self) -> pools_api.PoolView | None:
        """Return the last view."""
        return self.views[-1] if self.views else None

    @contextlib.asynccontextmanager
    async def owner(
        self, name: str
    ) -> abc.AsyncIterator[journal_helpers.Side]:
        """Claim the pool and run its ledger; leaving is a sudden death."""
        side = journal_helpers.Side(self.log)
        parts = tenures.Parts(
            instance_id=name,
            engine=self.adapter,
            state=side.state,
            follower=side.follower,
            writer=side.writer,
            planner=self.planner,
            permits=_Permits(),
            clock=side.clock,
            catalog=lambda: self.catalog,
            demand=tuple,
            leaving=frozenset,
            earlier_view=self.view,
            publish=self.views.append,
        )
        runner = runners.LedgerRunner(helpers.POOL, parts)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(side.follower.run)
            deadline = side.clock.now() + _WAIT_SECONDS
            await side.follower.wait_caught_up(deadline)
            await side.claim(name, name, side.state.ownership.epoch)
            epoch = side.state.ownership.epoch
            runner.set_tenure(
                ownership_runner.Tenure(journal_helpers.DUTY, epoch)
            )
            tasks.start_soon(runner.run)
            yield side
            tasks.cancel_scope.cancel()


async def _until(condition: abc.Callable[[], bool]) -> None:
    with anyio.fail_after(_WAIT_SECONDS):
        while not condition():
            await anyio.sleep(0.02)


class LedgerRunnerTest(unittest.TestCase):
    """Owners die, logs go out, answers get lost."""

    def test_moves_go_on_while_the_log_is_out(self) -> None:
        """Engines that refuse old numbers need no intent."""
        site = _Site(fencing=True)

        async def main() -> None:
            async with site.owner('a') as side:
                site.log.faults.outage = True
                await _until(lambda: site.ready() == 2)
                self.assertEqual(1, side.writer.appends)

        anyio.run(main)
        self.assertEqual('a', site.views[-1].owner)

    def test_no_order_to_ignoring_engines_while_the_log_is_out(self) -> None:
        """The order follows once its intent can be written."""
        site = _Site(fencing=False)

        async def main() -> None:
            async with site.owner('a'):
                site.log.faults.outage = True
                await _until(lambda: site.view() is not None)
                await anyio.sleep(1.2)
                self.assertEqual(0, site.ready())
                site.log.faults.outage = False
                await _until(lambda: site.ready() == 2)

        anyio.run(main)

    def test_new_owner_settles_what_the_dead_one_ordered(self) -> None:
        """An order lost between two owners is found on the log."""
        site = _Site(fencing=False)
        for model in site.models:
            model.order_faults.inject(memory.CallFault.LOSE_CALL)

        async def main() -> None:
            async with site.owner('a') as side:
                await _until(lambda: len(side.state.open_intents) > 0)
            self.assertEqual(0, site.ready())
            async with site.owner('b') as side:
                await _until(lambda: site.ready() == 2)
                await _until(lambda: not side.state.open_intents)

        anyio.run(main)
        violations = sum(model.memory_violations for model in site.models)
        self.assertEqual(0, violations)

    def test_owner_outlives_a_failed_plan(self) -> None:
        """The view is published, and the next plan is carried out."""
        site = _Site(fencing=True)
        site.planner.failures = 1

        async def main() -> None:
            async with site.owner('a'):
                await _until(lambda: site.ready() == 2)

        anyio.run(main)
        self.assertEqual(0, site.planner.failures)

"""Tests of the ledger runner with in-memory engines and log."""

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
from dogwoodquay.ledger import term as terms
from dogwoodquay.ownership import runner as ownership_runner
from dogwoodquay.placement import api as placement_api
from dogwoodquay.pools import api as pools_api
from tests.unit.journal import helpers as journal_helpers

if typing.TYPE_CHECKING:
    from collections import abc

_WAIT_SECONDS: typing.Final = 30


class _Planner:
    """Plans model ``x`` on each server; first raises ``failures`` times."""

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
    """Two engines, a log, and successive owners of a pool."""

    def __init__(self, fencing: bool) -> None:
        time = memory.SystemTimeline()
        self.log = journal_helpers.make_log()
        self.catalog = helpers.make_catalog(fencing)
        self.adapter = memory.MemoryEngines(time)
        self.engines = []
        store = memory.MemoryWeightStore(time, loads_per_second=100.0)
        for server in self.catalog.pools[helpers.POOL].servers:
            profile = engine_models.EngineProfile(server.server_id, 8, fencing)
            model = engine_models.FakeEngine(
                profile, time, store, random.Random(1)
            )
            self.engines.append(model)
            self.adapter.add(server.address, server.port, model)
        self.views: list[pools_api.PoolView] = []
        self.planner = _Planner()

    def count_ready(self) -> int:
        """Return the number of engines on which the model is ready."""
        return sum(
            any(item.ready for item in model.state().artifacts)
            for model in self.engines
        )

    def view(self) -> pools_api.PoolView | None:
        """Return the last published state of the pool."""
        return self.views[-1] if self.views else None

    @contextlib.asynccontextmanager
    async def owner(
        self, name: str
    ) -> abc.AsyncIterator[journal_helpers.LogClient]:
        """Claim the pool and run its ledger; the exit simulates a crash."""
        client = journal_helpers.LogClient(self.log)
        parts = terms.Parts(
            instance_id=name,
            engine=self.adapter,
            state=client.state,
            follower=client.follower,
            writer=client.writer,
            planner=self.planner,
            permits=_Permits(),
            clock=client.clock,
            catalog=lambda: self.catalog,
            demand=tuple,
            leaving=frozenset,
            previous_view=self.view,
            publish=self.views.append,
        )
        runner = runners.LedgerRunner(helpers.POOL, parts)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.follower.run)
            deadline = client.clock.now() + _WAIT_SECONDS
            await client.follower.wait_caught_up(deadline)
            await client.claim(name, name, client.state.ownership.epoch)
            epoch = client.state.ownership.epoch
            runner.set_term(
                ownership_runner.OwnershipTerm(journal_helpers.DUTY, epoch)
            )
            tasks.start_soon(runner.run)
            yield client
            tasks.cancel_scope.cancel()


async def _until(condition: abc.Callable[[], bool]) -> None:
    with anyio.fail_after(_WAIT_SECONDS):
        while not condition():
            await anyio.sleep(0.02)


class LedgerRunnerTest(unittest.TestCase):
    """Orders survive failed owners, log outages and lost answers."""

    def test_moves_continue_while_the_log_is_unavailable(self) -> None:
        """Engines that refuse stale fencing tokens need no intents."""
        site = _Site(fencing=True)

        async def main() -> None:
            async with site.owner('a') as client:
                site.log.faults.outage = True
                await _until(lambda: site.count_ready() == 2)
                self.assertEqual(1, client.writer.appends)

        anyio.run(main)
        self.assertEqual('a', site.views[-1].owner)

    def test_engines_without_fencing_get_no_orders_without_the_log(
        self,
    ) -> None:
        """The order is sent once its intent is on the log."""
        site = _Site(fencing=False)

        async def main() -> None:
            async with site.owner('a'):
                site.log.faults.outage = True
                await _until(lambda: site.view() is not None)
                await anyio.sleep(1.2)
                self.assertEqual(0, site.count_ready())
                site.log.faults.outage = False
                await _until(lambda: site.count_ready() == 2)

        anyio.run(main)

    def test_new_owner_resolves_orders_of_a_failed_owner(self) -> None:
        """An order with a lost call is found on the log and resolved."""
        site = _Site(fencing=False)
        for model in site.engines:
            model.order_faults.inject(memory.CallFault.LOSE_CALL)

        async def main() -> None:
            async with site.owner('a') as client:
                await _until(lambda: len(client.state.open_intents) > 0)
            self.assertEqual(0, site.count_ready())
            async with site.owner('b') as client:
                await _until(lambda: site.count_ready() == 2)
                await _until(lambda: not client.state.open_intents)

        anyio.run(main)
        violations = sum(model.memory_violations for model in site.engines)
        self.assertEqual(0, violations)

    def test_owner_continues_after_a_planner_error(self) -> None:
        """The next plan is carried out."""
        site = _Site(fencing=True)
        site.planner.failures = 1

        async def main() -> None:
            async with site.owner('a'):
                await _until(lambda: site.count_ready() == 2)

        anyio.run(main)
        self.assertEqual(0, site.planner.failures)

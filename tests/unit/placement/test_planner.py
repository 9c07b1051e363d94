"""Tests of the planner."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.placement import api
from dogwoodquay.placement import desired
from dogwoodquay.placement import draft
from dogwoodquay.placement import headroom
from dogwoodquay.placement import history
from dogwoodquay.placement import planner
from dogwoodquay.placement import state
from dogwoodquay.records import api as records
from tests.unit.placement import pools

_G = pools.GIGABYTE


def _run_until_stable(
    fake_pool: pools.FakePool,
    subject: planner.CostPlanner,
    catalog: records.Catalog,
    demand: tuple[api.Demand, ...] = (),
    start: float = 0.0,
) -> float:
    """Execute plans until one is empty; return the time."""
    now = start
    for _ in range(100):
        now += 10.0
        if not fake_pool.step(subject, catalog, demand, now).moves:
            return now
    raise AssertionError('100 plans in a row contain moves')


class InvariantTest(unittest.TestCase):
    """Invariants of memory and reachability under random changes."""

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(strategies.data())
    def test_memory_fits_and_artifacts_stay_reachable(
        self, data: strategies.DataObject
    ) -> None:
        """Demand changes, servers leave and return, a rollout runs."""
        draw = data.draw
        sizes = draw(
            strategies.lists(
                strategies.integers(1, 30), min_size=1, max_size=8
            )
        )
        base_indexes = draw(
            strategies.lists(
                strategies.integers(0, len(sizes) - 1), max_size=6
            )
        )
        capacities = draw(
            strategies.lists(
                strategies.integers(20, 80), min_size=2, max_size=5
            )
        )
        weight = draw(strategies.sampled_from((0.0, 0.2, 1.0)))
        policy = records.Policy(move_weight=weight)
        catalog = pools.catalog(
            [size * _G for size in sizes], base_indexes, policy
        )
        fake_pool = pools.FakePool([size * _G for size in capacities])
        settings = draft.PlannerSettings(residence_seconds=0.0)
        subject = planner.CostPlanner(settings)
        now = 0.0
        for _ in range(6):
            busy = {
                f'm{n}': draw(strategies.sampled_from((0.0, 0.2, 1.0, 3.0)))
                for n in range(len(sizes))
            }
            fake_pool.leaving = set(
                draw(
                    strategies.lists(
                        strategies.sampled_from(sorted(fake_pool.ready)),
                        max_size=1,
                    )
                )
            )
            share = draw(strategies.sampled_from((None, 0.3, 1.0)))
            if share is not None:
                rollout = records.Rollout('m0', '2', sizes[0] * _G, share)
                catalog = pools.catalog(
                    [size * _G for size in sizes],
                    base_indexes,
                    policy,
                    rollouts={'m0': rollout},
                )
            for _ in range(3):
                now += 10.0
                fake_pool.step(subject, catalog, pools.demand(**busy), now)
        self.assertEqual([], fake_pool.violations)

    @hypothesis.given(strategies.integers(0, 6), strategies.integers(1, 8))
    def test_loads_do_not_exceed_the_parallel_limit(
        self, running: int, parallel: int
    ) -> None:
        """Running and planned loads together stay within the limit."""
        catalog = pools.catalog(
            [_G] * 12, policy=records.Policy(parallel_loads=parallel)
        )
        fake_pool = pools.FakePool([20 * _G] * 3)
        result = pools.plan(
            planner.CostPlanner(), fake_pool.input(catalog, (), running), 0.0
        )
        self.assertLessEqual(len(result.moves), max(0, parallel - running))


class RelocationTest(unittest.TestCase):
    """Relocations of models with their adapters."""

    def test_does_not_load_an_artifact_that_may_be_in_memory(self) -> None:
        """An adapter that may still be on the target is not loaded there."""
        fake_pool = pools.FakePool([40 * _G] * 2)
        sizes = [20 * _G, 10 * _G]
        catalog = pools.catalog(sizes, [0])
        for server in ('s0', 's1'):
            fake_pool.make_ready(server, 'm0@1', 20 * _G)
        fake_pool.make_ready('s0', 'a0@1', _G)
        fake_pool.possible['s1']['a0@1'] = _G
        planner_input = fake_pool.input(catalog)
        artifacts = desired.declared_artifacts(catalog, pools.POOL)
        needs = dict.fromkeys(artifacts, 0.0)
        pool = state.PoolState(planner_input.servers, artifacts, needs)
        for _ in pool.find_replicas():
            pass
        settings = draft.PlannerSettings()
        move_history = history.MoveHistory(settings.pending_timeout_seconds)
        plan_draft = draft.Draft(
            pool, catalog.policy, settings, move_history, frozenset(), 0.0
        )
        plan_draft.load_budget = 6
        found = headroom.find_relocation(plan_draft, pool.servers[0], 39 * _G)
        assert found is not None
        self.assertEqual(['a0@1'], found.loads)
        headroom.start_relocation(plan_draft, found)
        self.assertEqual([], plan_draft.moves)


class PossibleContentsTest(unittest.TestCase):
    """Plans that depend on the possible contents of servers."""

    def test_possible_contents_stay_charged(self) -> None:
        """An order with an unknown outcome leaves too little free memory."""
        fake_pool = pools.FakePool([40 * _G])
        fake_pool.possible['s0']['ghost@1'] = 30 * _G
        catalog = pools.catalog([20 * _G])
        result = pools.plan(
            planner.CostPlanner(), fake_pool.input(catalog), 0.0
        )
        self.assertEqual((), result.moves)
        expected = api.Infeasible('m0@1', 'unreachable', 20 * _G, 10 * _G)
        self.assertEqual((expected,), result.infeasible)

    def test_a_load_waits_until_an_unload_has_freed_memory(self) -> None:
        """The load comes in the first plan after the unload has ended."""
        fake_pool = pools.FakePool([40 * _G, 25 * _G])
        fake_pool.make_ready('s0', 'm0@1', 20 * _G)
        fake_pool.make_ready('s1', 'm0@1', 20 * _G)
        fake_pool.make_ready('s0', 'm1@1', 15 * _G)
        catalog = pools.catalog([20 * _G, 15 * _G, 20 * _G])
        settings = draft.PlannerSettings(residence_seconds=0.0)
        subject = planner.CostPlanner(settings)
        result = pools.plan(subject, fake_pool.input(catalog), 0.0)
        kinds = [move.kind for move in result.moves]
        self.assertEqual([api.MoveKind.UNLOAD], kinds)
        fake_pool.start(result.moves[0])
        pending = pools.plan(subject, fake_pool.input(catalog), 2.0)
        self.assertEqual((), pending.moves)
        del fake_pool.possible[result.moves[0].server_id]['m0@1']
        result = pools.plan(subject, fake_pool.input(catalog), 4.0)
        self.assertEqual(['m2@1'], [move.artifact for move in result.moves])

    def test_a_load_that_never_ends_times_out(self) -> None:
        """After the timeout, the load is planned on another server."""
        fake_pool = pools.FakePool([40 * _G] * 2)
        catalog = pools.catalog([20 * _G])
        fake_pool.possible['s0']['m0@1'] = 20 * _G
        subject = planner.CostPlanner()
        result = pools.plan(subject, fake_pool.input(catalog), 0.0)
        self.assertEqual((), result.moves)
        result = pools.plan(subject, fake_pool.input(catalog), 121.0)
        self.assertEqual(['s1'], [move.server_id for move in result.moves])


class ReachabilityTest(unittest.TestCase):
    """Plans that keep a ready replica of every declared artifact."""

    def test_leaving_server_unloads_after_loads_elsewhere(self) -> None:
        """A replica is unloaded only once another one is ready."""
        fake_pool = pools.FakePool([40 * _G] * 2)
        catalog = pools.catalog([20 * _G], [0])
        fake_pool.make_ready('s0', 'm0@1', 20 * _G)
        fake_pool.make_ready('s0', 'a0@1', _G)
        fake_pool.leaving = {'s0'}
        _run_until_stable(fake_pool, planner.CostPlanner(), catalog)
        self.assertEqual([], fake_pool.violations)
        self.assertEqual(set(), fake_pool.ready['s0'])
        self.assertEqual({'m0@1', 'a0@1'}, fake_pool.ready['s1'])

    def test_last_replica_stays_if_it_fits_on_no_other_server(self) -> None:
        """It is reported as infeasible with the needed and free bytes."""
        fake_pool = pools.FakePool([40 * _G, 10 * _G])
        catalog = pools.catalog([20 * _G])
        fake_pool.make_ready('s0', 'm0@1', 20 * _G)
        fake_pool.leaving = {'s0'}
        result = fake_pool.step(planner.CostPlanner(), catalog, (), 0.0)
        self.assertEqual((), result.moves)
        expected = api.Infeasible('m0@1', 'server_leaving', 20 * _G, 10 * _G)
        self.assertEqual((expected,), result.infeasible)

    def test_single_replicas_are_relocated_for_a_new_model(self) -> None:
        """Relocation gathers the free memory of two servers on one."""
        fake_pool = pools.FakePool([30 * _G] * 2)
        fake_pool.make_ready('s0', 'm0@1', 12 * _G)
        fake_pool.make_ready('s1', 'm1@1', 14 * _G)
        catalog = pools.catalog([12 * _G, 14 * _G, 25 * _G])
        settings = draft.PlannerSettings(residence_seconds=0.0)
        _run_until_stable(fake_pool, planner.CostPlanner(settings), catalog)
        self.assertEqual([], fake_pool.violations)
        self.assertEqual(1, len(fake_pool.servers_with('m2@1')))

    def test_rollout_replaces_the_old_version_with_its_adapters(self) -> None:
        """The adapter stays reachable and ends on the new version only."""
        fake_pool = pools.FakePool([50 * _G] * 3)
        catalog = pools.catalog([20 * _G], [0])
        subject = planner.CostPlanner()
        now = _run_until_stable(fake_pool, subject, catalog)
        rollout = records.Rollout('m0', '2', 20 * _G, 1.0)
        catalog = pools.catalog([20 * _G], [0], rollouts={'m0': rollout})
        _run_until_stable(fake_pool, subject, catalog, start=now)
        self.assertEqual([], fake_pool.violations)
        self.assertEqual([], fake_pool.servers_with('m0@1'))
        self.assertTrue(fake_pool.servers_with('m0@2'))
        stray = set(fake_pool.servers_with('a0@1')) - set(
            fake_pool.servers_with('m0@2')
        )
        self.assertEqual(set(), stray)

    def test_minimum_replicas_are_in_different_failure_domains(self) -> None:
        """Three replicas are spread over three failure domains."""
        fake_pool = pools.FakePool([60 * _G] * 6)
        catalog = pools.catalog([20 * _G], min_replicas=3)
        _run_until_stable(fake_pool, planner.CostPlanner(), catalog)
        domains = {
            fake_pool.failure_domain[name]
            for name in fake_pool.servers_with('m0@1')
        }
        self.assertEqual({'d0', 'd1', 'd2'}, domains)


class DemandTest(unittest.TestCase):
    """Moves that follow the demand, and their cost."""

    def test_hot_model_gets_replicas(self) -> None:
        """A demand of two busy servers leads to at least three replicas."""
        fake_pool = pools.FakePool([60 * _G] * 4)
        catalog = pools.catalog([20 * _G])
        _run_until_stable(
            fake_pool, planner.CostPlanner(), catalog, pools.demand(m0=2.0)
        )
        self.assertGreaterEqual(len(fake_pool.servers_with('m0@1')), 3)

    def test_a_higher_move_weight_moves_less(self) -> None:
        """A small gain does not justify moves of a high weight."""
        counts = []
        for weight in (0.0, 5.0):
            fake_pool = pools.FakePool([60 * _G] * 4)
            policy = records.Policy(move_weight=weight)
            catalog = pools.catalog([20 * _G] * 2, policy=policy)
            busy = pools.demand(m0=1.1, m1=0.1)
            _run_until_stable(fake_pool, planner.CostPlanner(), catalog, busy)
            counts.append(fake_pool.move_count)
        self.assertGreater(counts[0], counts[1])

    def test_noise_around_the_threshold_causes_few_moves(self) -> None:
        """Alternating demand does not load and unload replicas in turn."""
        fake_pool = pools.FakePool([30 * _G] * 4)
        catalog = pools.catalog([20 * _G] * 2)
        subject = planner.CostPlanner()
        now = _run_until_stable(
            fake_pool, subject, catalog, pools.demand(m0=1.0, m1=0.3)
        )
        before = fake_pool.move_count
        for step in range(40):
            now += 2.0
            busy = 1.0 + 0.2 * (-1) ** step
            demand = pools.demand(m0=busy, m1=0.3)
            fake_pool.step(subject, catalog, demand, now)
        self.assertLessEqual(fake_pool.move_count - before, 2)

    def test_freeze_window_stops_moves_but_not_first_loads(self) -> None:
        """Only the model without any replica is loaded."""
        window = records.FreezeWindow(0.0, 1000.0)
        policy = records.Policy(freeze_windows=(window,))
        catalog = pools.catalog([20 * _G] * 2, policy=policy)
        fake_pool = pools.FakePool([60 * _G] * 3)
        fake_pool.make_ready('s0', 'm0@1', 20 * _G)
        result = fake_pool.step(
            planner.CostPlanner(), catalog, pools.demand(m0=2.0), 10.0
        )
        self.assertEqual(['m1@1'], [move.artifact for move in result.moves])

    def test_demand_beyond_all_servers_is_reported(self) -> None:
        """The plan reports the model as infeasible."""
        fake_pool = pools.FakePool([60 * _G])
        catalog = pools.catalog([20 * _G])
        fake_pool.make_ready('s0', 'm0@1', 20 * _G)
        result = fake_pool.step(
            planner.CostPlanner(), catalog, pools.demand(m0=2.0), 0.0
        )
        reasons = [item.reason for item in result.infeasible]
        self.assertIn('demand_exceeds_capacity', reasons)


class SliceTest(unittest.TestCase):
    """The slices of a plan."""

    def test_the_plan_of_a_large_pool_takes_several_slices(self) -> None:
        """All slices but the last yield ``None``."""
        catalog = pools.catalog([_G] * 300)
        fake_pool = pools.FakePool([20 * _G] * 32)
        for number in range(300):
            fake_pool.make_ready(f's{number % 32}', f'm{number}@1', _G)
        demand = pools.demand(**{f'm{n}': 0.2 for n in range(300)})
        slices = list(
            planner.CostPlanner().plan(fake_pool.input(catalog, demand), 0.0)
        )
        self.assertGreater(len(slices), 5)
        self.assertEqual([None] * (len(slices) - 1), slices[:-1])

"""Tests of the planner."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dogwoodquay.placement import api
from dogwoodquay.placement import draft
from dogwoodquay.placement import memory
from dogwoodquay.placement import planner
from dogwoodquay.placement import room
from dogwoodquay.placement import state
from dogwoodquay.placement import wanted
from dogwoodquay.records import api as records
from tests.unit.placement import pools

_G = pools.GIGABYTE


def _settle(
    paper: pools.Paper,
    subject: planner.CostPlanner,
    catalog: records.Catalog,
    demand: tuple[api.Demand, ...] = (),
    start: float = 0.0,
) -> float:
    """Step until nothing moves; return the time."""
    now = start
    for _ in range(100):
        now += 10.0
        if not paper.step(subject, catalog, demand, now).moves:
            return now
    raise AssertionError('the plan never settles')


class InvariantTest(unittest.TestCase):
    """Memory and reachability hold whatever is asked for."""

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(strategies.data())
    def test_fits_and_stays_reachable_at_every_prefix(
        self, data: strategies.DataObject
    ) -> None:
        """Demand shifts, servers leave and come back, versions roll."""
        draw = data.draw
        sizes = draw(
            strategies.lists(
                strategies.integers(1, 30), min_size=1, max_size=8
            )
        )
        bases = draw(
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
        catalog = pools.catalog([size * _G for size in sizes], bases, policy)
        paper = pools.Paper([size * _G for size in capacities])
        settings = draft.PlannerSettings(residence_seconds=0.0)
        subject = planner.CostPlanner(settings)
        now = 0.0
        for _ in range(6):
            busy = {
                f'm{n}': draw(strategies.sampled_from((0.0, 0.2, 1.0, 3.0)))
                for n in range(len(sizes))
            }
            paper.leaving = set(
                draw(
                    strategies.lists(
                        strategies.sampled_from(sorted(paper.ready)),
                        max_size=1,
                    )
                )
            )
            share = draw(strategies.sampled_from((None, 0.3, 1.0)))
            if share is not None:
                rollout = records.Rollout('m0', '2', sizes[0] * _G, share)
                catalog = pools.catalog(
                    [size * _G for size in sizes],
                    bases,
                    policy,
                    rollouts={'m0': rollout},
                )
            for _ in range(3):
                now += 10.0
                paper.step(subject, catalog, pools.demand(**busy), now)
        self.assertEqual([], paper.problems)

    @hypothesis.given(strategies.integers(0, 6), strategies.integers(1, 8))
    def test_loads_stay_within_the_weight_store(
        self, running: int, parallel: int
    ) -> None:
        """Loads under way and new ones together keep the limit."""
        catalog = pools.catalog(
            [_G] * 12, policy=records.Policy(parallel_loads=parallel)
        )
        paper = pools.Paper([20 * _G] * 3)
        made = pools.plan(
            planner.CostPlanner(), paper.input(catalog, (), running), 0.0
        )
        self.assertLessEqual(len(made.moves), max(0, parallel - running))


class RelocationTest(unittest.TestCase):
    """Models that move aside with their adapters."""

    def test_never_loads_what_the_same_plan_unloads(self) -> None:
        """What still may be in memory at the target is not loaded there."""
        paper = pools.Paper([40 * _G] * 2)
        sizes = [20 * _G, 10 * _G]
        catalog = pools.catalog(sizes, [0])
        for server in ('s0', 's1'):
            paper.put(server, 'm0@1', 20 * _G)
        paper.put('s0', 'a0@1', _G)
        paper.possible['s1']['a0@1'] = _G
        planner_input = paper.input(catalog)
        artifacts = wanted.declared(catalog, pools.POOL)
        needs = dict.fromkeys(artifacts, 0.0)
        pool = state.PoolState(planner_input.servers, artifacts, needs)
        for _ in pool.settle():
            pass
        settings = draft.PlannerSettings()
        past = memory.MoveMemory(settings.patience_seconds)
        made = draft.Draft(
            pool, catalog.policy, settings, past, frozenset(), 0.0
        )
        made.budget = 6
        found = room.relocation(made, pool.servers[0], 39 * _G)
        assert found is not None
        self.assertEqual(['a0@1'], found.loads)
        room.relocate(made, found)
        self.assertEqual([], made.moves)


class UncertainMemoryTest(unittest.TestCase):
    """Plans are made against what may be in memory."""

    def test_no_load_beside_an_order_without_a_known_end(self) -> None:
        """An unknown rest of memory stays charged."""
        paper = pools.Paper([40 * _G])
        paper.possible['s0']['ghost@1'] = 30 * _G
        catalog = pools.catalog([20 * _G])
        made = pools.plan(planner.CostPlanner(), paper.input(catalog), 0.0)
        self.assertEqual((), made.moves)
        expected = api.Infeasible('m0@1', 'unreachable', 20 * _G, 10 * _G)
        self.assertEqual((expected,), made.infeasible)

    def test_a_load_waits_for_the_memory_of_an_unload(self) -> None:
        """Room is made in one plan and used in a later one."""
        paper = pools.Paper([40 * _G, 25 * _G])
        paper.put('s0', 'm0@1', 20 * _G)
        paper.put('s1', 'm0@1', 20 * _G)
        paper.put('s0', 'm1@1', 15 * _G)
        catalog = pools.catalog([20 * _G, 15 * _G, 20 * _G])
        settings = draft.PlannerSettings(residence_seconds=0.0)
        subject = planner.CostPlanner(settings)
        made = pools.plan(subject, paper.input(catalog), 0.0)
        kinds = [move.kind for move in made.moves]
        self.assertEqual([api.MoveKind.UNLOAD], kinds)
        paper.start(made.moves[0])
        pending = pools.plan(subject, paper.input(catalog), 2.0)
        self.assertEqual((), pending.moves)
        del paper.possible[made.moves[0].server_id]['m0@1']
        made = pools.plan(subject, paper.input(catalog), 4.0)
        self.assertEqual(['m2@1'], [move.artifact for move in made.moves])

    def test_a_load_that_never_ends_is_given_up(self) -> None:
        """After the patience another server gets the load."""
        paper = pools.Paper([40 * _G] * 2)
        catalog = pools.catalog([20 * _G])
        paper.possible['s0']['m0@1'] = 20 * _G
        subject = planner.CostPlanner()
        made = pools.plan(subject, paper.input(catalog), 0.0)
        self.assertEqual((), made.moves)
        made = pools.plan(subject, paper.input(catalog), 121.0)
        self.assertEqual(['s1'], [move.server_id for move in made.moves])


class ReachabilityTest(unittest.TestCase):
    """Every declared artifact has a ready replica."""

    def test_leaving_server_is_emptied_after_loading_elsewhere(self) -> None:
        """The unload comes only once another replica is ready."""
        paper = pools.Paper([40 * _G] * 2)
        catalog = pools.catalog([20 * _G], [0])
        paper.put('s0', 'm0@1', 20 * _G)
        paper.put('s0', 'a0@1', _G)
        paper.leaving = {'s0'}
        _settle(paper, planner.CostPlanner(), catalog)
        self.assertEqual([], paper.problems)
        self.assertEqual(set(), paper.ready['s0'])
        self.assertEqual({'m0@1', 'a0@1'}, paper.ready['s1'])

    def test_last_replica_on_a_leaving_server_stays_without_room(self) -> None:
        """It is reported with the numbers instead."""
        paper = pools.Paper([40 * _G, 10 * _G])
        catalog = pools.catalog([20 * _G])
        paper.put('s0', 'm0@1', 20 * _G)
        paper.leaving = {'s0'}
        made = paper.step(planner.CostPlanner(), catalog, (), 0.0)
        self.assertEqual((), made.moves)
        expected = api.Infeasible('m0@1', 'server_leaving', 20 * _G, 10 * _G)
        self.assertEqual((expected,), made.infeasible)

    def test_single_replicas_move_aside_for_a_new_model(self) -> None:
        """Free memory in two places is joined, loading first."""
        paper = pools.Paper([30 * _G] * 2)
        paper.put('s0', 'm0@1', 12 * _G)
        paper.put('s1', 'm1@1', 14 * _G)
        catalog = pools.catalog([12 * _G, 14 * _G, 25 * _G])
        settings = draft.PlannerSettings(residence_seconds=0.0)
        _settle(paper, planner.CostPlanner(settings), catalog)
        self.assertEqual([], paper.problems)
        self.assertEqual(1, len(paper.holders('m2@1')))

    def test_rollout_replaces_the_old_version_with_its_adapters(self) -> None:
        """The old version goes last, and its adapter is served throughout."""
        paper = pools.Paper([50 * _G] * 3)
        catalog = pools.catalog([20 * _G], [0])
        subject = planner.CostPlanner()
        now = _settle(paper, subject, catalog)
        rollout = records.Rollout('m0', '2', 20 * _G, 1.0)
        catalog = pools.catalog([20 * _G], [0], rollouts={'m0': rollout})
        _settle(paper, subject, catalog, start=now)
        self.assertEqual([], paper.problems)
        self.assertEqual([], paper.holders('m0@1'))
        self.assertTrue(paper.holders('m0@2'))
        stray = set(paper.holders('a0@1')) - set(paper.holders('m0@2'))
        self.assertEqual(set(), stray)

    def test_minimum_replicas_are_in_different_domains(self) -> None:
        """Losing one domain leaves two of three replicas."""
        paper = pools.Paper([60 * _G] * 6)
        catalog = pools.catalog([20 * _G], min_replicas=3)
        _settle(paper, planner.CostPlanner(), catalog)
        domains = {paper.domain[name] for name in paper.holders('m0@1')}
        self.assertEqual({'d0', 'd1', 'd2'}, domains)


class DemandTest(unittest.TestCase):
    """Moves that demand asks for, and their cost."""

    def test_hot_model_gets_replicas(self) -> None:
        """A demand of two servers ends on more than two."""
        paper = pools.Paper([60 * _G] * 4)
        catalog = pools.catalog([20 * _G])
        _settle(paper, planner.CostPlanner(), catalog, pools.demand(m0=2.0))
        self.assertGreaterEqual(len(paper.holders('m0@1')), 3)

    def test_a_higher_move_weight_moves_less(self) -> None:
        """A small gain is not worth a move that weighs much."""
        counts = []
        for weight in (0.0, 5.0):
            paper = pools.Paper([60 * _G] * 4)
            policy = records.Policy(move_weight=weight)
            catalog = pools.catalog([20 * _G] * 2, policy=policy)
            busy = pools.demand(m0=1.1, m1=0.1)
            _settle(paper, planner.CostPlanner(), catalog, busy)
            counts.append(paper.count)
        self.assertGreater(counts[0], counts[1])

    def test_noise_around_the_threshold_moves_nothing_back(self) -> None:
        """Demand that swings does not make replicas come and go."""
        paper = pools.Paper([30 * _G] * 4)
        catalog = pools.catalog([20 * _G] * 2)
        subject = planner.CostPlanner()
        now = _settle(paper, subject, catalog, pools.demand(m0=1.0, m1=0.3))
        before = paper.count
        for step in range(40):
            now += 2.0
            busy = 1.0 + 0.2 * (-1) ** step
            demand = pools.demand(m0=busy, m1=0.3)
            paper.step(subject, catalog, demand, now)
        self.assertLessEqual(paper.count - before, 2)

    def test_freeze_window_stops_moves_but_not_first_loads(self) -> None:
        """What is reachable stays; what is nowhere is still loaded."""
        window = records.FreezeWindow(0.0, 1000.0)
        policy = records.Policy(freeze_windows=(window,))
        catalog = pools.catalog([20 * _G] * 2, policy=policy)
        paper = pools.Paper([60 * _G] * 3)
        paper.put('s0', 'm0@1', 20 * _G)
        made = paper.step(
            planner.CostPlanner(), catalog, pools.demand(m0=2.0), 10.0
        )
        self.assertEqual(['m1@1'], [move.artifact for move in made.moves])

    def test_demand_beyond_all_servers_is_named(self) -> None:
        """The operator reads which model has too much demand."""
        paper = pools.Paper([60 * _G])
        catalog = pools.catalog([20 * _G])
        paper.put('s0', 'm0@1', 20 * _G)
        made = paper.step(
            planner.CostPlanner(), catalog, pools.demand(m0=2.0), 0.0
        )
        reasons = [item.reason for item in made.infeasible]
        self.assertIn('demand_exceeds_capacity', reasons)


class SliceTest(unittest.TestCase):
    """A plan is made in slices."""

    def test_a_large_pool_yields_between_slices(self) -> None:
        """No more than the stated number of evaluations in one slice."""
        catalog = pools.catalog([_G] * 300)
        paper = pools.Paper([20 * _G] * 32)
        for number in range(300):
            paper.put(f's{number % 32}', f'm{number}@1', _G)
        demand = pools.demand(**{f'm{n}': 0.2 for n in range(300)})
        slices = list(
            planner.CostPlanner().plan(paper.input(catalog, demand), 0.0)
        )
        self.assertGreater(len(slices), 5)
        self.assertEqual([None] * (len(slices) - 1), slices[:-1])

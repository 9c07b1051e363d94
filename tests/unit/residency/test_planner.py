"""Tests of the plans for different patterns of demand."""

from __future__ import annotations

import unittest

from . import engines
from dogwoodquay.residency import api
from dogwoodquay.residency import contents
from dogwoodquay.residency import planner
from dogwoodquay.residency import served

Demand = served.Demand


def _no_running_requests(server_id: str, model: str) -> int:
    return 0


def _plan(
    subject: planner.ModelPlanner,
    engine_list: list[contents.EngineContents],
    demand: dict[str, Demand],
    now: float = 100.0,
    at_version: dict[served.ModelAtVersion, int] | None = None,
) -> list[tuple[str, api.Order]]:
    orders = subject.plan(
        engine_list, demand, _no_running_requests, now, at_version or {}
    )
    return [(item.server.server_id, order) for item, order in orders]


class MissingModelTest(unittest.TestCase):
    """There is demand for a model that is not loaded."""

    def test_free_memory_first(self) -> None:
        """An engine with free memory is preferred to an unload."""
        engine_list = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2'),
        ]
        demand = {'rare1': Demand(0.4, 0, 2, 1.0)}
        orders = _plan(planner.ModelPlanner(), engine_list, demand)
        self.assertEqual([('e2', api.LoadModel('rare1'))], orders)

    def test_idle_model_is_unloaded(self) -> None:
        """A model without demand is unloaded before the load."""
        engine_list = [engines.engine('e1', 'hot', 'warm')]
        demand = {
            'hot': Demand(20.0, 30, 0, 0.0),
            'rare1': Demand(0.4, 0, 2, 1.0),
        }
        subject = planner.ModelPlanner()
        orders = _plan(subject, engine_list, demand)
        self.assertEqual([('e1', api.UnloadModel('warm'))], orders)
        self.assertEqual(('warm',), subject.models_to_unload('e1'))
        engine_list = [engines.engine('e1', 'hot', order_number=1)]
        orders = _plan(subject, engine_list, demand, 100.5)
        self.assertEqual([('e1', api.LoadModel('rare1'))], orders)
        self.assertEqual((), subject.models_to_unload('e1'))

    def test_most_waiting_requests_first(self) -> None:
        """126 waiting requests outweigh a single one that waits longer."""
        engine_list = [engines.engine('e1', 'warm', 'rare2')]
        demand = {
            'hot': Demand(50.0, 0, 126, 2.5),
            'rare1': Demand(0.3, 0, 1, 6.9),
        }
        subject = planner.ModelPlanner()
        _plan(subject, engine_list, demand)
        engine_list = [engines.engine('e1', 'warm', order_number=1)]
        orders = _plan(subject, engine_list, demand, 100.4)
        self.assertEqual([('e1', api.LoadModel('hot'))], orders)

    def test_freed_memory_goes_to_the_highest_score(self) -> None:
        """A model in higher demand by then gets the freed memory."""
        subject = planner.ModelPlanner()
        engine_list = [engines.engine('e1', 'warm', 'rare2')]
        rare_only = {'rare1': Demand(0.4, 0, 4, 3.0)}
        _plan(subject, engine_list, rare_only)
        with_hot = dict(rare_only, hot=Demand(30.0, 0, 40, 0.5))
        engine_list = [engines.engine('e1', 'warm', order_number=1)]
        orders = _plan(subject, engine_list, with_hot, 101.0)
        self.assertEqual([('e1', api.LoadModel('hot'))], orders)

    def test_loaded_model_stays_for_a_minimum_time(self) -> None:
        """A model with demand is not unloaded right after its load."""
        subject = planner.ModelPlanner()
        rare_only = {'rare1': Demand(0.4, 0, 8, 3.0)}
        demand = dict(rare_only, hot=Demand(30.0, 40, 0, 0.0))
        orders = _plan(subject, [engines.engine('e1', 'hot')], demand)
        self.assertEqual([('e1', api.LoadModel('rare1'))], orders)
        engine_list = [engines.engine('e1', 'hot', 'rare1', order_number=1)]
        demand['rare3'] = Demand(2.0, 0, 30, 1.0)
        self.assertEqual([], _plan(subject, engine_list, demand, 104.2))
        orders = _plan(subject, engine_list, demand, 106.0)
        self.assertEqual([('e1', api.UnloadModel('rare1'))], orders)

    def test_replica_with_requests_waiting_stays(self) -> None:
        """Few requests in flight do not mean low demand if many wait."""
        engine_list = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'hot', 'warm'),
        ]
        demand = {
            'hot': Demand(55.0, 8, 116, 2.6),
            'warm': Demand(30.0, 8, 60, 2.0),
            'rare1': Demand(1.3, 0, 9, 8.1),
        }
        self.assertEqual(
            [], _plan(planner.ModelPlanner(), engine_list, demand)
        )

    def test_only_replica_of_a_busy_model_stays(self) -> None:
        """A busy model is not unloaded for a rarely used one."""
        engine_list = [engines.engine('e1', 'hot', 'warm')]
        demand = {
            'hot': Demand(20.0, 30, 0, 0.0),
            'warm': Demand(9.0, 12, 0, 0.0),
            'rare1': Demand(0.4, 0, 3, 4.0),
        }
        self.assertEqual(
            [], _plan(planner.ModelPlanner(), engine_list, demand)
        )

    def test_rare_models_alternate(self) -> None:
        """The rare model with waiting requests replaces an idle one."""
        engine_list = [engines.engine('e1', 'rare1', 'rare2')]
        demand = {
            'rare1': Demand(0.4, 0, 0, 0.0),
            'rare2': Demand(0.4, 1, 0, 0.0),
            'rare3': Demand(0.4, 0, 4, 2.0),
        }
        orders = _plan(planner.ModelPlanner(), engine_list, demand)
        self.assertEqual(1, len(orders))
        self.assertIsInstance(orders[0][1], api.UnloadModel)


class ShiftTest(unittest.TestCase):
    """Demand shifts to a model with few replicas."""

    def test_replicas_on_several_engines_at_once(self) -> None:
        """A busy model is loaded on several engines in one plan."""
        engine_list = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'warm'),
            engines.engine('e3', 'warm'),
        ]
        demand = {
            'hot': Demand(60.0, 90, 20, 1.0),
            'warm': Demand(1.0, 1, 0, 0.0),
        }
        orders = _plan(planner.ModelPlanner(), engine_list, demand)
        expected = {
            ('e2', api.LoadModel('hot')),
            ('e3', api.LoadModel('hot')),
        }
        self.assertEqual(expected, set(orders))

    def test_no_move_in_steady_state(self) -> None:
        """Nothing is moved while all models in demand are loaded."""
        engine_list = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'hot', 'rare1'),
        ]
        demand = {
            'hot': Demand(20.0, 20, 0, 0.0),
            'warm': Demand(3.0, 3, 0, 0.0),
            'rare1': Demand(0.4, 0, 0, 0.0),
        }
        self.assertEqual(
            [], _plan(planner.ModelPlanner(), engine_list, demand)
        )


class LostEnginesTest(unittest.TestCase):
    """Engines fail while a load is pending."""

    def _planner_with_pending_load(self) -> planner.ModelPlanner:
        subject = planner.ModelPlanner()
        engine_list = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'hot', 'warm'),
            engines.engine('e3', 'hot', 'warm'),
        ]
        demand = {
            'hot': Demand(10.0, 10, 0, 0.0),
            'warm': Demand(10.0, 10, 0, 0.0),
            'rare1': Demand(0.4, 0, 9, 3.0),
        }
        orders = subject.plan(engine_list, demand, lambda *_: 4, 100.0)
        self.assertEqual([], orders)
        return subject

    def test_pending_load_is_dropped(self) -> None:
        """The last replica of a busy model is kept when the others fail."""
        subject = self._planner_with_pending_load()
        (name,) = [
            name
            for name in ('e1', 'e2', 'e3')
            if subject.models_to_unload(name)
        ]
        remaining = [engines.engine(name, 'hot', 'warm')]
        demand = {
            'hot': Demand(20.0, 40, 0, 0.0),
            'warm': Demand(20.0, 40, 0, 0.0),
            'rare1': Demand(0.4, 0, 9, 3.0),
        }
        self.assertEqual([], _plan(subject, remaining, demand, 100.2))
        self.assertEqual((), subject.models_to_unload(name))

    def test_running_requests_end_first(self) -> None:
        """The unload is ordered once no requests of the model are running."""
        subject = self._planner_with_pending_load()
        engine_list = [
            engines.engine(f'e{n}', 'hot', 'warm') for n in (1, 2, 3)
        ]
        demand = {
            'hot': Demand(10.0, 10, 0, 0.0),
            'warm': Demand(10.0, 10, 0, 0.0),
            'rare1': Demand(0.4, 0, 9, 3.0),
        }
        orders = subject.plan(engine_list, demand, _no_running_requests, 100.3)
        self.assertEqual(1, len(orders))
        self.assertIsInstance(orders[0][1], api.UnloadModel)


class SoftwareVersionTest(unittest.TestCase):
    """Requests wait for a model at engines of one software version."""

    def setUp(self) -> None:
        """Create a planner, and demand by one request for version ``v1``."""
        self.planner = planner.ModelPlanner()
        self.demand = {'rare1': Demand(0.4, 0, 1, 0.1)}
        self.at_version = {served.ModelAtVersion('rare1', 'v1'): 1}

    def _plan(
        self,
        engine_list: list[contents.EngineContents],
        now: float = 100.0,
        at_version: dict[served.ModelAtVersion, int] | None = None,
    ) -> list[tuple[str, api.Order]]:
        if at_version is None:
            at_version = self.at_version
        return _plan(self.planner, engine_list, self.demand, now, at_version)

    def test_loaded_at_another_version(self) -> None:
        """One more replica is loaded, at the version that is needed."""
        engine_list = [
            engines.engine('e1', 'rare1', version='v2'),
            engines.engine('e2', version='v2'),
            engines.engine('e3', version='v1'),
            engines.engine('e4', version='v1'),
        ]
        self.assertEqual([], self._plan(engine_list, at_version={}))
        orders = self._plan(engine_list)
        self.assertEqual([('e3', api.LoadModel('rare1'))], orders)

    def test_loaded_at_the_version(self) -> None:
        """Requests that wait for room at a replica load no further one."""
        engine_list = [
            engines.engine('e1', 'rare1', version='v1'),
            engines.engine('e2', version='v1'),
        ]
        self.assertEqual([], self._plan(engine_list))

    def test_loaded_nowhere(self) -> None:
        """The load for all requests is at the version that some need."""
        for reverse in (False, True):
            engine_list = [
                engines.engine('e1', version='v2'),
                engines.engine('e2', version='v1'),
            ]
            if reverse:
                engine_list.reverse()
            self.planner = planner.ModelPlanner()
            orders = self._plan(engine_list)
            self.assertEqual([('e2', api.LoadModel('rare1'))], orders)

    def test_version_gone(self) -> None:
        """There is nothing to load without an engine of the version."""
        engine_list = [
            engines.engine('e1', 'rare1', version='v2'),
            engines.engine('e2', version='v2'),
        ]
        self.assertEqual([], self._plan(engine_list))

    def test_unload_first(self) -> None:
        """The load stays planned until its engine has the memory."""
        other = engines.engine('e1', 'rare1', 'warm', version='v2')
        self.demand['warm'] = Demand(0.6, 0, 0, 0.0)
        full = engines.engine('e2', 'hot', 'warm', version='v1')
        self.demand['hot'] = Demand(0.5, 1, 0, 0.0)
        orders = self._plan([other, full])
        self.assertEqual([('e2', api.UnloadModel('warm'))], orders)
        orders = self._plan([other, full], 100.1)
        self.assertEqual([('e2', api.UnloadModel('warm'))], orders)
        freed = engines.engine('e2', 'hot', version='v1', order_number=1)
        orders = self._plan([other, freed], 100.2)
        self.assertEqual([('e2', api.LoadModel('rare1'))], orders)

    def test_requests_gone(self) -> None:
        """The planned load is dropped with the requests that needed it."""
        other = engines.engine('e1', 'rare1', 'warm', version='v2')
        full = engines.engine('e2', 'hot', 'warm', version='v1')
        self.demand['warm'] = Demand(0.1, 0, 0, 0.0)
        self.demand['hot'] = Demand(0.5, 1, 0, 0.0)
        self._plan([other, full])
        self.assertEqual(('warm',), self.planner.models_to_unload('e2'))
        self.assertEqual([], self._plan([other, full], 100.1, {}))
        self.assertEqual((), self.planner.models_to_unload('e2'))

    def test_only_replica_of_a_busy_model_stays(self) -> None:
        """A busy model is not unloaded for one request."""
        self.demand['hot'] = Demand(4.0, 5, 0, 0.0)
        self.demand['warm'] = Demand(3.0, 4, 0, 0.0)
        engine_list = [
            engines.engine('e1', 'rare1', version='v2'),
            engines.engine('e2', 'hot', 'warm', version='v1'),
        ]
        self.assertEqual([], self._plan(engine_list))


class LimitedEngineTest(unittest.TestCase):
    """An engine limits the requests per second that it takes."""

    def _orders(
        self, limits: dict[str, float], rate: float = 4.0
    ) -> list[tuple[str, api.Order]]:
        engine_list = [engines.engine('e1', 'hot'), engines.engine('e2')]
        orders = planner.ModelPlanner().plan(
            engine_list,
            {'hot': Demand(rate, 1, 0, 0.0)},
            _no_running_requests,
            100.0,
            rate_limits=limits,
        )
        return [(item.server.server_id, order) for item, order in orders]

    def test_model_on_a_limited_engine_alone(self) -> None:
        """The model is loaded on another engine."""
        self.assertEqual([], self._orders({}))
        self.assertEqual(
            [('e2', api.LoadModel('hot'))], self._orders({'e1': 1.0})
        )

    def test_enough_within_the_limit(self) -> None:
        """Demand within the limit does not move the model."""
        self.assertEqual([], self._orders({'e1': 2.0}, 0.4))

    def test_no_loads_on_limited_engines(self) -> None:
        """A limited engine gets a model only if all are limited."""
        self.assertEqual([], self._orders({'e2': 1.0}, 30.0))
        both = self._orders({'e1': 1.0, 'e2': 9.0})
        self.assertEqual([('e2', api.LoadModel('hot'))], both)

    def test_share_of_a_replica(self) -> None:
        """A limit counts for less, shared by the models of its engine."""
        settings = served.PlannerSettings()
        full = settings.target_utilization * 64
        full /= settings.default_request_seconds
        for limit, models, share in (
            (None, 3, 1.0),
            (2 * full, 1, 1.0),
            (full / 2, 2, 0.25),
            (0.0, 2, served.MIN_REPLICA_SHARE),
        ):
            found = settings.replica_share(served.NO_DEMAND, limit, models, 64)
            self.assertAlmostEqual(share, found)


class LastReplicaTest(unittest.TestCase):
    """A further replica is no reason to unload a model's only one."""

    def test_unloaded_for_a_replica_that_nobody_waits_for(self) -> None:
        """Engines have slots free, and the other model is asked for."""
        engine_list = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'rare1', 'rare2'),
        ]
        demand = {
            'hot': Demand(30.0, 24, 0, 0.0),
            'warm': Demand(1.0, 1, 0, 0.0),
            'rare1': Demand(0.05, 0, 0, 0.0),
            'rare2': Demand(0.05, 0, 0, 0.0),
        }
        orders = _plan(planner.ModelPlanner(), engine_list, demand)
        self.assertEqual([], orders)


class ContendedTest(unittest.TestCase):
    """More models are asked for than there are places."""

    def setUp(self) -> None:
        """Use the weights for contended load."""
        self.subject = planner.ModelPlanner()
        self.subject.configure(served.CONTENDED)

    def test_engine_with_a_copy(self) -> None:
        """Callers wait for the weight store though a copy is near."""
        engine_list = [engines.engine('e1', 'hot'), engines.engine('e2')]
        engine_list[0].observe(
            engines.report(('hot', ()), on_disk=frozenset({'rare1'}))
        )
        demand = {
            'hot': Demand(5.0, 5, 0, 0.0),
            'rare1': Demand(0.4, 0, 1, 0.2),
        }
        orders = _plan(self.subject, engine_list, demand)
        self.assertEqual([('e1', api.LoadModel('rare1'))], orders)

    def test_absent_model_without_a_copy(self) -> None:
        """A model that is seldom asked for is not reachable any more."""
        engine_list = [engines.engine('e1', 'hot', 'warm')]
        demand = {
            'hot': Demand(5.0, 5, 0, 0.0),
            'rare1': Demand(0.3, 0, 1, 0.2),
        }
        orders = _plan(self.subject, engine_list, demand)
        self.assertEqual([('e1', api.UnloadModel('warm'))], orders)

    def test_further_replica(self) -> None:
        """Replicas that are not needed take the places of rare models."""
        engine_list = [
            engines.engine('e1', 'hot'),
            engines.engine('e2', 'rare1', 'rare2'),
        ]
        demand = {
            'hot': Demand(30.0, 30, 0, 0.0),
            'rare1': Demand(0.8, 0, 0, 0.0),
            'rare2': Demand(0.8, 0, 0, 0.0),
        }
        self.assertNotEqual(
            [], _plan(planner.ModelPlanner(), engine_list, demand)
        )
        self.assertEqual([], _plan(self.subject, engine_list, demand))

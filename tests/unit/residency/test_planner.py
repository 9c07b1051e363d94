"""Tests of plans, each by the load that it answers."""

from __future__ import annotations

import unittest

from . import engines
from dogwoodquay.residency import api
from dogwoodquay.residency import contents
from dogwoodquay.residency import planner

Demand = planner.Demand


def _idle(server_id: str, model: str) -> int:
    return 0


def _plan(
    subject: planner.ModelPlanner,
    held: list[contents.EngineContents],
    demand: dict[str, Demand],
    now: float = 100.0,
) -> list[tuple[str, api.Order]]:
    orders = subject.plan(held, demand, _idle, now)
    return [(item.server.server_id, order) for item, order in orders]


class MissingModelTest(unittest.TestCase):
    """Demand for a model that no engine holds."""

    def test_loads_where_room_is(self) -> None:
        """Free memory goes before removing anything."""
        held = [engines.engine('e1', 'hot', 'warm'), engines.engine('e2')]
        demand = {'rare1': Demand(0.4, 0, 2, 1.0)}
        orders = _plan(planner.ModelPlanner(), held, demand)
        self.assertEqual([('e2', api.LoadModel('rare1'))], orders)

    def test_idle_model_makes_room(self) -> None:
        """A model that nobody asks for goes, and the load follows."""
        held = [engines.engine('e1', 'hot', 'warm')]
        demand = {
            'hot': Demand(20.0, 30, 0, 0.0),
            'rare1': Demand(0.4, 0, 2, 1.0),
        }
        subject = planner.ModelPlanner()
        orders = _plan(subject, held, demand)
        self.assertEqual([('e1', api.UnloadModel('warm'))], orders)
        self.assertEqual(('warm',), subject.withdrawn('e1'))
        held = [engines.engine('e1', 'hot', order_number=1)]
        orders = _plan(subject, held, demand, 100.5)
        self.assertEqual([('e1', api.LoadModel('rare1'))], orders)
        self.assertEqual((), subject.withdrawn('e1'))

    def test_busiest_goes_first(self) -> None:
        """126 callers without a model go before one that waits longer."""
        held = [engines.engine('e1', 'warm', 'rare2')]
        demand = {
            'hot': Demand(50.0, 0, 126, 2.5),
            'rare1': Demand(0.3, 0, 1, 6.9),
        }
        subject = planner.ModelPlanner()
        _plan(subject, held, demand)
        held = [engines.engine('e1', 'warm', order_number=1)]
        orders = _plan(subject, held, demand, 100.4)
        self.assertEqual([('e1', api.LoadModel('hot'))], orders)

    def test_room_goes_to_what_is_worth_most_by_then(self) -> None:
        """A model that became busy meanwhile gets the room."""
        subject = planner.ModelPlanner()
        held = [engines.engine('e1', 'warm', 'rare2')]
        rare = {'rare1': Demand(0.4, 0, 4, 3.0)}
        _plan(subject, held, rare)
        busy = dict(rare, hot=Demand(30.0, 0, 40, 0.5))
        held = [engines.engine('e1', 'warm', order_number=1)]
        orders = _plan(subject, held, busy, 101.0)
        self.assertEqual([('e1', api.LoadModel('hot'))], orders)

    def test_loaded_model_gets_its_callers_served(self) -> None:
        """After a long load it does not go again at once."""
        subject = planner.ModelPlanner()
        rare = {'rare1': Demand(0.4, 0, 8, 3.0)}
        demand = dict(rare, hot=Demand(30.0, 40, 0, 0.0))
        orders = _plan(subject, [engines.engine('e1', 'hot')], demand)
        self.assertEqual([('e1', api.LoadModel('rare1'))], orders)
        held = [engines.engine('e1', 'hot', 'rare1', order_number=1)]
        demand['rare3'] = Demand(2.0, 0, 30, 1.0)
        self.assertEqual([], _plan(subject, held, demand, 104.2))
        orders = _plan(subject, held, demand, 106.0)
        self.assertEqual([('e1', api.UnloadModel('rare1'))], orders)

    def test_copy_with_callers_waiting_stays(self) -> None:
        """Few requests under way say nothing while many wait."""
        held = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'hot', 'warm'),
        ]
        demand = {
            'hot': Demand(55.0, 8, 116, 2.6),
            'warm': Demand(30.0, 8, 60, 2.0),
            'rare1': Demand(1.3, 0, 9, 8.1),
        }
        self.assertEqual([], _plan(planner.ModelPlanner(), held, demand))

    def test_only_copy_of_a_busy_model_stays(self) -> None:
        """A rare model does not take the place of a busy one."""
        held = [engines.engine('e1', 'hot', 'warm')]
        demand = {
            'hot': Demand(20.0, 30, 0, 0.0),
            'warm': Demand(9.0, 12, 0, 0.0),
            'rare1': Demand(0.4, 0, 3, 4.0),
        }
        self.assertEqual([], _plan(planner.ModelPlanner(), held, demand))

    def test_rare_models_take_turns(self) -> None:
        """More rare models than places: the one with callers comes in."""
        held = [engines.engine('e1', 'rare1', 'rare2')]
        demand = {
            'rare1': Demand(0.4, 0, 0, 0.0),
            'rare2': Demand(0.4, 1, 0, 0.0),
            'rare3': Demand(0.4, 0, 4, 2.0),
        }
        orders = _plan(planner.ModelPlanner(), held, demand)
        self.assertEqual(1, len(orders))
        self.assertIsInstance(orders[0][1], api.UnloadModel)


class ShiftTest(unittest.TestCase):
    """Demand that moves on to a model with few copies."""

    def test_copies_on_several_engines_at_once(self) -> None:
        """A model that became busy is loaded wherever it helps."""
        held = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'warm'),
            engines.engine('e3', 'warm'),
        ]
        demand = {
            'hot': Demand(60.0, 90, 20, 1.0),
            'warm': Demand(1.0, 1, 0, 0.0),
        }
        orders = _plan(planner.ModelPlanner(), held, demand)
        expected = {
            ('e2', api.LoadModel('hot')),
            ('e3', api.LoadModel('hot')),
        }
        self.assertEqual(expected, set(orders))

    def test_no_move_in_steady_state(self) -> None:
        """Nothing moves while all that is asked for is there."""
        held = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'hot', 'rare1'),
        ]
        demand = {
            'hot': Demand(20.0, 20, 0, 0.0),
            'warm': Demand(3.0, 3, 0, 0.0),
            'rare1': Demand(0.4, 0, 0, 0.0),
        }
        self.assertEqual([], _plan(planner.ModelPlanner(), held, demand))


class LostEnginesTest(unittest.TestCase):
    """Engines that go while a plan is under way."""

    def _begun(self) -> planner.ModelPlanner:
        subject = planner.ModelPlanner()
        held = [
            engines.engine('e1', 'hot', 'warm'),
            engines.engine('e2', 'hot', 'warm'),
            engines.engine('e3', 'hot', 'warm'),
        ]
        demand = {
            'hot': Demand(10.0, 10, 0, 0.0),
            'warm': Demand(10.0, 10, 0, 0.0),
            'rare1': Demand(0.4, 0, 9, 3.0),
        }
        busy = subject.plan(held, demand, lambda *_: 4, 100.0)
        self.assertEqual([], busy)
        return subject

    def test_goal_is_dropped(self) -> None:
        """The last copy of a busy model stays when the others crash."""
        subject = self._begun()
        (name,) = [
            name for name in ('e1', 'e2', 'e3') if subject.withdrawn(name)
        ]
        left = [engines.engine(name, 'hot', 'warm')]
        demand = {
            'hot': Demand(20.0, 40, 0, 0.0),
            'warm': Demand(20.0, 40, 0, 0.0),
            'rare1': Demand(0.4, 0, 9, 3.0),
        }
        self.assertEqual([], _plan(subject, left, demand, 100.2))
        self.assertEqual((), subject.withdrawn(name))

    def test_running_requests_end_first(self) -> None:
        """The unload comes when its requests are done, or after a while."""
        subject = self._begun()
        held = [engines.engine(f'e{n}', 'hot', 'warm') for n in (1, 2, 3)]
        demand = {
            'hot': Demand(10.0, 10, 0, 0.0),
            'warm': Demand(10.0, 10, 0, 0.0),
            'rare1': Demand(0.4, 0, 9, 3.0),
        }
        orders = subject.plan(held, demand, _idle, 100.3)
        self.assertEqual(1, len(orders))
        self.assertIsInstance(orders[0][1], api.UnloadModel)

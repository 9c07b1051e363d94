"""Tests of what an engine may hold and which orders are safe."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from . import engines
from dogwoodquay.residency import api
from dogwoodquay.residency import contents

Answer = api.OrderAnswer


class PermitsTest(unittest.TestCase):
    """An order is safe if it fits beside all that may be there."""

    def test_unknown_engine_gets_nothing(self) -> None:
        """Before a report nothing is known to fit."""
        subject = contents.EngineContents(engines.entry(), engines.SPEC)
        self.assertFalse(subject.permits(api.LoadModel('hot')))

    def test_memory(self) -> None:
        """A third big model does not fit beside two."""
        subject = engines.engine('e1', 'hot', 'warm')
        self.assertFalse(subject.permits(api.LoadModel('rare1')))
        self.assertTrue(subject.permits(api.UnloadModel('warm')))

    def test_loading_counts(self) -> None:
        """What is on its way takes up memory and holds the engine busy."""
        subject = engines.engine('e1', 'hot')
        order = api.LoadModel('warm')
        self.assertEqual(0, subject.send(order))
        subject.answered(Answer.ACCEPTED)
        self.assertEqual(1, subject.order_number)
        self.assertFalse(subject.permits(api.LoadModel('rare1')))
        self.assertNotIn('warm', subject.models())
        subject.observe(
            engines.report(('hot', ()), ('warm', ()), order_number=1)
        )
        self.assertIn('warm', subject.models())

    def test_adapter_places(self) -> None:
        """Coming adapters take places, and few may come at a time."""
        subject = engines.engine('e1', 'hot')
        for number in range(contents.MAX_COMING):
            order = api.LoadAdapter('hot', f'a{number}')
            self.assertTrue(subject.permits(order))
            subject.send(order)
            subject.answered(Answer.ACCEPTED)
        self.assertFalse(subject.permits(api.LoadAdapter('hot', 'a9')))
        for number in range(contents.MAX_COMING):
            subject.arrived('hot', f'a{number}')
        self.assertTrue(subject.permits(api.LoadAdapter('hot', 'a9')))

    def test_one_order_at_a_time(self) -> None:
        """While an order has no answer no other one is sent."""
        subject = engines.engine('e1', 'hot')
        subject.send(api.LoadAdapter('hot', 'a1'))
        self.assertFalse(subject.permits(api.LoadAdapter('hot', 'a2')))


class LostAnswerTest(unittest.TestCase):
    """Orders without an answer may yet take effect, one a number."""

    def test_next_order_has_the_same_number(self) -> None:
        """So the engine refuses it if the lost one took effect."""
        subject = engines.engine('e1', 'hot', order_number=5)
        subject.send(api.LoadModel('warm'))
        subject.answered(Answer.UNKNOWN)
        self.assertTrue(subject.permits(api.LoadModel('rare1')))
        self.assertEqual(5, subject.send(api.LoadModel('rare1')))
        subject.answered(Answer.CONFLICT)
        self.assertFalse(subject.known)

    def test_restarted_process(self) -> None:
        """A late order is charged until the new process is past it."""
        subject = engines.engine('e1', 'hot', order_number=2)
        subject.send(api.LoadModel('warm'))
        subject.answered(Answer.UNKNOWN)
        again = contents.EngineContents(
            engines.entry(started_ms=2000), engines.SPEC, subject.late_orders
        )
        again.observe(engines.report(('rare1', ()), order_number=1))
        self.assertFalse(again.permits(api.LoadModel('rare2')))
        again.observe(engines.report(('rare1', ()), order_number=3))
        self.assertTrue(again.permits(api.LoadModel('rare2')))

    def test_old_report(self) -> None:
        """A report from before an accepted order is left."""
        subject = engines.engine('e1', 'hot')
        subject.send(api.LoadModel('warm'))
        subject.answered(Answer.ACCEPTED)
        self.assertFalse(subject.observe(engines.report(('hot', ()))))
        self.assertTrue(subject.occupies('warm'))


class _Engine:
    """A model of an engine that loses answers and takes orders late."""

    def __init__(self) -> None:
        self.models: dict[str, set[str]] = {}
        self.number = 0
        self.late: list[tuple[int, api.Order]] = []

    def megabytes(self) -> float:
        total = 0.0
        for name, adapters in self.models.items():
            spec = engines.SPEC.models[name]
            total += spec.megabytes + len(adapters) * spec.adapter_megabytes
        return total

    def places(self) -> int:
        return sum(len(adapters) for adapters in self.models.values())

    def take(self, order: api.Order, number: int) -> Answer:
        if number != self.number:
            return Answer.CONFLICT
        match order:
            case api.LoadModel(model):
                self.models.setdefault(model, set())
            case api.UnloadModel(model):
                self.models.pop(model, None)
            case api.LoadAdapter(model, adapter):
                if model not in self.models:
                    return Answer.REFUSED
                self.models[model].add(adapter)
            case api.UnloadAdapter(model, adapter):
                self.models.get(model, set()).discard(adapter)
        self.number += 1
        return Answer.ACCEPTED

    def report(self) -> api.EngineReport:
        held = (
            (name, tuple(adapters)) for name, adapters in self.models.items()
        )
        return engines.report(*held, order_number=self.number)


def _order(rng: random.Random) -> api.Order:
    model = rng.choice(engines.MODELS)
    adapter = f'a{rng.randrange(12)}'
    return rng.choice(
        (
            api.LoadModel(model),
            api.UnloadModel(model),
            api.LoadAdapter(model, adapter),
            api.LoadAdapter(model, adapter),
            api.UnloadAdapter(model, adapter),
        )
    )


class MemoryTest(unittest.TestCase):
    """Whatever is lost or late, an engine never holds too much."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_random_walks(self, seed: int) -> None:
        """Orders, lost and late ones and restarts in any order."""
        rng = random.Random(seed)
        engine = _Engine()
        started = 1000
        subject = contents.EngineContents(
            engines.entry(started_ms=started), engines.SPEC
        )
        for _ in range(120):
            self._step(rng, engine, subject)
            if rng.random() < 0.01:
                started += 1
                late = engine.late
                engine = _Engine()
                engine.late = late
                subject = contents.EngineContents(
                    engines.entry(started_ms=started),
                    engines.SPEC,
                    subject.late_orders,
                )
            self.assertLessEqual(engine.megabytes(), engines.SPEC.megabytes)
            self.assertLessEqual(engine.places(), engines.SPEC.max_adapters)

    def _step(
        self,
        rng: random.Random,
        engine: _Engine,
        subject: contents.EngineContents,
    ) -> None:
        chance = rng.random()
        if engine.late and chance < 0.15:
            number, order = engine.late.pop(rng.randrange(len(engine.late)))
            engine.take(order, number)
        elif chance < 0.4:
            subject.observe(engine.report())
        else:
            order = _order(rng)
            if not subject.permits(order):
                return
            number = subject.send(order)
            if rng.random() < 0.3:
                engine.late.append((number, order))
                subject.answered(Answer.UNKNOWN)
            else:
                subject.answered(engine.take(order, number))

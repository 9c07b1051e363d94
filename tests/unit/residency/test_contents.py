"""Tests of an engine's possible contents and of which orders are safe."""

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
    """An order is permitted if it fits beside the possible contents."""

    def test_unknown_contents_permit_nothing(self) -> None:
        """No order is permitted before the first report."""
        subject = contents.EngineContents(engines.entry(), engines.SPEC)
        self.assertFalse(subject.permits(api.LoadModel('hot')))

    def test_memory(self) -> None:
        """A third model does not fit into the memory."""
        subject = engines.engine('e1', 'hot', 'warm')
        self.assertFalse(subject.permits(api.LoadModel('rare1')))
        self.assertTrue(subject.permits(api.UnloadModel('warm')))

    def test_loading_model_uses_memory(self) -> None:
        """A model uses memory while it loads, and the engine is busy."""
        subject = engines.engine('e1', 'hot')
        order = api.LoadModel('warm')
        self.assertEqual(0, subject.begin_order(order))
        subject.on_answer(Answer.ACCEPTED)
        self.assertEqual(1, subject.order_number)
        self.assertFalse(subject.permits(api.LoadModel('rare1')))
        self.assertNotIn('warm', subject.models())
        subject.observe(
            engines.report(('hot', ()), ('warm', ()), order_number=1)
        )
        self.assertIn('warm', subject.models())

    def test_loading_adapters_are_limited(self) -> None:
        """The adapters that load at the same time are limited."""
        subject = engines.engine('e1', 'hot')
        for number in range(contents.MAX_LOADING_ADAPTERS):
            order = api.LoadAdapter('hot', f'a{number}')
            self.assertTrue(subject.permits(order))
            subject.begin_order(order)
            subject.on_answer(Answer.ACCEPTED)
        self.assertFalse(subject.permits(api.LoadAdapter('hot', 'a9')))
        for number in range(contents.MAX_LOADING_ADAPTERS):
            subject.on_adapter_loaded('hot', f'a{number}')
        self.assertTrue(subject.permits(api.LoadAdapter('hot', 'a9')))

    def test_one_order_at_a_time(self) -> None:
        """No order is permitted while another one has no answer."""
        subject = engines.engine('e1', 'hot')
        subject.begin_order(api.LoadAdapter('hot', 'a1'))
        self.assertFalse(subject.permits(api.LoadAdapter('hot', 'a2')))


class LostAnswerTest(unittest.TestCase):
    """An order without an answer may still take effect."""

    def test_next_order_has_the_same_number(self) -> None:
        """The engine refuses the next order if the lost one took effect."""
        subject = engines.engine('e1', 'hot', order_number=5)
        subject.begin_order(api.LoadModel('warm'))
        subject.on_answer(Answer.UNKNOWN)
        self.assertTrue(subject.permits(api.LoadModel('rare1')))
        self.assertEqual(5, subject.begin_order(api.LoadModel('rare1')))
        subject.on_answer(Answer.CONFLICT)
        self.assertFalse(subject.known)

    def test_restarted_process(self) -> None:
        """An unresolved order counts until the new process would refuse it."""
        subject = engines.engine('e1', 'hot', order_number=2)
        subject.begin_order(api.LoadModel('warm'))
        subject.on_answer(Answer.UNKNOWN)
        restarted = contents.EngineContents(
            engines.entry(started_ms=2000),
            engines.SPEC,
            subject.unresolved_orders,
        )
        restarted.observe(engines.report(('rare1', ()), order_number=1))
        self.assertFalse(restarted.permits(api.LoadModel('rare2')))
        restarted.observe(engines.report(('rare1', ()), order_number=3))
        self.assertTrue(restarted.permits(api.LoadModel('rare2')))

    def test_old_report_is_ignored(self) -> None:
        """A report from before an accepted order is ignored."""
        subject = engines.engine('e1', 'hot')
        subject.begin_order(api.LoadModel('warm'))
        subject.on_answer(Answer.ACCEPTED)
        self.assertFalse(subject.observe(engines.report(('hot', ()))))
        self.assertTrue(subject.occupies('warm'))


class _SimulatedEngine:
    """Simulates an engine that loses answers and gets orders late."""

    def __init__(self) -> None:
        self.models: dict[str, set[str]] = {}
        self.number = 0
        self.delayed: list[tuple[int, api.Order]] = []

    def megabytes(self) -> float:
        total = 0.0
        for name, adapters in self.models.items():
            spec = engines.SPEC.models[name]
            total += spec.megabytes + len(adapters) * spec.adapter_megabytes
        return total

    def adapter_count(self) -> int:
        return sum(len(adapters) for adapters in self.models.values())

    def receive(self, order: api.Order, number: int) -> Answer:
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
        loaded = (
            (name, tuple(adapters)) for name, adapters in self.models.items()
        )
        return engines.report(*loaded, order_number=self.number)


def _random_order(rng: random.Random) -> api.Order:
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
    """Lost and delayed messages never overfill an engine's memory."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_random_walks(self, seed: int) -> None:
        """Random orders, reports, lost answers, delays and restarts."""
        rng = random.Random(seed)
        engine = _SimulatedEngine()
        started_ms = 1000
        subject = contents.EngineContents(
            engines.entry(started_ms=started_ms), engines.SPEC
        )
        for _ in range(120):
            self._step(rng, engine, subject)
            if rng.random() < 0.01:
                started_ms += 1
                delayed = engine.delayed
                engine = _SimulatedEngine()
                engine.delayed = delayed
                subject = contents.EngineContents(
                    engines.entry(started_ms=started_ms),
                    engines.SPEC,
                    subject.unresolved_orders,
                )
            self.assertLessEqual(engine.megabytes(), engines.SPEC.megabytes)
            self.assertLessEqual(
                engine.adapter_count(), engines.SPEC.max_adapters
            )

    def _step(
        self,
        rng: random.Random,
        engine: _SimulatedEngine,
        subject: contents.EngineContents,
    ) -> None:
        chance = rng.random()
        if engine.delayed and chance < 0.15:
            number, order = engine.delayed.pop(
                rng.randrange(len(engine.delayed))
            )
            engine.receive(order, number)
        elif chance < 0.4:
            subject.observe(engine.report())
        else:
            order = _random_order(rng)
            if not subject.permits(order):
                return
            number = subject.begin_order(order)
            if rng.random() < 0.3:
                engine.delayed.append((number, order))
                subject.on_answer(Answer.UNKNOWN)
            else:
                subject.on_answer(engine.receive(order, number))

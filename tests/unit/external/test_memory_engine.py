"""Tests of the fake engine: memory, fences, orders and answers."""

from __future__ import annotations

import dataclasses
import random
import unittest

import anyio
import msgspec

from dogwoodquay.external import api
from dogwoodquay.external import errors
from dogwoodquay.external import memory
from dogwoodquay.external.memory import completion

_GIB = 2**30


def _load(order_id: str, fence: int, artifact: str = 'm@1') -> api.Order:
    kind = api.OrderKind.LOAD
    return api.Order(order_id, fence, kind, artifact, 16 * _GIB)


def _call(
    time: memory.Timeline, attempt: str, **extra: object
) -> api.UpstreamCall:
    body = msgspec.json.encode(
        {'model': 'm', 'prompt': f'p {attempt}', 'max_tokens': 4, **extra}
    )
    return api.UpstreamCall(
        attempt, 'POST', '/v1/completions', (), body, time.now() + 30.0
    )


class EngineModelTest(unittest.TestCase):
    """One engine of 24 GiB that refuses old fencing numbers."""

    def setUp(self) -> None:
        self.time = memory.ManualTimeline()
        self.engine = self._engine(fencing=True)

    def _engine(
        self, fencing: bool, forgets: bool = False, lists: bool = True
    ) -> memory.EngineModel:
        store = memory.MemoryWeightStore(self.time)
        profile = memory.EngineProfile(
            's1', 24 * _GIB, fencing, forgets, lists
        )
        return memory.EngineModel(profile, self.time, store, random.Random(2))

    def _order(self, order: api.Order) -> object:
        results = []

        async def carry_out() -> None:
            deadline = self.time.now() + 30.0
            results.append(await self.engine.order(order, deadline))

        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(carry_out)
                await self.time.advance(30.0)

        anyio.run(main)
        return results[0]

    def _read(self, call: api.UpstreamCall) -> list[bytes]:
        chunks = []

        async def read() -> None:
            async with self.engine.open(call) as result:
                async for chunk in result.ok:
                    chunks.append(chunk)

        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(read)
                await self.time.advance(30.0)

        anyio.run(main)
        return chunks

    def test_loads_are_charged_at_once_and_overcommit_is_counted(self) -> None:
        """The second load does not fit, and that is seen."""
        self._order(_load('o1', 1))
        self.assertEqual(0, self.engine.memory_violations)
        self._order(_load('o2', 1, 'n@1'))
        self.assertEqual(1, self.engine.memory_violations)

    def test_old_fence_is_refused_only_by_fencing_engines(self) -> None:
        """The other sort carries the order out."""
        self.engine.teach(7)
        result = self._order(_load('o1', 6))
        self.assertEqual(api.StaleFence(7), result.error)
        self.engine = self._engine(fencing=False)
        self.engine.teach(7)
        self.assertTrue(self._order(_load('o1', 6)).is_ok())

    def test_restart_may_forget_the_fence(self) -> None:
        """An order from before the restart names the old incarnation."""
        self.engine = self._engine(fencing=True, forgets=True)
        self.engine.teach(7)
        old = msgspec.structs.replace(
            _load('o1', 6), incarnation=self.engine.state().incarnation
        )
        self.engine.restart()
        self.assertEqual(0, self.engine.state().highest_fence)
        result = self._order(old)
        self.assertEqual(api.Refused('incarnation'), result.error)

    def test_late_order_takes_effect_after_its_answer(self) -> None:
        """Its caller cannot tell; the memory is charged later."""
        self.engine.order_faults.inject(memory.CallFault.LATE, delay=40.0)
        result = self._order(_load('o1', 1))
        self.assertIsInstance(result.error, api.Ambiguous)
        self.assertEqual((), self.engine.state().artifacts)
        self._order(_load('o0', 1, 'n@1'))
        held = [state.artifact for state in self.engine.state().artifacts]
        self.assertEqual(['n@1', 'm@1'], held)

    def test_loads_in_progress_are_listed_by_some_engines(self) -> None:
        """Others show only what is ready."""
        for lists in (True, False):
            self.engine = self._engine(True, lists=lists)
            self.engine.memory.apply(_load('o1', 1))
            self.assertEqual(lists, bool(self.engine.state().artifacts))

    def test_answer_is_a_function_of_artifact_and_prompt(self) -> None:
        """The text of a stream is what the request must get."""
        self._order(_load('o1', 1))
        call = _call(self.time, 'a1', stream=True)
        chunks = self._read(call)
        events = [chunk.split(b'data: ')[1].strip() for chunk in chunks]
        self.assertEqual(b'[DONE]', events.pop())
        answers = [msgspec.json.decode(event) for event in events]
        text = ''.join(item['choices'][0]['text'] for item in answers)
        self.assertEqual(completion.expected_text('m@1', call.body), text)
        self.assertEqual({'a1'}, {item['id'] for item in answers})

    def test_resumes_after_the_last_event(self) -> None:
        """A broken stream goes on without running again."""
        self._order(_load('o1', 1))
        self.engine.serve_faults.inject(memory.CallFault.BREAK, after_chunks=2)
        call = _call(self.time, 'a1', stream=True)
        with self.assertRaises(ExceptionGroup) as raised:
            self._read(call)
        self.assertTrue(raised.exception.subgroup(errors.UpstreamBroken))
        resumed = dataclasses.replace(
            call, deadline=self.time.now() + 30.0, resume_after=1
        )
        chunks = self._read(resumed)
        self.assertEqual(
            [b'id: 2', b'id: 3', b'id: 4'],
            [chunk.split(b'\n')[0] for chunk in chunks],
        )
        self.assertEqual(1, self.engine.runs['a1'])

    def test_unload_waits_for_running_requests(self) -> None:
        """A request in flight ends whole, and new ones are refused."""
        self._order(_load('o1', 1))
        unload = api.Order('o2', 1, api.OrderKind.UNLOAD, 'm@1', 0)

        async def main() -> None:
            call = _call(self.time, 'a1')
            async with anyio.create_task_group() as group:
                async with self.engine.open(call) as result:
                    self.engine.memory.apply(unload)
                    self.assertEqual(1, len(self.engine.state().artifacts))
                    second = _call(self.time, 'a2')
                    async with self.engine.open(second) as refused:
                        self.assertEqual(
                            api.Refused('not_resident'), refused.error
                        )
                    group.start_soon(self.time.advance, 1.0)
                    self.assertEqual(1, len([c async for c in result.ok]))
            self.assertEqual((), self.engine.state().artifacts)

        async def with_prefill() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(main)
                await self.time.advance(5.0)

        anyio.run(with_prefill)


class PacingTest(unittest.TestCase):
    """The weight store's limits."""

    def test_loads_start_no_faster_than_the_limit(self) -> None:
        """Ten loads at 1.6 a second need more than five seconds."""
        time = memory.ManualTimeline()
        store = memory.MemoryWeightStore(time)
        ends = [store.start_load(8 * _GIB) for _ in range(10)]
        self.assertGreaterEqual(ends[-1] - time.now(), 9 / 1.6 + 1.0)
        self.assertEqual(9, store.delayed_loads)


class CacheTest(unittest.TestCase):
    """The prefix cache."""

    def test_events_come_late_and_with_gaps(self) -> None:
        """Nothing shows before the lag; a gap is a jump in the numbers."""
        time = memory.ManualTimeline()
        store = memory.MemoryWeightStore(time)
        profile = memory.EngineProfile('s1', _GIB, cache_blocks=64)
        cache = memory.EngineModel(
            profile, time, store, random.Random(3)
        ).cache
        cache.event_lag_seconds = 2.0
        cache.gap_rate = 0.5
        cache.use(tuple(range(1, 51)))
        self.assertEqual((), cache.events(0, 'i').events)
        anyio.run(time.advance, 2.0)
        numbers = [event.sequence for event in cache.events(0, 'i').events]
        self.assertEqual(sorted(numbers), numbers)
        self.assertLess(len(numbers), 50)

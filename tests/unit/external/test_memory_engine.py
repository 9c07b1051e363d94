"""Tests of the fake engine: memory, fencing, orders and answers."""

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


class FakeEngineTest(unittest.TestCase):
    """An engine with 24 GiB of memory that checks fencing tokens."""

    def setUp(self) -> None:
        self.time = memory.ManualTimeline()
        self.engine = self._engine(fencing=True)

    def _engine(
        self, fencing: bool, forgets: bool = False, lists: bool = True
    ) -> memory.FakeEngine:
        store = memory.MemoryWeightStore(self.time)
        profile = memory.EngineProfile(
            's1', 24 * _GIB, fencing, forgets, lists
        )
        return memory.FakeEngine(profile, self.time, store, random.Random(2))

    def _order(self, order: api.Order) -> object:
        results = []

        async def send() -> None:
            deadline = self.time.now() + 30.0
            results.append(await self.engine.order(order, deadline))

        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(send)
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

    def test_loads_use_memory_at_once_and_overcommit_is_counted(self) -> None:
        """The second load exceeds the capacity and is counted."""
        self._order(_load('o1', 1))
        self.assertEqual(0, self.engine.memory_violations)
        self._order(_load('o2', 1, 'n@1'))
        self.assertEqual(1, self.engine.memory_violations)

    def test_lower_token_is_refused_only_by_fencing_engines(self) -> None:
        """An engine without fencing carries the order out."""
        self.engine.raise_fence(7)
        result = self._order(_load('o1', 6))
        self.assertEqual(api.StaleFence(7), result.error)
        self.engine = self._engine(fencing=False)
        self.engine.raise_fence(7)
        self.assertTrue(self._order(_load('o1', 6)).is_ok())

    def test_restart_may_reset_the_fencing_token(self) -> None:
        """An order from before the restart is refused by its incarnation."""
        self.engine = self._engine(fencing=True, forgets=True)
        self.engine.raise_fence(7)
        old_order = msgspec.structs.replace(
            _load('o1', 6), incarnation=self.engine.state().incarnation
        )
        self.engine.restart()
        self.assertEqual(0, self.engine.state().highest_fence)
        result = self._order(old_order)
        self.assertEqual(api.Refused('incarnation'), result.error)

    def test_delayed_order_takes_effect_after_its_answer(self) -> None:
        """The answer is ambiguous, and the artifact appears later."""
        self.engine.order_faults.inject(memory.CallFault.LATE, delay=40.0)
        result = self._order(_load('o1', 1))
        self.assertIsInstance(result.error, api.Ambiguous)
        self.assertEqual((), self.engine.state().artifacts)
        self._order(_load('o0', 1, 'n@1'))
        loaded = [state.artifact for state in self.engine.state().artifacts]
        self.assertEqual(['n@1', 'm@1'], loaded)

    def test_loads_in_progress_are_listed_if_configured(self) -> None:
        """Without ``lists_loading`` only ready artifacts are listed."""
        for lists in (True, False):
            self.engine = self._engine(True, lists=lists)
            self.engine.memory.apply(_load('o1', 1))
            self.assertEqual(lists, bool(self.engine.state().artifacts))

    def test_answer_is_determined_by_artifact_and_prompt(self) -> None:
        """A stream contains the expected text of its request."""
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
        """A broken stream is continued without a second run."""
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
        """An in-flight request completes, and new ones are refused."""
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

        async def main_with_time() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(main)
                await self.time.advance(5.0)

        anyio.run(main_with_time)


class WeightStoreTest(unittest.TestCase):
    """The limits of the weight store."""

    def test_load_starts_are_rate_limited(self) -> None:
        """The last of ten loads starts nine intervals of 1/1.6 s later."""
        time = memory.ManualTimeline()
        store = memory.MemoryWeightStore(time)
        ends = [store.start_load(8 * _GIB) for _ in range(10)]
        self.assertGreaterEqual(ends[-1] - time.now(), 9 / 1.6 + 1.0)
        self.assertEqual(9, store.delayed_loads)


class CacheTest(unittest.TestCase):
    """The prefix cache."""

    def test_events_are_delayed_and_some_are_lost(self) -> None:
        """No event is visible before the lag; lost ones skip numbers."""
        time = memory.ManualTimeline()
        store = memory.MemoryWeightStore(time)
        profile = memory.EngineProfile('s1', _GIB, cache_blocks=64)
        cache = memory.FakeEngine(profile, time, store, random.Random(3)).cache
        cache.event_lag_seconds = 2.0
        cache.gap_rate = 0.5
        cache.access(tuple(range(1, 51)))
        self.assertEqual((), cache.events(0, 'i').events)
        anyio.run(time.advance, 2.0)
        numbers = [event.sequence for event in cache.events(0, 'i').events]
        self.assertEqual(sorted(numbers), numbers)
        self.assertLess(len(numbers), 50)

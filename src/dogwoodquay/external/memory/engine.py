"""A fake model engine with memory, orders, batching, cache and answers."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import random
import typing

import expression

from .. import api
from .. import errors
from .. import prefix
from . import answer
from . import batch
from . import cache
from . import completion
from . import faults
from . import residency
from . import timeline
from . import weights

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['EngineProfile', 'FakeEngine']

_ORDER_FAULTS: typing.Final = frozenset(
    {
        faults.CallFault.REFUSE,
        faults.CallFault.UNAVAILABLE,
        faults.CallFault.LOSE_CALL,
        faults.CallFault.LOSE_ANSWER,
        faults.CallFault.LATE,
        faults.CallFault.DUPLICATE,
    }
)
_RESUMABLE_SECONDS: typing.Final = 60.0
_ARTIFACT_HEADER: typing.Final = 'x-artifact'


class EngineProfile(typing.NamedTuple):
    """The configuration of a fake engine.

    ``fencing``: whether orders with a lower fencing token are refused.
    ``forgets_fence``: whether a restart resets the fencing token to zero.
    ``lists_loading``: whether the state includes loads in progress.
    """

    server_id: str
    capacity_bytes: int
    fencing: bool = True
    forgets_fence: bool = False
    lists_loading: bool = True
    cache_blocks: int = 4096
    throughput: batch.Throughput = batch.Throughput()


@dataclasses.dataclass(slots=True)
class _Generation:
    """The generated tokens of an attempt, kept so that it can be resumed."""

    attempt_id: str
    artifact: str
    chat: bool
    words: list[str]
    prompt_tokens: int
    expires_at: float
    cancelled: bool = False


class FakeEngine:
    """A fake engine; a restart empties it and changes its incarnation."""

    def __init__(
        self,
        profile: EngineProfile,
        time: timeline.Timeline,
        store: weights.MemoryWeightStore,
        rng: random.Random,
    ) -> None:
        self.profile = profile
        self.order_faults = faults.Faults()
        self.serve_faults = faults.Faults()
        self.alive = True
        self.runs: collections.Counter[str] = collections.Counter()
        self.memory = residency.Residency(
            time, store, profile.capacity_bytes, profile.fencing
        )
        self.cache = cache.PrefixCache(time, rng, profile.cache_blocks)
        self.batch = batch.Batch(time, profile.throughput)
        self._time = time
        self._rng = rng
        self._process_number = 0
        self._generations: dict[str, _Generation] = {}
        self._start_process()

    @property
    def memory_violations(self) -> int:
        """The number of loads that exceeded the capacity."""
        return self.memory.memory_violations

    def kill(self) -> None:
        """End the process: open answers break and new calls fail."""
        self.alive = False
        self._process_number += 1
        self.memory.changed.notify()

    def restart(self) -> None:
        """Start a new process with empty memory."""
        self.kill()
        self.alive = True
        self._generations.clear()
        self.cache.clear()
        self._start_process()

    def state(self) -> api.EngineState:
        """Return the state as this kind of engine reports it."""
        artifacts = tuple(
            api.ArtifactState(
                resident.artifact,
                resident.memory_bytes,
                resident.ready_at == 0.0,
                resident.order_id,
                resident.unloading,
            )
            for resident in self.memory.residents
            if resident.ready_at == 0.0 or self.profile.lists_loading
        )
        return api.EngineState(
            incarnation=self.memory.incarnation,
            highest_fence=self.memory.highest_fence,
            capacity_bytes=self.profile.capacity_bytes,
            artifacts=artifacts,
            load=self.load(),
            role=self.memory.role,
            lists_loading=self.profile.lists_loading,
        )

    def load(self) -> api.LoadReport:
        """Return the load report, delayed by ``batch.load_lag_seconds``."""
        return self.batch.report(self.cache.used_fraction)

    def raise_fence(
        self, fence: int
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Raise the fencing token and return the state."""
        stale = self.memory.raise_fence(fence)
        if stale is not None:
            return expression.Error(stale)
        return expression.Ok(self.state())

    async def order(
        self, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Carry out an order and return the state after it is done."""
        fault = self.order_faults.draw(self._rng, _ORDER_FAULTS)
        if fault is None:
            return await self._execute(order, deadline)
        return await self._faulty_order(fault, order, deadline)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; an unknown one is ignored."""
        found = self._generations.get(attempt_id)
        if found is not None:
            found.cancelled = True

    @contextlib.asynccontextmanager
    async def open(
        self, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Serve a request; leaving the context ends it."""
        fault = self.serve_faults.draw(self._rng, answer.SERVE_FAULTS)
        error = answer.injected_error(fault) if fault is not None else None
        answer_lost = fault and fault.kind is faults.CallFault.LOSE_ANSWER
        if error is not None and not answer_lost:
            yield expression.Error(error)
            return
        if fault is not None and fault.kind is faults.CallFault.LATE:
            due = self._time.now() + fault.delay
            await timeline.sleep_until(self._time, due)
        async with self._serve(call) as served:
            if error is not None:
                yield expression.Error(error)
            elif fault is None or served.is_error():
                yield served
            else:
                yield expression.Ok(self._apply_fault(fault, call, served.ok))

    async def _faulty_order(
        self, fault: faults.InjectedFault, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        match fault.kind:
            case faults.CallFault.REFUSE:
                return expression.Error(api.Refused('injected'))
            case faults.CallFault.LOSE_ANSWER:
                self.memory.apply(order)
            case faults.CallFault.LATE:
                self.memory.delay(order, self._time.now() + fault.delay)
            case faults.CallFault.DUPLICATE:
                self.memory.delay(order, self._time.now() + fault.delay)
                return await self._execute(order, deadline)
            case faults.CallFault.LOSE_CALL:
                pass
            case _:
                return expression.Error(api.Unavailable('injected'))
        return expression.Error(api.Ambiguous(fault.kind.value))

    async def _execute(
        self, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        outcome = self.memory.apply(order)
        if outcome.error is not None:
            return expression.Error(outcome.error)
        process_number = self._process_number
        while not self.memory.is_done(order):
            if self._time.now() >= deadline:
                return expression.Error(api.Ambiguous('timeout'))
            due = min(deadline, self.memory.next_change())
            await self.memory.changed.wait(self._time, due)
            if self._process_number != process_number:
                return expression.Error(api.Ambiguous('connection'))
        return expression.Ok(self.state())

    @contextlib.asynccontextmanager
    async def _serve(
        self, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        request = completion.parse(call.body)
        path = call.path.partition('?')[0]
        known_path = path in (completion.CHAT_PATH, completion.COMPLETION_PATH)
        if request is None or not known_path:
            status = 400 if known_path else 404
            yield expression.Ok(
                answer.error_answer(call, status, 'bad request')
            )
            return
        target = dict(call.headers).get(_ARTIFACT_HEADER, request.model)
        resident = self.memory.find(target)
        if resident is None:
            yield expression.Error(api.Refused('not_resident'))
            return
        if call.resume_after >= 0 and call.attempt_id not in self._generations:
            yield expression.Error(api.Refused('unknown_attempt'))
            return
        self.memory.acquire(resident)
        try:
            async with self._batch_slot(call) as error:
                if error is not None:
                    yield expression.Error(error)
                    return
                yield expression.Ok(
                    await self._generate(call, request, resident)
                )
        finally:
            self.memory.release(resident)

    @contextlib.asynccontextmanager
    async def _batch_slot(
        self, call: api.UpstreamCall
    ) -> abc.AsyncIterator[api.EngineError | None]:
        """Hold a slot of the batch; yield an error if none is available."""
        process_number = self._process_number
        if not await self.batch.acquire_slot(call.priority, call.deadline):
            yield api.Refused('deadline')
            return
        try:
            if self._process_number != process_number:
                yield api.Ambiguous('connection')
            elif self._time.now() >= call.deadline:
                yield api.Refused('deadline')
            else:
                yield None
        finally:
            self.batch.release_slot()

    async def _generate(
        self,
        call: api.UpstreamCall,
        request: completion.CompletionRequest,
        resident: residency.Resident,
    ) -> answer.MemoryAnswer:
        generation = self._generations.get(call.attempt_id)
        if generation is None or call.resume_after < 0:
            generation = await self._start_generation(call, request, resident)
        if request.stream:
            chunks = self._stream_body(generation, call.resume_after + 1)
            return answer.MemoryAnswer(
                200, answer.SSE, call.attempt_id, chunks
            )
        body = self._complete_body(generation)
        return answer.MemoryAnswer(200, answer.JSON, call.attempt_id, body)

    async def _start_generation(
        self,
        call: api.UpstreamCall,
        request: completion.CompletionRequest,
        resident: residency.Resident,
    ) -> _Generation:
        """Process the prompt and keep the generation for a resume."""
        self.runs[call.attempt_id] += 1
        prompt = completion.prompt_bytes(request)
        tokens = completion.prompt_tokens(request, prompt)
        hashes = prefix.prefix_hashes(resident.artifact, prompt)
        cached = self.cache.access(hashes) // completion.BYTES_PER_TOKEN
        await self.batch.prefill(max(0, tokens - cached))
        limit = request.token_limit
        generation = _Generation(
            call.attempt_id,
            resident.artifact,
            call.path.startswith(completion.CHAT_PATH),
            completion.answer_words(resident.artifact, prompt, limit),
            tokens,
            self._time.now() + _RESUMABLE_SECONDS,
        )
        self._remove_expired()
        self._generations[call.attempt_id] = generation
        return generation

    async def _stream_body(
        self, generation: _Generation, first: int
    ) -> abc.AsyncIterator[bytes]:
        process_number = self._process_number
        for number in range(first, len(generation.words)):
            await self._decode(generation, process_number, 1)
            yield completion.stream_event(
                number,
                generation.attempt_id,
                generation.artifact,
                generation.chat,
                generation.words[number],
            )
        yield b'id: %d\ndata: [DONE]\n\n' % len(generation.words)

    async def _complete_body(
        self, generation: _Generation
    ) -> abc.AsyncIterator[bytes]:
        process_number = self._process_number
        await self._decode(generation, process_number, len(generation.words))
        yield completion.complete_answer(
            generation.attempt_id,
            generation.artifact,
            generation.chat,
            generation.words,
            generation.prompt_tokens,
        )

    async def _decode(
        self, generation: _Generation, process_number: int, tokens: int
    ) -> None:
        await self.batch.decode(tokens)
        if self._process_number != process_number:
            raise errors.UpstreamBroken('connection')
        if generation.cancelled:
            raise errors.UpstreamBroken('cancelled')

    def _apply_fault(
        self,
        fault: faults.InjectedFault,
        call: api.UpstreamCall,
        served: api.UpstreamAnswer,
    ) -> api.UpstreamAnswer:
        match fault.kind:
            case faults.CallFault.CROSS:
                return answer.crossed_answer(call)
            case faults.CallFault.BREAK:
                chunks = answer.broken_after(
                    served.__aiter__(), fault.after_chunks
                )
                return answer.MemoryAnswer(
                    served.status, served.headers, call.attempt_id, chunks
                )
            case _:
                return served

    def _remove_expired(self) -> None:
        now = self._time.now()
        for attempt_id in list(self._generations):
            if self._generations[attempt_id].expires_at > now:
                break
            del self._generations[attempt_id]

    def _start_process(self) -> None:
        incarnation = f'{self.profile.server_id}-{self._process_number}'
        self.memory.restart(incarnation, self.profile.forgets_fence)

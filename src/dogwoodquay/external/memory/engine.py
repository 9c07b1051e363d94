"""A fake model engine: memory, orders, batching, cache and answers."""

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

__all__ = ['EngineModel', 'EngineProfile']

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
_RESUME_SECONDS: typing.Final = 60.0
_ARTIFACT_HEADER: typing.Final = 'x-artifact'


class EngineProfile(typing.NamedTuple):
    """What kind of engine this is.

    ``fencing`` engines refuse orders with an old number. ``forgets_fence``
    engines begin again at zero when they restart. Engines that do not
    ``list_loading`` leave loads in progress out of their state.
    """

    server_id: str
    capacity_bytes: int
    fencing: bool = True
    forgets_fence: bool = False
    lists_loading: bool = True
    cache_blocks: int = 4096
    pace: batch.Pace = batch.Pace()


@dataclasses.dataclass(slots=True)
class _Generation:
    """One attempt's work, kept for a while so that it can be resumed."""

    attempt_id: str
    artifact: str
    chat: bool
    words: list[str]
    prompt_tokens: int
    expires_at: float
    cancelled: bool = False


class EngineModel:
    """One engine; a restart empties it and changes its incarnation."""

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
        self.batch = batch.Batch(time, profile.pace)
        self._time = time
        self._rng = rng
        self._process = 0
        self._generations: dict[str, _Generation] = {}
        self._name_process()

    @property
    def memory_violations(self) -> int:
        """How often a load took the contents above the capacity."""
        return self.memory.memory_violations

    def kill(self) -> None:
        """End the process: open answers break, new calls fail."""
        self.alive = False
        self._process += 1
        self.memory.changed.notify()

    def restart(self) -> None:
        """Begin a new, empty process."""
        self.kill()
        self.alive = True
        self._generations.clear()
        self.cache.clear()
        self._name_process()

    def state(self) -> api.EngineState:
        """Return the contents as this engine tells them."""
        artifacts = tuple(
            api.ArtifactState(
                held.artifact,
                held.memory_bytes,
                held.ready_at == 0.0,
                held.order_id,
                held.unloading,
            )
            for held in self.memory.residents
            if held.ready_at == 0.0 or self.profile.lists_loading
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
        """Return the lagging report of the load."""
        return self.batch.report(self.cache.used)

    def teach(
        self, fence: int
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Learn a fencing number and return the state."""
        stale = self.memory.teach(fence)
        if stale is not None:
            return expression.Error(stale)
        return expression.Ok(self.state())

    async def order(
        self, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        """Take an order and answer when it is done."""
        fault = self.order_faults.draw(self._rng, _ORDER_FAULTS)
        if fault is None:
            return await self._carry_out(order, deadline)
        return await self._faulty_order(fault, order, deadline)

    def cancel(self, attempt_id: str) -> None:
        """Stop the work for one attempt; unknown attempts are ignored."""
        found = self._generations.get(attempt_id)
        if found is not None:
            found.cancelled = True

    @contextlib.asynccontextmanager
    async def open(
        self, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Serve one request; leaving the context ends its work."""
        fault = self.serve_faults.draw(self._rng, answer.SERVE_FAULTS)
        error = answer.call_error(fault) if fault is not None else None
        ran = fault and fault.kind is faults.CallFault.LOSE_ANSWER
        if error is not None and not ran:
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
                yield expression.Ok(self._distort(fault, call, served.ok))

    async def _faulty_order(
        self, fault: faults.Injected, order: api.Order, deadline: float
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
                return await self._carry_out(order, deadline)
            case faults.CallFault.LOSE_CALL:
                pass
            case _:
                return expression.Error(api.Unavailable('injected'))
        return expression.Error(api.Ambiguous(fault.kind.value))

    async def _carry_out(
        self, order: api.Order, deadline: float
    ) -> expression.Result[api.EngineState, api.EngineError]:
        outcome = self.memory.apply(order)
        if outcome.error is not None:
            return expression.Error(outcome.error)
        process = self._process
        while not self.memory.is_done(order):
            if self._time.now() >= deadline:
                return expression.Error(api.Ambiguous('timeout'))
            due = min(deadline, self.memory.next_change())
            await self.memory.changed.wait(self._time, due)
            if self._process != process:
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
        known = path in (completion.CHAT_PATH, completion.COMPLETION_PATH)
        if request is None or not known:
            status = 400 if known else 404
            yield expression.Ok(answer.problem(call, status, 'bad request'))
            return
        target = dict(call.headers).get(_ARTIFACT_HEADER, request.model)
        held = self.memory.find(target)
        if held is None:
            yield expression.Error(api.Refused('not_resident'))
            return
        if call.resume_after >= 0 and call.attempt_id not in self._generations:
            yield expression.Error(api.Refused('unknown_attempt'))
            return
        self.memory.acquire(held)
        try:
            async with self._place(call) as error:
                if error is not None:
                    yield expression.Error(error)
                    return
                yield expression.Ok(await self._run(call, request, held))
        finally:
            self.memory.release(held)

    @contextlib.asynccontextmanager
    async def _place(
        self, call: api.UpstreamCall
    ) -> abc.AsyncIterator[api.EngineError | None]:
        """Hold a place in the batch."""
        process = self._process
        if not await self.batch.enter(call.priority, call.deadline):
            yield api.Refused('deadline')
            return
        try:
            if self._process != process:
                yield api.Ambiguous('connection')
            elif self._time.now() >= call.deadline:
                yield api.Refused('deadline')
            else:
                yield None
        finally:
            self.batch.leave()

    async def _run(
        self,
        call: api.UpstreamCall,
        request: completion.CompletionRequest,
        held: residency.Resident,
    ) -> answer.MemoryAnswer:
        work = self._generations.get(call.attempt_id)
        if work is None or call.resume_after < 0:
            work = await self._start(call, request, held)
        if request.stream:
            chunks = self._stream(work, call.resume_after + 1)
            return answer.MemoryAnswer(
                200, answer.SSE, call.attempt_id, chunks
            )
        body = self._whole(work)
        return answer.MemoryAnswer(200, answer.JSON, call.attempt_id, body)

    async def _start(
        self,
        call: api.UpstreamCall,
        request: completion.CompletionRequest,
        held: residency.Resident,
    ) -> _Generation:
        """Do the prompt's work and keep the generation for a resume."""
        self.runs[call.attempt_id] += 1
        prompt = completion.prompt_bytes(request)
        tokens = completion.prompt_tokens(request, prompt)
        hashes = prefix.prefix_hashes(held.artifact, prompt)
        cached = self.cache.use(hashes) // completion.BYTES_PER_TOKEN
        await self.batch.prefill(max(0, tokens - cached))
        limit = request.token_limit
        work = _Generation(
            call.attempt_id,
            held.artifact,
            call.path.startswith(completion.CHAT_PATH),
            completion.answer_words(held.artifact, prompt, limit),
            tokens,
            self._time.now() + _RESUME_SECONDS,
        )
        self._forget_old()
        self._generations[call.attempt_id] = work
        return work

    async def _stream(
        self, work: _Generation, first: int
    ) -> abc.AsyncIterator[bytes]:
        process = self._process
        for number in range(first, len(work.words)):
            await self._decode(work, process, 1)
            yield completion.stream_event(
                number,
                work.attempt_id,
                work.artifact,
                work.chat,
                work.words[number],
            )
        yield b'id: %d\ndata: [DONE]\n\n' % len(work.words)

    async def _whole(self, work: _Generation) -> abc.AsyncIterator[bytes]:
        process = self._process
        await self._decode(work, process, len(work.words))
        yield completion.whole_answer(
            work.attempt_id,
            work.artifact,
            work.chat,
            work.words,
            work.prompt_tokens,
        )

    async def _decode(
        self, work: _Generation, process: int, tokens: int
    ) -> None:
        await self.batch.decode(tokens)
        if self._process != process:
            raise errors.UpstreamBroken('connection')
        if work.cancelled:
            raise errors.UpstreamBroken('cancelled')

    def _distort(
        self,
        fault: faults.Injected,
        call: api.UpstreamCall,
        served: api.UpstreamAnswer,
    ) -> api.UpstreamAnswer:
        match fault.kind:
            case faults.CallFault.CROSS:
                return answer.crossed(call)
            case faults.CallFault.BREAK:
                chunks = answer.broken_after(
                    served.__aiter__(), fault.after_chunks
                )
                return answer.MemoryAnswer(
                    served.status, served.headers, call.attempt_id, chunks
                )
            case _:
                return served

    def _forget_old(self) -> None:
        now = self._time.now()
        for attempt_id in list(self._generations):
            if self._generations[attempt_id].expires_at > now:
                break
            del self._generations[attempt_id]

    def _name_process(self) -> None:
        incarnation = f'{self.profile.server_id}-{self._process}'
        self.memory.restart(incarnation, self.profile.forgets_fence)

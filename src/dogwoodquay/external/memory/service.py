"""A fake plain service that counts the runs of each request."""

from __future__ import annotations

import collections
import contextlib
import random
import typing

import expression
import msgspec
import xxhash

from .. import api
from . import answer
from . import faults
from . import timeline

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Echo', 'FakeService', 'RunCounter']

_ENCODER: typing.Final = msgspec.json.Encoder()


class Echo(msgspec.Struct, frozen=True):
    """The answer of the fake service: the request and the number of its run.

    ``body_digest`` is the XXH3-64 of the request's body in hexadecimal.
    """

    service: str
    server_id: str
    method: str
    path: str
    body_digest: str
    run: int


class RunCounter:
    """Counts the runs of each request on all servers.

    Requests are equal if their method, path and body are.
    """

    def __init__(self) -> None:
        self.runs: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    @property
    def repeated(self) -> int:
        """The number of distinct requests that ran more than once."""
        return sum(count > 1 for count in self.runs.values())

    def count_run(self, method: str, path: str, digest: str) -> int:
        """Count a run of a request and return the number of its runs."""
        self.runs[method, path, digest] += 1
        return self.runs[method, path, digest]


class FakeService:
    """A server of a fake plain service."""

    def __init__(
        self,
        service: str,
        server_id: str,
        time: timeline.Timeline,
        rng: random.Random,
        run_counter: RunCounter,
        work_seconds: float = 0.0,
    ) -> None:
        self.serve_faults = faults.Faults()
        self.alive = True
        self.running = 0
        self.server_id = server_id
        self.run_counter = run_counter
        self.service = service
        self._time = time
        self._rng = rng
        self._work_seconds = work_seconds

    def kill(self) -> None:
        """End the process; new calls fail."""
        self.alive = False

    def restart(self) -> None:
        """Start a new process."""
        self.alive = True

    def load(self) -> api.LoadReport:
        """Return the current load."""
        return api.LoadReport(self._time.now(), self.running, 0, 0.0, 0.0)

    @contextlib.asynccontextmanager
    async def open(
        self, call: api.UpstreamCall
    ) -> abc.AsyncIterator[
        expression.Result[api.UpstreamAnswer, api.EngineError]
    ]:
        """Serve a request."""
        if self._time.now() >= call.deadline:
            yield expression.Error(api.Refused('deadline'))
            return
        fault = self.serve_faults.draw(self._rng, answer.SERVE_FAULTS)
        error = answer.injected_error(fault) if fault is not None else None
        answer_lost = fault and fault.kind is faults.CallFault.LOSE_ANSWER
        if error is not None and not answer_lost:
            yield expression.Error(error)
            return
        self.running += 1
        try:
            body = await self._run(call, fault)
            if error is not None:
                yield expression.Error(error)
                return
            yield expression.Ok(self._answer(call, body, fault))
        finally:
            self.running -= 1

    async def _run(
        self, call: api.UpstreamCall, fault: faults.InjectedFault | None
    ) -> bytes:
        """Run a request and return the body of the answer."""
        digest = xxhash.xxh3_64_hexdigest(call.body)
        run = self.run_counter.count_run(call.method, call.path, digest)
        due = self._time.now() + self._work_seconds
        if fault is not None and fault.kind is faults.CallFault.LATE:
            due += fault.delay
        await timeline.sleep_until(self._time, due)
        return _ENCODER.encode(
            Echo(
                self.service,
                self.server_id,
                call.method,
                call.path,
                digest,
                run,
            )
        )

    def _answer(
        self,
        call: api.UpstreamCall,
        body: bytes,
        fault: faults.InjectedFault | None,
    ) -> api.UpstreamAnswer:
        chunks = answer.single_chunk(body)
        if fault is not None and fault.kind is faults.CallFault.CROSS:
            return answer.crossed_answer(call)
        if fault is not None and fault.kind is faults.CallFault.BREAK:
            chunks = answer.broken_after(answer.single_chunk(body), 0)
        return answer.MemoryAnswer(200, answer.JSON, call.attempt_id, chunks)

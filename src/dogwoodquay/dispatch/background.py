"""Work that no answer waits for, bounded in number and time."""

from __future__ import annotations

import typing

import anyio

from ..observe import logs

__all__ = ['Background', 'Job']

MAX_JOBS: typing.Final = 1024

_LOG: typing.Final = logs.PartLog('dispatch')

Job = typing.Callable[[], typing.Awaitable[None]]


class Background:
    """Runs jobs beside the requests; drops them with a log line when full."""

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[Job](
            MAX_JOBS
        )
        self._running = 0

    @property
    def pending(self) -> int:
        """How many jobs wait or run."""
        return self._receive.statistics().current_buffer_used + self._running

    def add(self, job: Job) -> None:
        """Run a job soon."""
        if self._running >= MAX_JOBS:
            _LOG.write('background_full', limit=MAX_JOBS)
            return
        try:
            self._send.send_nowait(job)
        except anyio.WouldBlock:
            _LOG.write('background_full', limit=MAX_JOBS)

    async def run(self) -> None:
        """Start jobs as they come, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                job = await self._receive.receive()
                self._running += 1
                group.start_soon(self._run_job, job)

    async def _run_job(self, job: Job) -> None:
        try:
            await job()
        except Exception as error:
            _LOG.failure('background', error)
        finally:
            self._running -= 1

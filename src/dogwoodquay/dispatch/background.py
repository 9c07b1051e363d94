"""A bounded number of background jobs."""

from __future__ import annotations

import typing

import anyio

from ..observe import logs

if typing.TYPE_CHECKING:
    import anyio.abc

__all__ = ['Background', 'Job']

MAX_JOBS: typing.Final = 2048

_LOG: typing.Final = logs.ComponentLog('dispatch')

Job = typing.Callable[[], typing.Awaitable[None]]


class Background:
    """Runs jobs in the background; logs and drops a job at the limit."""

    def __init__(self) -> None:
        self._group: anyio.abc.TaskGroup | None = None
        self._waiting: list[Job] = []
        self._running = 0

    @property
    def pending(self) -> int:
        """The number of waiting and running jobs."""
        return len(self._waiting) + self._running

    def add(self, job: Job) -> None:
        """Start a job, or queue it until ``run`` is called."""
        if self.pending >= MAX_JOBS:
            _LOG.write('background_full', limit=MAX_JOBS)
        elif self._group is None:
            self._waiting.append(job)
        else:
            self._start(self._group, job)

    async def run(self) -> None:
        """Run jobs until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            waiting, self._waiting = self._waiting, []
            for job in waiting:
                self._start(group, job)
            try:
                await anyio.sleep_forever()
            finally:
                self._group = None

    def _start(self, group: anyio.abc.TaskGroup, job: Job) -> None:
        self._running += 1
        group.start_soon(self._run_job, job)

    async def _run_job(self, job: Job) -> None:
        try:
            await job()
        except Exception as error:
            _LOG.failure('background', error)
        finally:
            self._running -= 1

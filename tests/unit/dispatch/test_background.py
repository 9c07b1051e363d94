"""Tests of background jobs."""

from __future__ import annotations

import unittest

import anyio
import anyio.lowlevel

from dogwoodquay.dispatch import background

JOBS = 200


class BackgroundTest(unittest.TestCase):
    """Many jobs run at once, up to a limit."""

    def test_many_jobs_end_within_few_loop_iterations(self) -> None:
        done: list[int] = []

        async def job() -> None:
            done.append(1)

        async def failing() -> None:
            raise ValueError('lost')

        async def main() -> None:
            jobs = background.Background()
            jobs.add(job)
            async with anyio.create_task_group() as group:
                group.start_soon(jobs.run)
                await anyio.lowlevel.checkpoint()
                jobs.add(failing)
                for _ in range(JOBS):
                    jobs.add(job)
                for _ in range(3):
                    await anyio.lowlevel.checkpoint()
                self.assertEqual(len(done), JOBS + 1)
                self.assertEqual(jobs.pending, 0)
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_limit(self) -> None:
        async def job() -> None:
            pass

        jobs = background.Background()
        for _ in range(background.MAX_JOBS + 5):
            jobs.add(job)
        self.assertEqual(jobs.pending, background.MAX_JOBS)

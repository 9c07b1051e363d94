"""Finds other servers for attempts whose servers have fallen silent."""

from __future__ import annotations

import typing

import anyio

from ..observe import logs
from . import patience

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import attempt as attempts
    from ..fleet import server as servers
    from . import scheduler as schedulers

__all__ = ['SilenceWatch']

_LOG: typing.Final = logs.ComponentLog('request')

# Interval at which the attempts are checked.
CHECK_SECONDS: typing.Final = 0.05
# Delay before a spent retry budget is asked again.
BUDGET_RETRY_SECONDS: typing.Final = 0.1


class SilenceWatch:
    """Secures a successor for each attempt whose server is silent.

    A silent server may be sound and go on. The attempt therefore runs until
    another healthy server has reserved capacity for the request and the retry
    limits allow it; without a successor it runs to its deadline.
    """

    def __init__(
        self, scheduler: schedulers.Scheduler, clock: clocks.Clock
    ) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._attempts: set[attempts.Attempt] = set()

    def add(self, attempt: attempts.Attempt) -> None:
        """Watch an attempt until ``discard``."""
        self._attempts.add(attempt)

    def discard(self, attempt: attempts.Attempt) -> None:
        """Stop watching an attempt and searching for its successor."""
        self._attempts.discard(attempt)
        attempt.end_search()

    def expedite(self, servers: abc.Container[str]) -> None:
        """Look for successors of the attempts at some servers now."""
        now = self._clock.now()
        for attempt in self._attempts:
            if attempt.server.entry.server_id in servers:
                attempt.expedite(now)

    async def run(self) -> None:
        """Check the attempts at intervals until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(CHECK_SECONDS)
                now = self._clock.now()
                for attempt in self._attempts:
                    if attempt.is_overdue(now):
                        scope = anyio.CancelScope()
                        attempt.begin_search(scope)
                        group.start_soon(self._search, attempt, scope)

    async def _search(
        self, attempt: attempts.Attempt, scope: anyio.CancelScope
    ) -> None:
        """Search for a successor until one is found or the search ends."""
        self._record_silent(attempt)
        successor = None
        try:
            with scope:
                successor = await self._secure(attempt)
            attempt.search_ended()
        except BaseException:
            attempt.search_ended()
            attempt.search_failed(self._clock.now())
            raise
        if successor is None:
            return
        if scope.cancel_called:
            # The server has gone on, or the attempt has ended.
            attempt.retries.return_move()
            self._scheduler.release(attempt.call, successor, False)
        else:
            attempt.hand_over(successor)

    def _record_silent(self, attempt: attempts.Attempt) -> None:
        """Log a silence, and count it as a failure if it is one.

        A server that is slow to begin its answer is not a failing one where
        the request can run nowhere else.
        """
        now = self._clock.now()
        server = attempt.server
        failing = attempt.started or attempt.retry_allowed
        ejected = failing and server.failed(now)
        _LOG.write(
            'server_silent',
            request=attempt.call.request_id,
            server=server.entry.server_id,
            seconds=round(attempt.silence(now), 3),
            started=attempt.started,
            ejected=ejected,
        )

    async def _secure(
        self, attempt: attempts.Attempt
    ) -> servers.Server | None:
        """Return another server, with an attempt and a retry taken for it."""
        call, retries = attempt.call, attempt.retries
        deadline = patience.successor_deadline(call, self._clock.now())
        while attempt.retry_allowed and self._clock.now() < deadline:
            if not retries.budget_left(self._clock.now()):
                await anyio.sleep(BUDGET_RETRY_SECONDS)
                continue
            server = await self._scheduler.acquire_successor(
                call, attempt.avoid, deadline, attempt.required_version
            )
            if server is None:
                return None
            if retries.take_move(self._clock.now()):
                return server
            self._scheduler.release(call, server, False)
        return None

"""Suspends requests until admission admits or rejects them."""

from __future__ import annotations

import typing

import anyio

from ..admission import api as admission_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clock_module

__all__ = ['Gate']

MAX_TICK_INTERVAL_SECONDS: typing.Final = 0.25
MIN_TICK_INTERVAL_SECONDS: typing.Final = 0.001

_Decision = admission_api.Admitted | admission_api.Rejected


class _Waiter:
    """A queued request that waits for its decision."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._decision: _Decision | None = None

    def decide(self, decision: _Decision) -> None:
        self._decision = decision
        self._event.set()

    async def wait(self) -> _Decision | None:
        await self._event.wait()
        return self._decision


class Gate:
    """Offers requests to admission and suspends the queued ones."""

    def __init__(
        self, admission: admission_api.Admission, clock: clock_module.Clock
    ) -> None:
        self._admission = admission
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}

    @property
    def waiting(self) -> int:
        """The number of queued requests."""
        return len(self._waiters)

    async def enter(
        self, ticket: admission_api.Ticket
    ) -> admission_api.Rejected | None:
        """Wait until a request is admitted or rejected.

        An admitted request has to call ``leave`` when it ends.

        :return: the rejection, or ``None`` when the request is admitted.
        """
        match self._admission.offer(ticket, self._clock.now()):
            case admission_api.Admitted():
                return None
            case admission_api.Rejected() as rejected:
                return rejected
            case admission_api.Queued():
                return await self._wait(ticket.request_id)

    def leave(self, request_id: str) -> None:
        """Release the slot of a request and wake the next requests."""
        self._apply(self._admission.release(request_id, self._clock.now()))

    def tick(self) -> None:
        """Admit or reject the queued requests that are due."""
        self._apply(self._admission.tick(self._clock.now()))

    async def run(self) -> None:
        """Call ``tick`` whenever a decision of admission is due."""
        while True:
            pause = self._admission.next_due() - self._clock.now()
            pause = min(
                max(pause, MIN_TICK_INTERVAL_SECONDS),
                MAX_TICK_INTERVAL_SECONDS,
            )
            await anyio.sleep(pause)
            self.tick()

    async def _wait(self, request_id: str) -> admission_api.Rejected | None:
        waiter = _Waiter()
        self._waiters[request_id] = waiter
        admitted = False
        try:
            decision = await waiter.wait()
            admitted = True
        finally:
            self._waiters.pop(request_id, None)
            if not admitted:
                self.leave(request_id)
        if isinstance(decision, admission_api.Rejected):
            return decision
        return None

    def _apply(self, decisions: abc.Iterable[_Decision]) -> None:
        for decision in decisions:
            waiter = self._waiters.pop(decision.request_id, None)
            if waiter is not None:
                waiter.decide(decision)

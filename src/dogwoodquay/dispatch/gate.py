"""The waiting room before admission: wakes what a later step releases."""

from __future__ import annotations

import typing

import anyio

from ..admission import api as admission_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clock_module

__all__ = ['Gate']

MAX_TICK_SECONDS: typing.Final = 0.25
MIN_TICK_SECONDS: typing.Final = 0.001

_Effect = admission_api.Admitted | admission_api.Rejected


class _Waiter:
    """One queued request."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._effect: _Effect | None = None

    def decide(self, effect: _Effect) -> None:
        self._effect = effect
        self._event.set()

    async def wait(self) -> _Effect | None:
        await self._event.wait()
        return self._effect


class Gate:
    """Asks admission and parks what it queues."""

    def __init__(
        self, admission: admission_api.Admission, clock: clock_module.Clock
    ) -> None:
        self._admission = admission
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}

    @property
    def waiting(self) -> int:
        """How many requests are queued."""
        return len(self._waiters)

    async def enter(
        self, ticket: admission_api.Ticket
    ) -> admission_api.Rejected | None:
        """Wait until a request may run; ``None`` lets it in.

        A request that was let in has to leave again.
        """
        match self._admission.offer(ticket, self._clock.now()):
            case admission_api.Admitted():
                return None
            case admission_api.Rejected() as rejected:
                return rejected
            case admission_api.Queued():
                return await self._wait(ticket.request_id)

    def leave(self, request_id: str) -> None:
        """Give the place of a request back and wake the next ones."""
        self._apply(self._admission.release(request_id, self._clock.now()))

    def tick(self) -> None:
        """Release or reject what waits, by the present time."""
        self._apply(self._admission.tick(self._clock.now()))

    async def run(self) -> None:
        """Tick whenever admission has something to do."""
        while True:
            pause = self._admission.next_due() - self._clock.now()
            pause = min(max(pause, MIN_TICK_SECONDS), MAX_TICK_SECONDS)
            await anyio.sleep(pause)
            self.tick()

    async def _wait(self, request_id: str) -> admission_api.Rejected | None:
        waiter = _Waiter()
        self._waiters[request_id] = waiter
        admitted = False
        try:
            effect = await waiter.wait()
            admitted = True
        finally:
            self._waiters.pop(request_id, None)
            if not admitted:
                self.leave(request_id)
        if isinstance(effect, admission_api.Rejected):
            return effect
        return None

    def _apply(self, effects: abc.Iterable[_Effect]) -> None:
        for effect in effects:
            waiter = self._waiters.pop(effect.request_id, None)
            if waiter is not None:
                waiter.decide(effect)

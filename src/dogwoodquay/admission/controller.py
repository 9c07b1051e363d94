"""Admission with per-caller shares and bounded, ordered queues."""

from __future__ import annotations

import math
import typing

from . import api
from . import callers
from . import queue

if typing.TYPE_CHECKING:
    from ..records import api as records_api

__all__ = ['AdmissionSettings', 'FairAdmission']

_NOW: typing.Final = 0.0
_RECORD_SECONDS: typing.Final = 5.0


class AdmissionSettings(typing.NamedTuple):
    """Bounds of the queues and limits of one instance."""

    queue: queue.QueueSettings = queue.QueueSettings()
    limits: callers.LimitSettings = callers.LimitSettings()


class _Running(typing.NamedTuple):
    """An admitted request."""

    waiting: queue.Waiting
    since: float


class FairAdmission:
    """Decides who goes when; see ``api.Admission``.

    ``offer`` may displace a queued request: ``next_due`` is then in the
    past, and ``tick`` returns the refusal. An artifact without a call to
    ``set_capacity`` has the default number of slots.
    """

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        self._limits: dict[str, callers.CallerLimits] = {}
        self._queues: dict[str, queue.ArtifactQueue] = {}
        self._queued: dict[str, queue.Waiting] = {}
        self._running: dict[str, _Running] = {}
        self._refused: list[api.Rejected] = []
        self._changed: set[str] = set()

    def update_catalog(self, catalog: records_api.Catalog, now: float) -> None:
        """Take in callers' limits."""
        for name, caller in catalog.callers.items():
            limits = self._limits.get(name)
            if limits is None:
                self._limits[name] = callers.CallerLimits(
                    caller, self._settings.limits, now
                )
            else:
                limits.update(caller)
        for name in [n for n in self._limits if n not in catalog.callers]:
            del self._limits[name]

    def set_capacity(
        self, artifact: str, slots: int, first_token_seconds: float
    ) -> None:
        """Set how many requests an artifact can run here at a time."""
        target = self._queue(artifact)
        target.slots = slots
        target.first_token_seconds = first_token_seconds
        if len(target):
            self._changed.add(artifact)

    def set_share(self, caller: str, share: float) -> None:
        """Set this instance's share, 0 to 1, of a caller's allowance."""
        limits = self._limits.get(caller)
        if limits is not None:
            limits.set_share(share)

    def offer(
        self, ticket: api.Ticket, now: float
    ) -> api.Admitted | api.Queued | api.Rejected:
        """Decide on a new request."""
        limits = self._limits.get(ticket.caller)
        if limits is None:
            retry_at = now + _RECORD_SECONDS
            return api.Rejected(ticket.request_id, 'unknown_caller', retry_at)
        if ticket.deadline <= now:
            return api.Rejected(ticket.request_id, 'deadline_passed', now)
        exceeded = limits.exceeded(now)
        if exceeded is not None:
            return api.Rejected(
                ticket.request_id, exceeded.reason, exceeded.retry_at
            )
        priority = min(ticket.priority, limits.max_priority)
        waiting = queue.Waiting(ticket, priority)
        answer = self._place(waiting, now)
        if not isinstance(answer, api.Rejected):
            limits.enter()
        return answer

    def release(
        self, request_id: str, now: float
    ) -> tuple[api.Admitted | api.Rejected, ...]:
        """Note that a request ended, ran or not, and release others."""
        waiting = self._queued.pop(request_id, None)
        if waiting is not None:
            self._queues[waiting.ticket.artifact].remove(request_id)
            self._leave(waiting)
            return ()
        running = self._running.pop(request_id, None)
        if running is None:
            return ()
        artifact = running.waiting.ticket.artifact
        self._queues[artifact].end(running.waiting, now - running.since)
        self._leave(running.waiting)
        return tuple(self._advance(artifact, now))

    def tick(self, now: float) -> tuple[api.Admitted | api.Rejected, ...]:
        """Release or reject what waits, by the present time."""
        answers: list[api.Admitted | api.Rejected] = list(self._refused)
        self._refused.clear()
        self._changed.clear()
        for artifact, target in self._queues.items():
            if len(target):
                answers.extend(self._advance(artifact, now))
        return tuple(answers)

    def next_due(self) -> float:
        """Return when ``tick`` has something to do; infinity for never."""
        if self._refused or self._changed:
            return _NOW
        dues = [item.due() for item in self._queues.values() if len(item)]
        return min(dues, default=math.inf)

    def waiting(self, artifact: str) -> int:
        """Return how many requests wait for an artifact here."""
        target = self._queues.get(artifact)
        return len(target) if target is not None else 0

    def _queue(self, artifact: str) -> queue.ArtifactQueue:
        target = self._queues.get(artifact)
        if target is None:
            target = queue.ArtifactQueue(self._settings.queue)
            self._queues[artifact] = target
        return target

    def _place(
        self, waiting: queue.Waiting, now: float
    ) -> api.Admitted | api.Queued | api.Rejected:
        """Start a request, queue it, or refuse it at once."""
        ticket = waiting.ticket
        target = self._queue(ticket.artifact)
        target.note(waiting.priority, now)
        if target.can_start(waiting.priority, now):
            if now + target.first_token_seconds > ticket.deadline:
                return self._unmeetable(waiting, target, now)
            self._start(waiting, now)
            return api.Admitted(ticket.request_id)
        wait = target.wait_seconds(waiting)
        if now + wait + target.first_token_seconds > ticket.deadline:
            return self._unmeetable(waiting, target, now)
        if target.full and not self._displace(waiting, target, now):
            retry_at = now + target.drain_seconds()
            return api.Rejected(ticket.request_id, 'queue_full', retry_at)
        target.add(waiting)
        self._queued[ticket.request_id] = waiting
        return api.Queued(ticket.request_id)

    def _unmeetable(
        self, waiting: queue.Waiting, target: queue.ArtifactQueue, now: float
    ) -> api.Rejected:
        """Refuse what would come too late; later the queue is shorter."""
        retry_at = now + max(
            target.drain_seconds(), target.first_token_seconds
        )
        return api.Rejected(
            waiting.ticket.request_id, 'deadline_unmeetable', retry_at
        )

    def _displace(
        self, waiting: queue.Waiting, target: queue.ArtifactQueue, now: float
    ) -> bool:
        """Make room in a full queue if the request has precedence."""
        victim = target.displaced_by(waiting)
        if victim is None:
            return False
        retry_at = now + target.drain_seconds()
        self._refused.append(self._drop(victim, 'displaced', retry_at))
        return True

    def _drop(
        self, waiting: queue.Waiting, reason: str, retry_at: float
    ) -> api.Rejected:
        """Take a queued request out for good."""
        request_id = waiting.ticket.request_id
        self._queues[waiting.ticket.artifact].remove(request_id)
        del self._queued[request_id]
        self._leave(waiting)
        return api.Rejected(request_id, reason, retry_at)

    def _leave(self, waiting: queue.Waiting) -> None:
        limits = self._limits.get(waiting.ticket.caller)
        if limits is not None:
            limits.leave()

    def _start(self, waiting: queue.Waiting, now: float) -> None:
        self._queues[waiting.ticket.artifact].start(waiting)
        self._running[waiting.ticket.request_id] = _Running(waiting, now)

    def _advance(
        self, artifact: str, now: float
    ) -> list[api.Admitted | api.Rejected]:
        """Refuse what can no longer be met and fill the free slots."""
        target = self._queues[artifact]
        answers: list[api.Admitted | api.Rejected] = []
        for waiting in target.hopeless(now):
            retry_at = now + target.drain_seconds()
            answers.append(
                self._drop(waiting, 'deadline_unmeetable', retry_at)
            )
        while (chosen := target.take(now)) is not None:
            request_id = chosen.ticket.request_id
            del self._queued[request_id]
            self._start(chosen, now)
            answers.append(api.Admitted(request_id))
        return answers

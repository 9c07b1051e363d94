"""Admission with limits for each caller and a queue for each artifact."""

from __future__ import annotations

import math
import typing

from . import api
from . import callers
from . import queue

if typing.TYPE_CHECKING:
    from ..records import api as records_api

__all__ = ['AdmissionSettings', 'FairAdmission']

_IMMEDIATELY: typing.Final = 0.0
_UNKNOWN_CALLER_RETRY_SECONDS: typing.Final = 5.0


class AdmissionSettings(typing.NamedTuple):
    """Settings of the queues and of the callers' limits."""

    queue: queue.QueueSettings = queue.QueueSettings()
    limits: callers.LimitSettings = callers.LimitSettings()


class _Running(typing.NamedTuple):
    """An admitted request and the time of its admission."""

    request: queue.QueuedRequest
    started_at: float


class FairAdmission:
    """Admits requests fairly between callers; see ``api.Admission``.

    ``offer`` may displace a queued request: ``next_due`` is then in the
    past, and ``tick`` returns the rejection. Until ``set_capacity`` is
    called for an artifact, it has the default number of slots.
    """

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        self._limits: dict[str, callers.CallerLimits] = {}
        self._queues: dict[str, queue.ArtifactQueue] = {}
        self._queued: dict[str, queue.QueuedRequest] = {}
        self._running: dict[str, _Running] = {}
        self._pending_rejections: list[api.Rejected] = []
        self._changed_artifacts: set[str] = set()

    def update_catalog(self, catalog: records_api.Catalog, now: float) -> None:
        """Replace the callers' limits by those of a catalog."""
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
        """Set how many requests for an artifact may run at a time."""
        artifact_queue = self._queue(artifact)
        artifact_queue.slots = slots
        artifact_queue.first_token_seconds = first_token_seconds
        if len(artifact_queue):
            self._changed_artifacts.add(artifact)

    def set_share(self, caller: str, share: float) -> None:
        """Set this instance's share, 0 to 1, of a caller's allowance."""
        limits = self._limits.get(caller)
        if limits is not None:
            limits.set_share(share)

    def offer(
        self, ticket: api.Ticket, now: float
    ) -> api.Admitted | api.Queued | api.Rejected:
        """Admit, queue or reject a new request."""
        limits = self._limits.get(ticket.caller)
        if limits is None:
            retry_at = now + _UNKNOWN_CALLER_RETRY_SECONDS
            return api.Rejected(ticket.request_id, 'unknown_caller', retry_at)
        if ticket.deadline <= now:
            return api.Rejected(ticket.request_id, 'deadline_passed', now)
        exceeded = limits.exceeded(now)
        if exceeded is not None:
            return api.Rejected(
                ticket.request_id, exceeded.reason, exceeded.retry_at
            )
        priority = min(ticket.priority, limits.max_priority)
        request = queue.QueuedRequest(ticket, priority)
        decision = self._start_or_queue(request, now)
        if not isinstance(decision, api.Rejected):
            limits.start_request()
        return decision

    def release(
        self, request_id: str, now: float
    ) -> tuple[api.Admitted | api.Rejected, ...]:
        """End a running or queued request, and admit queued ones."""
        request = self._queued.pop(request_id, None)
        if request is not None:
            self._queues[request.ticket.artifact].remove(request_id)
            self._end_for_caller(request)
            return ()
        running = self._running.pop(request_id, None)
        if running is None:
            return ()
        artifact = running.request.ticket.artifact
        self._queues[artifact].end(running.request, now - running.started_at)
        self._end_for_caller(running.request)
        return tuple(self._process_queue(artifact, now))

    def tick(self, now: float) -> tuple[api.Admitted | api.Rejected, ...]:
        """Admit queued requests that can start, and reject others.

        Rejected are requests that ``offer`` displaced and those that cannot
        meet their deadline.
        """
        decisions: list[api.Admitted | api.Rejected] = list(
            self._pending_rejections
        )
        self._pending_rejections.clear()
        self._changed_artifacts.clear()
        for artifact, artifact_queue in self._queues.items():
            if len(artifact_queue):
                decisions.extend(self._process_queue(artifact, now))
        return tuple(decisions)

    def next_due(self) -> float:
        """Return when to call ``tick`` next; infinity if not needed."""
        if self._pending_rejections or self._changed_artifacts:
            return _IMMEDIATELY
        due_times = [
            item.next_unmeetable_at()
            for item in self._queues.values()
            if len(item)
        ]
        return min(due_times, default=math.inf)

    def waiting(self, artifact: str) -> int:
        """Return the number of queued requests for an artifact."""
        artifact_queue = self._queues.get(artifact)
        return len(artifact_queue) if artifact_queue is not None else 0

    def _queue(self, artifact: str) -> queue.ArtifactQueue:
        artifact_queue = self._queues.get(artifact)
        if artifact_queue is None:
            artifact_queue = queue.ArtifactQueue(self._settings.queue)
            self._queues[artifact] = artifact_queue
        return artifact_queue

    def _start_or_queue(
        self, request: queue.QueuedRequest, now: float
    ) -> api.Admitted | api.Queued | api.Rejected:
        """Start a request, queue it, or reject it."""
        ticket = request.ticket
        artifact_queue = self._queue(ticket.artifact)
        artifact_queue.record_arrival(request.priority, now)
        if artifact_queue.can_start(request.priority, now):
            if now + artifact_queue.first_token_seconds > ticket.deadline:
                return self._reject_unmeetable(request, artifact_queue, now)
            self._start(request, now)
            return api.Admitted(ticket.request_id)
        wait = artifact_queue.wait_seconds(request)
        if now + wait + artifact_queue.first_token_seconds > ticket.deadline:
            return self._reject_unmeetable(request, artifact_queue, now)
        if artifact_queue.full and not self._displace(
            request, artifact_queue, now
        ):
            retry_at = now + artifact_queue.drain_seconds()
            return api.Rejected(ticket.request_id, 'queue_full', retry_at)
        artifact_queue.add(request)
        self._queued[ticket.request_id] = request
        return api.Queued(ticket.request_id)

    def _reject_unmeetable(
        self,
        request: queue.QueuedRequest,
        artifact_queue: queue.ArtifactQueue,
        now: float,
    ) -> api.Rejected:
        """Reject a request that cannot meet its deadline.

        The retry time is when the current queue should be empty.
        """
        retry_at = now + max(
            artifact_queue.drain_seconds(), artifact_queue.first_token_seconds
        )
        return api.Rejected(
            request.ticket.request_id, 'deadline_unmeetable', retry_at
        )

    def _displace(
        self,
        request: queue.QueuedRequest,
        artifact_queue: queue.ArtifactQueue,
        now: float,
    ) -> bool:
        """Displace a queued request if the new one has precedence.

        :return: whether a request was displaced.
        """
        displaced = artifact_queue.displaced_by(request)
        if displaced is None:
            return False
        retry_at = now + artifact_queue.drain_seconds()
        self._pending_rejections.append(
            self._reject_queued(displaced, 'displaced', retry_at)
        )
        return True

    def _reject_queued(
        self, request: queue.QueuedRequest, reason: str, retry_at: float
    ) -> api.Rejected:
        """Remove a request from its queue, and return its rejection."""
        request_id = request.ticket.request_id
        self._queues[request.ticket.artifact].remove(request_id)
        del self._queued[request_id]
        self._end_for_caller(request)
        return api.Rejected(request_id, reason, retry_at)

    def _end_for_caller(self, request: queue.QueuedRequest) -> None:
        limits = self._limits.get(request.ticket.caller)
        if limits is not None:
            limits.end_request()

    def _start(self, request: queue.QueuedRequest, now: float) -> None:
        self._queues[request.ticket.artifact].start(request)
        self._running[request.ticket.request_id] = _Running(request, now)

    def _process_queue(
        self, artifact: str, now: float
    ) -> list[api.Admitted | api.Rejected]:
        """Reject requests that cannot meet their deadline; fill free slots."""
        artifact_queue = self._queues[artifact]
        decisions: list[api.Admitted | api.Rejected] = []
        for request in artifact_queue.unmeetable(now):
            retry_at = now + artifact_queue.drain_seconds()
            decisions.append(
                self._reject_queued(request, 'deadline_unmeetable', retry_at)
            )
        while (chosen := artifact_queue.pop_next(now)) is not None:
            request_id = chosen.ticket.request_id
            del self._queued[request_id]
            self._start(chosen, now)
            decisions.append(api.Admitted(request_id))
        return decisions

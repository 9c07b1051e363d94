"""The metrics of requests."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from ..observe import metrics
    from . import reasons

__all__ = ['RequestMetrics']


class RequestMetrics:
    """Counts answers, refusals, failed attempts, retries and resumes."""

    def __init__(self, registry: metrics.Registry) -> None:
        self._registry = registry
        self._refusals = registry.counter(
            'dogwoodquay_refusals_total',
            'Requests that failed, by reason and outcome.',
            'reason',
            'outcome',
        )
        self._released = registry.counter(
            'dogwoodquay_clients_released_total',
            'Connections and requests of clients given up for a limit.',
            'reason',
            'phase',
        )
        self._answers = registry.counter(
            'dogwoodquay_answers_total',
            'Requests that got a complete answer, by HTTP status.',
            'status',
        )
        self._attempts = registry.counter(
            'dogwoodquay_failed_attempts_total',
            'Upstream attempts that failed, by reason.',
            'reason',
        )
        self._retries = registry.counter(
            'dogwoodquay_retries_total',
            'Retries and resumes, by reason of the failed attempt.',
            'reason',
            'kind',
        )
        self._first_byte = registry.histogram(
            'dogwoodquay_first_byte_seconds',
            'Time from the request to the first byte of its answer.',
        )
        self._resumed = registry.counter(
            'dogwoodquay_streams_resumed_total',
            'Streams that a caller resumed.',
        )

    @property
    def registry(self) -> metrics.Registry:
        """The registry that holds the metrics."""
        return self._registry

    def client_released(self, reason: str, phase: str) -> None:
        """Count a connection or request that was given up for a limit."""
        self._released.add(reason, phase)

    def refused(
        self, reason: reasons.Reason, outcome: reasons.Outcome
    ) -> None:
        """Count a refused request."""
        self._refusals.add(reason.value, outcome.value)

    def refusals(
        self, reason: reasons.Reason, outcome: reasons.Outcome
    ) -> int:
        """Return the number of refusals with a reason and an outcome."""
        return self._refusals.value(reason.value, outcome.value)

    def answered(self, status: int) -> None:
        """Count a complete answer."""
        self._answers.add(str(status))

    def attempt_failed(self, reason: reasons.Reason) -> None:
        """Count a failed attempt."""
        self._attempts.add(reason.value)

    def retried(self, reason: str, resume: bool) -> None:
        """Count a retry or resume."""
        self._retries.add(reason, 'resume' if resume else 'restart')

    def retries(self, reason: str, resume: bool) -> int:
        """Return the number of retries or resumes for a reason."""
        return self._retries.value(reason, 'resume' if resume else 'restart')

    def first_byte(self, seconds: float) -> None:
        """Record a time to the first byte."""
        self._first_byte.observe(seconds)

    def stream_resumed(self) -> None:
        """Count a stream that its caller resumed."""
        self._resumed.add()

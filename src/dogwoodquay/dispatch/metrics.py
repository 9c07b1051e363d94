"""The counters of the way of a request."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from ..observe import metrics
    from . import reasons

__all__ = ['PathMetrics']


class PathMetrics:
    """Counts answers, refusals, retries, attempts and relayed events."""

    def __init__(self, registry: metrics.Registry) -> None:
        self._registry = registry
        self._refusals = registry.counter(
            'dogwoodquay_refusals_total',
            'Requests that got an error, by reason and outcome.',
            'reason',
            'outcome',
        )
        self._answers = registry.counter(
            'dogwoodquay_answers_total',
            'Requests that got their whole answer, by HTTP status.',
            'status',
        )
        self._attempts = registry.counter(
            'dogwoodquay_failed_attempts_total',
            'Upstream attempts that failed, by reason.',
            'reason',
        )
        self._retries = registry.counter(
            'dogwoodquay_retries_total',
            'Retries and resumes, by reason of the failure before.',
            'reason',
            'kind',
        )
        self._first_token = registry.histogram(
            'dogwoodquay_first_byte_seconds',
            'Time from a request to the first byte of its answer.',
        )
        self._resumed = registry.counter(
            'dogwoodquay_streams_resumed_total',
            'Streams that a caller came back to.',
        )

    @property
    def registry(self) -> metrics.Registry:
        """Where the counters are rendered."""
        return self._registry

    def refused(
        self, reason: reasons.Reason, outcome: reasons.Outcome
    ) -> None:
        """Count a request that got an error."""
        self._refusals.add(reason.value, outcome.value)

    def refusals(
        self, reason: reasons.Reason, outcome: reasons.Outcome
    ) -> int:
        """Return how many requests got an error for a reason."""
        return self._refusals.value(reason.value, outcome.value)

    def answered(self, status: int) -> None:
        """Count a whole answer."""
        self._answers.add(str(status))

    def attempt_failed(self, reason: reasons.Reason) -> None:
        """Count an attempt that failed."""
        self._attempts.add(reason.value)

    def retried(self, reason: str, resume: bool) -> None:
        """Count a retry."""
        self._retries.add(reason, 'resume' if resume else 'restart')

    def retries(self, reason: str, resume: bool) -> int:
        """Return how many retries followed a reason."""
        return self._retries.value(reason, 'resume' if resume else 'restart')

    def first_byte(self, seconds: float) -> None:
        """Count the time to a first byte."""
        self._first_token.observe(seconds)

    def stream_resumed(self) -> None:
        """Count a caller that came back to its stream."""
        self._resumed.add()

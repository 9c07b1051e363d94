"""A limit on the bytes sent per second, with a burst."""

from __future__ import annotations

__all__ = ['TokenBucket']


class TokenBucket:
    """A token bucket with one token per byte, which may go negative."""

    def __init__(self, tokens_per_second: float, burst: float) -> None:
        self._tokens_per_second = tokens_per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    @property
    def has_tokens(self) -> bool:
        """Whether a message may be sent now."""
        return self._tokens > 0

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last call."""
        if self._refilled_at is not None:
            added = max(0.0, now - self._refilled_at) * self._tokens_per_second
            self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now

    def consume(self, size: int) -> None:
        """Remove the tokens for a message of ``size`` bytes."""
        self._tokens -= size

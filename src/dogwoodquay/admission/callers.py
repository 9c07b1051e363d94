"""The limits of each caller at this instance: a share of its allowance."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from ..records import api as records_api

__all__ = ['CallerLimits', 'LimitSettings']


class LimitSettings(typing.NamedTuple):
    """The burst that a rate allows, and the retry time of a refusal."""

    burst_seconds: float = 2.0
    min_burst: float = 1.0
    in_flight_retry_seconds: float = 1.0


class LimitExceeded(typing.NamedTuple):
    """The limit that a request would exceed, and when to retry it."""

    reason: str
    retry_at: float


class CallerLimits:
    """A caller's rate and in-flight limits at this instance.

    The rate limit is a token bucket.
    """

    def __init__(
        self, caller: records_api.Caller, settings: LimitSettings, now: float
    ) -> None:
        self._caller = caller
        self._settings = settings
        self._share = 1.0
        self._in_flight = 0
        self._tokens = self._burst()
        self._refilled_at = now

    @property
    def max_priority(self) -> int:
        """The highest priority that the caller's requests can have."""
        return self._caller.max_priority

    def update(self, caller: records_api.Caller) -> None:
        """Replace the caller's record."""
        self._caller = caller

    def set_share(self, share: float) -> None:
        """Set this instance's share, 0 to 1, of the allowance."""
        self._share = min(1.0, max(0.0, share))

    def exceeded(self, now: float) -> LimitExceeded | None:
        """Return the limit that another request would exceed, if any."""
        self._refill(now)
        limit = max(1, int(self._caller.max_in_flight * self._share))
        if self._in_flight >= limit:
            retry_at = now + self._settings.in_flight_retry_seconds
            return LimitExceeded('caller_in_flight', retry_at)
        if self._tokens < 1.0:
            rate = max(self._rate(), 1e-3)
            retry_at = now + (1.0 - self._tokens) / rate
            return LimitExceeded('caller_rate', retry_at)
        return None

    def start_request(self) -> None:
        """Count a request that was admitted or queued."""
        self._tokens -= 1.0
        self._in_flight += 1

    def end_request(self) -> None:
        """Count a request as ended."""
        self._in_flight = max(0, self._in_flight - 1)

    def _rate(self) -> float:
        return self._caller.requests_per_second * self._share

    def _burst(self) -> float:
        burst = self._rate() * self._settings.burst_seconds
        return max(self._settings.min_burst, burst)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        tokens = self._tokens + elapsed * self._rate()
        self._tokens = min(self._burst(), tokens)

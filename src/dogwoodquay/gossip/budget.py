"""A limit on bytes a second, with a burst."""

from __future__ import annotations

__all__ = ['Budget']


class Budget:
    """A token bucket; what must go out may overdraw it."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at: float | None = None

    @property
    def open(self) -> bool:
        """Whether anything may be sent now."""
        return self._left > 0

    def refill(self, now: float) -> None:
        """Add what the time since the last call allows."""
        if self._at is not None:
            gained = max(0.0, now - self._at) * self._rate
            self._left = min(self._burst, self._left + gained)
        self._at = now

    def spend(self, size: int) -> None:
        """Take out bytes that are sent."""
        self._left -= size

"""Settings of the failure detector."""

from __future__ import annotations

import dataclasses

__all__ = ['DetectorSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorSettings:
    """Intervals in seconds.

    ``pause_seconds`` is the gap between two events after which the instance
    knows that it was paused itself.
    """

    probe_seconds: float = 1.0
    answer_seconds: float = 0.5
    suspicion_seconds: float = 2.0
    pause_seconds: float = 3.0
    confirm_seconds: float = 10.0
    retry_seed_seconds: float = 5.0
    relays: int = 2

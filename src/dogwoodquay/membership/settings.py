"""Settings of the failure detector."""

from __future__ import annotations

import dataclasses

__all__ = ['DetectorSettings']


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorSettings:
    """Intervals and timeouts of the failure detector.

    ``probe_seconds`` is the interval between probes, and ``answer_seconds``
    the timeout of a probe. A gap between two events of more than
    ``answer_seconds`` is a stall of this instance, and one of more than
    ``pause_seconds`` is a pause. ``suspicion_seconds`` is the shortest time
    that a suspected member has for a refutation. After ``confirm_seconds``
    without trust, any answer of a peer restores it. ``retry_seed_seconds`` is
    the mean interval between contacts with the same listed instance.
    ``relays`` is the number of members that an indirect probe goes through.
    """

    probe_seconds: float = 1.0
    answer_seconds: float = 0.5
    suspicion_seconds: float = 2.0
    pause_seconds: float = 3.0
    confirm_seconds: float = 10.0
    retry_seed_seconds: float = 5.0
    relays: int = 2

"""Passive outlier ejection: servers that fail get nothing for a time."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Health', 'HealthSettings', 'Watched', 'usable']


class HealthSettings(typing.NamedTuple):
    """When a server is ejected, for how long, and how many must stay."""

    failures_in_row: int = 4
    failure_share: float = 0.5
    share_weight: float = 0.1
    min_results: int = 10
    first_ejection_seconds: float = 5.0
    max_ejection_seconds: float = 60.0
    kept_share: float = 0.34


class Health:
    """The results that one server gave to this instance."""

    __slots__ = (
        '_ejections',
        '_failure_share',
        '_in_row',
        '_results',
        '_settings',
        'ejected_until',
    )

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._in_row = 0
        self._results = 0
        self._failure_share = 0.0
        self._ejections = 0
        self.ejected_until = -math.inf

    def record(self, ok: bool, now: float) -> None:
        """Note how an attempt ended; one sent before an ejection too."""
        weight = self._settings.share_weight
        self._results += 1
        self._failure_share += weight * ((not ok) - self._failure_share)
        if ok:
            self._in_row = 0
            if self._failure_share < weight:
                self._ejections = 0
            return
        self._in_row += 1
        if now >= self.ejected_until and self._failing():
            self._eject(now)

    def ejected(self, now: float) -> bool:
        """Return whether the server is to get nothing now."""
        return now < self.ejected_until

    def _failing(self) -> bool:
        settings = self._settings
        if self._in_row >= settings.failures_in_row:
            return True
        enough = self._results >= settings.min_results
        return enough and self._failure_share > settings.failure_share

    def _eject(self, now: float) -> None:
        """Eject for longer each time; one more failure ejects again."""
        settings = self._settings
        seconds = settings.first_ejection_seconds * 2.0**self._ejections
        seconds = min(seconds, settings.max_ejection_seconds)
        self.ejected_until = now + seconds
        self._ejections = min(self._ejections + 1, 10)
        self._in_row = settings.failures_in_row - 1
        self._results = 0
        self._failure_share = 0.0


class Watched(typing.Protocol):
    """Something with a health."""

    @property
    def health(self) -> Health:
        """The results seen so far."""


_W = typing.TypeVar('_W', bound=Watched)


def usable(
    servers: abc.Sequence[_W], kept_share: float, now: float
) -> abc.Sequence[_W]:
    """Return the servers to use: never none, and not below the floor.

    When too many are ejected, those whose ejection ends first are used.
    """
    healthy = [item for item in servers if not item.health.ejected(now)]
    if len(healthy) == len(servers):
        return servers
    floor = max(1, math.ceil(len(servers) * kept_share))
    if len(healthy) >= floor:
        return healthy
    ejected = [item for item in servers if item.health.ejected(now)]
    ejected.sort(key=lambda item: item.health.ejected_until)
    return healthy + ejected[: floor - len(healthy)]

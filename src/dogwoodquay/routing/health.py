"""Passive outlier detection: failing servers are ejected for a time."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['HasHealth', 'Health', 'HealthSettings', 'usable_servers']


class HealthSettings(typing.NamedTuple):
    """Thresholds and durations of ejections.

    A server is ejected after ``consecutive_failures`` failures in a row, or
    if the moving average of its failures exceeds ``failure_share``. At least
    ``min_usable_share`` of the servers stay in use.
    """

    consecutive_failures: int = 4
    failure_share: float = 0.5
    failure_share_weight: float = 0.1
    min_results: int = 10
    first_ejection_seconds: float = 5.0
    max_ejection_seconds: float = 60.0
    min_usable_share: float = 0.34


class Health:
    """The results of this instance's attempts at one server."""

    __slots__ = (
        '_consecutive_failures',
        '_ejections',
        '_failure_share',
        '_results',
        '_settings',
        'ejected_until',
    )

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._consecutive_failures = 0
        self._results = 0
        self._failure_share = 0.0
        self._ejections = 0
        self.ejected_until = -math.inf

    def record(self, ok: bool, now: float) -> None:
        """Record the result of an attempt, and eject the server if needed.

        Failures during an ejection do not extend it.
        """
        weight = self._settings.failure_share_weight
        self._results += 1
        self._failure_share += weight * ((not ok) - self._failure_share)
        if ok:
            self._consecutive_failures = 0
            if self._failure_share < weight:
                self._ejections = 0
            return
        self._consecutive_failures += 1
        if now >= self.ejected_until and self._exceeds_limits():
            self._eject(now)

    def ejected(self, now: float) -> bool:
        """Return whether the server is ejected."""
        return now < self.ejected_until

    def _exceeds_limits(self) -> bool:
        settings = self._settings
        if self._consecutive_failures >= settings.consecutive_failures:
            return True
        enough = self._results >= settings.min_results
        return enough and self._failure_share > settings.failure_share

    def _eject(self, now: float) -> None:
        """Eject the server for twice as long as the last time.

        Afterwards a single failure ejects it again.
        """
        settings = self._settings
        seconds = settings.first_ejection_seconds * 2.0**self._ejections
        seconds = min(seconds, settings.max_ejection_seconds)
        self.ejected_until = now + seconds
        self._ejections = min(self._ejections + 1, 10)
        self._consecutive_failures = settings.consecutive_failures - 1
        self._results = 0
        self._failure_share = 0.0


class HasHealth(typing.Protocol):
    """An object with the health of a server."""

    @property
    def health(self) -> Health:
        """The health of the server."""


_ServerT = typing.TypeVar('_ServerT', bound=HasHealth)


def usable_servers(
    servers: abc.Sequence[_ServerT], min_usable_share: float, now: float
) -> abc.Sequence[_ServerT]:
    """Return the servers to use: those that are not ejected.

    If they are fewer than the minimum share, the ejected servers whose
    ejection ends first are added. The result is never empty.

    :param servers: all servers, at least one.
    """
    healthy = [item for item in servers if not item.health.ejected(now)]
    if len(healthy) == len(servers):
        return servers
    floor = max(1, math.ceil(len(servers) * min_usable_share))
    if len(healthy) >= floor:
        return healthy
    ejected = [item for item in servers if item.health.ejected(now)]
    ejected.sort(key=lambda item: item.health.ejected_until)
    return healthy + ejected[: floor - len(healthy)]

"""Splits each caller's allowance between instances without asking any.

Every instance publishes its demand. It counts its own demand at the lowest
value published within a window and every other's at the highest. As long as
no view is older than the window, the shares of all instances sum to at most
one, whatever each of them has or has not yet received.
"""

from __future__ import annotations

import collections
import math
import typing

import msgspec

__all__ = ['ShareEstimator', 'ShareSettings', 'UsageReport']


class ShareSettings(typing.NamedTuple):
    """How demand turns into shares.

    ``base_rate`` is added to each demand, so that an instance without
    demand can still let a first request in.
    """

    window_seconds: float = 3.0
    rate_seconds: float = 5.0
    base_rate: float = 0.2
    lost_after_seconds: float = 60.0


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """An instance's observed demand in requests a second, by caller."""

    instance_id: str
    incarnation: int
    sequence: int
    rates: dict[str, float]


class _Counter:
    """A request rate with exponentially fading memory."""

    __slots__ = ('_sum', '_time')

    def __init__(self, now: float) -> None:
        self._sum = 0.0
        self._time = now

    def add(self, now: float, seconds: float) -> None:
        """Count one request."""
        self._sum = self.rate(now, seconds) * seconds + 1.0
        self._time = now

    def rate(self, now: float, seconds: float) -> float:
        """Return the requests a second."""
        elapsed = max(0.0, now - self._time)
        return self._sum * math.exp(-elapsed / seconds) / seconds


class _History:
    """The reports of one instance within the window, the last included."""

    __slots__ = ('_reports', 'last_at')

    def __init__(self) -> None:
        self._reports: collections.deque[tuple[float, UsageReport]] = (
            collections.deque()
        )
        self.last_at = -math.inf

    def add(self, report: UsageReport, now: float) -> None:
        """Take in a report unless a newer one is here."""
        if self._reports and not _newer(report, self._reports[-1][1]):
            return
        self._reports.append((now, report))
        self.last_at = now

    def expire(self, horizon: float) -> None:
        """Drop what was replaced before the horizon."""
        reports = self._reports
        while len(reports) > 1 and reports[1][0] <= horizon:
            reports.popleft()

    def rates(self, caller: str) -> list[float]:
        """Return each rate of a caller that was published."""
        return [item.rates.get(caller, 0.0) for _, item in self._reports]


class ShareEstimator:
    """Gives this instance's share, 0 to 1, of each caller's allowance."""

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        settings: ShareSettings | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._settings = settings or ShareSettings()
        self._sequence = 0
        self._counters: dict[str, _Counter] = {}
        self._histories: dict[str, _History] = {}

    def note(self, caller: str, now: float) -> None:
        """Count a request of a caller, refused ones included."""
        counter = self._counters.get(caller)
        if counter is None:
            counter = self._counters[caller] = _Counter(now)
        counter.add(now, self._settings.rate_seconds)

    def report(self, now: float) -> UsageReport:
        """Return the demand to publish, and take it in here."""
        seconds = self._settings.rate_seconds
        rates = {
            caller: round(counter.rate(now, seconds), 3)
            for caller, counter in self._counters.items()
        }
        rates = {caller: rate for caller, rate in rates.items() if rate > 0}
        self._counters = {name: self._counters[name] for name in rates}
        self._sequence += 1
        report = UsageReport(
            self._instance_id, self._incarnation, self._sequence, rates
        )
        self.receive(report, now)
        return report

    def receive(self, report: UsageReport, now: float) -> None:
        """Take in a report of any instance, in whatever order."""
        history = self._histories.get(report.instance_id)
        if history is None:
            history = self._histories[report.instance_id] = _History()
        history.add(report, now)

    def forget(self, instance_id: str) -> None:
        """Drop an instance that is certainly gone."""
        if instance_id != self._instance_id:
            self._histories.pop(instance_id, None)

    def share(self, caller: str, now: float) -> float:
        """Return this instance's share of a caller's allowance."""
        self._expire(now)
        base = self._settings.base_rate
        own = self._histories.get(self._instance_id)
        mine = base + (min(own.rates(caller)) if own else 0.0)
        others = sum(
            base + max(history.rates(caller))
            for instance_id, history in self._histories.items()
            if instance_id != self._instance_id
        )
        return mine / (mine + others)

    def _expire(self, now: float) -> None:
        """Drop old reports, and instances not heard of for long."""
        settings = self._settings
        lost = now - settings.lost_after_seconds
        for instance_id, history in list(self._histories.items()):
            history.expire(now - settings.window_seconds)
            if history.last_at < lost:
                self.forget(instance_id)


def _newer(report: UsageReport, than: UsageReport) -> bool:
    left = (report.incarnation, report.sequence)
    return left > (than.incarnation, than.sequence)

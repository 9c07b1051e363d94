"""Splits each caller's allowance between instances without agreement.

Every instance publishes its demand. For its own demand, it uses the lowest
value that it published within a window; for that of each other instance, the
highest. If no report takes longer than the window to arrive, the shares of
all instances sum to at most one, whichever reports each has received.
"""

from __future__ import annotations

import collections
import math
import typing

import msgspec

__all__ = ['ShareEstimator', 'ShareSettings', 'UsageReport']


class ShareSettings(typing.NamedTuple):
    """Parameters of the estimate.

    ``base_rate`` is added to each instance's demand, so that an instance
    without demand can still admit a first request. An instance without a
    report for ``instance_timeout_seconds`` gets no share.
    """

    window_seconds: float = 3.0
    rate_seconds: float = 5.0
    base_rate: float = 0.2
    instance_timeout_seconds: float = 60.0


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """An instance's observed demand in requests a second, by caller."""

    instance_id: str
    incarnation: int
    sequence: int
    rates: dict[str, float]


class _DecayingRate:
    """A request rate as an exponentially weighted moving average."""

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


class _ReportHistory:
    """One instance's reports within the window, and the last before it."""

    __slots__ = ('_reports', 'last_at')

    def __init__(self) -> None:
        self._reports: collections.deque[tuple[float, UsageReport]] = (
            collections.deque()
        )
        self.last_at = -math.inf

    def add(self, report: UsageReport, now: float) -> None:
        """Add a report unless a newer one is known."""
        if self._reports and not _is_newer(report, self._reports[-1][1]):
            return
        self._reports.append((now, report))
        self.last_at = now

    def expire(self, horizon: float) -> None:
        """Remove the reports that were superseded before the horizon."""
        reports = self._reports
        while len(reports) > 1 and reports[1][0] <= horizon:
            reports.popleft()

    def rates(self, caller: str) -> list[float]:
        """Return the rates of a caller in all reports."""
        return [item.rates.get(caller, 0.0) for _, item in self._reports]


class ShareEstimator:
    """Estimates this instance's share, 0 to 1, of callers' allowances."""

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
        self._counters: dict[str, _DecayingRate] = {}
        self._histories: dict[str, _ReportHistory] = {}

    def record_request(self, caller: str, now: float) -> None:
        """Count a caller's request, whether it is admitted or refused."""
        counter = self._counters.get(caller)
        if counter is None:
            counter = self._counters[caller] = _DecayingRate(now)
        counter.add(now, self._settings.rate_seconds)

    def report(self, now: float) -> UsageReport:
        """Return the report to publish, and add it to the history."""
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
        """Add a report of any instance; reports may arrive out of order."""
        history = self._histories.get(report.instance_id)
        if history is None:
            history = self._histories[report.instance_id] = _ReportHistory()
        history.add(report, now)

    def forget(self, instance_id: str) -> None:
        """Remove an instance that is known to have stopped."""
        if instance_id != self._instance_id:
            self._histories.pop(instance_id, None)

    def share(self, caller: str, now: float) -> float:
        """Return this instance's share of a caller's allowance."""
        self._expire(now)
        base_demand = self._settings.base_rate
        own_history = self._histories.get(self._instance_id)
        own_demand = base_demand + (
            min(own_history.rates(caller)) if own_history else 0.0
        )
        others = sum(
            base_demand + max(history.rates(caller))
            for instance_id, history in self._histories.items()
            if instance_id != self._instance_id
        )
        return own_demand / (own_demand + others)

    def _expire(self, now: float) -> None:
        """Remove old reports, and instances without recent reports."""
        settings = self._settings
        oldest = now - settings.instance_timeout_seconds
        for instance_id, history in list(self._histories.items()):
            history.expire(now - settings.window_seconds)
            if history.last_at < oldest:
                self.forget(instance_id)


def _is_newer(report: UsageReport, other: UsageReport) -> bool:
    report_key = (report.incarnation, report.sequence)
    return report_key > (other.incarnation, other.sequence)

"""The owner's accounts: one bucket for each tenant, charged by reports."""

from __future__ import annotations

import math
import typing

from . import api
from . import decaying
from ..ratelimit import api as limit_api
from ..ratelimit import followers

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Accounts']

# Time constant of the demand of all instances. A shorter one makes single
# requests of a slow tenant look like a flood.
DEMAND_SECONDS: typing.Final = 0.5
# Time constant of an instance's part of the demand.
PART_SECONDS: typing.Final = 5.0
# Weight of equal parts beside the measured ones, in seconds of the rate, so
# that an instance without recent requests has a part too.
EQUAL_PART_SECONDS: typing.Final = 1.0
# Accounts without reported traffic for so long are left out of views.
IDLE_SECONDS: typing.Final = 2.0
# The deepest level, in seconds of the rate; windows end after a few seconds.
DEEPEST_SECONDS: typing.Final = 4.0
# A new owner admits nothing before it has heard from this share of the members
# or until ``FOLLOWER_SECONDS`` have passed. Without that, the usage of the
# first followers would count as that of all.
HEARD_SHARE: typing.Final = 0.9
# Reports that are kept for a tenant. One without an earlier report is charged
# with its unsettled units, so that forgetting costs accuracy only.
MAX_REPORTS: typing.Final = 4096


class _Report:
    """The last counters of an instance and its recent demand."""

    def __init__(self, now: float) -> None:
        self.asked = 0.0
        self.admitted = 0.0
        self.demand = decaying.DecayingSum(PART_SECONDS, now)


class _Bucket:
    """A tenant's level, which may be negative, and its demand."""

    def __init__(
        self, quota: api.Quota, level: float, asked: float, now: float
    ) -> None:
        self._quota = quota
        self._level = level
        self._refilled_at = now
        # Whether usage is only collected, as its share is not known yet.
        self._collecting = False
        self._collected = 0.0
        self.asked = decaying.DecayingSum(
            DEMAND_SECONDS, now, asked * DEMAND_SECONDS
        )
        self.demand = decaying.DecayingSum(PART_SECONDS, now)
        self.reports: dict[str, _Report] = {}
        self._active_at = now if asked else float('-inf')

    @property
    def quota(self) -> api.Quota:
        """The tenant's quota."""
        return self._quota

    def level(self, now: float) -> float:
        """Return the refilled level."""
        rate, burst = self._quota
        elapsed = now - self._refilled_at
        if elapsed > 0.0:
            self._level += rate * elapsed
            self._refilled_at = now
        if not self._collecting:
            self._level = min(self._level, burst)
        return self._level

    def collect(self) -> None:
        """Keep the units that are charged until ``settle``.

        The level is not capped meanwhile: the units were used while it
        refilled.
        """
        self._collecting = True

    def settle(self, share: float, now: float) -> None:
        """Charge the collected units."""
        self._collecting = False
        self._level -= self._collected / share
        self.charge(0.0, share, now)

    def configure(self, quota: api.Quota, now: float) -> None:
        """Replace the quota, from now on."""
        self.level(now)
        self._quota = quota
        self.level(now)

    def charge(self, units: float, share: float, now: float) -> None:
        """Remove units, or return them if negative.

        :param share: the part of all instances that this owner hears of.
        """
        if self._collecting:
            self._collected += units
            return
        rate, burst = self._quota
        level = min(burst, self.level(now) - units / share)
        self._level = max(level, -DEEPEST_SECONDS * rate)

    def record_demand(self, report: _Report, units: float, now: float) -> None:
        """Add units that an instance was asked for."""
        if units > 0.0:
            self._active_at = now
            for total in (report.demand, self.demand, self.asked):
                total.add(units, now)

    def is_active(self, now: float) -> bool:
        """Whether instances have to know the account."""
        recent = now - self._active_at <= IDLE_SECONDS
        return recent or self.level(now) < 0.0

    def part(self, member: str, members: int, now: float) -> float:
        """Return an instance's part of the demand."""
        equal = EQUAL_PART_SECONDS * self._quota.rate
        report = self.reports.get(member)
        own = report.demand.value(now) if report else 0.0
        total = self.demand.value(now) + equal
        if total <= 0.0:
            return 1.0 / members
        return min(1.0, (own + equal / members) / total)


class Accounts:
    """The accounts of all tenants that are limited.

    Levels are those of a whole quota. With two owners each charges its own
    followers' usage divided by their share of all members, so that together
    they give out one quota.
    """

    def __init__(self) -> None:
        self._followers = followers.Followers()
        self._buckets: dict[str, _Bucket] = {}
        # When a new owner admits with whichever followers it has.
        self._settles_at = float('-inf')

    def configure(
        self, quotas: abc.Mapping[str, api.Quota], now: float
    ) -> None:
        """Replace the quotas of all tenants."""
        for name in [item for item in self._buckets if item not in quotas]:
            del self._buckets[name]
        for name, quota in quotas.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = _Bucket(quota, 0.0, 0.0, now)
            else:
                bucket.configure(quota, now)

    def begin(
        self,
        known: abc.Iterable[api.Account],
        members: abc.Iterable[str],
        now: float,
    ) -> None:
        """Begin as the owner.

        :param known: the accounts that this instance knew as a follower.
        :param members: the instances that the earlier owner knew.
        """
        self._followers.begin(members, now)
        self._settles_at = now + limit_api.FOLLOWER_SECONDS
        for account in known:
            bucket = self._buckets.get(account.tenant)
            if bucket is not None:
                bucket = self._buckets[account.tenant] = _Bucket(
                    bucket.quota, account.level, account.asked, now
                )
                bucket.collect()

    def on_load(
        self,
        member: str,
        rows: abc.Iterable[api.Usage],
        confirmed_at: float,
        now: float,
    ) -> int:
        """Charge what an instance reports.

        :param confirmed_at: when the store last confirmed this owner.
        :return: the number of rows that are out of range.
        """
        self._followers.record_call(member, confirmed_at, now)
        # An owner that may admit nothing still keeps its accounts.
        share = self._followers.recorded_share or 1.0
        if math.isfinite(self._settles_at):
            self._settle(share, now)
        dropped = 0
        for row in rows:
            bucket = self._buckets.get(row.tenant)
            if not api.is_possible(row):
                dropped += 1
            elif bucket is not None:
                self._apply(bucket, member, row, share, now)
        return dropped

    def view_rows(
        self, member: str, now: float
    ) -> tuple[api.Account, ...] | None:
        """Return the accounts for an instance whose load was recorded.

        :return: ``None`` if this owner may admit nothing.
        """
        share = self._followers.recorded_share
        if not share or math.isfinite(self._settles_at):
            return None
        members = max(1, self._followers.member_count)
        return tuple(
            api.Account(
                name,
                bucket.level(now),
                bucket.asked.rate(now) / share,
                bucket.part(member, members, now),
            )
            for name, bucket in self._buckets.items()
            if bucket.is_active(now)
        )

    def _settle(self, share: float, now: float) -> None:
        """Begin to admit once enough members follow."""
        if share >= HEARD_SHARE or now >= self._settles_at:
            self._settles_at = float('-inf')
            for bucket in self._buckets.values():
                bucket.settle(share, now)

    def _apply(
        self,
        bucket: _Bucket,
        member: str,
        row: api.Usage,
        share: float,
        now: float,
    ) -> None:
        """Charge one row.

        Without an earlier report, or after one with higher counters, which a
        restart sets back, only the unsettled units are known to be new.
        """
        report = bucket.reports.get(member)
        if report is None or row.asked < report.asked:
            if report is None and len(bucket.reports) >= MAX_REPORTS:
                del bucket.reports[next(iter(bucket.reports))]
            report = bucket.reports[member] = _Report(now)
            charge = asked = row.unsettled
        else:
            charge = row.admitted - report.admitted
            asked = row.asked - report.asked
        report.asked, report.admitted = row.asked, row.admitted
        bucket.charge(charge, share, now)
        bucket.record_demand(report, asked, now)

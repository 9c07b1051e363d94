"""Gives the permits for limited servers out to instances, at the owner."""

from __future__ import annotations

import typing

from . import api
from . import followers

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Granter']

# Permits that are saved up while nobody wants them: one, and those of this
# time.
BURST_PERMITS: typing.Final = 1.0
BURST_SECONDS: typing.Final = 0.25
# How long what an instance wants is kept for it.
WANT_SECONDS: typing.Final = 0.3


class _Bucket:
    """The permits for one server that can be given out."""

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._updated_at = now

    def refill(self, rate: float, now: float) -> int:
        """Add what has accrued at a rate; return the whole permits."""
        self._tokens += rate * max(0.0, now - self._updated_at)
        most = BURST_PERMITS + rate * BURST_SECONDS
        self._tokens = min(self._tokens, most)
        self._updated_at = now
        return int(self._tokens)

    def take(self, count: int) -> None:
        """Remove permits that are given out."""
        self._tokens -= count


class Granter:
    """Gives out the permits for the instances that follow this owner."""

    def __init__(self) -> None:
        self._followers = followers.Followers()
        self._buckets: dict[api.ServerKey, _Bucket] = {}
        self._wants: dict[
            api.ServerKey, dict[str, tuple[float, dict[int, int]]]
        ] = {}

    def begin(self, members: abc.Iterable[str], now: float) -> None:
        """Begin as the owner, with no permit to give out.

        :param members: the instances that the earlier owner knew.
        """
        self._buckets.clear()
        self._wants.clear()
        self._followers.begin(members, now)

    def record_call(
        self, member: str, confirmed_at: float, now: float
    ) -> None:
        """Record that an instance follows this owner.

        :param confirmed_at: when the store last confirmed this owner.
        """
        self._followers.record_call(member, confirmed_at, now)

    def share(self, confirmed_at: float, now: float) -> float:
        """Return the share of the limits that this owner gives out."""
        return self._followers.share(confirmed_at, now)

    def grant(
        self,
        member: str,
        wants: abc.Iterable[api.Want],
        rate: abc.Callable[[api.ServerKey], float | None],
        now: float,
    ) -> list[api.Grant] | None:
        """Return the permits for an instance whose call is recorded.

        Permits that others want more urgently are left for them.

        :param rate: returns the limit of a server.
        :return: ``None`` if this owner may give out none.
        """
        share = self._followers.recorded_share
        if not share:
            return None
        by_server: dict[api.ServerKey, dict[int, int]] = {}
        for want in wants:
            if want.permits > 0 and rate(want.server) is not None:
                counts = by_server.setdefault(want.server, {})
                counts[want.priority] = want.permits
        grants = []
        for server, counts in by_server.items():
            limit = api.effective_rate(rate(server) or 0.0) * share
            grants.append(self._grant(member, server, counts, limit, now))
        for server in [item for item in self._wants if item not in by_server]:
            others = self._others(member, server, now)
            if others:
                grants.append(api.Grant(server, 0, tuple(others.items())))
        return grants

    def keep_only(self, listed: abc.Container[api.ServerKey]) -> None:
        """Forget the servers that are not limited any more."""
        for server in [item for item in self._buckets if item not in listed]:
            del self._buckets[server]
            self._wants.pop(server, None)

    def _grant(
        self,
        member: str,
        server: api.ServerKey,
        counts: dict[int, int],
        limit: float,
        now: float,
    ) -> api.Grant:
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = self._buckets[server] = _Bucket(now)
        available = bucket.refill(limit, now)
        others = self._others(member, server, now)
        granted = 0
        left = {}
        for priority in sorted(counts):
            urgent = sum(n for p, n in others.items() if p < priority)
            count = min(counts[priority], available - granted - urgent)
            count = max(0, count)
            granted += count
            left[priority] = counts[priority] - count
        bucket.take(granted)
        self._wants.setdefault(server, {})[member] = (now, left)
        return api.Grant(server, granted, tuple(others.items()))

    def _others(
        self, member: str, server: api.ServerKey, now: float
    ) -> dict[int, int]:
        """Return what other instances still want, by priority."""
        wants = self._wants.get(server, {})
        for name, (at, _) in list(wants.items()):
            if now - at > WANT_SECONDS:
                del wants[name]
        total: dict[int, int] = {}
        for name, (_, counts) in wants.items():
            if name != member:
                for priority, count in counts.items():
                    if count:
                        total[priority] = total.get(priority, 0) + count
        return total

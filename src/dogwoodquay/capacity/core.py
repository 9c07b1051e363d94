"""Learns the capacity of servers and chooses between them."""

from __future__ import annotations

import collections
import math
import typing

from . import api
from . import estimates
from . import forecast

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = ['Capacities']

# A server of which nobody has heard for so long gets a request.
PROBE_SECONDS: typing.Final = 1.5
# The time within which one of all instances should send that request.
PROBE_SPREAD_SECONDS: typing.Final = 0.25
# Weight of the newest request in the usual time of its kind.
KIND_WEIGHT: typing.Final = 0.05
# Requests of a kind before its usual time is used.
MIN_KIND_SAMPLES: typing.Final = 4
# Weight of a request's time if others waited at its server, which may have
# been more or fewer when it came, or if the pace changed meanwhile.
UNSURE_WEIGHT: typing.Final = 0.1
# The same if nobody knew the pace when it was sent, as of a server that is
# only probed.
UNSTATED_WEIGHT: typing.Final = 0.6
# Logarithm of the mean factor from which on it is corrected.
MAX_DRIFT: typing.Final = 0.02
# Kinds that are remembered; the oldest are forgotten first.
MAX_KINDS: typing.Final = 512
# Used until a request of the kind is complete.
USUAL_SECONDS: typing.Final = 0.1
# Requests may wait at a server for so long. An instance learns later than
# that of a request that has ended there.
QUEUE_SECONDS: typing.Final = 0.1
# Older figures are no older, for finite arithmetic.
MAX_AGE_SECONDS: typing.Final = 60.0
# The sums of all instances are of about the last second.
SHARED_SECONDS: typing.Final = 1.0
# The owner answers up to 260 loads a second; it puts the figures of all
# servers together at this interval.
VIEW_SECONDS: typing.Final = 0.03
# Requests in such a sum that make a sample, and the least time between two.
MIN_SHARED_COUNT: typing.Final = 0.5
SHARED_INTERVAL_SECONDS: typing.Final = 0.5


class _Kind:
    """The usual time of one kind of request, at a usual server."""

    def __init__(self) -> None:
        self.count = 0
        self.seconds = 0.0

    def add(self, seconds: float, weight: float) -> None:
        """Apply the time of one request."""
        self.count += 1
        if self.count == 1:
            self.seconds = seconds
        weight *= max(KIND_WEIGHT, 1.0 / self.count)
        # The same mean as that of the servers' factors, so that the two do
        # not move against each other.
        self.seconds *= (seconds / self.seconds) ** weight


_Kinds = collections.OrderedDict[tuple[str, str], _Kind]


class _Sums:
    """What all instances have measured at a server, decaying with time."""

    def __init__(self) -> None:
        self._count = 0.0
        self._work = 0.0
        self._at = -math.inf
        self._heard_at = -math.inf

    @property
    def heard_at(self) -> float:
        """When the last report came."""
        return self._heard_at

    def add(self, count: float, work: float, now: float) -> None:
        """Add what an instance has measured since its last report."""
        self._heard_at = now
        self._count, self._work = self.at(now)
        self._count += count
        self._work += work
        self._at = now

    def at(self, now: float) -> tuple[float, float]:
        """Return the number of requests and the work in them."""
        left = math.exp((self._at - now) / SHARED_SECONDS)
        return self._count * left, self._work * left


class Capacities:
    """The servers of paced services, as this instance knows them."""

    def __init__(self) -> None:
        self._servers: dict[api.ServerKey, estimates.ServerEstimate] = {}
        self._paced: set[str] = set()
        # By service and kind of work, for one unit of it.
        self._kinds: _Kinds = collections.OrderedDict()
        # By service and model, for a whole request.
        self._whole: _Kinds = collections.OrderedDict()
        self._sums: dict[api.ServerKey, _Sums] = {}
        # What the owner returns, and when it was put together.
        self._view: list[tuple[api.Report, bool]] = []
        self._view_at = -math.inf
        self._shared_at: dict[api.ServerKey, float] = {}

    @property
    def any(self) -> bool:
        """Whether a service is paced."""
        return bool(self._paced)

    @property
    def servers(
        self,
    ) -> abc.Mapping[api.ServerKey, estimates.ServerEstimate]:
        """The known servers of paced services."""
        return self._servers

    def paced(self, service: str) -> bool:
        """Whether a server of a service has stated its pace."""
        return service in self._paced

    def add_paced(self, service: str) -> None:
        """Record that a server of a service has stated its pace."""
        self._paced.add(service)

    def server(
        self,
        key: api.ServerKey,
        service: str,
        slots: int,
        now: float,
        learns_limit: bool = True,
    ) -> estimates.ServerEstimate:
        """Return the state of a server's process, a new one at first.

        :param learns_limit: not for engines, which run requests in batches:
            each one slows the others down from the first one on.
        """
        known = self._servers.get(key)
        if known is None:
            known = estimates.ServerEstimate(service, slots, now, learns_limit)
            self._servers[key] = known
        return known

    def keep_only(self, listed: abc.Container[api.ServerKey]) -> None:
        """Forget the servers that are not listed any more."""
        for known in (self._servers, self._sums, self._shared_at):
            for key in [item for item in known if item not in listed]:
                del known[key]

    def usual_seconds(self, service: str, model: str) -> float:
        """Return the usual time of a request at a usual server."""
        known = self._whole.get((service, model))
        return known.seconds if known else USUAL_SECONDS

    def expected_seconds(
        self, key: api.ServerKey, load: float, model: str, now: float
    ) -> float:
        """Return when a request is complete at a server with a load."""
        known = self._servers[key]
        seconds = self._seconds(known, model, now)
        limit = known.limit(now)
        return seconds * (1.0 + max(0.0, load + 1.0 - limit) / limit)

    def on_completed(
        self,
        key: api.ServerKey,
        work: api.Work,
        pace_at_start: float | None,
        now: float,
    ) -> None:
        """Apply the time of a request that a server has answered well.

        The time that it waited there is estimated from those that wait
        behind it, as the server takes requests in order of arrival.

        :param pace_at_start: the pace when the request was sent, ``None`` if
            that was not known; the answer has stated the present one.
        """
        server = self._servers.get(key)
        if server is None:
            return
        weight = UNSURE_WEIGHT if server.waiting else 1.0
        pace = server.stated_pace
        if pace_at_start is not None and pace_at_start != pace:
            weight = UNSURE_WEIGHT
            pace = math.sqrt(pace * pace_at_start)
        factor = server.factor(now)
        waited = server.waiting / server.limit(now)
        slowed = pace * (1.0 + waited) * factor
        whole = self._usual(self._whole, server.service, work.model)
        whole.add(work.whole_seconds / slowed, weight)
        usual = self._usual(self._kinds, server.service, work.kind)
        if work.queued:
            seconds = work.seconds / work.units / slowed
        else:
            seconds = work.seconds / work.units / pace / factor
        if usual.count < MIN_KIND_SAMPLES:
            usual.add(seconds, 1.0)
            return
        relative = seconds / usual.seconds * factor
        if pace_at_start is None and (pace > 1.0 or relative > factor):
            # At the usual pace, a short time shows how fast the server is,
            # whatever the pace was before.
            weight *= UNSTATED_WEIGHT
        taken, unloaded = server.on_latency(
            relative, server.running, weight, now
        )
        server.add_news(now, weight, weight * taken)
        usual.add(taken * usual.seconds / factor, unloaded)
        self._normalize(server.service, now)

    def choose(
        self,
        candidates: abc.Sequence[api.Candidate],
        model: str,
        now: float,
        rng: random.Random,
    ) -> int | None:
        """Return the index of the best server, ``None`` if none has room.

        :param candidates: servers that ``server`` has returned before.
        """
        outlooks: list[forecast.Outlook] = []
        probes: list[int] = []
        for item in candidates:
            server = self._servers[item.server]
            outlook = self._outlook(item, server, model, now)
            unheard = now - server.known_since > PROBE_SECONDS
            has_room = outlook.load < outlook.capacity
            if unheard and has_room and not item.in_flight:
                probes.append(len(outlooks))
            outlooks.append(outlook)
        if probes:
            rate = sum(item.others_rate for item in outlooks)
            if rng.random() * max(1.0, rate * PROBE_SPREAD_SECONDS) < 1.0:
                return rng.choice(probes)
        return forecast.choose(outlooks, rng)

    def load_rows(self, now: float) -> list[api.Report]:
        """Return what this instance has heard since its last load message."""
        reports = [
            server.take_news(key, now) for key, server in self._servers.items()
        ]
        return [item for item in reports if item is not None]

    def on_load(self, rows: abc.Iterable[api.Report], now: float) -> None:
        """Merge what an instance has heard, at the owner."""
        for row in rows:
            if not self._merge(row, now):
                continue
            sums = self._sums.get(row.server)
            if sums is None:
                sums = self._sums[row.server] = _Sums()
            sums.add(row.measured, row.work, now)

    def view_rows(
        self,
        now: float,
        others: abc.Callable[[str], int] = lambda _: 0,
    ) -> list[api.Report]:
        """Return the newest figures of servers with news or requests.

        :param others: returns how many requests all instances but the
            receiver have at a server.
        """
        if now - self._view_at >= VIEW_SECONDS:
            self._view_at = now
            self._view = [
                (
                    self._servers[key].report(key, *sums.at(now)),
                    now - sums.heard_at <= api.FRESH_SECONDS,
                )
                for key, sums in self._sums.items()
                if key in self._servers
            ]
        rows = []
        for report, fresh in self._view:
            count = others(report.server.server_id)
            if count:
                rows.append(report._replace(others=count))
            elif fresh:
                rows.append(report)
        return rows

    def on_view(
        self, rows: abc.Iterable[api.Report], asked_at: float, now: float
    ) -> None:
        """Merge what the owner knows.

        :param asked_at: when the owner was asked for it.
        """
        for row in rows:
            if not self._merge(row, now):
                continue
            self._servers[row.server].on_sent_by_others(row.others, asked_at)
            if row.measured < MIN_SHARED_COUNT:
                continue
            since = now - self._shared_at.get(row.server, -math.inf)
            if since >= SHARED_INTERVAL_SECONDS:
                self._shared_at[row.server] = now
                server = self._servers[row.server]
                relative = row.work / row.measured
                server.on_latency(relative, row.running, row.measured, now)

    def _merge(self, row: api.Report, now: float) -> bool:
        """Apply a peer's figures; return whether they are plausible."""
        server = self._servers.get(row.server)
        sound = (
            0 <= row.running <= api.MAX_COUNT
            and 0 <= row.waiting <= api.MAX_COUNT
            and api.MIN_PACE <= row.pace <= api.MAX_PACE
            and 0.0 <= row.measured <= api.MAX_COUNT
            and 0.0 <= row.work <= api.MAX_COUNT
            and 0 <= row.others <= api.MAX_COUNT
            and math.isfinite(row.as_of)
        )
        if server is None or not sound:
            return False
        server.on_figures(
            row.running, row.waiting, row.pace, min(row.as_of, now)
        )
        return True

    def _normalize(self, service: str, now: float) -> None:
        """Keep the mean of the servers' factors at one.

        Otherwise they and the usual times of all kinds could drift apart, as
        only their products are measured.
        """
        servers = [
            item for item in self._servers.values() if item.service == service
        ]
        total = sum(math.log(item.factor(now)) for item in servers)
        if abs(total) < MAX_DRIFT * len(servers):
            return
        mean = math.exp(total / len(servers))
        for item in servers:
            item.scale(1.0 / mean)
        for kinds in (self._kinds, self._whole):
            for (owner, _), usual in kinds.items():
                if owner == service:
                    usual.seconds *= mean

    @staticmethod
    def _usual(kinds: _Kinds, service: str, name: str) -> _Kind:
        """Return the usual time of a kind of work, a new one at first."""
        known = kinds.get((service, name))
        if known is None:
            known = kinds[service, name] = _Kind()
            if len(kinds) > MAX_KINDS:
                kinds.popitem(last=False)
        return known

    def _seconds(
        self, server: estimates.ServerEstimate, model: str, now: float
    ) -> float:
        usual = self.usual_seconds(server.service, model)
        return usual * server.factor(now) * server.pace(now)

    def _outlook(
        self,
        item: api.Candidate,
        server: estimates.ServerEstimate,
        model: str,
        now: float,
    ) -> forecast.Outlook:
        seconds = self._seconds(server, model, now)
        limit = server.limit(now)
        queue = limit * QUEUE_SECONDS / seconds
        return forecast.Outlook(
            float(item.in_flight),
            server.others,
            server.unanswered(now),
            min(now - server.as_of, MAX_AGE_SECONDS),
            limit,
            seconds,
            item.cost * seconds,
            max(item.capacity, limit + queue),
        )

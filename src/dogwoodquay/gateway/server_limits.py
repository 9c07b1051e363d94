"""Reports what servers say of their limits and shares the permits."""

from __future__ import annotations

import typing

from . import messages
from ..observe import logs
from ..ratelimit import api as limit_api
from ..ratelimit import core

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import api
    from ..fleet import api as fleet_api
    from ..fleet import registry as registries
    from . import metrics as gateway_metrics

__all__ = ['ServerLimits', 'key_of']

_LOG: typing.Final = logs.ComponentLog('limits')

# Limits that fit one message, those heard last.
MAX_ROWS: typing.Final = 256
# Servers whose unreadable limits are remembered, to log each one once.
MAX_UNREADABLE: typing.Final = 256


def key_of(entry: fleet_api.ServerEntry) -> limit_api.ServerKey:
    """Return the key of a server's process."""
    return limit_api.ServerKey(entry.server_id, entry.started_ms)


class ServerLimits:
    """Translates between messages and the limits that this instance knows."""

    def __init__(
        self,
        member: str,
        registry: registries.Registry,
        clock: clocks.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._limits = core.RateLimits(member, clock.now())
        self._unreadable: set[limit_api.ServerKey] = set()
        metrics.gauge(
            'gateway_limited_servers',
            'Servers that limit their requests per second',
            lambda: len(self._limits.limited),
        )

    @property
    def limits(self) -> core.RateLimits:
        """The limits and permits of this instance."""
        return self._limits

    def rate(self, entry: fleet_api.ServerEntry) -> float | None:
        """Return a server's limit per second, ``None`` for none."""
        if not self._limits.any:
            return None
        return self._limits.rate(key_of(entry))

    def rate_limits(self) -> dict[str, float]:
        """Return the limits per second by server."""
        return {
            item.server.server_id: item.rate
            for item in self._limits.limited
            if item.rate is not None
        }

    def available(self, entry: fleet_api.ServerEntry) -> bool:
        """Whether a request may be sent to a server now."""
        if not self._limits.any:
            return True
        return self._limits.available(key_of(entry), self._clock.now())

    def take(self, entry: fleet_api.ServerEntry) -> None:
        """Count a request that is about to be sent to a server."""
        if self._limits.any:
            sent_by = self._limits.take(key_of(entry), self._clock.now())
            if sent_by:
                self._metrics.limited_request(sent_by)

    def on_answer(
        self,
        entry: fleet_api.ServerEntry,
        terms: api.AnswerTerms,
        sent_at: float,
    ) -> None:
        """Apply what an answer says of its server's limit.

        Only an answer that the server itself has made can end a limit.

        :param sent_at: when its request was sent.
        """
        if terms.rate_limit is None and not self._limits.any:
            if not terms.rate_limit_unreadable:
                return
        key = key_of(entry)
        if terms.rate_limit_unreadable:
            self._record_unreadable(key)
        if terms.rate_limit is None and not terms.stamped:
            return
        now = self._clock.now()
        if self._limits.on_answer(key, terms.rate_limit, sent_at, now):
            self._record(key, terms.rate_limit, 'answer')

    def load_rows(
        self, wants: abc.Iterable[limit_api.Want]
    ) -> tuple[tuple[messages.LimitRow, ...], tuple[messages.WantRow, ...]]:
        """Return what this instance has heard and wants, for the owner."""
        if not self._limits.any:
            return (), ()
        self._forget_unlisted()
        heard = self._rows(self._limits.own_news(self._clock.now()))
        wanted = tuple(
            messages.WantRow(*want.server, want.priority, want.permits)
            for want in wants
        )
        return heard, wanted

    def on_owner(self, is_owner: bool) -> None:
        """Record whether this instance is the owner now."""
        self._limits.on_owner(is_owner, self._clock.now())

    def on_load(
        self, load: messages.InstanceLoad, confirmed_at: float
    ) -> tuple[messages.GrantRow, ...] | None:
        """Apply an instance's load at the owner; return its permits.

        :param confirmed_at: when the store last confirmed this owner.
        :return: ``None`` if this instance may give out none.
        """
        now = self._clock.now()
        self._limits.on_owner(True, now)
        self._merge(load.limits, now)
        wants = (
            limit_api.Want(
                limit_api.ServerKey(row.server_id, row.started_ms),
                row.priority,
                row.count,
            )
            for row in load.wants
        )
        grants = self._limits.on_load(
            load.instance_id, wants, confirmed_at, now
        )
        if grants is None:
            return None
        self._metrics.permits_granted(sum(item.permits for item in grants))
        return tuple(
            messages.GrantRow(*item.server, item.permits, item.waiting)
            for item in grants
        )

    def view_rows(self) -> tuple[messages.LimitRow, ...]:
        """Return the limits that the owner knows."""
        if not self._limits.any:
            return ()
        return self._rows(self._limits.news(self._clock.now()))

    def on_view(
        self, view: messages.FleetView, asked_at: float, is_owner: bool
    ) -> None:
        """Apply the owner's view.

        :param asked_at: when the owner was asked for it.
        """
        now = self._clock.now()
        if not is_owner:
            self._merge(view.limits, asked_at)
        if view.grants is None:
            return
        grants = (
            limit_api.Grant(
                limit_api.ServerKey(row.server_id, row.started_ms),
                row.count,
                row.waiting,
            )
            for row in view.grants
        )
        self._limits.on_grants(grants, asked_at, now)

    def update_members(self, rows: abc.Iterable[messages.InstanceRow]) -> None:
        """Set the instances that the owner knows."""
        self._limits.update_members(row.member for row in rows)

    def _merge(
        self, rows: abc.Iterable[messages.LimitRow], now: float
    ) -> None:
        """Apply what a peer knows.

        :param now: the time from which the rows' ages count.
        """
        statements = (
            limit_api.Statement(
                limit_api.ServerKey(row.server_id, row.started_ms),
                row.rate,
                now - row.seconds,
            )
            for row in rows
        )
        for item in self._limits.merge(statements):
            self._record(item.server, item.rate, 'peer')

    def _rows(
        self, statements: list[limit_api.Statement]
    ) -> tuple[messages.LimitRow, ...]:
        now = self._clock.now()
        newest = sorted(statements, key=lambda item: -item.as_of)
        return tuple(
            messages.LimitRow(*item.server, item.rate, now - item.as_of)
            for item in newest[:MAX_ROWS]
        )

    def _forget_unlisted(self) -> None:
        listed = {
            key_of(server.entry) for server in self._registry.servers.values()
        }
        self._limits.keep_only(listed)

    def _record(
        self, key: limit_api.ServerKey, rate: float | None, source: str
    ) -> None:
        """Log and count a limit that has changed."""
        self._metrics.limit_changed('ended' if rate is None else 'named')
        _LOG.write(
            'unlimited' if rate is None else 'limited',
            server=key.server_id,
            rate=rate,
            source=source,
        )

    def _record_unreadable(self, key: limit_api.ServerKey) -> None:
        """Count a limit that is no number, and log it once for a server."""
        self._metrics.limit_changed('unreadable')
        if key in self._unreadable or len(self._unreadable) >= MAX_UNREADABLE:
            return
        self._unreadable.add(key)
        _LOG.write('unreadable', server=key.server_id)

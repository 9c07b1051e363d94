"""What one instance knows of limits, and the permits that it has."""

from __future__ import annotations

import typing

from . import api
from . import fallback
from . import grants as grant_module
from . import permits as permit_module
from . import statements as statement_module

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['RateLimits']

# Without the owner's permits for so long, an instance falls back.
ALONE_SECONDS: typing.Final = 1.0
# How long news of limits and of their ends is passed on.
NEWS_SECONDS: typing.Final = 10.0
# A limit of which nothing was heard for so long is to be asked again.
TRIAL_SECONDS: typing.Final = 2.0


class RateLimits:
    """The limits of servers and this instance's permits; does no I/O.

    A request to a limited server needs a permit. The owner gives them out;
    without one that does, the designated instance of each server goes on at
    a small part of its limit.
    """

    def __init__(self, member: str, now: float) -> None:
        self._member = member
        self._statements = statement_module.Statements()
        self._permits = permit_module.Permits()
        self._granter = grant_module.Granter()
        self._fallback = fallback.Fallback(member)
        self._leads = False
        self._members: frozenset[str] = frozenset()
        self._heard_at = now
        # Permits that other instances want, by server and priority.
        self._waiting: dict[api.ServerKey, tuple[tuple[int, int], ...]] = {}

    @property
    def any(self) -> bool:
        """Whether any server is, or lately was, limited."""
        return bool(self._statements)

    @property
    def limited(self) -> list[api.Statement]:
        """The statements of the servers that are limited."""
        return self._statements.limited()

    def rate(self, server: api.ServerKey) -> float | None:
        """Return a server's limit per second, ``None`` for none."""
        return self._statements.rate(server)

    def waiting(self, server: api.ServerKey, priority: float) -> int:
        """Return the permits for a server that other instances want.

        :param priority: only those for requests as urgent, or more, count.
        """
        wants = self._waiting.get(server, ())
        return sum(count for wanted, count in wants if wanted <= priority)

    def permits(self, server: api.ServerKey, now: float) -> int:
        """Return the permits for a server that this instance has."""
        return self._permits.count(server, now)

    def usable_rate(self, server: api.ServerKey, now: float) -> float:
        """Return the rate at which this instance can expect permits at most.

        In requests per second; without an owner, only the designated instance
        has any.
        """
        rate = self._statements.rate(server)
        if rate is None:
            return 0.0
        if now - self._heard_at <= ALONE_SECONDS:
            return api.effective_rate(rate)
        return self._fallback.rate(server, rate)

    def trial_due(self, server: api.ServerKey, now: float) -> bool:
        """Whether a limit was last heard of long ago."""
        return now - self._statements.heard_at(server) > TRIAL_SECONDS

    def available(self, server: api.ServerKey, now: float) -> bool:
        """Whether a request may be sent to a server now."""
        rate = self._statements.rate(server)
        if rate is None or self._permits.count(server, now):
            return True
        if now - self._heard_at <= ALONE_SECONDS:
            return False
        self._fallback.begin(now)
        return self._fallback.permits(server, rate, now)

    def take(self, server: api.ServerKey, now: float) -> str:
        """Count a request that is sent to a server that is available.

        :return: by what it is sent: ``permit`` or ``fallback``; empty for a
            server without a limit.
        """
        rate = self._statements.rate(server)
        if rate is None:
            return ''
        if self._permits.take(server, now):
            return 'permit'
        self._fallback.take(server, rate, now)
        return 'fallback'

    def on_answer(
        self,
        server: api.ServerKey,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Apply an answer; return whether the server's limit has changed."""
        return self._statements.on_answer(server, rate, sent_at, now)

    def keep_only(self, listed: abc.Container[api.ServerKey]) -> None:
        """Forget the servers that are not listed any more."""
        self._statements.keep_only(listed)
        self._granter.keep_only({item.server for item in self.limited})

    def own_news(self, now: float) -> list[api.Statement]:
        """Return what this instance has heard itself of late."""
        self._statements.expire(now - NEWS_SECONDS)
        return self._statements.own()

    def news(self, now: float) -> list[api.Statement]:
        """Return all limits, and the ends of limits of late."""
        self._statements.expire(now - NEWS_SECONDS)
        return self._statements.known()

    def merge(
        self, statements: abc.Iterable[api.Statement]
    ) -> list[api.Statement]:
        """Apply what a peer knows; return the limits that have changed."""
        changed = []
        for item in statements:
            before = self._statements.rate(item.server)
            if self._statements.merge(item) and before != item.rate:
                changed.append(item)
        return changed

    def on_owner(self, leads: bool, now: float) -> None:
        """Record whether this instance is the owner now."""
        if leads and not self._leads:
            self._granter.begin(self._members, now)
        self._leads = leads

    def on_load(
        self,
        member: str,
        wants: abc.Iterable[api.Want],
        confirmed_at: float,
        now: float,
    ) -> list[api.Grant] | None:
        """Return the permits for an instance, at the owner.

        :param confirmed_at: when the store last confirmed this owner.
        :return: ``None`` if this owner may give out none.
        """
        self._granter.record_call(member, confirmed_at, now)
        if not self._statements:
            return []
        return self._granter.grant(member, wants, self._statements.rate, now)

    def on_grants(
        self, grants: abc.Iterable[api.Grant], asked_at: float, now: float
    ) -> None:
        """Add the permits that the owner has given out.

        :param asked_at: when the owner was asked.
        """
        self._heard_at = now
        self._fallback.end()
        self._waiting.clear()
        for grant in grants:
            self._waiting[grant.server] = grant.waiting
            deadline = asked_at + api.PERMIT_SECONDS
            self._permits.add(grant.server, grant.permits, deadline)

    def update_members(self, members: abc.Iterable[str]) -> None:
        """Set the members that the owner knows."""
        self._members = frozenset(members)
        self._fallback.update_members(self._members)

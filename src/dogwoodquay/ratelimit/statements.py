"""Keeps the newest statement of each server on its limit."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Statements']

# Statements that are kept; those without a limit are forgotten first.
MAX_STATEMENTS: typing.Final = 8192


class Statements:
    """What servers have said, by this instance's answers or by its peers."""

    def __init__(self) -> None:
        self._known: dict[api.ServerKey, api.Statement] = {}
        self._own: dict[api.ServerKey, api.Statement] = {}

    def __bool__(self) -> bool:
        return bool(self._known)

    def rate(self, server: api.ServerKey) -> float | None:
        """Return a server's limit per second, ``None`` for none."""
        known = self._known.get(server)
        return None if known is None else known.rate

    def heard_at(self, server: api.ServerKey) -> float:
        """Return as of when the newest statement is known."""
        known = self._known.get(server)
        return float('-inf') if known is None else known.as_of

    def limited(self) -> list[api.Statement]:
        """Return the statements of the servers that are limited."""
        return [item for item in self._known.values() if item.rate is not None]

    def on_answer(
        self,
        server: api.ServerKey,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Apply an answer to a request of this instance.

        An answer without a limit may be older than one that arrived first. It
        ends the limit only if its request was sent after that had been heard.

        :return: whether the limit has changed.
        """
        as_of = sent_at if rate is None else now
        if rate is None and self.rate(server) is None:
            return False
        statement = api.Statement(server, rate, as_of)
        before = self.rate(server)
        if not self.merge(statement):
            return False
        self._own[server] = statement
        return before != rate

    def merge(self, statement: api.Statement) -> bool:
        """Apply a statement unless a newer one is known.

        :return: whether it is the newest now.
        """
        known = self._known.get(statement.server)
        if known is None:
            if statement.rate is None:
                return False
        elif statement.as_of <= known.as_of:
            return False
        self._known[statement.server] = statement
        if len(self._known) > MAX_STATEMENTS:
            ended = (k for k, v in self._known.items() if v.rate is None)
            oldest = next(ended, next(iter(self._known)))
            del self._known[oldest]
        return True

    def own(self) -> list[api.Statement]:
        """Return what this instance has heard itself."""
        return list(self._own.values())

    def known(self) -> list[api.Statement]:
        """Return all limits, and the ends of limits."""
        return list(self._known.values())

    def expire(self, since: float) -> None:
        """Forget ends of limits, and that limits were heard, before a time."""
        for server, item in list(self._own.items()):
            if item.as_of < since:
                del self._own[server]
        for server, item in list(self._known.items()):
            if item.rate is None and item.as_of < since:
                del self._known[server]

    def keep_only(self, listed: abc.Container[api.ServerKey]) -> None:
        """Forget the servers that are not listed any more."""
        for known in (self._known, self._own):
            for server in [item for item in known if item not in listed]:
                del known[server]

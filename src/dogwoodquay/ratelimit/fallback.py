"""Which instance uses a limited server while no owner gives out permits."""

from __future__ import annotations

import hashlib
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Fallback', 'designated']

# The part of a limit that is used then.
USED_SHARE: typing.Final = 0.125


def designated(server: api.ServerKey, members: abc.Iterable[str]) -> str:
    """Return the member that may use a server, empty for none.

    All instances with the same members name the same one.
    """

    def weight(member: str) -> bytes:
        text = f'{server.server_id}\0{server.started_ms}\0{member}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return max(members, key=weight, default='')


class Fallback:
    """One request at a time for each server at a small part of its limit."""

    def __init__(self, member: str) -> None:
        self._member = member
        self._members: frozenset[str] = frozenset()
        self._since = float('inf')
        self._next_at: dict[api.ServerKey, float] = {}
        self._designated: dict[api.ServerKey, str] = {}

    def update_members(self, members: abc.Iterable[str]) -> None:
        """Set the members that the last owner knew."""
        self._members = frozenset(members)
        self._designated.clear()

    def begin(self, now: float) -> None:
        """Begin, unless that has been done already."""
        if self._since == float('inf'):
            self._since = now

    def end(self) -> None:
        """End, as an owner gives out permits."""
        self._since = float('inf')
        self._next_at.clear()
        self._designated.clear()

    def permits(self, server: api.ServerKey, rate: float, now: float) -> bool:
        """Whether a request may be sent to a server now."""
        if now < self._since:
            return False
        if not self._is_designated(server):
            return False
        first = self._since + 1.0 / _rate(rate)
        return now >= self._next_at.get(server, first)

    def rate(self, server: api.ServerKey, limit: float) -> float:
        """Return this instance's requests per second to a server."""
        return _rate(limit) if self._is_designated(server) else 0.0

    def take(self, server: api.ServerKey, rate: float, now: float) -> None:
        """Count a request that is sent."""
        self._next_at[server] = now + 1.0 / _rate(rate)

    def _is_designated(self, server: api.ServerKey) -> bool:
        chosen = self._designated.get(server)
        if chosen is None:
            chosen = designated(server, self._members)
            self._designated[server] = chosen
        return chosen == self._member


def _rate(limit: float) -> float:
    return api.effective_rate(limit) * USED_SHARE

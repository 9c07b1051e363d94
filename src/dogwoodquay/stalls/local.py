"""The progress of this instance's requests, and what it knows of stalls."""

from __future__ import annotations

import collections
import dataclasses
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['LocalProgress']

# The end of a stall arrives as seconds from the call on, so that it differs a
# little between views; by more than this only if the server stalled again.
SAME_SECONDS: typing.Final = 0.5


@dataclasses.dataclass(slots=True)
class _Requests:
    """The requests at one server that wait for their first byte."""

    since: collections.Counter[float] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_flight: int = 0
    heard_at: float = float('-inf')


class LocalProgress:
    """Counts what servers owe to this instance; does no I/O."""

    def __init__(self) -> None:
        self._servers: dict[api.ServerKey, _Requests] = {}
        self._stalled: dict[api.ServerKey, float] = {}

    def sent(self, server: api.ServerKey, now: float) -> None:
        """Count a request that is sent."""
        known = self._servers.get(server)
        if known is None:
            known = self._servers[server] = _Requests()
        known.since[now] += 1
        known.in_flight += 1

    def heard(self, server: api.ServerKey, now: float) -> None:
        """Record that a server has sent something."""
        known = self._servers.get(server)
        if known is not None:
            known.heard_at = now

    def answering(self, server: api.ServerKey, sent_at: float) -> None:
        """Record the first byte for a request."""
        self._stop_waiting(server, sent_at)

    def ended(
        self, server: api.ServerKey, sent_at: float, waiting: bool
    ) -> None:
        """Count the end of a request.

        :param waiting: whether it had no first byte.
        """
        if waiting:
            self._stop_waiting(server, sent_at)
        known = self._servers.get(server)
        if known is None:
            return
        known.in_flight -= 1
        if known.in_flight <= 0:
            del self._servers[server]

    def rows(self, now: float) -> list[api.Progress]:
        """Return the progress at the servers that have requests."""
        overdue = now - api.STALL_SECONDS
        return [
            api.Progress(
                server,
                sum(n for at, n in known.since.items() if at <= overdue),
                known.heard_at,
            )
            for server, known in self._servers.items()
        ]

    def update_stalls(
        self, stalls: abc.Iterable[api.Stall]
    ) -> tuple[list[api.Stall], list[api.ServerKey]]:
        """Replace the stalled servers by those that the owner has found.

        :return: those that are new, and those that are stalled no longer.
        """
        newest = dict(stalls)
        begun = [
            api.Stall(server, until)
            for server, until in newest.items()
            if until > self._stalled.get(server, float('-inf')) + SAME_SECONDS
        ]
        ended = [item for item in self._stalled if item not in newest]
        self._stalled = newest
        return begun, ended

    def stalled(self, server: api.ServerKey, now: float) -> bool:
        """Whether a server is not used now."""
        return now < self._stalled.get(server, float('-inf'))

    def _stop_waiting(self, server: api.ServerKey, sent_at: float) -> None:
        known = self._servers.get(server)
        if known is None:
            return
        known.since[sent_at] -= 1
        if known.since[sent_at] <= 0:
            del known.since[sent_at]

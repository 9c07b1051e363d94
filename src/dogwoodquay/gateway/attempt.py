"""The state of one attempt of a request at a server."""

from __future__ import annotations

import math
import typing

import anyio

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api
    from ..fleet import server as servers
    from ..quarantine import requests
    from . import resumption
    from ..retry import windowed
    from ..traffic import stall_watch

__all__ = ['Attempt']


class Attempt:
    """An attempt, how long its server is silent, and its successor.

    :param head_patience_seconds: the silence before the first byte after
        which a successor is looked for; infinite for never.
    :param gap_patience_seconds: the same between parts of a stream.
    :param on_started: called before a stream's first events are passed on;
        returns what they wait for, if anything.
    :param avoid: servers at which the request has failed before.
    :param in_flight: what is watched of a request with shared prompt parts.
    :param number: the number of attempts of the request so far, with this one.
    :param required_version: the software version at which the request has to
        run, ``None`` for any.
    """

    def __init__(
        self,
        call: api.Call,
        server: servers.Server,
        retries: windowed.WindowedRetries,
        avoid: frozenset[str],
        number: int,
        required_version: str | None,
        head_patience_seconds: float,
        gap_patience_seconds: float,
        now: float,
        on_started: abc.Callable[
            [], abc.Awaitable[resumption.Confirmation | None]
        ],
        in_flight: requests.InFlight | None = None,
    ) -> None:
        self._in_flight = in_flight
        self._call = call
        self._server = server
        self._retries = retries
        self._avoid = avoid | {server.entry.server_id}
        self._number = number
        self._gap_patience_seconds = gap_patience_seconds
        self._silent_since = now
        self._overdue_at = now + head_patience_seconds
        self._on_started = on_started
        self._started = False
        self._awaited: resumption.Confirmation | None = None
        self._received = False
        self._watched: stall_watch.WatchedRequest | None = None
        self._version = server.entry.version
        self._required_version = required_version
        self._scope = anyio.CancelScope()
        self._search: anyio.CancelScope | None = None
        self._successor: servers.Server | None = None

    @property
    def call(self) -> api.Call:
        """The request."""
        return self._call

    @property
    def server(self) -> servers.Server:
        """The server that runs the attempt."""
        return self._server

    @property
    def version(self) -> str:
        """The software version of the server when the attempt began."""
        return self._version

    @property
    def required_version(self) -> str | None:
        """The version at which the request has to go on, ``None`` for any."""
        return self._required_version

    @property
    def in_flight(self) -> requests.InFlight | None:
        """What is watched of a request with shared prompt parts."""
        return self._in_flight

    @property
    def retries(self) -> windowed.WindowedRetries:
        """The decisions about further attempts of the request."""
        return self._retries

    @property
    def avoid(self) -> frozenset[str]:
        """The servers that cannot take the request over, by id."""
        return self._avoid

    @property
    def number(self) -> int:
        """The number of attempts of the request so far, with this one."""
        return self._number

    @property
    def scope(self) -> anyio.CancelScope:
        """The scope in which the attempt runs; a hand-over cancels it."""
        return self._scope

    @property
    def started(self) -> bool:
        """Whether events of a stream have arrived."""
        return self._started

    @property
    def may_pass_on(self) -> bool:
        """Whether events may be passed on to the caller."""
        return self._awaited is None or self._awaited.confirmed

    @property
    def retry_allowed(self) -> bool:
        """Whether the request may be sent to one more server."""
        return self._retries.attempt_left(self._number)

    def watch(self, watched: stall_watch.WatchedRequest) -> None:
        """Set where the arrival of bytes counts as the server's progress."""
        self._watched = watched

    def silence(self, now: float) -> float:
        """Return the seconds for which the server has sent nothing."""
        return max(0.0, now - self._silent_since)

    def on_received(self) -> None:
        """Record that bytes have arrived, which end a search."""
        self._received = True
        if self._watched is not None:
            self._watched.heard()
        self._overdue_at = math.inf
        self.end_search()

    async def on_part(self) -> None:
        """Handle complete events before they are passed on."""
        if not self._started:
            self._started = True
            self._required_version = self._version
            self._awaited = await self._on_started()

    def on_waiting(self, now: float) -> None:
        """Record that the next bytes of the answer are awaited."""
        self._silent_since = now
        self._server.heard(now)
        if self._in_flight is not None and self._started:
            self._in_flight.heard_at = now
        self._overdue_at = now + self._gap_patience_seconds

    def expedite(self, now: float) -> None:
        """Look for a successor now, unless bytes have arrived.

        Nothing changes for a request that may run at one server only.
        """
        if self._received or self._search is not None:
            return
        if self._call.route.repeatable:
            self._overdue_at = now

    def is_overdue(self, now: float) -> bool:
        """Whether the silence lasts too long and no search was begun."""
        return now >= self._overdue_at

    def begin_search(self, scope: anyio.CancelScope) -> None:
        """Record a search for a successor, the only one for this silence."""
        self._search = scope
        self._overdue_at = math.inf

    def end_search(self) -> None:
        """Cancel the search for a successor, if one runs."""
        if self._search is not None:
            self._search.cancel()

    def search_ended(self) -> None:
        """Record that a search has ended."""
        self._search = None

    def search_failed(self, now: float) -> None:
        """Record that a search has failed, so that another one may begin."""
        self._overdue_at = now

    def hand_over(self, successor: servers.Server) -> None:
        """End the attempt as a server has been secured for the next one."""
        self._successor = successor
        self._scope.cancel()

    @property
    def successor_fits(self) -> bool:
        """Whether the secured server, if any, may go on with the stream.

        The first events may have come, or the server may have left, after it
        was secured.
        """
        successor = self._successor
        if successor is None or successor.leaving:
            return False
        return self._required_version in (None, successor.entry.version)

    def take_successor(self) -> servers.Server | None:
        """Return the secured server once; the caller releases it."""
        successor, self._successor = self._successor, None
        return successor

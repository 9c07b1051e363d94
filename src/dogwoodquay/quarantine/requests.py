"""Requests at servers, and what the end of a server tells of them."""

from __future__ import annotations

import typing

import msgspec

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..fleet import api as fleet_api

__all__ = [
    'Ended',
    'InFlight',
    'PROOF_SECONDS',
    'Probing',
    'Process',
    'crash_report',
    'process_of',
]

# A server that has written on an answer for longer did not end because of it.
FRESH_SECONDS: typing.Final = 1.0
# How long broken answers wait for the proof that their server has ended, and
# answers that ended with their connection for the lack of one.
PROOF_SECONDS: typing.Final = 1.0


class Process(typing.NamedTuple):
    """A process of a server, which may start again under its id."""

    server_id: str
    started_ms: int


class Probing(msgspec.Struct):
    """A request that probes a verdict; ``sent`` if a server may run it."""

    parts: frozenset[str]
    sent: bool = False


class InFlight:
    """A request at a server.

    ``probing`` is set if it probes a verdict. ``sound`` is set once its
    traits are known not to have ended the server.
    """

    def __init__(
        self, traits: api.Traits, server: fleet_api.ServerEntry
    ) -> None:
        self.traits = traits
        self.server = server
        self.probing: Probing | None = None
        self.started_at: float | None = None
        self.heard_at: float | None = None
        self.sound = False

    @property
    def has_lasted(self) -> bool:
        """Whether the server has gone on writing after the first event."""
        if self.started_at is None or self.heard_at is None:
            return False
        return self.heard_at - self.started_at >= FRESH_SECONDS

    def is_fresh(self, now: float) -> bool:
        """Whether the server has begun the answer just now, or not yet."""
        return self.started_at is None or now - self.started_at < FRESH_SECONDS

    def ended(self, complete: bool, now: float) -> Ended:
        """Return what is known of the request at its end."""
        return Ended(
            now, self.traits, self.is_fresh(now), complete, self.probing
        )


class Ended(typing.NamedTuple):
    """A request whose answer broke off, or ended with its connection."""

    at: float
    traits: api.Traits
    fresh: bool
    complete: bool
    probing: Probing | None = None


def process_of(server: fleet_api.ServerEntry) -> Process:
    """Return the process of an entry."""
    return Process(server.server_id, server.started_ms)


def crash_report(
    process: Process, ended: abc.Iterable[Ended], now: float
) -> api.CrashReport:
    """Return the requests that may have ended a server."""
    requests = tuple(
        api.BrokenRequest(item.traits.own, item.traits.shared)
        for item in ended
        if item.fresh and now - item.at <= PROOF_SECONDS
    )
    return api.CrashReport(
        process.server_id, now, requests, process.started_ms
    )

"""Decides from the progress at all instances which servers are stalled."""

from __future__ import annotations

import dataclasses
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Detector']

# One request may wait for reasons of its own.
MIN_PENDING: typing.Final = 2
# The progress that an instance reports counts for so long.
REPORT_SECONDS: typing.Final = 0.6
# How long a stalled server is not used, doubled each time that it is found
# stalled again without an answer in between, up to the maximum.
FIRST_SECONDS: typing.Final = 1.0
MAX_SECONDS: typing.Final = 4.0
# Servers that are remembered; more come only from faulty peers.
MAX_SERVERS: typing.Final = 4096


@dataclasses.dataclass(slots=True)
class _State:
    """The reports on one server, and until when it is not used."""

    reports: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    heard_at: float = float('-inf')
    until: float = float('-inf')
    seconds: float = FIRST_SECONDS


class Detector:
    """Finds stalled servers; does no I/O.

    A server that hangs accepts connections and requests and may pass its
    health check. One instance has few requests there and cannot tell it from
    a busy server, but a busy server sends something to some instance.
    """

    def __init__(self) -> None:
        self._states: dict[api.ServerKey, _State] = {}

    def apply(
        self, member: str, rows: abc.Iterable[api.Progress], now: float
    ) -> None:
        """Apply the progress at an instance, which replaces its last one."""
        for state in self._states.values():
            state.reports.pop(member, None)
        for row in rows:
            if row.server not in self._states:
                if len(self._states) >= MAX_SERVERS:
                    continue
                self._states[row.server] = _State()
            state = self._states[row.server]
            state.heard_at = max(state.heard_at, min(row.heard_at, now))
            if row.pending > 0:
                state.reports[member] = (now, row.pending)

    def stalls(self, now: float) -> list[api.Stall]:
        """Return the servers that are not used now."""
        found = []
        for server, state in tuple(self._states.items()):
            if state.heard_at > now - api.STALL_SECONDS:
                state.until = float('-inf')
                state.seconds = FIRST_SECONDS
            elif now >= state.until and self._pending(state, now):
                state.until = now + state.seconds
                state.seconds = min(2.0 * state.seconds, MAX_SECONDS)
            if now < state.until:
                found.append(api.Stall(server, state.until))
        return found

    def keep_only(self, listed: abc.Container[api.ServerKey]) -> None:
        """Forget the servers that are not listed any more."""
        for server in [item for item in self._states if item not in listed]:
            del self._states[server]

    def _pending(self, state: _State, now: float) -> bool:
        """Whether enough requests have waited for too long."""
        state.reports = {
            member: (at, count)
            for member, (at, count) in state.reports.items()
            if now - at <= REPORT_SECONDS
        }
        total = sum(count for _, count in state.reports.values())
        return total >= MIN_PENDING

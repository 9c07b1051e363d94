"""What this instance believes of one server."""

from __future__ import annotations

import typing

from . import api

__all__ = ['Server']

# What is known of the others' requests says nothing after this time.
LOAD_SECONDS: typing.Final = 1.5
# Weight of the newest outcome in the share of failures.
FAILURE_WEIGHT: typing.Final = 0.12
# Failures in a row after which a server gets nothing for a while.
EJECT_AFTER: typing.Final = 3
EJECT_SECONDS: typing.Final = 0.5
EJECT_MAX_SECONDS: typing.Final = 8.0
# Weight of the newest time in the mean time of an answer.
PACE_WEIGHT: typing.Final = 0.1
# How long an owner's word on contents goes before the platform's list.
HELD_SECONDS: typing.Final = 2.0


class Server:
    """One process of a server: its entry, load, health and contents."""

    def __init__(self, entry: api.ServerEntry) -> None:
        self._entry = entry
        self._leaving = entry.state is api.ServerState.LEAVING
        self._in_flight = 0
        self._unstarted = 0
        self._others = 0
        self._others_at = float('-inf')
        self._failing = 0.0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = float('-inf')
        self._unreachable = False
        self._pace = 0.0
        self._held_at = float('-inf')
        self._held = _held(entry)

    @property
    def entry(self) -> api.ServerEntry:
        """The server's own newest entry."""
        return self._entry

    @property
    def leaving(self) -> bool:
        """Whether the server must get nothing new."""
        return self._leaving

    @property
    def in_flight(self) -> int:
        """How many requests of this instance the server has."""
        return self._in_flight

    @property
    def unstarted(self) -> int:
        """How many of them have had no byte of their answer."""
        return self._unstarted

    @property
    def failing(self) -> float:
        """The share of late requests that failed there."""
        return self._failing

    @property
    def pace(self) -> float:
        """The mean seconds of an answer's start, zero when unknown."""
        return self._pace

    @property
    def held(self) -> dict[str, frozenset[str]]:
        """The adapters that are in memory, by model."""
        return self._held

    def holds(self, model: str, adapter: str) -> bool:
        """Whether a model, and an adapter unless empty, is in memory."""
        adapters = self._held.get(model)
        if adapters is None:
            return not model
        return not adapter or adapter in adapters

    def ejected(self, now: float) -> bool:
        """Whether the server gets nothing because it failed."""
        return now < self._ejected_until

    def unreachable(self, now: float) -> bool:
        """Whether it is ejected as no connection could be opened."""
        return self._unreachable and self.ejected(now)

    def load(self, now: float) -> int:
        """Return the requests that the server has from all instances.

        Those of others are as last told; the own are exact.
        """
        if now - self._others_at > LOAD_SECONDS:
            return self._in_flight
        return self._others + self._in_flight

    def follow(self, entry: api.ServerEntry, now: float) -> None:
        """Take in a newer entry of the same process."""
        self._entry = entry
        self._leaving = self._leaving or entry.state is api.ServerState.LEAVING
        if now - self._held_at > HELD_SECONDS:
            self._held = _held(entry)

    def leave(self) -> None:
        """Give the server nothing new from now on."""
        self._leaving = True

    def note_held(self, held: dict[str, frozenset[str]], now: float) -> None:
        """Take in what the owner of the orders knows of the contents."""
        self._held = held
        self._held_at = now

    def note_absent(self, model: str, adapter: str) -> None:
        """Note that the server says that it does not hold something."""
        held = dict(self._held)
        if adapter and model in held:
            held[model] = held[model] - {adapter}
        else:
            held.pop(model, None)
        self._held = held

    def note_load(self, total: int, now: float) -> None:
        """Take in the server's own count of its requests at this time."""
        self.note_others(max(0, total - self._in_flight), now)

    def note_others(self, count: int, now: float) -> None:
        """Take in how many requests of other instances it has."""
        self._others = count
        self._others_at = now

    def begin(self) -> None:
        """Count a request that is sent there."""
        self._in_flight += 1
        self._unstarted += 1

    def started(self) -> None:
        """Count a request whose answer has begun."""
        self._unstarted -= 1

    def end(self, started: bool) -> None:
        """Count a request that ended there, begun or not."""
        self._in_flight -= 1
        if not started:
            self._unstarted -= 1

    def succeeded(self, start_seconds: float) -> None:
        """Note an answer and how long it took to start."""
        self._failures = 0
        self._ejections = 0
        self._failing -= self._failing * FAILURE_WEIGHT
        if not self._pace:
            self._pace = start_seconds
        self._pace += (start_seconds - self._pace) * PACE_WEIGHT

    def failed(self, now: float, unreachable: bool = False) -> bool:
        """Note a failure of the server.

        :param unreachable: no connection could be opened.
        :return: whether the server is ejected because of it.
        """
        self._failures += 1
        self._unreachable = unreachable
        self._failing += (1.0 - self._failing) * FAILURE_WEIGHT
        if not unreachable and self._failures < EJECT_AFTER:
            return False
        if self.ejected(now):
            return False
        pause = EJECT_SECONDS * 2**self._ejections
        self._ejections += 1
        self._ejected_until = now + min(pause, EJECT_MAX_SECONDS)
        return True


def _held(entry: api.ServerEntry) -> dict[str, frozenset[str]]:
    return {model.name: model.adapters for model in entry.models}

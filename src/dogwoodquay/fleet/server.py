"""The state of one server as this instance knows it."""

from __future__ import annotations

import typing

from . import api

__all__ = ['Server']

# A server whose streams pause for so long may be silent.
SILENT_SECONDS: typing.Final = 0.35
# After this time the last known load of the other instances is ignored.
OTHERS_LOAD_SECONDS: typing.Final = 1.5
# Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT: typing.Final = 0.12
# Consecutive failures after which a server is ejected: it gets no requests
# for EJECT_SECONDS, doubled with each further ejection up to the maximum.
EJECT_AFTER: typing.Final = 3
EJECT_SECONDS: typing.Final = 0.5
EJECT_MAX_SECONDS: typing.Final = 8.0
# After a pause, requests return to a server within this time.
RETURN_SECONDS: typing.Final = 1.0
# Weight of the newest value in the mean time to first byte.
FIRST_BYTE_WEIGHT: typing.Final = 0.1
# For this time after an update by the owner, which is the instance that gives
# orders to engines, the models in the platform's list are ignored.
OWNER_VIEW_SECONDS: typing.Final = 2.0


class Server:
    """One process of a server: its entry, load, health and loaded models."""

    def __init__(self, entry: api.ServerEntry) -> None:
        self._entry = entry
        self._leaving = entry.state is api.ServerState.LEAVING
        self._in_flight = 0
        self._awaiting_first_byte = 0
        self._heard_at = float('-inf')
        self._others_load = 0
        self._others_load_at = float('-inf')
        self._failure_rate = 0.0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = float('-inf')
        self._unreachable = False
        self._stalled_until = float('-inf')
        self._paused_until = float('-inf')
        self._mean_first_byte_seconds = 0.0
        self._owner_view_at = float('-inf')
        self._loaded = _listed_models(entry)

    @property
    def entry(self) -> api.ServerEntry:
        """The newest entry of the server."""
        return self._entry

    @property
    def leaving(self) -> bool:
        """Whether the server must get no new requests."""
        return self._leaving

    @property
    def in_flight(self) -> int:
        """The number of this instance's requests that the server has."""
        return self._in_flight

    @property
    def awaiting_first_byte(self) -> int:
        """The number of these requests without a first byte of the answer."""
        return self._awaiting_first_byte

    @property
    def failure_rate(self) -> float:
        """The moving average of the share of requests that fail."""
        return self._failure_rate

    @property
    def mean_first_byte_seconds(self) -> float:
        """The mean time to first byte in seconds, or zero if unknown."""
        return self._mean_first_byte_seconds

    @property
    def paused_until(self) -> float:
        """When the server wants requests again, if it has paused."""
        return self._paused_until

    @property
    def loaded(self) -> dict[str, frozenset[str]]:
        """The loaded models with their loaded adapters."""
        return self._loaded

    def has_loaded(self, model: str, adapter: str) -> bool:
        """Whether a model and an adapter are loaded; empty names match."""
        adapters = self._loaded.get(model)
        if adapters is None:
            return not model
        return not adapter or adapter in adapters

    def ejected(self, now: float) -> bool:
        """Whether the server gets no requests because of failures."""
        return now < max(self._ejected_until, self._stalled_until)

    def unreachable(self, now: float) -> bool:
        """Whether the server is ejected because it accepts no connections."""
        return self._unreachable and self.ejected(now)

    def paused(self, now: float) -> bool:
        """Whether the server wants no requests from this instance."""
        return now < self._paused_until

    def stall(self, until: float) -> None:
        """Eject the server until a time, as it answers no instance."""
        self._stalled_until = until

    def pause(self, until: float) -> None:
        """Send the server nothing before a time, or a later known one."""
        self._paused_until = max(self._paused_until, until)

    def share_after_pause(self, now: float) -> float:
        """Return the share of its requests that it gets after a pause."""
        return min(1.0, (now - self._paused_until) / RETURN_SECONDS)

    def silent(self, now: float) -> bool:
        """Whether streams run there and none has had an event lately."""
        streams = self._in_flight - self._awaiting_first_byte
        return streams > 0 and now - self._heard_at > SILENT_SECONDS

    def heard(self, now: float) -> None:
        """Record that a part of a stream has arrived."""
        self._heard_at = now

    def load(self, now: float) -> int:
        """Return the number of requests from all instances.

        The other instances' requests are as last reported, this instance's
        own are exact.
        """
        if now - self._others_load_at > OTHERS_LOAD_SECONDS:
            return self._in_flight
        return self._others_load + self._in_flight

    def load_known(self, now: float) -> bool:
        """Whether the load of the other instances was reported lately."""
        return now - self._others_load_at <= OTHERS_LOAD_SECONDS

    def update_entry(self, entry: api.ServerEntry, now: float) -> None:
        """Apply a newer entry of the same process."""
        self._entry = entry
        self._leaving = self._leaving or entry.state is api.ServerState.LEAVING
        if now - self._owner_view_at > OWNER_VIEW_SECONDS:
            self._loaded = _listed_models(entry)

    def leave(self) -> None:
        """Mark the server as leaving, so that it gets no new requests."""
        self._leaving = True

    def update_loaded(
        self, loaded: dict[str, frozenset[str]], now: float
    ) -> None:
        """Apply the loaded models as the owner knows them."""
        self._loaded = loaded
        self._owner_view_at = now

    def mark_not_loaded(self, model: str, adapter: str) -> None:
        """Apply a server's answer that a model or adapter is not loaded."""
        loaded = dict(self._loaded)
        if adapter and model in loaded:
            loaded[model] = loaded[model] - {adapter}
        else:
            loaded.pop(model, None)
        self._loaded = loaded

    def update_load(self, total: int, now: float) -> None:
        """Apply the server's own count of its current requests."""
        self.update_others_load(max(0, total - self._in_flight), now)

    def update_others_load(self, count: int, now: float) -> None:
        """Apply the number of requests from other instances."""
        self._others_load = count
        self._others_load_at = now

    def begin(self) -> None:
        """Count a request that is sent to the server."""
        self._in_flight += 1
        self._awaiting_first_byte += 1

    def on_answer_started(self) -> None:
        """Record that the answer to a request has started."""
        self._awaiting_first_byte -= 1

    def end(self, started: bool) -> None:
        """Count the end of a request.

        :param started: whether its answer had begun.
        """
        self._in_flight -= 1
        if not started:
            self._awaiting_first_byte -= 1

    def succeeded(self, start_seconds: float) -> None:
        """Record a successful answer with its time to first byte."""
        self._failures = 0
        self._ejections = 0
        self._failure_rate -= self._failure_rate * FAILURE_WEIGHT
        if not self._mean_first_byte_seconds:
            self._mean_first_byte_seconds = start_seconds
        self._mean_first_byte_seconds += (
            start_seconds - self._mean_first_byte_seconds
        ) * FIRST_BYTE_WEIGHT

    def failed(self, now: float, unreachable: bool = False) -> bool:
        """Record a failure of the server.

        :param unreachable: whether no connection could be opened; this ejects
            the server at once.
        :return: whether this failure ejects the server.
        """
        self._failures += 1
        self._unreachable = unreachable
        self._failure_rate += (1.0 - self._failure_rate) * FAILURE_WEIGHT
        if not unreachable and self._failures < EJECT_AFTER:
            return False
        if self.ejected(now):
            return False
        pause = EJECT_SECONDS * 2**self._ejections
        self._ejections += 1
        self._ejected_until = now + min(pause, EJECT_MAX_SECONDS)
        return True


def _listed_models(entry: api.ServerEntry) -> dict[str, frozenset[str]]:
    return {model.name: model.adapters for model in entry.models}

"""A bounded table of the versions that began streams."""

from __future__ import annotations

import typing

__all__ = ['Origin', 'OriginTable']

# Bounds of the time after which a generation of records is replaced.
MIN_GENERATION_SECONDS: typing.Final = 5.0
MAX_GENERATION_SECONDS: typing.Final = 60.0
# The most streams in a generation.
MAX_ENTRIES: typing.Final = 100_000
# The most services and owners of which a stream's origin is kept.
MAX_ORIGINS: typing.Final = 8


class Origin(typing.NamedTuple):
    """The service and the software version that began a stream.

    ``owner`` tells apart the streams of callers that chose the same
    identifier; empty where no tenants are declared.
    """

    service: str
    version: str
    owner: str = ''


class _Entry(typing.NamedTuple):
    """The origins of a stream and when they are no longer needed."""

    until: float
    origins: tuple[Origin, ...]


class OriginTable:
    """Keeps the origins of streams in two generations.

    A generation is replaced after the longest lifetime of the records of the
    two, or when it is full; a record is kept for at least its lifetime,
    within the bounds. The first origin of a service and owner is kept.
    """

    def __init__(self) -> None:
        self._young: dict[str, _Entry] = {}
        self._old: dict[str, _Entry] = {}
        self._young_seconds = self._old_seconds = MIN_GENERATION_SECONDS
        self._replaced_at = float('-inf')
        self._known: dict[Origin, Origin] = {}

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    @property
    def _seconds(self) -> float:
        return max(self._young_seconds, self._old_seconds)

    def put(
        self, stream_id: str, origin: Origin, seconds: float, now: float
    ) -> None:
        """Add the origin of a stream unless its service and owner have one.

        :param seconds: the time for which it is needed.
        """
        self._replace_old(now)
        seconds = min(seconds, MAX_GENERATION_SECONDS)
        entry = self._take(stream_id) or _Entry(now, ())
        origins = entry.origins
        if len(origins) < MAX_ORIGINS and all(
            (known.service, known.owner) != (origin.service, origin.owner)
            for known in origins
        ):
            shared = self._known.setdefault(origin, origin)
            origins = (*origins, shared)
        until = max(entry.until, now + seconds)
        self._add(stream_id, _Entry(until, origins), now)

    def find(self, stream_id: str, now: float) -> tuple[Origin, ...]:
        """Return the origins of a stream, which are then kept for longer."""
        self._replace_old(now)
        entry = self._take(stream_id)
        if entry is None:
            return ()
        self._add(stream_id, entry, now)
        return entry.origins

    def seconds_left(self, stream_id: str, now: float) -> float:
        """Return for how long a record is still needed."""
        entry = self._young.get(stream_id) or self._old.get(stream_id)
        return max(0.0, entry.until - now) if entry is not None else 0.0

    def alive(self, now: float) -> list[tuple[str, float, tuple[Origin, ...]]]:
        """Return the records still needed, for how long, and the origins."""
        return [
            (stream_id, entry.until - now, entry.origins)
            for generation in (self._young, self._old)
            for stream_id, entry in generation.items()
            if entry.until > now
        ]

    def _take(self, stream_id: str) -> _Entry | None:
        """Remove an entry and return it."""
        entry = self._young.pop(stream_id, None)
        return entry or self._old.pop(stream_id, None)

    def _add(self, stream_id: str, entry: _Entry, now: float) -> None:
        """Add an entry as the newest one."""
        if len(self._young) >= MAX_ENTRIES:
            self._replace(now)
        self._young[stream_id] = entry
        self._young_seconds = max(self._young_seconds, entry.until - now)

    def _replace_old(self, now: float) -> None:
        """Remove the generations whose time is over."""
        if now - self._replaced_at >= 2 * self._seconds:
            self._young = {}
        if now - self._replaced_at >= self._seconds:
            self._replace(now)

    def _replace(self, now: float) -> None:
        self._old, self._young = self._young, {}
        self._old_seconds = self._young_seconds
        self._young_seconds = MIN_GENERATION_SECONDS
        self._replaced_at = now
        self._known = {
            origin: origin
            for entry in self._old.values()
            for origin in entry.origins
        }

"""Derives the limits from those of the process."""

from __future__ import annotations

import typing

__all__ = ['CALM_BYTES', 'CONNECTION_BYTES', 'MIN_BUFFER_BYTES', 'MemoryUse']

# The state of a connection without a request: tasks, parser, transport.
CONNECTION_BYTES: typing.Final = 24 << 10
# Enough for one request with a large body and its answer.
MIN_BUFFER_BYTES: typing.Final = 12 << 20
# Served however much memory the process seems to use.
MIN_CONNECTIONS: typing.Final = 256
# The rest is for copies that are made while data is passed on, and for memory
# that the allocator does not return.
BUFFER_SHARE: typing.Final = 0.5
# Up to this size what is held says little of the use by connections.
CALM_BYTES: typing.Final = 2 << 20
# A growth of the process's own use that may be memory that was freed.
SLACK_BYTES: typing.Final = 4 << 20
CONNECTIONS_SHARE: typing.Final = 0.2


class MemoryUse:
    """The memory that a process uses for itself, and what is left."""

    def __init__(self, limit_bytes: float) -> None:
        """Create the account.

        :param limit_bytes: the memory of the process, infinite if unknown.
        """
        self._limit_bytes = limit_bytes
        self._own_bytes = 0.0
        self._calm_own_bytes = 0.0

    @property
    def own_bytes(self) -> float:
        """What the process uses beside what it holds for clients."""
        return self._own_bytes

    @property
    def is_grown(self) -> bool:
        """Whether the process uses more than before much was held."""
        return self._own_bytes > self._calm_own_bytes + SLACK_BYTES

    @property
    def left_bytes(self) -> float:
        """What the process does not use for itself."""
        return max(0.0, self._limit_bytes - self._own_bytes)

    @property
    def max_connections(self) -> float:
        """The number of connections that the memory is enough for."""
        count = self.left_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES
        return max(count, MIN_CONNECTIONS)

    def buffer_bytes(self, connections: int) -> float:
        """Return what may be held of requests and answers."""
        left = self.left_bytes * BUFFER_SHARE
        return max(left - connections * CONNECTION_BYTES, MIN_BUFFER_BYTES)

    def measure(self, resident: int, held: int, connections: int) -> None:
        """Update the process's own use.

        While much is held, it is not taken to be less than before that, as
        what is held is counted before it is resident.
        """
        own = max(0.0, resident - held - connections * CONNECTION_BYTES)
        if held <= CALM_BYTES:
            self._calm_own_bytes = own
        self._own_bytes = max(own, self._calm_own_bytes)

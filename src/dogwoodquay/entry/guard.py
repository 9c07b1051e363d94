"""Carries out the limits on what clients make an instance hold."""

from __future__ import annotations

import itertools
import math
import typing

import anyio

from .. import clock as clocks
from . import holdings
from ..inbound import api
from ..inbound import budget as budgets
from ..inbound import capacity
from ..observe import logs
from ..observe import process

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['CALLERS', 'ConnectionGuard', 'GuardSettings', 'READINESS']

CHECK_SECONDS: typing.Final = 1.0
# Lines about connections that are given up, in one interval of checks.
MAX_LOG_LINES: typing.Final = 10
# The least time between two returns of free memory to the system.
TRIM_SECONDS: typing.Final = 4.0
# The connections of callers and of readiness, as shares of the descriptors.
CALLERS: typing.Final = 'callers'
READINESS: typing.Final = 'readiness'
_SHARES: typing.Final = {CALLERS: 0.625, READINESS: 0.0625}

_LOG: typing.Final = logs.ComponentLog('inbound')


class GuardSettings(typing.NamedTuple):
    """The limits of the process and the times that clients have.

    ``memory_bytes`` and ``descriptors`` are those of the process for memory
    and sockets, infinite where there is none.
    """

    memory_bytes: float = math.inf
    descriptors: float = math.inf
    head_seconds: float = 20.0
    write_seconds: float = 30.0


class ConnectionGuard:
    """Counts what all connections hold and gives up what is too much."""

    def __init__(
        self,
        settings: GuardSettings,
        clock: clocks.Clock | None = None,
        on_released: abc.Callable[[str, str], None] = lambda _, __: None,
    ) -> None:
        """Create the guard.

        :param on_released: called with the reason and the phase of each
            connection or request that is given up.
        """
        self._settings = settings
        self._clock = clock or clocks.SteadyClock()
        self._on_released = on_released
        self._memory = capacity.MemoryUse(settings.memory_bytes)
        self._budget = budgets.Budget(self._limits(0))
        self._holdings: dict[int, holdings.Holding] = {}
        self._writing: set[holdings.Holding] = set()
        self._numbers = itertools.count()
        self._lines = 0
        self._unlogged = 0
        self._trim_at = 0.0

    def held(self) -> float:
        """Return what is held of requests and answers."""
        return self._budget.held_bytes

    def limit(self) -> float:
        """Return what may be held of requests and answers."""
        return self._memory.buffer_bytes(self._budget.connections)

    def count(self) -> float:
        """Return the number of open connections."""
        return self._budget.connections

    def set_times(self, head_seconds: float, write_seconds: float) -> None:
        """Set the times that clients have from now on."""
        self._settings = self._settings._replace(
            head_seconds=head_seconds, write_seconds=write_seconds
        )

    def open(
        self, listener: str, connection: holdings.Releasable
    ) -> holdings.Holding:
        """Count a new connection; it may be closed at once."""
        number = next(self._numbers)
        holding = holdings.Holding(self, self._budget, number, connection)
        self._holdings[number] = holding
        self.apply(self._budget.open(number, listener, self.now()))
        return holding

    def forget(self, number: int) -> None:
        """Stop counting a connection that is closed."""
        if self._holdings.pop(number, None) is not None:
            self._budget.forget(number)

    def watch(self, holding: holdings.Holding) -> None:
        """Check from now on whether a client takes what is written."""
        self._writing.add(holding)

    def unwatch(self, holding: holdings.Holding) -> None:
        """Check a client no longer."""
        self._writing.discard(holding)

    def now(self) -> float:
        """Return the time on the clock of the deadlines."""
        return self._clock.now()

    def head_deadline(self) -> float:
        """Return when a head that begins now has to be whole."""
        return self.now() + self._settings.head_seconds

    def write_deadline(self) -> float:
        """Return when a client has to have taken some of what is written."""
        return self.now() + self._settings.write_seconds

    def apply(self, effects: list[api.Effect]) -> None:
        """Give up connections and requests."""
        for effect in effects:
            holding = self._holdings[effect.released.connection]
            self._record(effect.released, holding)
            match effect:
                case api.Close():
                    holding.abort()
                case api.Refuse():
                    holding.refuse()

    async def run(self) -> None:
        """Check times and memory until cancelled."""
        while True:
            self._check()
            await anyio.sleep(CHECK_SECONDS)

    def _check(self) -> None:
        if self._unlogged:
            _LOG.write('released_more', count=self._unlogged)
        self._lines = self._unlogged = 0
        for holding in tuple(self._writing):
            holding.on_written()
        self.apply(self._budget.expire(self.now()))
        if self._settings.memory_bytes < math.inf:
            self._measure()
        self._budget.set_limits(self._limits(self._budget.connections))
        self.apply(self._budget.relieve(self.now()))

    def _measure(self) -> None:
        self._read_memory()
        if self._memory.is_grown and self.now() >= self._trim_at:
            process.release_free_memory()
            self._trim_at = self.now() + TRIM_SECONDS
            self._read_memory()

    def _read_memory(self) -> None:
        resident = process.resident_bytes()
        if resident is not None:
            held = self._budget.held_bytes
            connections = self._budget.connections
            self._memory.measure(resident, held, connections)

    def _limits(self, connections: int) -> api.Limits:
        descriptors = self._settings.descriptors
        most = self._memory.max_connections
        shares = {
            name: min(share * descriptors, most)
            for name, share in _SHARES.items()
        }
        return api.Limits(self._memory.buffer_bytes(connections), shares)

    def _record(
        self, released: api.Released, holding: holdings.Holding
    ) -> None:
        reason, phase = released.reason.value, released.phase.value
        self._on_released(reason, phase)
        self._lines += 1
        if self._lines > MAX_LOG_LINES:
            self._unlogged += 1
            return
        _LOG.write(
            'released',
            client=holding.client,
            reason=reason,
            phase=phase,
            held_bytes=released.held_bytes,
            all_held_bytes=self._budget.held_bytes,
            connections=self._budget.connections,
        )

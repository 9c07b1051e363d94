"""Permits for weight store slots, and the rate limit for loads."""

from __future__ import annotations

import dataclasses
import typing
import uuid

import anyio

from . import entries

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from ..journal import writer as journal_writer
    from ..records import api as records_api
    from . import replay

__all__ = [
    'LoadRateLimiter',
    'LocalPermits',
    'PermitSource',
    'assigned_slots',
    'slot_assignments',
]


class PermitSource(typing.Protocol):
    """Grants a pool's owner the use of weight store slots.

    A slot stays assigned to a pool across owners until it is released.
    Loads therefore need no request of their own and can start while the log
    is unavailable.
    """

    async def acquire(
        self, pool: str, pool_epoch: int, wanted: int, deadline: float
    ) -> frozenset[int] | None:
        """Acquire slots and return all that the pool may use now.

        :param pool_epoch: the pool owner's epoch; later calls under lower
            epochs have no effect.
        :param wanted: the number of slots that the pool can use.
        :return: nothing if the owner of the slots can't be reached.
        """

    async def release(
        self,
        pool: str,
        pool_epoch: int,
        slots: frozenset[int],
        deadline: float,
    ) -> bool:
        """Release slots that no load of the pool can use any more.

        :return: whether the release is confirmed.
        """


def assigned_slots(
    slots: abc.Mapping[int, replay.SlotAssignment], pool: str
) -> frozenset[int]:
    """Return the slots that are assigned to a pool."""
    return frozenset(
        slot for slot, assignment in slots.items() if assignment.pool == pool
    )


def slot_assignments(
    slots: abc.Mapping[int, replay.SlotAssignment],
    total: int,
    epoch: int,
    pool: str,
    pool_epoch: int,
    wanted: int,
) -> tuple[entries.SlotAssigned, ...]:
    """Return the entries that assign slots to a pool under an epoch.

    If the pool has enough slots already, one of them is renewed: a valid
    entry proves that the answering instance still owns the slots.

    :param epoch: the epoch of the owner of the slots.
    """
    assigned = assigned_slots(slots, pool)
    if any(slots[slot].pool_epoch > pool_epoch for slot in assigned):
        return ()
    free = [slot for slot in range(total) if slot not in slots]
    renewed = [
        slot
        for slot in sorted(assigned)
        if slots[slot].pool_epoch < pool_epoch
    ]
    added = free[: max(0, wanted - len(assigned))]
    if not renewed and not added:
        renewed = sorted(assigned)[:1]
    return tuple(
        entries.SlotAssigned(
            entry_id=uuid.uuid4().hex,
            epoch=epoch,
            slot=slot,
            pool=pool,
            pool_epoch=pool_epoch,
        )
        for slot in [*renewed, *added]
    )


@dataclasses.dataclass
class LoadRateLimiter:
    """Limits the load rate of a pool in proportion to its slots.

    All pools together thus keep the rate that the policy declares.
    """

    loads_per_second: float
    total_slots: int
    _next_start: float = 0.0

    @property
    def next_start(self) -> float:
        """The earliest start of the next load."""
        return self._next_start

    def update_policy(self, policy: records_api.Policy) -> None:
        """Set the load rate and the number of slots from a policy."""
        self.loads_per_second = policy.loads_per_second
        self.total_slots = policy.parallel_loads

    def may_start(self, now: float) -> bool:
        """Whether a load may start now."""
        return now >= self._next_start

    def on_load_started(self, slots: int, now: float) -> None:
        """Handle the start of a load.

        :param slots: the number of slots assigned to the pool.
        """
        share = max(1, slots) / self.total_slots
        self._next_start = now + 1.0 / (self.loads_per_second * share)


class LocalPermits:
    """Assigns slots on the instance that owns the duty ``weights``.

    A duty is a task that one instance does for all.
    """

    def __init__(
        self,
        state: replay.DutyState,
        writer: journal_writer.Writer[entries.LedgerEntry],
        epoch: abc.Callable[[], int | None],
        total: abc.Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        """Make the permit source.

        :param state: the replayed state of the duty ``weights``.
        :param epoch: returns the epoch of this process's term, or nothing
            while it does not own the duty.
        :param total: returns the declared number of slots.
        """
        self._state = state
        self._writer = writer
        self._epoch = epoch
        self._total = total
        self._clock = clock
        self._lock = anyio.Lock()

    async def acquire(
        self, pool: str, pool_epoch: int, wanted: int, deadline: float
    ) -> frozenset[int] | None:
        """Acquire slots and return all that the pool may use now."""
        async with self._lock:
            epoch = self._epoch()
            if epoch is None:
                return None
            batch = slot_assignments(
                self._state.slots,
                self._total(),
                epoch,
                pool,
                pool_epoch,
                wanted,
            )
            if batch:
                if not await self._append(batch, deadline):
                    return None
            return self._usable_slots(pool, pool_epoch)

    async def _append(
        self, batch: tuple[entries.LedgerEntry, ...], deadline: float
    ) -> bool:
        result = await self._writer.append(batch, deadline)
        return result.is_ok() and all(verdict.valid for verdict in result.ok)

    def _usable_slots(self, pool: str, pool_epoch: int) -> frozenset[int]:
        return frozenset(
            slot
            for slot, assignment in self._state.slots.items()
            if assignment.pool == pool and assignment.pool_epoch == pool_epoch
        )

    async def release(
        self,
        pool: str,
        pool_epoch: int,
        slots: frozenset[int],
        deadline: float,
    ) -> bool:
        """Release slots that no load of the pool can use any more."""
        async with self._lock:
            epoch = self._epoch()
            if epoch is None or not slots:
                return False
            batch = tuple(
                entries.SlotFreed(
                    entry_id=uuid.uuid4().hex,
                    epoch=epoch,
                    slot=slot,
                    pool=pool,
                    pool_epoch=pool_epoch,
                )
                for slot in sorted(slots)
            )
            return await self._append(batch, deadline)

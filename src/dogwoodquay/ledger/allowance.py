"""Slots of the weight store: who may use which, and how fast."""

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

__all__ = ['LocalPermits', 'Pace', 'PermitSource', 'assignments', 'held']


class PermitSource(typing.Protocol):
    """Lets a pool's owner use slots of the weight store.

    A slot stays with a pool, whoever owns it, until it is released; so
    nothing has to be asked for each load, nor while the log is out.
    """

    async def acquire(
        self, pool: str, pool_epoch: int, wanted: int, deadline: float
    ) -> frozenset[int] | None:
        """Return all slots that the pool may use now.

        :param pool_epoch: the caller's epoch; later calls under lower
            epochs have no effect.
        :param wanted: how many slots are useful.
        :return: nothing when the owner of the slots can't be asked.
        """

    async def release(
        self,
        pool: str,
        pool_epoch: int,
        slots: frozenset[int],
        deadline: float,
    ) -> bool:
        """Give slots back that no load of the pool can use any more."""


def held(
    slots: abc.Mapping[int, replay.SlotHolder], pool: str
) -> frozenset[int]:
    """Return the slots that a pool may use."""
    return frozenset(
        slot for slot, holder in slots.items() if holder.pool == pool
    )


def assignments(
    slots: abc.Mapping[int, replay.SlotHolder],
    total: int,
    epoch: int,
    pool: str,
    pool_epoch: int,
    wanted: int,
) -> tuple[entries.SlotAssigned, ...]:
    """Return the entries that give a pool's new epoch its slots.

    A pool that has all that it wants renews one slot: that this is valid on
    the log proves that the answer does not come from a replaced owner.
    """
    mine = held(slots, pool)
    if any(slots[slot].pool_epoch > pool_epoch for slot in mine):
        return ()
    free = [slot for slot in range(total) if slot not in slots]
    renewed = [
        slot for slot in sorted(mine) if slots[slot].pool_epoch < pool_epoch
    ]
    added = free[: max(0, wanted - len(mine))]
    if not renewed and not added:
        renewed = sorted(mine)[:1]
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
class Pace:
    """Spaces the starts of loads so that all slots together keep the rate."""

    loads_per_second: float
    total_slots: int
    _next_at: float = 0.0

    @property
    def next_at(self) -> float:
        """When the next load may start."""
        return self._next_at

    def follow(self, policy: records_api.Policy) -> None:
        """Keep the rate that a policy states from now on."""
        self.loads_per_second = policy.loads_per_second
        self.total_slots = policy.parallel_loads

    def ready(self, now: float) -> bool:
        """Whether a load may start now."""
        return now >= self._next_at

    def started(self, slots: int, now: float) -> None:
        """Note the start of a load by a pool that has so many slots."""
        share = max(1, slots) / self.total_slots
        self._next_at = now + 1.0 / (self.loads_per_second * share)


class LocalPermits:
    """The slots as seen by the instance that owns the duty of them."""

    def __init__(
        self,
        state: replay.DutyState,
        writer: journal_writer.Writer[entries.LedgerEntry],
        epoch: abc.Callable[[], int | None],
        total: abc.Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        """Make the permits.

        :param state: the replayed stream of the duty ``weights``.
        :param epoch: returns the epoch of this process's tenure, if any.
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
        """Return all slots that the pool may use now."""
        async with self._lock:
            epoch = self._epoch()
            if epoch is None:
                return None
            batch = assignments(
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
            return self._usable(pool, pool_epoch)

    async def _append(
        self, batch: tuple[entries.LedgerEntry, ...], deadline: float
    ) -> bool:
        result = await self._writer.append(batch, deadline)
        return result.is_ok() and all(verdict.valid for verdict in result.ok)

    def _usable(self, pool: str, pool_epoch: int) -> frozenset[int]:
        return frozenset(
            slot
            for slot, holder in self._state.slots.items()
            if holder.pool == pool and holder.pool_epoch == pool_epoch
        )

    async def release(
        self,
        pool: str,
        pool_epoch: int,
        slots: frozenset[int],
        deadline: float,
    ) -> bool:
        """Give slots back that no load of the pool can use any more."""
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

"""Slots of the weight store, asked of whichever instance owns them."""

from __future__ import annotations

import typing

from ..ledger import weight_slots
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['PermitAnswer', 'PermitRelease', 'PermitRequest', 'RoutedPermits']


class PermitRequest(wire_api.Message, frozen=True, tag='permit?'):
    """Asks the owner of the weight store's slots for some of them."""

    pool: str
    pool_epoch: int
    wanted: int


class PermitRelease(wire_api.Message, frozen=True, tag='permit-release'):
    """Gives slots back to their owner."""

    pool: str
    pool_epoch: int
    slots: tuple[int, ...]


class PermitAnswer(wire_api.Message, frozen=True, tag='permit'):
    """The slots that a pool may use; ``None`` when the sender owns none."""

    slots: tuple[int, ...] | None


class RoutedPermits:
    """Implements ``allowance.PermitSource`` for all instances.

    :param owner: returns where the slots' owner listens, ``None`` when that
        is not known.
    :param is_owner: whether this instance owns them.
    """

    def __init__(
        self,
        transport: wire_api.Transport,
        local: weight_slots.PermitSource,
        owner: abc.Callable[[], wire_api.PeerAddress | None],
        is_owner: abc.Callable[[], bool],
    ) -> None:
        self._transport = transport
        self._local = local
        self._owner = owner
        self._is_owner = is_owner
        transport.register(PermitRequest, self._answer_request)
        transport.register(PermitRelease, self._answer_release)
        transport.register(PermitAnswer)

    async def acquire(
        self, pool: str, pool_epoch: int, wanted: int, deadline: float
    ) -> frozenset[int] | None:
        """Return all slots that the pool may use now."""
        if self._is_owner():
            return await self._local.acquire(
                pool, pool_epoch, wanted, deadline
            )
        return await self._ask(
            PermitRequest(pool, pool_epoch, wanted), deadline
        )

    async def release(
        self,
        pool: str,
        pool_epoch: int,
        slots: frozenset[int],
        deadline: float,
    ) -> bool:
        """Give slots back that no load of the pool can use any more."""
        if self._is_owner():
            return await self._local.release(pool, pool_epoch, slots, deadline)
        message = PermitRelease(pool, pool_epoch, tuple(sorted(slots)))
        return await self._ask(message, deadline) is not None

    async def _ask(
        self, message: PermitRequest | PermitRelease, deadline: float
    ) -> frozenset[int] | None:
        peer = self._owner()
        if peer is None:
            return None
        result = await self._transport.request(
            peer, message, PermitAnswer, deadline
        )
        if result.is_error() or result.ok.slots is None:
            return None
        return frozenset(result.ok.slots)

    async def _answer_request(
        self,
        sender: wire_api.Sender,
        message: PermitRequest,
        deadline: float,
    ) -> PermitAnswer:
        slots = await self._local.acquire(
            message.pool, message.pool_epoch, message.wanted, deadline
        )
        return PermitAnswer(None if slots is None else tuple(sorted(slots)))

    async def _answer_release(
        self,
        sender: wire_api.Sender,
        message: PermitRelease,
        deadline: float,
    ) -> PermitAnswer:
        released = await self._local.release(
            message.pool,
            message.pool_epoch,
            frozenset(message.slots),
            deadline,
        )
        return PermitAnswer(() if released else None)

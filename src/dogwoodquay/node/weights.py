"""The duty of handing out the weight store's slots."""

from __future__ import annotations

import typing

import msgspec

from . import duties
from ..gossip import api as gossip_api
from ..journal import entries as journal_entries
from ..ledger import weight_slots
from ..ownership import core as ownership_core
from ..wire import api as wire_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..ownership import runner as ownership_runner
    from ..records import api as records_api

__all__ = ['OWNER_KEY', 'WeightsDuty']

OWNER_KEY: typing.Final = 'owner/weights'


class _Owner(msgspec.Struct, frozen=True, array_like=True):
    instance_id: str
    address: str
    port: int


class WeightsDuty:
    """Stands by the duty, and tells all instances who has it."""

    def __init__(
        self,
        parts: duties.DutyParts,
        replicated_map: gossip_api.ReplicatedMap,
        address: abc.Callable[[], wire_api.PeerAddress],
        catalog: abc.Callable[[], records_api.Catalog],
    ) -> None:
        self._instance_id = parts.instance_id
        self._replicated_map = replicated_map
        self._address = address
        self._duty = duties.Duty(
            ownership_core.WEIGHTS_DUTY, parts, self._on_change
        )
        self._permits = weight_slots.LocalPermits(
            self._duty.state,
            self._duty.writer,
            self._epoch,
            lambda: catalog().policy.parallel_loads,
            parts.clock,
        )

    @property
    def duty(self) -> duties.Duty:
        """The duty itself."""
        return self._duty

    @property
    def permits(self) -> weight_slots.LocalPermits:
        """The slots, as long as this instance owns them."""
        return self._permits

    @property
    def owned(self) -> bool:
        """Whether this instance owns the slots."""
        return self._duty.tenure is not None

    @property
    def owner(self) -> str:
        """The owner's id, empty when it is not known."""
        owner = self._found()
        return '' if owner is None else owner.instance_id

    def owner_address(self) -> wire_api.PeerAddress | None:
        """Return where the owner listens for its peers."""
        owner = self._found()
        if owner is None:
            return None
        return wire_api.PeerAddress(owner.address, owner.port)

    def _found(self) -> _Owner | None:
        item = self._replicated_map.get(OWNER_KEY)
        if item is None:
            return None
        try:
            return journal_entries.unpack(item.payload, _Owner)
        except ValueError:
            return None

    def _epoch(self) -> int | None:
        tenure = self._duty.tenure
        return None if tenure is None else tenure.epoch

    def _on_change(
        self, tenure: ownership_runner.OwnershipTerm | None
    ) -> None:
        if tenure is None:
            return
        address = self._address()
        owner = _Owner(self._instance_id, address.address, address.port)
        version = gossip_api.Version(tenure.epoch, 0)
        payload = journal_entries.pack(owner)
        self._replicated_map.put(gossip_api.Item(OWNER_KEY, version, payload))

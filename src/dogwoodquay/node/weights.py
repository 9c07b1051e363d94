"""The duty of assigning the weight store's slots to pools."""

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
    """Follows the duty, and publishes the address of its owner by gossip."""

    def __init__(
        self,
        dependencies: duties.DutyDependencies,
        replicated_map: gossip_api.ReplicatedMap,
        address: abc.Callable[[], wire_api.PeerAddress],
        catalog: abc.Callable[[], records_api.Catalog],
    ) -> None:
        self._instance_id = dependencies.instance_id
        self._replicated_map = replicated_map
        self._address = address
        self._duty = duties.Duty(
            ownership_core.WEIGHTS_DUTY, dependencies, self._on_change
        )
        self._permits = weight_slots.LocalPermits(
            self._duty.state,
            self._duty.writer,
            self._epoch,
            lambda: catalog().policy.parallel_loads,
            dependencies.clock,
        )

    @property
    def duty(self) -> duties.Duty:
        """The duty of assigning the slots."""
        return self._duty

    @property
    def permits(self) -> weight_slots.LocalPermits:
        """Grants the slots while this instance owns them."""
        return self._permits

    @property
    def is_owner(self) -> bool:
        """Whether this instance owns the slots."""
        return self._duty.term is not None

    @property
    def owner(self) -> str:
        """The owner's id, empty if it is not known."""
        owner = self._read_owner()
        return '' if owner is None else owner.instance_id

    def owner_address(self) -> wire_api.PeerAddress | None:
        """Return the address of the owner, ``None`` if it is not known."""
        owner = self._read_owner()
        if owner is None:
            return None
        return wire_api.PeerAddress(owner.address, owner.port)

    def _read_owner(self) -> _Owner | None:
        item = self._replicated_map.get(OWNER_KEY)
        if item is None:
            return None
        try:
            return journal_entries.unpack(item.payload, _Owner)
        except ValueError:
            return None

    def _epoch(self) -> int | None:
        term = self._duty.term
        return None if term is None else term.epoch

    def _on_change(self, term: ownership_runner.OwnershipTerm | None) -> None:
        if term is None:
            return
        address = self._address()
        owner = _Owner(self._instance_id, address.address, address.port)
        version = gossip_api.Version(term.epoch, 0)
        payload = journal_entries.pack(owner)
        self._replicated_map.put(gossip_api.Item(OWNER_KEY, version, payload))

"""Simple reference checks of the safety rules."""

from __future__ import annotations

import dataclasses
import typing

from dogwoodquay.external import api as external_api
from dogwoodquay.ledger import entries as ledger_entries
from dogwoodquay.ownership import entries as ownership_entries

if typing.TYPE_CHECKING:
    from collections import abc

    from . import engines

__all__ = ['OwnerOracle', 'ReplicaOracle', 'Violation', 'check_engines']


class Violation(AssertionError):
    """A safety rule was broken; the message begins with its name."""


@dataclasses.dataclass
class OwnerOracle:
    """The owner of the duty and the open orders, computed from the log."""

    epoch: int = -1
    owner: str = ''
    released: bool = False
    open_orders: dict[str, int] = dataclasses.field(default_factory=dict)
    _last_sequence: int = -1

    def apply(self, payload: bytes, offset: int) -> None:
        """Apply the entries of a payload by the specified rules."""
        for entry in ledger_entries.CODEC.decode(payload):
            self._apply(entry, offset)

    def _apply(self, entry: ledger_entries.LedgerEntry, offset: int) -> None:
        match entry:
            case ownership_entries.Claim(replaces=replaced_epoch) if (
                replaced_epoch == self.epoch
            ):
                self.epoch, self.owner = offset, entry.instance_id
                self.released, self._last_sequence = False, -1
            case ownership_entries.Release(epoch=epoch) if (
                epoch == self.epoch and not self.released
            ):
                self.released = True
            case ledger_entries.Intent(epoch=epoch, sequence=sequence) if (
                epoch == self.epoch
                and not self.released
                and sequence > self._last_sequence
            ):
                self._last_sequence = sequence
                self.open_orders[entry.entry_id] = epoch
            case ledger_entries.Outcome(order_id=order_id):
                self._apply_outcome(entry, order_id)

    def _apply_outcome(
        self, entry: ledger_entries.Outcome, order_id: str
    ) -> None:
        issued = self.open_orders.get(order_id)
        if entry.end is ledger_entries.OrderEnd.NOT_RUN and (
            issued != entry.epoch or self.released or issued != self.epoch
        ):
            return
        self.open_orders.pop(order_id, None)


@dataclasses.dataclass
class ReplicaOracle:
    """Checks that an unload leaves a ready replica.

    Names in ``exempt`` are not checked, for example after a restart.
    """

    declared: dict[str, frozenset[str]]
    exempt: set[str] = dataclasses.field(default_factory=set)

    def check_unload(
        self,
        order: external_api.Order,
        server_id: str,
        all_engines: abc.Mapping[str, engines.EngineModel],
    ) -> None:
        """Raise if an unload removes the last ready replica of a name."""
        engine = all_engines[server_id]
        if not engine.ready(order.artifact):
            return
        name = order.artifact.rpartition('@')[0]
        versions = self.declared.get(name, frozenset())
        if not versions or name in self.exempt:
            return
        others = {
            artifact
            for other_id, other in all_engines.items()
            for artifact in versions
            if other.ready(artifact)
            and (other_id, artifact) != (server_id, order.artifact)
        }
        needed = {order.artifact} if order.artifact in versions else versions
        if not needed <= others:
            raise Violation(f'last_ready_replica: {order}')


def check_engines(
    all_engines: abc.Mapping[str, engines.EngineModel],
    bases: abc.Mapping[str, str],
    slots: int,
) -> None:
    """Raise if a limit on the contents of engines is exceeded.

    The limits are the memory of an engine, the presence of the base model of
    each adapter, and the number of loads in progress on all engines.
    """
    loading = 0
    for server_id, engine in all_engines.items():
        if engine.used_bytes > engine.capacity:
            raise Violation(f'memory: {server_id} {engine.residents}')
        names = {item.rpartition('@')[0] for item in engine.residents}
        for name in names:
            if name in bases and bases[name] not in names:
                raise Violation(f'base: {server_id} {engine.residents}')
        loading += sum(
            not resident.ready for resident in engine.residents.values()
        )
    if loading > slots:
        raise Violation(f'slots: {loading} loads')

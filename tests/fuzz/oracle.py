"""The oracle: what must hold, in the plainest terms."""

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
    """A promise was broken; the message names the rule."""


@dataclasses.dataclass
class OwnerOracle:
    """Who owns the duty and which orders are open, by the log alone."""

    epoch: int = -1
    owner: str = ''
    released: bool = False
    open_orders: dict[str, int] = dataclasses.field(default_factory=dict)
    _last: int = -1

    def take(self, payload: bytes, offset: int) -> None:
        """Take in an entry by the rules as they are written down."""
        for entry in ledger_entries.CODEC.decode(payload):
            self._take(entry, offset)

    def _take(self, entry: ledger_entries.LedgerEntry, offset: int) -> None:
        match entry:
            case ownership_entries.Claim(replaces=seen) if seen == self.epoch:
                self.epoch, self.owner = offset, entry.instance_id
                self.released, self._last = False, -1
            case ownership_entries.Release(epoch=epoch) if (
                epoch == self.epoch and not self.released
            ):
                self.released = True
            case ledger_entries.Intent(epoch=epoch, sequence=sequence) if (
                epoch == self.epoch
                and not self.released
                and sequence > self._last
            ):
                self._last = sequence
                self.open_orders[entry.entry_id] = epoch
            case ledger_entries.Outcome(order_id=order_id):
                self._take_outcome(entry, order_id)

    def _take_outcome(
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
    """Judges each unload by what was ready just before it."""

    declared: dict[str, frozenset[str]]
    excused: set[str] = dataclasses.field(default_factory=set)

    def judge(
        self,
        order: external_api.Order,
        server_id: str,
        all_engines: abc.Mapping[str, engines.EngineModel],
    ) -> None:
        """Raise when an unload takes the last ready replica."""
        engine = all_engines[server_id]
        if not engine.ready(order.artifact):
            return
        name = order.artifact.rpartition('@')[0]
        versions = self.declared.get(name, frozenset())
        if not versions or name in self.excused:
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
    """Raise when an engine holds more than it can, or has lost a base."""
    loading = 0
    for server_id, engine in all_engines.items():
        if engine.used > engine.capacity:
            raise Violation(f'memory: {server_id} {engine.residents}')
        names = {item.rpartition('@')[0] for item in engine.residents}
        for name in names:
            if name in bases and bases[name] not in names:
                raise Violation(f'base: {server_id} {engine.residents}')
        loading += sum(not held.ready for held in engine.residents.values())
    if loading > slots:
        raise Violation(f'slots: {loading} loads')

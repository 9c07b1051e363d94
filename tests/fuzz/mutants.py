"""Broken variants of the code, one safety rule left out in each."""

from __future__ import annotations

import contextlib
import dataclasses
import typing
from unittest import mock

from . import machine
from dogwoodquay.external import api as external_api
from dogwoodquay.journal import follower as followers
from dogwoodquay.ledger import core
from dogwoodquay.ledger import replay
from dogwoodquay.ledger import rules
from dogwoodquay.ledger import servers
from dogwoodquay.ownership import core as ownership_core

if typing.TYPE_CHECKING:
    from collections import abc

    from dogwoodquay.journal import api as journal_api
    from dogwoodquay.ledger import entries
    from dogwoodquay.ownership import entries as ownership_entries
    from dogwoodquay.placement import api as placement_api

__all__ = ['MUTANTS', 'Mutant', 'no_teaching_again']


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A broken variant and the rule that has to catch it."""

    name: str
    rule: str
    kind: type[machine.AgreementMachine]
    patch: abc.Callable[[], contextlib.AbstractContextManager[object]]
    first_seed: int = 0


def _known(self: servers.ServerLedger) -> bool:
    return self.state is not None


@contextlib.contextmanager
def _no_teaching() -> abc.Iterator[None]:
    with (
        mock.patch.object(_SERVER, 'known', property(_known)),
        mock.patch.object(_SERVER, 'needs_fencing_token', property(_no)),
    ):
        yield


def _trusted(self: servers.ServerLedger) -> bool:
    if self.state is None:
        return False
    forgot = self.state.highest_fence == 0 and self.incarnation != 'p0'
    return forgot or self.state.highest_fence == self._epoch


@contextlib.contextmanager
def no_teaching_again() -> abc.Iterator[None]:
    """Take a restarted engine's contents for known without teaching it."""
    needs_fencing_token = property(lambda self: not _trusted(self))
    with (
        mock.patch.object(_SERVER, 'known', property(_trusted)),
        mock.patch.object(_SERVER, 'needs_fencing_token', needs_fencing_token),
    ):
        yield


def _outcome(self: replay.DutyState, item: entries.Outcome, t: float) -> bool:
    open_intents = dict(self.open_intents)
    found = open_intents.pop(item.order_id, None)
    self._change(open_intents=open_intents)
    return found is not None


def _approve(
    self: core.PoolLedger, move: placement_api.Move
) -> core.Approved | core.Denied:
    answer = _APPROVE(self, move)
    if isinstance(answer, core.Approved):
        self.on_intent_logged(answer.order.order_id)
        answer = dataclasses.replace(answer, needs_intent=False)
    return answer


def _lost(self: core.PoolLedger, order_id: str) -> None:
    if self.find_order(order_id) is not None:
        self.server_of(order_id).end(order_id, ran=False)


def _ready(self: servers.ServerLedger) -> frozenset[str]:
    if self.state is None:
        return frozenset()
    return frozenset(
        item.artifact for item in self.state.artifacts if item.ready
    )


def _may_send(self: core.PoolLedger, order_id: str) -> bool:
    charged = self.find_order(order_id)
    return charged is not None and charged.open


def _intent(self: replay.DutyState, item: entries.Intent, t: float) -> bool:
    open_intents = {
        **self.open_intents,
        item.entry_id: replay.OpenIntent(
            item.epoch, item.server_id, item.order, t
        ),
    }
    self._change(open_intents=open_intents)
    return True


def _claim(
    ownership: ownership_core.Ownership,
    entry: ownership_entries.Claim,
    offset: int,
) -> ownership_core.Ownership:
    return ownership_core.Ownership(
        ownership.duty, offset, entry.instance_id, entry.incarnation
    )


def _offer(self: followers.Follower, snapshot: journal_api.Snapshot) -> bool:
    self.state.restore(snapshot.state)
    return True


def _possible(self: servers.ServerLedger) -> dict[str, int]:
    artifacts = () if self.state is None else self.state.artifacts
    return {item.artifact: item.memory_bytes for item in artifacts}


def _observe(
    self: servers.ServerLedger, state: external_api.EngineState, began: int
) -> tuple[str, ...]:
    return _OBSERVE(self, state, 1 << 30)


_OBSERVE: typing.Final = servers.ServerLedger.observe
_APPROVE: typing.Final = core.PoolLedger.approve


def _patch(
    target: object, name: str, value: object
) -> abc.Callable[[], contextlib.AbstractContextManager[object]]:
    return lambda: mock.patch.object(target, name, value)


def _never(*_: object) -> None:
    return None


def _yes(*_: object, **__: object) -> bool:
    return True


def _no(*_: object, **__: object) -> bool:
    return False


_IGNORING = machine.AgreementMachine
_FENCING = machine.FencingMachine
_HIDING = machine.HidingMachine
_SERVER = servers.ServerLedger

MUTANTS: typing.Final = (
    Mutant(
        'contents taken for known without teaching',
        'memory',
        _FENCING,
        _no_teaching,
    ),
    Mutant(
        'any epoch may say that an order did not run',
        'open_orders',
        _IGNORING,
        _patch(replay.DutyState, '_apply_outcome', _outcome),
    ),
    Mutant(
        'an engine that hides loads is trusted',
        'memory',
        _HIDING,
        _patch(
            _SERVER,
            'may_accept_stale_orders',
            property(lambda s: not s._fencing),
        ),
    ),
    Mutant(
        'a lost order counts as not run',
        'memory',
        _IGNORING,
        _patch(core.PoolLedger, 'on_answer_lost', _lost),
    ),
    Mutant(
        'no intent before an order',
        'memory',
        _IGNORING,
        _patch(core.PoolLedger, 'approve', _approve),
    ),
    Mutant(
        'open orders are not charged',
        'memory',
        _FENCING,
        _patch(_SERVER, 'possible_contents', _possible),
    ),
    Mutant(
        'an old answer ends the charge of an order',
        'memory',
        _FENCING,
        _patch(_SERVER, 'observe', _observe),
        first_seed=541,
    ),
    Mutant(
        'the checks are not made anew before sending',
        '',
        _IGNORING,
        _patch(core.PoolLedger, 'may_send', _may_send),
    ),
    Mutant(
        'the last replica may go',
        'last_ready_replica',
        _FENCING,
        _patch(rules.Rules, '_leaves_ready_replica', _yes),
    ),
    Mutant(
        'a replica under an open unload counts',
        'last_ready_replica',
        _FENCING,
        _patch(_SERVER, 'ready_artifacts', _ready),
    ),
    Mutant(
        'an adapter goes where its base is not',
        'base',
        _FENCING,
        _patch(rules.Rules, '_has_dependent_adapter', _no),
    ),
    Mutant(
        'intents are valid under any epoch',
        'open_orders',
        _IGNORING,
        _patch(replay.DutyState, '_apply_intent', _intent),
    ),
    Mutant(
        'claims are valid whatever they replace',
        'owner',
        _FENCING,
        _patch(ownership_core, '_claim', _claim),
    ),
    Mutant(
        'a snapshot of a lower offset is taken over',
        'moved_back',
        _FENCING,
        _patch(followers.Follower, 'restore_if_newer', _offer),
    ),
    Mutant(
        'loads are not limited',
        'slots',
        _FENCING,
        _patch(core.PoolLedger, '_check_slots', _never),
    ),
)

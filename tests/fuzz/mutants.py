"""Mutants of the code, each of which lacks one safety rule."""

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

__all__ = ['MUTANTS', 'Mutant', 'without_token_after_restart']


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A patch and the rule whose violation has to be reported.

    :ivar first_seed: the first seed to try.
    """

    name: str
    rule: str
    kind: type[machine.AgreementMachine]
    patch: abc.Callable[[], contextlib.AbstractContextManager[object]]
    first_seed: int = 0


def _known(self: servers.ServerLedger) -> bool:
    return self.state is not None


@contextlib.contextmanager
def _without_token() -> abc.Iterator[None]:
    with (
        mock.patch.object(_SERVER, 'known', property(_known)),
        mock.patch.object(_SERVER, 'needs_fencing_token', property(_no)),
    ):
        yield


def _known_or_restarted(self: servers.ServerLedger) -> bool:
    if self.state is None:
        return False
    forgot = self.state.highest_fence == 0 and self.incarnation != 'p0'
    return forgot or self.state.highest_fence == self._epoch


@contextlib.contextmanager
def without_token_after_restart() -> abc.Iterator[None]:
    """Trust a restarted engine before it has stored the fencing token."""
    needs_fencing_token = property(lambda self: not _known_or_restarted(self))
    with (
        mock.patch.object(_SERVER, 'known', property(_known_or_restarted)),
        mock.patch.object(_SERVER, 'needs_fencing_token', needs_fencing_token),
    ):
        yield


def _outcome(self: replay.DutyState, item: entries.Outcome, t: float) -> bool:
    open_intents = dict(self.open_intents)
    open_intent = open_intents.pop(item.order_id, None)
    self._change(open_intents=open_intents)
    return open_intent is not None


def _approve(
    self: core.PoolLedger, move: placement_api.Move
) -> core.Approved | core.Denied:
    answer = _APPROVE(self, move)
    if isinstance(answer, core.Approved):
        self.on_intent_logged(answer.order.order_id)
        answer = dataclasses.replace(answer, needs_intent=False)
    return answer


def _on_answer_lost(self: core.PoolLedger, order_id: str) -> None:
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


def _restore(self: followers.Follower, snapshot: journal_api.Snapshot) -> bool:
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


_WITHOUT_FENCING = machine.AgreementMachine
_WITH_FENCING = machine.FencingMachine
_UNLISTED_LOADS = machine.UnlistedLoadsMachine
_SERVER = servers.ServerLedger

MUTANTS: typing.Final = (
    Mutant(
        'contents are trusted without a fencing token',
        'memory',
        _WITH_FENCING,
        _without_token,
    ),
    Mutant(
        'an outcome "not run" is valid in any epoch',
        'open_orders',
        _WITHOUT_FENCING,
        _patch(replay.DutyState, '_apply_outcome', _outcome),
    ),
    Mutant(
        'an engine that does not list loads is trusted',
        'memory',
        _UNLISTED_LOADS,
        _patch(
            _SERVER,
            'may_accept_stale_orders',
            property(lambda s: not s._fencing),
        ),
    ),
    Mutant(
        'an order without a reply counts as not run',
        'memory',
        _WITHOUT_FENCING,
        _patch(core.PoolLedger, 'on_answer_lost', _on_answer_lost),
    ),
    Mutant(
        'orders are sent without an intent',
        'memory',
        _WITHOUT_FENCING,
        _patch(core.PoolLedger, 'approve', _approve),
    ),
    Mutant(
        'open orders are not counted in the memory',
        'memory',
        _WITH_FENCING,
        _patch(_SERVER, 'possible_contents', _possible),
    ),
    Mutant(
        'an old reply frees the memory of an order',
        'memory',
        _WITH_FENCING,
        _patch(_SERVER, 'observe', _observe),
        first_seed=541,
    ),
    Mutant(
        'checks are not repeated before sending',
        '',
        _WITHOUT_FENCING,
        _patch(core.PoolLedger, 'may_send', _may_send),
    ),
    Mutant(
        'the last replica may be unloaded',
        'last_ready_replica',
        _WITH_FENCING,
        _patch(rules.Rules, '_leaves_ready_replica', _yes),
    ),
    Mutant(
        'a replica with an open unload counts as ready',
        'last_ready_replica',
        _WITH_FENCING,
        _patch(_SERVER, 'ready_artifacts', _ready),
    ),
    Mutant(
        'the base model of an adapter may be unloaded',
        'base',
        _WITH_FENCING,
        _patch(rules.Rules, '_has_dependent_adapter', _no),
    ),
    Mutant(
        'intents are valid under any epoch',
        'open_orders',
        _WITHOUT_FENCING,
        _patch(replay.DutyState, '_apply_intent', _intent),
    ),
    Mutant(
        'claims are valid for any replaced epoch',
        'owner',
        _WITH_FENCING,
        _patch(ownership_core, '_claim', _claim),
    ),
    Mutant(
        'a snapshot with a lower offset is restored',
        'moved_back',
        _WITH_FENCING,
        _patch(followers.Follower, 'restore_if_newer', _restore),
    ),
    Mutant(
        'loads are not limited',
        'slots',
        _WITH_FENCING,
        _patch(core.PoolLedger, '_check_slots', _never),
    ),
)

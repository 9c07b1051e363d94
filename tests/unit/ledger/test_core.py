"""Tests of the ledger's safety rules."""

from __future__ import annotations

import unittest

from . import helpers
from dogwoodquay.external import api as external_api
from dogwoodquay.ledger import core
from dogwoodquay.ledger import entries
from dogwoodquay.ledger import replay
from dogwoodquay.ledger import rules
from tests.unit.journal import helpers as journal_helpers


class PoolLedgerTest(unittest.TestCase):
    """Moves are checked against the possible contents."""

    def setUp(self) -> None:
        self.ledger = helpers.make_ledger()

    def _observe(self, server: str, *ready: str) -> None:
        helpers.observe(self.ledger, server, helpers.make_state(*ready))

    def _approve(self, move: object) -> core.Approved:
        answer = self.ledger.approve(move)
        self.assertIsInstance(answer, core.Approved)
        return answer

    def _assert_denied(self, move: object, reason: rules.Denial) -> None:
        self.assertEqual(core.Denied(reason), self.ledger.approve(move))

    def test_contents_are_unknown_after_a_restart_without_fence(self) -> None:
        """The engine may accept stale orders until it has the token again."""
        self._observe('s0')
        without_fence = helpers.make_state(fence=0, incarnation='p1')
        helpers.observe(self.ledger, 's0', without_fence)
        self.assertTrue(self.ledger.servers['s0'].needs_fencing_token)
        self._assert_denied(
            helpers.load('s0', 'x@1'), rules.Denial.CONTENTS_UNKNOWN
        )

    def test_ambiguous_order_is_tracked_until_observed_after_its_end(
        self,
    ) -> None:
        """An observation requested before the end may not reflect it."""
        self._observe('s0', 'x@1')
        order = self._approve(helpers.load('s0', 'y@1')).order
        self.ledger.on_attempt(order.order_id)
        self.ledger.on_answer_lost(order.order_id)
        version = self.ledger.servers['s0'].begin_observation()
        self.assertFalse(self.ledger.on_refused(order.order_id))
        self.ledger.on_completed(order.order_id)
        self.ledger.observe('s0', helpers.make_state('x@1'), version)
        self._assert_denied(helpers.load('s0', 'z@1'), rules.Denial.NO_MEMORY)

    def test_refused_order_is_tracked_until_the_next_observation(self) -> None:
        """A duplicate may have taken effect before the refused copy.

        Found by the fuzzer (`python -m tests.fuzz`), run 1500141.
        """
        for server in ('s0', 's1'):
            self._observe(server, 'x@1')
        order = self._approve(helpers.unload('s1', 'x@1')).order
        self.ledger.on_attempt(order.order_id)
        self.assertTrue(self.ledger.on_refused(order.order_id))
        self._assert_denied(
            helpers.unload('s0', 'x@1'), rules.Denial.LAST_REPLICA
        )
        self._observe('s1', 'x@1')
        self._approve(helpers.unload('s0', 'x@1'))

    def test_restart_ends_orders_to_the_old_incarnation(self) -> None:
        """An order names the incarnation of the engine that may run it."""
        self._observe('s0')
        order = self._approve(helpers.load('s0', 'x@1')).order
        self.ledger.on_attempt(order.order_id)
        self.ledger.on_answer_lost(order.order_id)
        new = helpers.make_state(incarnation='p1')
        helpers.observe(self.ledger, 's0', new)
        self.assertEqual(0, self.ledger.servers['s0'].possible_bytes)

    def test_last_ready_replica_is_not_unloaded(self) -> None:
        """One of two replicas stays while an unload of the other is open."""
        self._observe('s0', 'x@1')
        self._assert_denied(
            helpers.unload('s0', 'x@1'), rules.Denial.LAST_REPLICA
        )
        self._observe('s1', 'x@1')
        self._approve(helpers.unload('s0', 'x@1'))
        self._assert_denied(
            helpers.unload('s1', 'x@1'), rules.Denial.LAST_REPLICA
        )

    def test_replica_on_a_leaving_server_does_not_count_as_ready(self) -> None:
        """Its model is loaded elsewhere before the other replica may go."""
        self._observe('s0', 'x@1')
        self._observe('s1', 'x@1')
        self.ledger.set_leaving({'s1'})
        self._assert_denied(
            helpers.unload('s0', 'x@1'), rules.Denial.LAST_REPLICA
        )
        self._approve(helpers.unload('s1', 'x@1'))

    def test_higher_fencing_token_stops_all_orders(self) -> None:
        """An engine has received the token of a newer owner."""
        self._observe('s0')
        newer = helpers.make_state(fence=helpers.EPOCH + 1)
        helpers.observe(self.ledger, 's1', newer)
        self._assert_denied(helpers.load('s0', 'x@1'), rules.Denial.SUPERSEDED)

    def test_engine_without_a_list_of_loads_needs_intents(self) -> None:
        """It is handled like an engine without fencing."""
        without_loads = helpers.make_state(lists_loading=False)
        helpers.observe(self.ledger, 's0', without_loads)
        self.assertTrue(self._approve(helpers.load('s0', 'x@1')).needs_intent)

    def test_servers_with_unknown_contents_count_against_slots(self) -> None:
        """Loads of an earlier owner may be running there."""
        self._observe('s0')
        self.ledger.set_slots(2)
        self._assert_denied(helpers.load('s0', 'x@1'), rules.Denial.NO_SLOT)


class IntentTest(unittest.TestCase):
    """Orders to engines without fencing need an intent on the log."""

    def setUp(self) -> None:
        self.ledger = helpers.make_ledger(fencing=False)
        for server in ('s0', 's1'):
            helpers.observe(self.ledger, server, helpers.make_state(fence=0))
        self.state = replay.DutyState('pool:a')
        self.offset = -1

    def _append(self, *items: entries.LedgerEntry) -> list[bool]:
        self.offset += 1
        payload = entries.CODEC.encode(items)
        entry = external_api.LogEntry(self.offset, 1.0 * self.offset, payload)
        return [verdict.valid for verdict in self.state.apply(entry)]

    def _claim_until(self, epoch: int) -> None:
        while self.offset < epoch:
            claim = journal_helpers.make_claim(
                f'c{self.offset}', 'i', self.state.ownership.epoch
            )
            self._append(claim)

    def test_order_is_not_sent_before_its_intent_is_read_back(self) -> None:
        """The order may be sent once its intent is valid on the log."""
        approved = self.ledger.approve(helpers.load('s0', 'x@1'))
        order_id = approved.order.order_id
        self.assertFalse(self.ledger.may_send(order_id))
        self.ledger.on_intent_logged(order_id)
        self.assertTrue(self.ledger.may_send(order_id))

    def test_abandoned_order_is_closed_with_the_next_intent(self) -> None:
        """Its intent may be appended late and stay open next to later ones.

        Found by the fuzzer (`python -m tests.fuzz`), run 53.
        """
        self._claim_until(helpers.EPOCH)
        first = self.ledger.approve(helpers.load('s0', 'x@1'))
        late = self.ledger.intent(first)
        self.ledger.abandon(first.order.order_id)
        second = self.ledger.approve(helpers.load('s0', 'y@1'))
        record = self.ledger.intent(second)
        self.assertEqual([True], self._append(*late))
        self.assertEqual([True, True], self._append(*record))
        self.assertEqual({second.order.order_id}, set(self.state.open_intents))
        self.assertEqual([False], self._append(*late))

    def test_inherited_order_is_tracked_and_not_closed_as_not_run(
        self,
    ) -> None:
        """Only the epoch that issued an order knows whether it was sent."""
        self._claim_until(helpers.EPOCH)
        order = self.ledger.approve(helpers.load('s0', 'x@1')).order
        intent = entries.Intent(
            entry_id=order.order_id,
            epoch=helpers.EPOCH,
            sequence=0,
            server_id='s0',
            order=order,
        )
        self._append(intent)
        self._claim_until(helpers.EPOCH + 2)
        successor = helpers.make_ledger(fencing=False)
        successor.sync(self.state.open_intents)
        helpers.observe(successor, 's0', helpers.make_state('y@1', fence=0))
        helpers.observe(successor, 's1', helpers.make_state(fence=0))
        answer = successor.approve(helpers.load('s0', 'z@1'))
        self.assertEqual(core.Denied(rules.Denial.NO_MEMORY), answer)
        not_run = successor.outcome(order.order_id, entries.OrderEnd.NOT_RUN)
        self.assertEqual([False], self._append(not_run))

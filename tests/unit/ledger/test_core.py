"""Tests of the ledger's rules, one failure each."""

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
    """Moves are judged by all that may still happen."""

    def setUp(self) -> None:
        self.ledger = helpers.make_ledger()

    def _see(self, server: str, *ready: str) -> None:
        helpers.observe(self.ledger, server, helpers.make_state(*ready))

    def _approve(self, move: object) -> core.Approved:
        answer = self.ledger.approve(move)
        self.assertIsInstance(answer, core.Approved)
        return answer

    def _deny(self, move: object, reason: rules.Denial) -> None:
        self.assertEqual(core.Denied(reason), self.ledger.approve(move))

    def test_restarted_engine_that_forgot_its_fence_is_unknown(self) -> None:
        """Until it was taught again, an old owner's order may get in."""
        self._see('s0')
        forgot = helpers.make_state(fence=0, incarnation='p1')
        helpers.observe(self.ledger, 's0', forgot)
        self.assertTrue(self.ledger.servers['s0'].must_teach)
        self._deny(helpers.load('s0', 'x@1'), rules.Denial.CONTENTS_UNKNOWN)

    def test_lost_order_stays_charged_until_seen_after_its_end(self) -> None:
        """An answer asked for before the end proves nothing."""
        self._see('s0', 'x@1')
        order = self._approve(helpers.load('s0', 'y@1')).order
        self.ledger.sending(order.order_id)
        self.ledger.lost(order.order_id)
        early = self.ledger.servers['s0'].begin_observation()
        self.assertFalse(self.ledger.refused(order.order_id))
        self.ledger.done(order.order_id)
        self.ledger.observe('s0', helpers.make_state('x@1'), early)
        self._deny(helpers.load('s0', 'z@1'), rules.Denial.NO_MEMORY)

    def test_refused_order_is_seen_before_it_counts_as_undone(self) -> None:
        """Storm 1500141: a copy before the refused one had its effect."""
        for server in ('s0', 's1'):
            self._see(server, 'x@1')
        order = self._approve(helpers.unload('s1', 'x@1')).order
        self.ledger.sending(order.order_id)
        self.assertTrue(self.ledger.refused(order.order_id))
        self._deny(helpers.unload('s0', 'x@1'), rules.Denial.LAST_REPLICA)
        self._see('s1', 'x@1')
        self._approve(helpers.unload('s0', 'x@1'))

    def test_new_process_ends_orders_to_the_old_one(self) -> None:
        """An order names the process that it is meant for."""
        self._see('s0')
        order = self._approve(helpers.load('s0', 'x@1')).order
        self.ledger.sending(order.order_id)
        self.ledger.lost(order.order_id)
        new = helpers.make_state(incarnation='p1')
        helpers.observe(self.ledger, 's0', new)
        self.assertEqual(0, self.ledger.servers['s0'].possible_bytes)

    def test_last_ready_replica_stays(self) -> None:
        """Neither of two replicas goes while the other may be going."""
        self._see('s0', 'x@1')
        self._deny(helpers.unload('s0', 'x@1'), rules.Denial.LAST_REPLICA)
        self._see('s1', 'x@1')
        self._approve(helpers.unload('s0', 'x@1'))
        self._deny(helpers.unload('s1', 'x@1'), rules.Denial.LAST_REPLICA)

    def test_replica_on_a_leaving_server_guards_nothing(self) -> None:
        """What leaves is loaded elsewhere first."""
        self._see('s0', 'x@1')
        self._see('s1', 'x@1')
        self.ledger.set_leaving({'s1'})
        self._deny(helpers.unload('s0', 'x@1'), rules.Denial.LAST_REPLICA)
        self._approve(helpers.unload('s1', 'x@1'))

    def test_refused_number_ends_the_tenure(self) -> None:
        """A newer owner has taught an engine; all orders stop."""
        self._see('s0')
        newer = helpers.make_state(fence=helpers.EPOCH + 1)
        helpers.observe(self.ledger, 's1', newer)
        self._deny(helpers.load('s0', 'x@1'), rules.Denial.SUPERSEDED)

    def test_hidden_loads_need_intents(self) -> None:
        """An engine that lists no loads counts as one that ignores."""
        hiding = helpers.make_state(lists_loading=False)
        helpers.observe(self.ledger, 's0', hiding)
        self.assertTrue(self._approve(helpers.load('s0', 'x@1')).needs_intent)

    def test_unknown_servers_may_hold_slots(self) -> None:
        """Loads of an earlier owner may run where nothing is known."""
        self._see('s0')
        self.ledger.set_slots(2)
        self._deny(helpers.load('s0', 'x@1'), rules.Denial.NO_SLOT)


class IntentTest(unittest.TestCase):
    """Orders to engines that ignore numbers."""

    def setUp(self) -> None:
        self.ledger = helpers.make_ledger(fencing=False)
        for server in ('s0', 's1'):
            helpers.observe(self.ledger, server, helpers.make_state(fence=0))
        self.state = replay.DutyState('pool:a')
        self.offset = -1

    def _land(self, *items: entries.LedgerEntry) -> list[bool]:
        self.offset += 1
        payload = entries.CODEC.encode(items)
        entry = external_api.LogEntry(self.offset, 1.0 * self.offset, payload)
        return [verdict.valid for verdict in self.state.apply(entry)]

    def _own(self, epoch: int) -> None:
        while self.offset < epoch:
            claim = journal_helpers.make_claim(
                f'c{self.offset}', 'i', self.state.ownership.epoch
            )
            self._land(claim)

    def test_not_sent_before_its_intent_was_read_back(self) -> None:
        """A valid intent lets the order go."""
        approved = self.ledger.approve(helpers.load('s0', 'x@1'))
        order_id = approved.order.order_id
        self.assertFalse(self.ledger.may_send(order_id))
        self.ledger.logged(order_id)
        self.assertTrue(self.ledger.may_send(order_id))

    def test_given_up_order_is_closed_by_the_next_intent(self) -> None:
        """Storm 53: a late intent stayed open beside later ones."""
        self._own(helpers.EPOCH)
        first = self.ledger.approve(helpers.load('s0', 'x@1'))
        late = self.ledger.intent(first)
        self.ledger.give_up(first.order.order_id)
        second = self.ledger.approve(helpers.load('s0', 'y@1'))
        record = self.ledger.intent(second)
        self.assertEqual([True], self._land(*late))
        self.assertEqual([True, True], self._land(*record))
        self.assertEqual({second.order.order_id}, set(self.state.open_intents))
        self.assertEqual([False], self._land(*late))

    def test_foreign_order_is_charged_and_not_declared_unrun(self) -> None:
        """Only the epoch that issued an order knows that it was not sent."""
        self._own(helpers.EPOCH)
        order = self.ledger.approve(helpers.load('s0', 'x@1')).order
        intent = entries.Intent(
            entry_id=order.order_id,
            epoch=helpers.EPOCH,
            sequence=0,
            server_id='s0',
            order=order,
        )
        self._land(intent)
        self._own(helpers.EPOCH + 2)
        heir = helpers.make_ledger(fencing=False)
        heir.sync(self.state.open_intents)
        helpers.observe(heir, 's0', helpers.make_state('y@1', fence=0))
        helpers.observe(heir, 's1', helpers.make_state(fence=0))
        answer = heir.approve(helpers.load('s0', 'z@1'))
        self.assertEqual(core.Denied(rules.Denial.NO_MEMORY), answer)
        unrun = heir.outcome(order.order_id, entries.OrderEnd.NOT_RUN)
        self.assertEqual([False], self._land(unrun))

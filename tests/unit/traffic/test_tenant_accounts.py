"""Tests of the quotas of tenants in the gateway."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import msgspec

from dogwoodquay.fleet import choice
from dogwoodquay.fleet import queue
from dogwoodquay.gateway import api
from dogwoodquay.gateway import messages
from dogwoodquay.tenants import api as tenants_api
from dogwoodquay.traffic import fair_waits
from dogwoodquay.traffic import tenant_accounts
from tests.unit.gateway import fakes

_TENANT = tenants_api.Tenant(
    'acme', (), None, 1000.0, 1000.0, tenants_api.Unit.TOKENS, 300
)


def _call(
    tenant: tenants_api.Tenant | None, prompt: int = 0, output: int = 0
) -> api.Call:
    """Return a request with as many tokens."""
    terms = api.CallerTerms('1', 1.0, 'm', '', prompt, output, (), -1)
    call = mock.Mock(spec=api.Call)
    call.tenant, call.terms, call.service = tenant, terms, 's'
    call.charge = api.Charge()
    return typing.cast('api.Call', call)


class UnitsTest(unittest.TestCase):
    """Requests count tokens or themselves."""

    def test_units(self) -> None:
        """Guards against requests without tokens that are free."""
        requests = _TENANT._replace(unit=tenants_api.Unit.REQUESTS)
        for tenant, prompt, output, expected in (
            (_TENANT, 500, 200, 700),
            (_TENANT, 0, 0, 300),
            (requests, 500, 200, 1),
        ):
            terms = _call(tenant, prompt, output).terms
            self.assertEqual(expected, tenant_accounts.units_of(tenant, terms))


class TenantAccountsTest(unittest.TestCase):
    """An owner and its follower exchange messages."""

    def setUp(self) -> None:
        """Configure a tenant at both."""
        self.clock = mock.Mock()
        self.clock.now.return_value = 100.0
        self.owner = fakes.make_accounts(self.clock)
        self.subject = fakes.make_accounts(self.clock)
        for accounts in (self.owner, self.subject):
            accounts.configure([_TENANT])
        self.owner.on_owner(True)
        self.lines = fakes.log_lines(self)

    def exchange(self, *odd: messages.UsageRow) -> messages.FleetView:
        """Send the load and apply the view, both as they are transferred."""
        load = messages.InstanceLoad(
            'front-2', 1, (), (), (), usage=(*self.subject.load_rows(), *odd)
        )
        form = msgspec.to_builtins(load)
        load = msgspec.convert(form, messages.InstanceLoad)
        rows = self.owner.on_load(load, self.clock.now())
        view = messages.FleetView('front-1', (), (), 2, 1, allotments=rows)
        form = msgspec.to_builtins(view)
        view = msgspec.convert(form, messages.FleetView)
        self.subject.on_view(view)
        return view

    def named(self, name: str) -> int:
        """Return the number of log lines with a name."""
        lines = [line.get('action_type') or line for line in self.lines]
        return sum(name in f'{line}' for line in lines)

    def test_over_the_quota(self) -> None:
        """Guards against refusals without a time, and a line for each."""
        self.exchange()
        self.clock.now.return_value = 101.0
        call = _call(_TENANT, 500, 500)
        refusals = [self.subject.admit(call) for _ in range(20)]
        refused = [item for item in refusals if item is not None]
        self.assertGreater(len(refused), 10)
        for refusal in refused:
            self.assertEqual(429, refusal.status)
            reason = api.RefusalReason.OVER_ALLOTMENT
            self.assertEqual(reason, refusal.reason)
            self.assertGreaterEqual(refusal.retry_after, 0.1)
        view = self.exchange()
        self.assertTrue(self.subject.limited)
        assert view.allotments is not None
        self.assertEqual('acme', view.allotments[0].tenant)
        self.clock.now.return_value = 110.0
        self.exchange()
        self.assertFalse(self.subject.limited)
        self.assertEqual(1, self.named('allotments:limited'))
        self.assertEqual(1, self.named('allotments:unlimited'))

    def test_refunded(self) -> None:
        """Guards against units of requests that ran nowhere."""
        self.exchange()
        self.clock.now.return_value = 101.0
        call = _call(_TENANT, 500, 500)
        for _ in range(20):
            self.assertIsNone(self.subject.admit(call))
            self.subject.refund(call)

    def test_moved_key(self) -> None:
        """Guards against units that the tenant of a moved key never gets."""
        other = _TENANT._replace(name='other')
        for accounts in (self.owner, self.subject):
            accounts.configure([_TENANT, other])
        self.exchange()
        self.clock.now.return_value = 101.0
        refusals = []
        for _ in range(20):
            call = _call(_TENANT, 500, 500)
            self.assertIsNone(self.subject.admit(call))
            refusals.append(self.subject.move(call, other))
        refused = [item for item in refusals if item is not None]
        self.assertGreater(len(refused), 10)
        self.assertEqual({429}, {item.status for item in refused})

    def test_refunded_after_a_move(self) -> None:
        """Guards against units that another tenant gets back."""
        other = _TENANT._replace(name='other')
        for accounts in (self.owner, self.subject):
            accounts.configure([_TENANT, other])
        self.exchange()
        self.clock.now.return_value = 101.0
        for _ in range(20):
            call = _call(_TENANT, 500, 500)
            self.assertIsNone(self.subject.admit(call))
            self.assertIsNone(self.subject.move(call, other))
            self.subject.refund(call)
            self.subject.refund(call)
        refusals = [
            self.subject.admit(_call(_TENANT, 500, 500)) for _ in range(20)
        ]
        self.assertGreater(sum(item is not None for item in refusals), 10)

    def test_no_tenant(self) -> None:
        """Guards against limits where no tenant is known."""
        for _ in range(50):
            self.assertIsNone(self.subject.admit(_call(None)))
        self.subject.refund(_call(None))
        self.assertEqual((), self.subject.load_rows())

    def test_false_rows(self) -> None:
        """Guards against a line for each false row of a peer."""
        for _ in range(3):
            self.exchange(messages.UsageRow('acme', -1.0, 5.0, 0.0))
        self.assertEqual(1, self.named('allotments:rows_dropped'))

    def test_earlier_owner(self) -> None:
        """Guards against a quota without a view of the accounts."""
        self.subject.on_view(messages.FleetView('front-1', (), (), 2, 1))
        self.clock.now.return_value = 105.0
        call = _call(_TENANT, 500, 500)
        refusals = [self.subject.admit(call) for _ in range(20)]
        self.assertLessEqual(refusals.count(None), 1)


class FairWaitsTest(unittest.TestCase):
    """Requests with and without a tenant wait in one queue."""

    def test_without_tenants(self) -> None:
        """Guards against another order where no tenants are declared."""
        subject = fair_waits.FairWaits()
        tags = [subject.tag(_call(None), 1) for _ in range(5)]
        self.assertEqual([0.0] * 5, tags)

    def test_mixed(self) -> None:
        """Guards against requests without a tenant that all go first."""
        subject = fair_waits.FairWaits()
        tenant = [subject.tag(_call(_TENANT, 500), 1) for _ in range(50)]
        other = [subject.tag(_call(None), 1) for _ in range(50)]
        self.assertLess(tenant[1], other[-1])
        self.assertLess(other[1], tenant[-1])
        self.assertEqual(0.0, subject.tag(_call(_TENANT, 500), 2))

    def test_served_in_the_order_of_tags(self) -> None:
        """Guards against a flood that is served before later requests."""
        subject, waiting = fair_waits.FairWaits(), queue.RequestQueue()
        small = _TENANT._replace(name='small')
        for number in range(20):
            tenant = _TENANT if number < 18 else small
            tag = subject.tag(_call(tenant, 500), 1)
            need = choice.Need('s', 'm', '', frozenset())
            waiting.add(
                queue.Ticket(number, 1, 99.0, 99.0, 0.1 * number, need, tag)
            )
        free = ['a'] * 4
        served = waiting.assign(lambda _: free.pop() if free else None, 5.0)
        numbers = [ticket.number for ticket, _ in served]
        self.assertEqual([0, 18, 1, 19], numbers)
        for ticket, _ in served:
            subject.served(ticket)
        later = subject.tag(_call(small._replace(name='idle'), 500), 1)
        self.assertEqual(0.5, later)

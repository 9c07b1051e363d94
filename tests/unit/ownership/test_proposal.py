"""Tests of who claims, and when."""

from __future__ import annotations

import math
import random
import unittest

from dogwoodquay.membership import api as membership_api
from dogwoodquay.ownership import core
from dogwoodquay.ownership import proposal

_DUTY = 'pool:a'
_LIVE = membership_api.MemberState.LIVE


def _member(
    name: str, state: membership_api.MemberState = _LIVE, incarnation: int = 1
) -> membership_api.Member:
    boot = incarnation << membership_api.REFUTATION_BITS
    return membership_api.Member(name, boot, '', 1, 'd', state)


def _claim_at(
    name: str,
    ownership: core.Ownership,
    *members: membership_api.Member,
) -> float:
    proposer = proposal.Proposer(_DUTY, name, 1, random.Random(1))
    return proposer.claim_at(ownership, members, 100.0)


class ProposerTest(unittest.TestCase):
    """Claims are for vacant duties, one instance after another."""

    def setUp(self) -> None:
        self.members = tuple(_member(name) for name in 'abc')
        self.order = proposal.ranked(_DUTY, self.members)
        self.owned = core.Ownership(_DUTY, 5, self.order[0], 1)

    def test_suspected_or_leaving_owner_keeps_the_duty(self) -> None:
        """A short silence costs no takeover."""
        for state in (
            membership_api.MemberState.SUSPECTED,
            membership_api.MemberState.LEAVING,
        ):
            others = [_member(name) for name in self.order[1:]]
            owner = _member(self.order[0], state)
            at = _claim_at(self.order[1], self.owned, owner, *others)
            self.assertEqual(math.inf, at)

    def test_dead_owner_is_followed_in_order_of_rank(self) -> None:
        """The first by rendezvous claims well before the second."""
        others = [_member(name) for name in self.order[1:]]
        first = _claim_at(self.order[1], self.owned, *others)
        second = _claim_at(self.order[2], self.owned, *others)
        self.assertGreater(first, 100.0)
        self.assertGreaterEqual(
            second, first + proposal.RANK_SECONDS - proposal.JITTER_SECONDS
        )

    def test_restarted_owner_is_another_process(self) -> None:
        """The old process's duty is vacant although its name is live."""
        again = _member(self.order[0], incarnation=2)
        others = [_member(name) for name in self.order[1:]]
        at = _claim_at(self.order[1], self.owned, again, *others)
        self.assertLess(at, math.inf)

    def test_named_successor_claims_at_once(self) -> None:
        """A planned stop leaves no gap."""
        released = core.Ownership(_DUTY, 5, 'x', 1, True, self.order[2])
        at = _claim_at(self.order[2], released, *self.members)
        self.assertEqual(100.0, at)
        other = _claim_at(self.order[0], released, *self.members)
        self.assertGreater(other, 100.0)

    def test_leaving_instance_is_no_successor(self) -> None:
        """A release names a live instance only."""
        leaving = _member('c', membership_api.MemberState.LEAVING)
        members = (_member('a'), _member('b'), leaving)
        self.assertEqual('b', proposal.successor(_DUTY, members, 'a'))
        self.assertEqual('', proposal.successor(_DUTY, (leaving,), 'a'))

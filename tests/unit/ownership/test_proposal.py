"""Tests of the choice and timing of claims."""

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
    """Instances claim vacant duties, in the order of their rank."""

    def setUp(self) -> None:
        self.members = tuple(_member(name) for name in 'abc')
        self.ranking = proposal.rank_instances(_DUTY, self.members)
        self.owned = core.Ownership(_DUTY, 5, self.ranking[0], 1)

    def test_suspected_or_leaving_owner_keeps_the_duty(self) -> None:
        """A short silence causes no takeover."""
        for state in (
            membership_api.MemberState.SUSPECTED,
            membership_api.MemberState.LEAVING,
        ):
            others = [_member(name) for name in self.ranking[1:]]
            owner = _member(self.ranking[0], state)
            claim_at = _claim_at(self.ranking[1], self.owned, owner, *others)
            self.assertEqual(math.inf, claim_at)

    def test_instances_claim_in_order_of_rank_after_a_failure(self) -> None:
        """The second instance gives the first time to claim."""
        others = [_member(name) for name in self.ranking[1:]]
        first = _claim_at(self.ranking[1], self.owned, *others)
        second = _claim_at(self.ranking[2], self.owned, *others)
        self.assertGreater(first, 100.0)
        self.assertGreaterEqual(
            second,
            first + proposal.RANK_DELAY_SECONDS - proposal.MAX_JITTER_SECONDS,
        )

    def test_duty_of_a_restarted_owner_is_vacant(self) -> None:
        """The new process is live under the same id but owns nothing."""
        restarted = _member(self.ranking[0], incarnation=2)
        others = [_member(name) for name in self.ranking[1:]]
        claim_at = _claim_at(self.ranking[1], self.owned, restarted, *others)
        self.assertLess(claim_at, math.inf)

    def test_named_successor_claims_immediately(self) -> None:
        """Other instances wait, so that a planned stop takes one claim."""
        released = core.Ownership(_DUTY, 5, 'x', 1, True, self.ranking[2])
        claim_at = _claim_at(self.ranking[2], released, *self.members)
        self.assertEqual(100.0, claim_at)
        other = _claim_at(self.ranking[0], released, *self.members)
        self.assertGreater(other, 100.0)

    def test_leaving_instance_is_not_chosen_as_successor(self) -> None:
        """Only a live instance is chosen."""
        leaving = _member('c', membership_api.MemberState.LEAVING)
        members = (_member('a'), _member('b'), leaving)
        self.assertEqual('b', proposal.choose_successor(_DUTY, members, 'a'))
        self.assertEqual('', proposal.choose_successor(_DUTY, (leaving,), 'a'))

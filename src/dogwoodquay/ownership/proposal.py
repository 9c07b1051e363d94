"""Decides which instance should claim a duty, and when.

A wrong decision costs an unneeded claim, never a second owner.
"""

from __future__ import annotations

import dataclasses
import math
import typing

import xxhash

from . import core
from ..membership import api as membership_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = ['Proposer', 'choose_successor', 'rank_instances']

OWNER_MISSING_SECONDS: typing.Final = 1.5
RANK_DELAY_SECONDS: typing.Final = 1.5
MAX_JITTER_SECONDS: typing.Final = 0.3


def rank_instances(
    duty: str, members: abc.Iterable[membership_api.Member]
) -> tuple[str, ...]:
    """Return the instance ids by rendezvous hash for a duty, best first."""
    scores = [
        (
            xxhash.xxh3_64_intdigest(f'{duty}|{member.instance_id}'.encode()),
            member,
        )
        for member in members
    ]
    scores.sort(key=lambda item: (-item[0], item[1].instance_id))
    return tuple(member.instance_id for _, member in scores)


def choose_successor(
    duty: str, members: abc.Iterable[membership_api.Member], leaving: str
) -> str:
    """Return the live instance that should succeed a leaving owner.

    :return: its id, or an empty string if there is none.
    """
    live = (
        member
        for member in members
        if member.instance_id != leaving
        and member.state is membership_api.MemberState.LIVE
    )
    ranking = rank_instances(duty, live)
    return ranking[0] if ranking else ''


@dataclasses.dataclass
class Proposer:
    """Decides when this instance should claim a duty.

    An instance waits until the owner has been missing for some time, and
    longer the lower its rank, so that a takeover usually takes one claim.
    """

    duty: str
    instance_id: str
    incarnation: int
    rng: random.Random
    _epoch: int = core.NO_EPOCH
    _missing_since: float = math.inf
    _jitter: float = 0.0

    def claim_at(
        self,
        ownership: core.Ownership,
        members: tuple[membership_api.Member, ...],
        now: float,
    ) -> float:
        """Return the time of the next claim, or infinity for no claim.

        :param members: all known members except those in state ``DEAD``.
        """
        if not self._is_vacant(ownership, members):
            self._missing_since = math.inf
            return math.inf
        if self._missing_since == math.inf or self._epoch != ownership.epoch:
            self._epoch = ownership.epoch
            self._missing_since = now
            self._jitter = self.rng.uniform(0.0, MAX_JITTER_SECONDS)
        return self._missing_since + self._claim_delay(ownership, members)

    def _is_vacant(
        self,
        ownership: core.Ownership,
        members: tuple[membership_api.Member, ...],
    ) -> bool:
        if ownership.epoch == core.NO_EPOCH or ownership.released:
            return True
        return not any(
            member.instance_id == ownership.instance_id
            and membership_api.boot_of(member.incarnation)
            == ownership.incarnation
            and member.state is not membership_api.MemberState.DEAD
            for member in members
        )

    def _claim_delay(
        self,
        ownership: core.Ownership,
        members: tuple[membership_api.Member, ...],
    ) -> float:
        ranking = self._candidates(members)
        if self.instance_id not in ranking:
            return math.inf
        if ownership.released and ownership.successor == self.instance_id:
            return 0.0
        rank = ranking.index(self.instance_id)
        has_successor = ownership.released and ownership.successor in ranking
        rank_delays = rank + (1 if has_successor else 0)
        missing_delay = (
            OWNER_MISSING_SECONDS if ownership.epoch != core.NO_EPOCH else 0.0
        )
        return missing_delay + rank_delays * RANK_DELAY_SECONDS + self._jitter

    def _candidates(
        self, members: tuple[membership_api.Member, ...]
    ) -> tuple[str, ...]:
        live = [
            member
            for member in members
            if member.state is membership_api.MemberState.LIVE
            or member.instance_id == self.instance_id
        ]
        return rank_instances(self.duty, live)

"""Who should claim a duty, and when; a wrong answer only costs a claim."""

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

__all__ = ['Proposer', 'ranked', 'successor']

MISSING_SECONDS: typing.Final = 1.5
RANK_SECONDS: typing.Final = 1.5
JITTER_SECONDS: typing.Final = 0.3


def ranked(
    duty: str, members: abc.Iterable[membership_api.Member]
) -> tuple[str, ...]:
    """Return the instances by rendezvous hash for a duty, best first."""
    scores = [
        (
            xxhash.xxh3_64_intdigest(f'{duty}|{member.instance_id}'.encode()),
            member,
        )
        for member in members
    ]
    scores.sort(key=lambda item: (-item[0], item[1].instance_id))
    return tuple(member.instance_id for _, member in scores)


def successor(
    duty: str, members: abc.Iterable[membership_api.Member], leaving: str
) -> str:
    """Return who should follow a leaving owner, or an empty string."""
    live = (
        member
        for member in members
        if member.instance_id != leaving
        and member.state is membership_api.MemberState.LIVE
    )
    order = ranked(duty, live)
    return order[0] if order else ''


@dataclasses.dataclass
class Proposer:
    """Decides when this instance should claim one duty.

    The owner has to be missing for a while, and instances that rank lower
    wait longer, so that one claim a takeover is the rule.
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
        """Return when to claim; infinity while there is no reason to.

        :param members: all known members but the dead.
        """
        if not self._vacant(ownership, members):
            self._missing_since = math.inf
            return math.inf
        if self._missing_since == math.inf or self._epoch != ownership.epoch:
            self._epoch = ownership.epoch
            self._missing_since = now
            self._jitter = self.rng.uniform(0.0, JITTER_SECONDS)
        return self._missing_since + self._delay(ownership, members)

    def _vacant(
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

    def _delay(
        self,
        ownership: core.Ownership,
        members: tuple[membership_api.Member, ...],
    ) -> float:
        order = self._candidates(members)
        if self.instance_id not in order:
            return math.inf
        if ownership.released and ownership.successor == self.instance_id:
            return 0.0
        rank = order.index(self.instance_id)
        named = ownership.released and ownership.successor in order
        waits = rank + (1 if named else 0)
        missing = MISSING_SECONDS if ownership.epoch != core.NO_EPOCH else 0.0
        return missing + waits * RANK_SECONDS + self._jitter

    def _candidates(
        self, members: tuple[membership_api.Member, ...]
    ) -> tuple[str, ...]:
        live = [
            member
            for member in members
            if member.state is membership_api.MemberState.LIVE
            or member.instance_id == self.instance_id
        ]
        return ranked(self.duty, live)

"""Keeps which instances follow an owner, and its share of all of them."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Followers']

# How long the share of an owner is kept before it is computed again.
SHARE_SECONDS: typing.Final = 0.05


class Followers:
    """The share of a limit that one of possibly two owners gives out.

    Two owners may be believed in at a time. Each gives out the share of a
    limit that its followers are of all members; as an instance follows one
    owner at a time, the shares add up to the limit. Members are remembered
    for longer than an owner goes on that is not confirmed and misses some.
    """

    def __init__(self) -> None:
        # When each member was last known, and when it last called.
        self._members: dict[str, float] = {}
        self._called_at: dict[str, float] = {}
        self._share = 0.0
        self._share_until = float('-inf')

    @property
    def recorded_share(self) -> float:
        """The share as of the last calls, at most 0.05 s old."""
        return self._share

    @property
    def member_count(self) -> int:
        """The number of members that are remembered."""
        return len(self._members)

    def begin(self, members: abc.Iterable[str], now: float) -> None:
        """Begin as the owner, with no followers.

        :param members: the instances that the earlier owner knew.
        """
        self._members = dict.fromkeys(members, now)
        self._called_at.clear()
        self._share_until = float('-inf')

    def record_call(
        self, member: str, confirmed_at: float, now: float
    ) -> None:
        """Record that an instance follows this owner.

        :param confirmed_at: when the store last confirmed this owner.
        """
        self._members[member] = self._called_at[member] = now
        if now >= self._share_until:
            self._share = self.share(confirmed_at, now)
            self._share_until = now + SHARE_SECONDS

    def share(self, confirmed_at: float, now: float) -> float:
        """Return the share of the limits that this owner gives out."""
        confirmed = now - confirmed_at < api.CONFIRMED_SECONDS
        if confirmed:
            self._members = _younger(self._members, now, api.MEMBER_SECONDS)
        self._called_at = _younger(self._called_at, now, api.FOLLOWER_SECONDS)
        followers = len(self._called_at)
        if not followers or (followers < len(self._members) and not confirmed):
            return 0.0
        return followers / len(self._members)


def _younger(
    times: dict[str, float], now: float, seconds: float
) -> dict[str, float]:
    """Return the entries whose time is less than some seconds ago."""
    return {name: at for name, at in times.items() if now - at < seconds}

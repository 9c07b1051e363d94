"""The abstract part of membership: who is live, leaving or suspected."""

from __future__ import annotations

import enum
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Member', 'MemberState', 'Membership']


class MemberState(enum.IntEnum):
    """States of a member; of one incarnation the higher state wins."""

    LIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance of the system; a restart has a higher incarnation."""

    instance_id: str
    incarnation: int
    address: str
    port: int
    failure_domain: str
    state: MemberState


class Membership(typing.Protocol):
    """This instance's view of the others; never used for safety."""

    def members(self) -> tuple[Member, ...]:
        """Return all known members but the dead."""

    def live(self) -> tuple[Member, ...]:
        """Return members that can take duties: live or only suspected."""

    def watch(self, callback: abc.Callable[[Member], None]) -> None:
        """Call back with each change of a member."""

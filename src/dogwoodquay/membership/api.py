"""The abstract part of membership: the members and their states."""

from __future__ import annotations

import enum
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'REFUTATION_BITS',
    'Member',
    'MemberState',
    'Membership',
    'boot_of',
]

# The low bits of an incarnation count refutations; the high bits are the boot
# number of the process.
REFUTATION_BITS: typing.Final = 16


class MemberState(enum.IntEnum):
    """The state of a member; at the same incarnation the highest wins."""

    LIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A report about an instance of the system.

    A restart of the instance raises the incarnation, and so does the
    refutation of a false report. ``boot_of`` identifies the process.
    """

    instance_id: str
    incarnation: int
    address: str
    port: int
    failure_domain: str
    state: MemberState


def boot_of(incarnation: int) -> int:
    """Return the boot number, the part that only a restart changes."""
    return incarnation >> REFUTATION_BITS


class Membership(typing.Protocol):
    """This instance's local list of members; no safety relies on it."""

    @property
    def trusted(self) -> bool:
        """Whether the members are current enough to claim duties by them.

        False after the start and after each pause of this instance, until
        peers have confirmed the members.
        """

    @property
    def own(self) -> Member:
        """This instance as a member."""

    def is_dead(self, instance_id: str, incarnation: int) -> bool:
        """Whether a process is known to have ended.

        :param incarnation: any incarnation of that process.
        """

    def members(self) -> tuple[Member, ...]:
        """Return all known members that are not dead, this one included."""

    def live(self) -> tuple[Member, ...]:
        """Return the members that can own duties: live or suspected ones."""

    def watch(self, callback: abc.Callable[[Member], None]) -> None:
        """Register a callback for each change of a member."""

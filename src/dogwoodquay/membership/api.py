"""The abstract part of membership: who is live, leaving or suspected."""

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

REFUTATION_BITS: typing.Final = 16


class MemberState(enum.IntEnum):
    """States of a member; of one incarnation the higher state wins."""

    LIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance of the system; a restart has a higher incarnation.

    The incarnation also rises when a live instance refutes a false report;
    ``boot_of`` tells processes apart.
    """

    instance_id: str
    incarnation: int
    address: str
    port: int
    failure_domain: str
    state: MemberState


def boot_of(incarnation: int) -> int:
    """Return the part of an incarnation that only a restart changes."""
    return incarnation >> REFUTATION_BITS


class Membership(typing.Protocol):
    """This instance's view of the others; never used for safety."""

    @property
    def trusted(self) -> bool:
        """Whether the view is current enough to propose duties from.

        False after the start, and after a pause of this instance until
        peers have confirmed the view.
        """

    @property
    def own(self) -> Member:
        """This instance's own record."""

    def dead(self, instance_id: str, incarnation: int) -> bool:
        """Whether a process is known to be gone.

        :param incarnation: any incarnation of that process.
        """

    def members(self) -> tuple[Member, ...]:
        """Return all known members but the dead."""

    def live(self) -> tuple[Member, ...]:
        """Return members that can take duties: live or only suspected."""

    def watch(self, callback: abc.Callable[[Member], None]) -> None:
        """Call back with each change of a member."""

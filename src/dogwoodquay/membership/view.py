"""The members that an instance knows; newer reports replace older ones."""

from __future__ import annotations

import msgspec
import xxhash

from . import api

__all__ = ['View', 'precedes']


def precedes(old: api.Member, new: api.Member) -> bool:
    """Whether a report is newer than another of the same instance."""
    return (old.incarnation, old.state) < (new.incarnation, new.state)


class View:
    """Members by instance id, the dead included."""

    def __init__(self) -> None:
        self._members: dict[str, api.Member] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """The hash of all members that are not dead."""
        return self._digest

    def get(self, instance_id: str) -> api.Member | None:
        """Return what is known of an instance."""
        return self._members.get(instance_id)

    def present(self) -> list[api.Member]:
        """Return all members but the dead."""
        found = self._members.values()
        return [m for m in found if m.state is not api.MemberState.DEAD]

    def put(self, member: api.Member) -> bool:
        """Take in a report.

        :return: whether it was newer.
        """
        old = self._members.get(member.instance_id)
        if old is not None and not precedes(old, member):
            return False
        if old is not None:
            self._digest ^= _hash(old)
        self._digest ^= _hash(member)
        self._members[member.instance_id] = member
        return True


def _hash(member: api.Member) -> int:
    if member.state is api.MemberState.DEAD:
        return 0
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(member))

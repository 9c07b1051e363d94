"""The members that an instance knows, each by its newest report."""

from __future__ import annotations

import msgspec
import xxhash

from . import api

__all__ = ['MemberList', 'precedes']


def precedes(old: api.Member, new: api.Member) -> bool:
    """Whether a report precedes a newer one about the same instance."""
    return (old.incarnation, old.state) < (new.incarnation, new.state)


class MemberList:
    """The newest report about each member, dead ones included."""

    def __init__(self) -> None:
        self._members: dict[str, api.Member] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """The hash of the members that are not dead."""
        return self._digest

    def get(self, instance_id: str) -> api.Member | None:
        """Return the newest report about an instance."""
        return self._members.get(instance_id)

    def present(self) -> list[api.Member]:
        """Return the members that are not dead."""
        members = self._members.values()
        return [m for m in members if m.state is not api.MemberState.DEAD]

    def put(self, member: api.Member) -> bool:
        """Store a report if it is newer than the known one.

        :return: whether the report was stored.
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

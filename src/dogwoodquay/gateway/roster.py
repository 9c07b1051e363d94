"""The roster of live instances that the owner passes on."""

from __future__ import annotations

import hashlib

from . import messages

__all__ = ['Roster']


class Roster:
    """The live instances and their failure domains.

    Its version is derived from its rows, so that rosters of different owners
    have equal versions only if they have equal rows.
    """

    def __init__(self) -> None:
        self._domains: dict[str, str] = {}
        self._rows: tuple[messages.InstanceRow, ...] | None = None
        self._version = 0

    def add(self, member: str, failure_domain: str) -> None:
        """Add an instance, or remove it if its build tells no domain.

        Such a build does not know the messages for which the roster is kept.
        """
        if not failure_domain:
            self.remove(member)
        elif self._domains.get(member) != failure_domain:
            self._domains[member] = failure_domain
            self._rows = None

    def remove(self, member: str) -> None:
        """Remove an instance."""
        if self._domains.pop(member, None) is not None:
            self._rows = None

    def newer_than(
        self, version: int
    ) -> tuple[int, tuple[messages.InstanceRow, ...]]:
        """Return the version, and the rows if the version is another one."""
        if self._rows is None:
            self._rows = tuple(
                messages.InstanceRow(*row)
                for row in sorted(self._domains.items())
            )
            self._version = _version(self._rows)
        return self._version, () if version == self._version else self._rows


def _version(rows: tuple[messages.InstanceRow, ...]) -> int:
    """Return a positive number of 48 bits; zero for no rows."""
    if not rows:
        return 0
    digest = hashlib.blake2b(digest_size=6)
    for row in rows:
        digest.update(f'{row.member}\0{row.failure_domain}\0'.encode())
    return int.from_bytes(digest.digest()) or 1

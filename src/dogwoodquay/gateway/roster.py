"""The roster of live instances that the owner passes on."""

from __future__ import annotations

import hashlib
import typing

from . import demand
from . import messages

__all__ = ['Roster']

# A change costs the owner a message of all rows to each instance. The time
# between two versions grows with the rows, so that many starts in a row do not
# keep the owner busy.
ROW_SECONDS: typing.Final = 0.005
# A new owner has received a load of each instance after this time.
TAKEOVER_SECONDS: typing.Final = 3.0


class Roster:
    """The live instances and their failure domains.

    Its version is derived from its rows, so that rosters of different owners
    have equal versions only if they have equal rows. A new owner adds the
    instances of the earlier roster until all had time to send it their load.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, str]] = {}
        self._earlier: tuple[messages.InstanceRow, ...] = ()
        self._earlier_until: float | None = None
        self._rows: tuple[messages.InstanceRow, ...] = ()
        self._version = 0
        self._refresh_at = float('-inf')

    def add(self, member: str, failure_domain: str, now: float) -> None:
        """Add an instance that sent its load, unless it tells no domain.

        Its build does not know the messages for which the roster is kept.
        """
        if failure_domain:
            self._seen[member] = (now, failure_domain)
        else:
            self._seen.pop(member, None)

    def follow(self, rows: tuple[messages.InstanceRow, ...]) -> None:
        """Remember the roster of the present owner, another instance."""
        self._earlier = rows
        self._earlier_until = None

    def newer_than(
        self, version: int, now: float
    ) -> tuple[int, tuple[messages.InstanceRow, ...]]:
        """Return the version, and the rows if the version is another one."""
        if now >= self._refresh_at:
            self._refresh(now)
        return self._version, () if version == self._version else self._rows

    def _refresh(self, now: float) -> None:
        oldest = now - demand.LOAD_EXPIRY_SECONDS
        self._seen = {
            member: (seen_at, domain)
            for member, (seen_at, domain) in self._seen.items()
            if seen_at >= oldest
        }
        if self._earlier_until is None:
            self._earlier_until = now + TAKEOVER_SECONDS
        if now >= self._earlier_until:
            self._earlier = ()
        domains = {row.member: row.failure_domain for row in self._earlier}
        for member, (_, domain) in self._seen.items():
            domains[member] = domain
        rows = tuple(
            messages.InstanceRow(*row) for row in sorted(domains.items())
        )
        if rows != self._rows:
            self._rows = rows
            self._version = _version(rows)
        self._refresh_at = now + ROW_SECONDS * len(rows)


def _version(rows: tuple[messages.InstanceRow, ...]) -> int:
    """Return a positive number of 48 bits; zero for no rows."""
    if not rows:
        return 0
    digest = hashlib.blake2b(digest_size=6)
    for row in rows:
        digest.update(f'{row.member}\0{row.failure_domain}\0'.encode())
    return int.from_bytes(digest.digest()) or 1

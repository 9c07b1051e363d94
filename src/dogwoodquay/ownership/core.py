"""The ownership of a duty as a function of its log entries."""

from __future__ import annotations

import typing

import msgspec

from . import entries

__all__ = ['NO_EPOCH', 'WEIGHTS_DUTY', 'Ownership', 'apply', 'pool_duty']

NO_EPOCH: typing.Final = -1
WEIGHTS_DUTY: typing.Final = 'weights'


class Ownership(msgspec.Struct, frozen=True):
    """The owner of a duty; the epoch is the offset of its claim.

    After a release the epoch stays the fencing token but permits no further
    entries. ``successor`` is the instance that should claim next, if any.
    """

    duty: str
    epoch: int = NO_EPOCH
    instance_id: str = ''
    incarnation: int = 0
    released: bool = False
    successor: str = ''

    def is_owner(self, instance_id: str, incarnation: int) -> bool:
        """Whether a process owns the duty and has not released it."""
        return (
            self.epoch != NO_EPOCH
            and not self.released
            and self.instance_id == instance_id
            and self.incarnation == incarnation
        )

    def permits(self, epoch: int) -> bool:
        """Whether entries under an epoch are valid."""
        return epoch == self.epoch and not self.released


def pool_duty(pool: str) -> str:
    """Return the name of the duty of managing a pool."""
    return f'pool:{pool}'


def apply(
    ownership: Ownership,
    entry: entries.Claim | entries.Release,
    offset: int,
) -> Ownership | None:
    """Return the ownership after an entry, or nothing if it is void."""
    if entry.duty != ownership.duty or offset <= ownership.epoch:
        return None
    match entry:
        case entries.Claim():
            return _claim(ownership, entry, offset)
        case entries.Release():
            return _release(ownership, entry)


def _claim(
    ownership: Ownership, entry: entries.Claim, offset: int
) -> Ownership | None:
    if entry.replaces != ownership.epoch:
        return None
    return Ownership(
        ownership.duty, offset, entry.instance_id, entry.incarnation
    )


def _release(ownership: Ownership, entry: entries.Release) -> Ownership | None:
    if not ownership.permits(entry.epoch):
        return None
    return msgspec.structs.replace(
        ownership, released=True, successor=entry.successor
    )

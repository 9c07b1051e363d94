"""The entries that decide who owns a duty."""

from __future__ import annotations

from ..journal import entries

__all__ = ['Claim', 'Release']


class Claim(entries.Entry, frozen=True, tag='claim', kw_only=True):
    """An instance's wish to own a duty.

    ``replaces`` is the epoch that the claimant saw last, -1 for none; the
    claim is void when another epoch is in force at its offset.
    """

    duty: str
    instance_id: str
    incarnation: int
    replaces: int


class Release(entries.Entry, frozen=True, tag='release', kw_only=True):
    """The owner's planned end of an epoch, in favour of a live instance."""

    duty: str
    epoch: int
    successor: str

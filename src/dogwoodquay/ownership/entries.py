"""Log entries that decide the ownership of a duty."""

from __future__ import annotations

from ..journal import entries

__all__ = ['Claim', 'Release']


class Claim(entries.Entry, frozen=True, tag='claim', kw_only=True):
    """An instance's claim to own a duty.

    ``replaces`` is the last epoch that the claimant has replayed, or -1. The
    claim is void if the duty has another epoch at the claim's offset.
    """

    duty: str
    instance_id: str
    incarnation: int
    replaces: int


class Release(entries.Entry, frozen=True, tag='release', kw_only=True):
    """The owner's release of a duty, with a live successor if there is one."""

    duty: str
    epoch: int
    successor: str

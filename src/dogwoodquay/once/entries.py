"""The entries on claims; a stream holds those of one shard of the keys."""

from __future__ import annotations

from . import api
from ..journal import entries as journal_entries

__all__ = [
    'CODEC',
    'Claimed',
    'ClaimEntry',
    'HorizonRaised',
    'Lost',
    'Settled',
    'Withdrawn',
]


class Claimed(journal_entries.Entry, frozen=True, tag='c', kw_only=True):
    """A wish to run under a key; ``entry_id`` is the claim's id."""

    key: bytes
    time_ms: int
    body: bytes
    instance: str
    boot: int


class Settled(journal_entries.Entry, frozen=True, tag='s', kw_only=True):
    """The end of a claim's request; no answer when it may have run."""

    claim_id: str
    key: bytes
    answer: api.StoredAnswer | None


class Withdrawn(journal_entries.Entry, frozen=True, tag='w', kw_only=True):
    """The claimant's promise that its request has not run and never will."""

    claim_id: str
    key: bytes
    time_ms: int


class Lost(journal_entries.Entry, frozen=True, tag='l', kw_only=True):
    """The claimant is gone, so nobody will ever know whether it sent."""

    claim_id: str
    key: bytes


class HorizonRaised(journal_entries.Entry, frozen=True, tag='h', kw_only=True):
    """Keys from before a time are dropped, and refused from now on."""

    below_ms: int


ClaimEntry = Claimed | Settled | Withdrawn | Lost | HorizonRaised

CODEC: journal_entries.Codec[ClaimEntry] = journal_entries.Codec(ClaimEntry)

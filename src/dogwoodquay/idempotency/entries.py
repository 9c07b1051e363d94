"""Log entries of claims; each shard of the keys has its own stream."""

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
    """A claim on a key.

    ``entry_id`` is the id of the claim. ``body`` is the shortened digest of
    the request. ``boot`` is the incarnation of the instance.
    """

    key: bytes
    time_ms: int
    body: bytes
    instance: str
    boot: int


class Settled(journal_entries.Entry, frozen=True, tag='s', kw_only=True):
    """The end of a claim's request, without an answer if that is lost."""

    claim_id: str
    key: bytes
    answer: api.StoredAnswer | None


class Withdrawn(journal_entries.Entry, frozen=True, tag='w', kw_only=True):
    """The claimant guarantees that its request did not and will not run."""

    claim_id: str
    key: bytes
    time_ms: int


class Lost(journal_entries.Entry, frozen=True, tag='l', kw_only=True):
    """The claimant has failed; whether its request ran stays unknown."""

    claim_id: str
    key: bytes


class HorizonRaised(journal_entries.Entry, frozen=True, tag='h', kw_only=True):
    """Keys older than a time are dropped and refused from now on."""

    below_ms: int


ClaimEntry = Claimed | Settled | Withdrawn | Lost | HorizonRaised

CODEC: journal_entries.Codec[ClaimEntry] = journal_entries.Codec(ClaimEntry)

"""Chooses the software version at which a stream begins."""

from __future__ import annotations

import collections
import hashlib
import math
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['choose', 'serves', 'weights']

_DIGEST_BYTES: typing.Final = 8
_DIGESTS: typing.Final = 1 << (8 * _DIGEST_BYTES)


def serves(entry: api.ServerEntry, service: str, model: str) -> bool:
    """Whether a server may begin streams of a model.

    :param model: empty for a service without models.
    """
    if entry.service != service or entry.state is not api.ServerState.LIVE:
        return False
    return not model or any(item.name == model for item in entry.models)


def weights(
    entries: abc.Iterable[api.ServerEntry], service: str, model: str
) -> dict[str, int]:
    """Return how many servers of each version list a model.

    Only what the list itself holds counts, so that the result is the same for
    all who have read it.
    """
    return dict(
        collections.Counter(
            entry.version for entry in entries if serves(entry, service, model)
        )
    )


def choose(stream_id: str, counts: abc.Mapping[str, int]) -> str | None:
    """Return a stream's version, ``None`` if there is none to choose from.

    Weighted rendezvous hashing: versions get streams in proportion to their
    servers, and a change of the counts moves as few streams as possible.
    """
    if not counts:
        return None
    return max(counts, key=lambda name: _score(stream_id, name, counts[name]))


def _score(stream_id: str, version: str, count: int) -> tuple[float, str]:
    text = f'{stream_id}\0{version}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    share = (int.from_bytes(digest) + 0.5) / _DIGESTS
    return -count / math.log(share), version

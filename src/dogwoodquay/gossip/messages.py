"""Messages of the gossip between instances."""

from __future__ import annotations

import msgspec

from . import api
from ..wire import api as wire_api

__all__ = [
    'Buckets',
    'ItemRequest',
    'Items',
    'KeyVersion',
    'Root',
    'Versions',
]


class Items(wire_api.Message, frozen=True, tag='gossip.items'):
    """Items for which the receiver may have no or an older version."""

    items: tuple[api.Item, ...]


class Root(wire_api.Message, frozen=True, tag='gossip.root'):
    """The hash of all items of the sender; starts a comparison."""

    digest: int


class Buckets(wire_api.Message, frozen=True, tag='gossip.buckets'):
    """The hashes of the sender's buckets, sent if the roots differ."""

    digests: tuple[int, ...]


class KeyVersion(msgspec.Struct, frozen=True, array_like=True):
    """A key and its version at the sender."""

    key: str
    version: api.Version


class Versions(wire_api.Message, frozen=True, tag='gossip.versions'):
    """The versions of all items of the sender in differing buckets."""

    buckets: tuple[int, ...]
    versions: tuple[KeyVersion, ...]


class ItemRequest(wire_api.Message, frozen=True, tag='gossip.wanted'):
    """Requests the items of which the receiver has newer versions."""

    keys: tuple[str, ...]

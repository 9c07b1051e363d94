"""Messages of the dissemination between instances."""

from __future__ import annotations

import msgspec

from . import api
from ..wire import api as wire_api

__all__ = ['Buckets', 'Held', 'Items', 'Root', 'Versions', 'Wanted']


class Items(wire_api.Message, frozen=True, tag='gossip.items'):
    """Items that the receiver may not have."""

    items: tuple[api.Item, ...]


class Root(wire_api.Message, frozen=True, tag='gossip.root'):
    """The hash of everything the sender holds; starts an exchange."""

    digest: int


class Buckets(wire_api.Message, frozen=True, tag='gossip.buckets'):
    """The hashes of the sender's buckets, after roots differed."""

    digests: tuple[int, ...]


class Held(msgspec.Struct, frozen=True, array_like=True):
    """A key and the version of it that the sender holds."""

    key: str
    version: api.Version


class Versions(wire_api.Message, frozen=True, tag='gossip.versions'):
    """All that the sender holds in the buckets that differ."""

    buckets: tuple[int, ...]
    held: tuple[Held, ...]


class Wanted(wire_api.Message, frozen=True, tag='gossip.wanted'):
    """Keys of which the receiver has newer versions than the sender."""

    keys: tuple[str, ...]

"""Finds the tenant of an API key without keeping the key."""

from __future__ import annotations

import hashlib
import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Directory', 'SECRET_BYTES', 'digest_of']

# The longest key that BLAKE2b takes.
SECRET_BYTES: typing.Final = hashlib.blake2b.MAX_KEY_SIZE
DIGEST_BYTES: typing.Final = 16


def digest_of(key: bytes, secret: bytes) -> bytes:
    """Return the digest under which a key is kept, empty for no key."""
    if not key:
        return b''
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=secret).digest()


class Directory:
    """The tenants of one configuration by the digests of their keys.

    A key that several tenants hold, or an empty one, is valid for none.

    :param secret: the key of the digests, random and kept for the life of the
        process, so that digests stay comparable between configurations.
    """

    def __init__(
        self, tenants: abc.Iterable[api.Tenant], secret: bytes
    ) -> None:
        self._secret = secret
        self._by_name: dict[str, api.Tenant] = {}
        self._by_digest: dict[bytes, api.Tenant] = {}
        shared: dict[bytes, None] = {}
        holders: list[str] = []
        for declared in tenants:
            tenant = declared._replace(api_keys=())
            self._by_name[tenant.name] = tenant
            for key in dict.fromkeys(declared.api_keys):
                # Callers send bytes; those of a configured key are its UTF-8.
                digest = digest_of(
                    key.encode('utf-8', 'surrogatepass'), secret
                )
                if not digest:
                    continue
                holder = self._by_digest.setdefault(digest, tenant)
                if holder is not tenant:
                    shared[digest] = None
                    holders += (holder.name, tenant.name)
        for digest in shared:
            del self._by_digest[digest]
        self._dropped = tuple(
            api.Dropped(name, api.DropReason.KEY_SHARED)
            for name in dict.fromkeys(holders)
        )

    @property
    def by_name(self) -> abc.Mapping[str, api.Tenant]:
        """The tenants by their names, without their keys."""
        return self._by_name

    @property
    def dropped(self) -> tuple[api.Dropped, ...]:
        """The tenants that hold a key which another one holds too."""
        return self._dropped

    def digest(self, key: bytes) -> bytes:
        """Return the digest of a key, empty for no key."""
        return digest_of(key, self._secret)

    def find(self, key: bytes) -> api.Tenant | None:
        """Return the tenant that alone holds a key."""
        return self.find_digest(self.digest(key))

    def find_digest(self, digest: bytes) -> api.Tenant | None:
        """Return the tenant that alone holds the key with a digest."""
        return self._by_digest.get(digest)

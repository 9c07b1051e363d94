"""Idempotency keys: UUIDs of version 7, which contain their creation time."""

from __future__ import annotations

import hashlib
import typing
import uuid

__all__ = ['KEY_HASH_BYTES', 'KeyId', 'key_id', 'key_time_ms']

KEY_HASH_BYTES: typing.Final = 16
_VERSION: typing.Final = 7
_TIME_SHIFT: typing.Final = 80


class KeyId(typing.NamedTuple):
    """A caller's key as it is stored in the log: its hash and time."""

    digest: bytes
    time_ms: int


def key_time_ms(key: str) -> int | None:
    """Return the time of a key in milliseconds since the Unix epoch.

    :return: ``None`` when the key is not a UUID of version 7 in its
        canonical form.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _VERSION or str(parsed) != key.lower():
        return None
    return parsed.int >> _TIME_SHIFT


def key_id(caller: str, key: str) -> KeyId | None:
    """Return the id of a caller's key, ``None`` if the key is malformed."""
    time_ms = key_time_ms(key)
    if time_ms is None:
        return None
    text = f'{caller}\0{key.lower()}'.encode()
    digest = hashlib.blake2b(text, digest_size=KEY_HASH_BYTES).digest()
    return KeyId(digest, time_ms)

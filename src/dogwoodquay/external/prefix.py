"""Hashes of prompt prefixes, as engines publish them in cache events.

The hash of block ``n`` covers the first ``(n + 1) * BLOCK_BYTES`` bytes of the
prompt: it is seeded with the hash of the block before, and that of the first
block with the artifact's id. Equal hashes therefore mean equal prefixes of
the same artifact.
"""

from __future__ import annotations

import typing

import xxhash

__all__ = ['BLOCK_BYTES', 'MAX_BLOCKS', 'prefix_hashes']

BLOCK_BYTES: typing.Final = 256
MAX_BLOCKS: typing.Final = 64


def prefix_hashes(artifact: str, prompt: bytes) -> tuple[int, ...]:
    """Return the hashes of a prompt's prefixes, shortest first.

    Only complete blocks are hashed, and at most ``MAX_BLOCKS``.
    """
    seed = xxhash.xxh3_64_intdigest(artifact.encode())
    hashes = []
    for index in range(min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)):
        start = index * BLOCK_BYTES
        block = prompt[start : start + BLOCK_BYTES]
        seed = xxhash.xxh3_64_intdigest(block, seed)
        hashes.append(seed)
    return tuple(hashes)

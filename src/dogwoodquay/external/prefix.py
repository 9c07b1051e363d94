"""Hashes of a prompt's leading blocks, as engines publish them.

Block ``n`` covers the prompt's bytes up to ``(n + 1) * BLOCK_BYTES``; its hash
chains on that of the block before, and the artifact's id seeds the first, so
that equal hashes mean equal prefixes under the same artifact.
"""

from __future__ import annotations

import typing

import xxhash

__all__ = ['BLOCK_BYTES', 'MAX_BLOCKS', 'prefix_hashes']

BLOCK_BYTES: typing.Final = 256
MAX_BLOCKS: typing.Final = 64


def prefix_hashes(artifact: str, prompt: bytes) -> tuple[int, ...]:
    """Return the hashes of the whole leading blocks, the shortest first."""
    seed = xxhash.xxh3_64_intdigest(artifact.encode())
    hashes = []
    for index in range(min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)):
        start = index * BLOCK_BYTES
        block = prompt[start : start + BLOCK_BYTES]
        seed = xxhash.xxh3_64_intdigest(block, seed)
        hashes.append(seed)
    return tuple(hashes)

"""Tests of bodies in blocks."""

from __future__ import annotations

import unittest

from dogwoodquay.inbound import parts

_DATA = bytes(range(256)) * 2048


class PartsTest(unittest.IsolatedAsyncioTestCase):
    """The body is the same however it is cut."""

    def _body(self, data: bytes, size: int) -> parts.Body:
        found = parts.Parts()
        for start in range(0, len(data), size):
            found.add(data[start : start + size])
        self.assertEqual(len(data), found.size)
        return found.body()

    async def test_large(self) -> None:
        """It can be read several times, and cut."""
        for size in (1, 7, 1024, 16 << 10, 64 << 10, len(_DATA)):
            body = self._body(_DATA, size)
            self.assertIsInstance(body, parts.Blocks)
            self.assertEqual(len(_DATA), len(body))
            for _ in range(2):
                blocks = [block async for block in body]
                self.assertEqual(_DATA, b''.join(blocks))
            for part in (slice(70_000), slice(-70_000, None), slice(5, 9)):
                self.assertEqual(_DATA[part], body[part])

    def test_small(self) -> None:
        """It is one block of bytes."""
        self.assertEqual(b'', self._body(b'', 1))
        self.assertEqual(_DATA[:5000], self._body(_DATA[:5000], 3))

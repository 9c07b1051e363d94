"""Tests of reading bodies whose time is limited by their progress."""

from __future__ import annotations

import typing
import unittest
from unittest import mock

import anyio
import httpx

from dogwoodquay.external.http import progress

if typing.TYPE_CHECKING:
    from collections import abc

PART = b'x' * progress.MIN_BYTES_PER_SECOND


class _Parts(httpx.AsyncByteStream):
    """A body whose parts come with a pause before each but the first."""

    def __init__(
        self, parts: int, pause_seconds: float, part: bytes = PART
    ) -> None:
        self._parts = parts
        self._pause_seconds = pause_seconds
        self._part = part

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        for number in range(self._parts):
            if number and self._pause_seconds:
                await anyio.sleep(self._pause_seconds)
            yield self._part


class ProgressTest(unittest.IsolatedAsyncioTestCase):
    """A body may take as long as its size needs, and no longer."""

    async def _read(self, status: int, stream: _Parts) -> bytes | None:
        response = httpx.Response(status, stream=stream)
        self.sizes: list[int] = []
        return await progress.read(response, self.sizes.append)

    async def test_longer_than_a_pause(self) -> None:
        """The sum of all pauses may be longer than the longest allowed."""
        with mock.patch.object(progress, 'MAX_PAUSE_SECONDS', 0.01):
            body = await self._read(200, _Parts(5, 0.01))
        self.assertEqual(PART * 5, body)
        self.assertEqual([len(PART) * n for n in range(1, 6)], self.sizes)

    async def test_too_slow(self) -> None:
        """A body that stops to arrive is given up."""
        with mock.patch.object(progress, 'MIN_BYTES_PER_SECOND', 1 << 30):
            with mock.patch.object(progress, 'MAX_PAUSE_SECONDS', 0.01):
                body = await self._read(200, _Parts(2, 3600.0))
        self.assertIsNone(body)

    async def test_failed_response(self) -> None:
        """The size of an error's body is not reported."""
        self.assertEqual(PART, await self._read(410, _Parts(1, 0.0)))
        self.assertEqual([], self.sizes)

    async def test_parts_of_a_few_bytes(self) -> None:
        """A body in very many small parts is given up, whatever its rate."""
        small = b'x' * (progress.MIN_PART_BYTES - 1)
        few = await self._read(200, _Parts(progress.FREE_PARTS, 0.0, small))
        self.assertEqual(small * progress.FREE_PARTS, few)
        many = _Parts(progress.FREE_PARTS + 1, 0.0, small)
        self.assertIsNone(await self._read(200, many))
        parts = 2 * progress.FREE_PARTS
        large = _Parts(parts, 0.0, small + b'x')
        self.assertEqual((small + b'x') * parts, await self._read(200, large))

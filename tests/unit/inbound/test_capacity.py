"""Tests of the memory that is left for clients."""

from __future__ import annotations

import math
import unittest

from dogwoodquay.inbound import capacity

_MB = 1_000_000


class MemoryUseTest(unittest.TestCase):
    """What is left depends on what the process uses itself."""

    def setUp(self) -> None:
        """Measure a process of 100 MB with a limit of 300."""
        super().setUp()
        self.use = capacity.MemoryUse(300.0 * _MB)
        self.use.measure(100 * _MB, 0, 0)

    def test_own_use(self) -> None:
        """A larger one leaves less."""
        left = self.use.buffer_bytes(0)
        self.use.measure(200 * _MB, 0, 0)
        self.assertEqual(left / 2, self.use.buffer_bytes(0))

    def test_what_is_held(self) -> None:
        """That is no own use, and neither are connections."""
        left = self.use.left_bytes
        connections = 1000
        resident = 150 * _MB + connections * capacity.CONNECTION_BYTES
        self.use.measure(resident, 50 * _MB, connections)
        self.assertEqual(left, self.use.left_bytes)

    def test_held_before_resident(self) -> None:
        """The use does not seem to fall while much is held."""
        left = self.use.left_bytes
        self.use.measure(110 * _MB, 50 * _MB, 0)
        self.assertEqual(left, self.use.left_bytes)

    def test_memory_that_is_not_counted(self) -> None:
        """It leaves less, until it is free again."""
        self.use.measure(200 * _MB, 50 * _MB, 0)
        self.assertTrue(self.use.is_grown)
        self.assertEqual(150 * _MB, self.use.left_bytes)
        self.use.measure(100 * _MB, 0, 0)
        self.assertEqual(200 * _MB, self.use.left_bytes)

    def test_one_request_always_fits(self) -> None:
        """Even if the process seems to use all memory."""
        self.use.measure(400 * _MB, 0, 0)
        self.assertGreaterEqual(self.use.buffer_bytes(1000), 8 << 20)
        self.assertGreaterEqual(self.use.max_connections, 100)

    def test_no_limit(self) -> None:
        """All may be held."""
        use = capacity.MemoryUse(math.inf)
        self.assertEqual(math.inf, use.buffer_bytes(1000))
        self.assertEqual(math.inf, use.max_connections)

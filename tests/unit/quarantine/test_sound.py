"""Tests of the parts with complete answers."""

from __future__ import annotations

import unittest

from dogwoodquay.quarantine import sound


class SoundTraitsTest(unittest.TestCase):
    """Parts are remembered for one or two generations."""

    def setUp(self) -> None:
        """Add a part."""
        self.parts = sound.SoundTraits()
        self.parts.add(['a'], 100.0)

    def test_time(self) -> None:
        """A part is forgotten after two generations at most."""
        step = sound.GENERATION_SECONDS
        self.parts.add(['b'], 100.0 + step)
        self.assertIn('a', self.parts)
        self.parts.expire(100.0 + 2 * step)
        self.assertNotIn('a', self.parts)
        self.assertIn('b', self.parts)
        self.parts.expire(100.0 + 10 * step)
        self.assertNotIn('b', self.parts)

    def test_size(self) -> None:
        """Many parts drop the older generation early."""
        limit = sound.MAX_TRAITS_PER_GENERATION
        for number in range(3 * limit):
            self.parts.add([f'p{number}'], 101.0)
        self.assertNotIn('a', self.parts)
        self.assertIn(f'p{3 * limit - 1}', self.parts)

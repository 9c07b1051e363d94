"""Tests of the versions of the configuration that an instance knows."""

from __future__ import annotations

import unittest

from dogwoodquay.gateway import versions


class VersionsTest(unittest.TestCase):
    """An instance is behind from the first news until it has caught up."""

    def setUp(self) -> None:
        """Create versions without an active one."""
        self.versions = versions.ConfigurationVersions()

    def test_before_first(self) -> None:
        """Without any version the instance is not behind."""
        self.assertEqual(-1, self.versions.active)
        self.assertEqual(-1, self.versions.newest)
        self.assertFalse(self.versions.behind)
        self.assertEqual(0.0, self.versions.behind_seconds(7.0))

    def test_not_heard_of_first(self) -> None:
        """A version that is read before it is heard of ends no delay."""
        self.assertIsNone(self.versions.on_active(4, 1.0))
        self.assertFalse(self.versions.on_heard_of(4, 2.0))
        self.assertFalse(self.versions.on_heard_of(3, 2.0))
        self.assertEqual(4, self.versions.newest)
        self.assertFalse(self.versions.behind)
        self.assertEqual(0.0, self.versions.behind_seconds(7.0))

    def test_behind(self) -> None:
        """Only a still higher version is news; the time goes on."""
        self.versions.on_active(16, 1.0)
        self.assertTrue(self.versions.on_heard_of(19, 2.0))
        self.assertFalse(self.versions.on_heard_of(19, 3.0))
        self.assertTrue(self.versions.on_heard_of(23, 4.0))
        self.assertFalse(self.versions.on_heard_of(19, 4.5))
        self.assertTrue(self.versions.behind)
        self.assertEqual(16, self.versions.active)
        self.assertEqual(23, self.versions.newest)
        self.assertEqual(3.0, self.versions.behind_seconds(5.0))

    def test_caught_up(self) -> None:
        """A version between leaves the instance behind since the start."""
        self.versions.on_active(16, 1.0)
        self.versions.on_heard_of(19, 2.0)
        self.versions.on_heard_of(23, 4.0)
        self.assertIsNone(self.versions.on_active(19, 5.0))
        self.assertEqual(4.0, self.versions.behind_seconds(6.0))
        self.assertEqual(6.0, self.versions.on_active(24, 8.0))
        self.assertEqual(24, self.versions.newest)
        self.assertFalse(self.versions.behind)
        self.assertEqual(0.0, self.versions.behind_seconds(9.0))

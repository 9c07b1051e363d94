"""Tests of finding tenants by their keys."""

from __future__ import annotations

import unittest

from dogwoodquay.tenants import api
from dogwoodquay.tenants import directory

_SECRET = b's' * directory.SECRET_BYTES


class DirectoryTest(unittest.TestCase):
    """A key is valid for the one tenant that holds it."""

    def test_found_without_keys(self) -> None:
        """What is found holds no key that could be shown in a log."""
        subject = directory.Directory(
            (api.Tenant('a', ('k1', 'clé')), api.Tenant('b', ('k2',))), _SECRET
        )
        found = subject.find(b'k1')
        self.assertEqual(api.Tenant('a'), found)
        self.assertEqual(found, subject.find('clé'.encode()))
        self.assertIs(found, subject.by_name['a'])
        self.assertIs(found, subject.find_digest(subject.digest(b'k1')))
        self.assertIsNone(subject.find(b'k3'))
        self.assertNotIn('k1', repr(vars(subject)))
        self.assertNotIn('k1', repr(api.Tenant('a', ('k1',))))

    def test_invalid_keys(self) -> None:
        """A shared or empty key would let one tenant act as another."""
        subject = directory.Directory(
            (
                api.Tenant('a', ('shared', 'own', 'own')),
                api.Tenant('b', ('shared', '')),
                api.Tenant('c', ('shared',)),
            ),
            _SECRET,
        )
        self.assertIsNone(subject.find(b'shared'))
        self.assertIsNone(subject.find(b''))
        self.assertEqual('a', getattr(subject.find(b'own'), 'name', ''))
        reason = api.DropReason.KEY_SHARED
        self.assertEqual(
            tuple(api.Dropped(name, reason) for name in 'abc'), subject.dropped
        )

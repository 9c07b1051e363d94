"""Tests of the names of instances in the group."""

from __future__ import annotations

import unittest

from . import fakes
from dogwoodquay.gateway import members


class MemberNameTest(unittest.TestCase):
    """A member's name contains its peer address."""

    def test_round_trip(self) -> None:
        """The address is parsed from a name; other names have none."""
        settings = fakes.instance_settings()
        name = members.member_name(settings)
        self.assertEqual(settings.peers, members.member_address(name))
        self.assertIsNone(members.member_address('x@y'))

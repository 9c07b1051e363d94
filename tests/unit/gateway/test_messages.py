"""Tests of messages between instances of different builds."""

from __future__ import annotations

import unittest

import msgspec

from dogwoodquay.gateway import messages
from dogwoodquay.wire import api as wire_api


class _EarlierView(wire_api.Message, frozen=True, tag='view'):
    """The view before it told who reads the store."""

    owner: str
    engines: tuple[messages.EngineView, ...]
    loading: tuple[messages.LoadingModel, ...]
    instances: int
    configuration_version: int


class FleetViewTest(unittest.TestCase):
    """Old and new instances understand each other while they are replaced."""

    def test_earlier_form(self) -> None:
        """The receiver of an old owner's view reads the store itself."""
        earlier = _EarlierView('front-1@127.0.0.1:1', (), (), 3, 4)
        form = msgspec.to_builtins(earlier)
        view = msgspec.convert(form, messages.FleetView)
        self.assertEqual((3, 4), (view.instances, view.configuration_version))
        self.assertTrue(view.reads_store)
        self.assertEqual('', view.configuration_holder)

    def test_later_form(self) -> None:
        """An old instance reads the fields that it knows."""
        view = messages.FleetView('front-1', (), (), 3, 4, False, 'front-2')
        earlier = msgspec.convert(msgspec.to_builtins(view), _EarlierView)
        self.assertEqual(_EarlierView('front-1', (), (), 3, 4), earlier)

    def test_without_roster(self) -> None:
        """The view of an old owner brings no roster."""
        earlier = _EarlierView('front-1@127.0.0.1:1', (), (), 3, 4)
        form = msgspec.to_builtins(earlier)
        view = msgspec.convert(form, messages.FleetView)
        self.assertEqual((0, ()), (view.roster_version, view.roster))


class InstanceLoadTest(unittest.TestCase):
    """Loads are read by owners of either build."""

    def test_earlier_form(self) -> None:
        """The load of an old instance names no failure domain."""
        form = ['load', 'front-1', 3, [], [], []]
        load = msgspec.convert(form, messages.InstanceLoad)
        self.assertEqual(('', 0), (load.failure_domain, load.roster_version))

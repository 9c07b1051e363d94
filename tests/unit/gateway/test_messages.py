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

    def test_without_permits(self) -> None:
        """The view of an old owner gives no permits for limited servers."""
        earlier = _EarlierView('front-1@127.0.0.1:1', (), (), 3, 4)
        form = msgspec.to_builtins(earlier)
        view = msgspec.convert(form, messages.FleetView)
        self.assertIsNone(view.grants)
        self.assertEqual((), view.limits)

    def test_without_pools(self) -> None:
        """Guards against an old owner's view that is taken for a backlog."""
        earlier = _EarlierView('front-1@127.0.0.1:1', (), (), 3, 4)
        form = msgspec.to_builtins(earlier)
        view = msgspec.convert(form, messages.FleetView)
        self.assertEqual(((), b''), (view.pools, view.turns))


class _EarlierLoad(wire_api.Message, frozen=True, tag='load'):
    """The load before it told of waiting requests by software version."""

    instance_id: str
    configuration_version: int
    models: tuple[messages.ModelDemand, ...]
    in_use: tuple[messages.AdapterInUse, ...]
    running: tuple[messages.RunningRequests, ...]


class InstanceLoadTest(unittest.TestCase):
    """An owner and an instance of different builds exchange loads."""

    def test_both_forms(self) -> None:
        """The old form has no requests by software version."""
        rows = (messages.ModelDemand('s', 'm', 0.4, 0, 1, 0.1),)
        at_version = (messages.VersionDemand('s', 'm', 'v1', 1),)
        earlier = _EarlierLoad('front-1', 3, rows, (), ())
        load = messages.InstanceLoad(
            'front-1', 3, rows, (), (), at_version=at_version
        )
        form = msgspec.to_builtins(load)
        self.assertEqual(earlier, msgspec.convert(form, _EarlierLoad))
        form = msgspec.to_builtins(earlier)
        found = msgspec.convert(form, messages.InstanceLoad)
        self.assertEqual(rows, found.models)
        self.assertEqual((), found.at_version)

    def test_earlier_form(self) -> None:
        """The load of an old instance names no failure domain."""
        form = ['load', 'front-1', 3, [], [], []]
        load = msgspec.convert(form, messages.InstanceLoad)
        self.assertEqual(('', 0), (load.failure_domain, load.roster_version))


class _EarlierFind(wire_api.Message, frozen=True, tag='find'):
    """The search for an adapter before it named a software version."""

    service: str
    model: str
    adapter: str


class FindAdapterTest(unittest.TestCase):
    """An owner and an instance of different builds find adapters."""

    def test_earlier_form(self) -> None:
        """An old instance's search is for any software version."""
        form = msgspec.to_builtins(_EarlierFind('models', 'm', 'a1'))
        found = msgspec.convert(form, messages.FindAdapter)
        self.assertEqual(
            messages.FindAdapter('models', 'm', 'a1', None), found
        )

    def test_later_form(self) -> None:
        """An old owner reads a search without its software version."""
        for version in (None, '', 'v1'):
            search = messages.FindAdapter('models', 'm', 'a1', version)
            form = msgspec.to_builtins(search)
            earlier = msgspec.convert(form, _EarlierFind)
            self.assertEqual(_EarlierFind('models', 'm', 'a1'), earlier)
            self.assertEqual(search, msgspec.convert(form, type(search)))


class _EarlierHandOver(wire_api.Message, frozen=True, tag='hand_over'):
    """The offer of the duty before it told the era of the store."""

    predecessor: str
    generation: int
    hand_over_number: int


class HandOverTest(unittest.TestCase):
    """Instances of an earlier build know no era."""

    def test_both_forms(self) -> None:
        """The era is zero, or is not read."""
        earlier = _EarlierHandOver('front-1', 3, 1)
        offer = messages.HandOver('front-1', 3, 1, 2)
        form = msgspec.to_builtins(earlier)
        read = msgspec.convert(form, messages.HandOver)
        self.assertEqual(messages.HandOver('front-1', 3, 1, 0), read)
        form = msgspec.to_builtins(offer)
        self.assertEqual(earlier, msgspec.convert(form, _EarlierHandOver))


class _EarlierBody(wire_api.Message, frozen=True, tag='configuration'):
    """A configuration before it told the era of its position."""

    version: int
    next_offset: int
    compressed: bytes


class ConfigurationBodyTest(unittest.TestCase):
    """A copy without an era names an offset of an unknown one."""

    def test_both_forms(self) -> None:
        """Old and new instances read each other's copies."""
        earlier = _EarlierBody(8, 31, b'x')
        body = msgspec.convert(
            msgspec.to_builtins(earlier), messages.ConfigurationBody
        )
        self.assertEqual(messages.ConfigurationBody(8, 31, b'x', 0), body)
        later = messages.ConfigurationBody(8, 31, b'x', 2)
        form = msgspec.to_builtins(later)
        self.assertEqual(earlier, msgspec.convert(form, _EarlierBody))

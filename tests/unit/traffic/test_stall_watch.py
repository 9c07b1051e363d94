"""Tests that stalled servers are ejected and their requests moved."""

from __future__ import annotations

import typing
import unittest

from dogwoodquay import clock as clocks
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import messages
from dogwoodquay.traffic import stall_watch
from tests.unit.fleet import entries
from tests.unit.gateway import fakes


class StallWatchTest(unittest.TestCase):
    """Two instances, the first of which is the owner."""

    def setUp(self) -> None:
        """Start both with one server."""
        self.clock = clocks.ManualClock()
        self.registries = [registries.Registry() for _ in range(2)]
        for registry in self.registries:
            registry.update(entries.entry('s1'), self.clock.now())
        self.watches = [
            fakes.make_stalls(registry, self.clock, enabled=True)
            for registry in self.registries
        ]
        self.moved: list[str] = []

        def notify(found: typing.Any) -> None:
            self.moved.extend(found)

        self.watches[1].on_stalled(notify)

    def _exchange(self) -> None:
        """Send both loads to the owner and its view to both."""
        for number, watch in enumerate(self.watches):
            load = messages.InstanceLoad(
                f'i{number}', 1, (), (), (), progress=watch.load_rows()
            )
            self.watches[0].on_load(load)
        view = messages.FleetView(
            'i0', (), (), 2, 1, stalls=self.watches[0].view_rows()
        )
        for watch in self.watches:
            watch.on_view(view, self.clock.now())

    def _sent(self, number: int) -> stall_watch.WatchedRequest:
        entry = self.registries[number].servers['s1'].entry
        watched = self.watches[number].sent(entry)
        assert watched is not None
        return watched

    def _ejected(self) -> list[bool]:
        return [
            registry.servers['s1'].ejected(self.clock.now())
            for registry in self.registries
        ]

    def test_ejected_at_all_instances(self) -> None:
        """A hung server would hold each instance's requests to the end."""
        self._sent(0)
        self._sent(1)
        self.clock.advance(0.7)
        self._exchange()
        self.assertEqual([True, True], self._ejected())
        self.assertEqual(['s1'], self.moved)

    def test_heard_at_one_instance(self) -> None:
        """A server that is busy for one instance answers another one."""
        self._sent(0)
        self._sent(0)
        other = self._sent(1)
        self.clock.advance(0.7)
        other.heard()
        self._exchange()
        self.assertEqual([False, False], self._ejected())

    def test_used_again_after_an_answer(self) -> None:
        """A server that goes on does not stay ejected."""
        first = self._sent(0)
        self._sent(1)
        self.clock.advance(0.7)
        self._exchange()
        first.heard()
        self.clock.advance(0.1)
        self._exchange()
        self.assertEqual([False, False], self._ejected())

    def test_ended_requests_are_not_pending(self) -> None:
        """Callers that have left are no sign of a stall."""
        for number in (0, 1):
            self._sent(number).ended()
        self.clock.advance(0.7)
        self._exchange()
        self.assertEqual([False, False], self._ejected())

    def test_service_that_is_not_watched(self) -> None:
        """Deployments without contended load send no rows."""
        watch = fakes.make_stalls(self.registries[0], self.clock)
        self.assertIsNone(watch.sent(entries.entry('s1')))
        self.assertEqual((), watch.load_rows())

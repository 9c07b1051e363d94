"""Tests of the messages and answers about learned capacity."""

from __future__ import annotations

import asyncio
import typing
import unittest

from ..fleet import entries
from dogwoodquay import clock as clocks
from dogwoodquay.fleet import registry as registries
from dogwoodquay.gateway import messages
from dogwoodquay.platform import headers
from dogwoodquay.traffic import server_capacity
from tests.unit.gateway import fakes
from tests.unit.gateway import loopback

if typing.TYPE_CHECKING:
    from dogwoodquay.fleet import server as servers


class _Instance:
    """What one instance knows of two servers."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.registry = registries.Registry()
        for server_id in ('a', 'b'):
            self.registry.update(entries.entry(server_id, service='p'), 0.0)
        self.capacity = server_capacity.ServerCapacity(
            self.registry, clock, fakes.rng(), fakes.make_metrics()
        )

    @property
    def server(self) -> servers.Server:
        """The first server."""
        return self.registry.servers['a']

    def answer(self, load: bytes) -> None:
        """Receive an answer of the first server."""
        terms = headers.answer_terms(200, ((b'Server-Load', load),))
        self.capacity.on_answer(self.server, terms)


def _answers(status: int) -> loopback.Script:
    """Return a script of answers that state the load and the pace."""

    async def script(
        request: loopback.Received, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.headers['attempt-id']
        head = (
            f'HTTP/1.1 {status} x\r\nAttempt-Id: {attempt}\r\n'
            'Response-Stamp: x\r\nServer-Load: 1,0,4,100\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        writer.write(head.encode())
        await writer.drain()
        return True

    return script


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Answers to requests are what is learned from."""

    async def test_complete_answers(self) -> None:
        """Figures and times of complete answers are applied."""
        site = loopback.Site(loopback.Upstream('u1', _answers(200)))
        async with site.running():
            site.configure(loopback.route())
            for _ in range(6):
                self.assertEqual(200, (await site.call()).status)
            capacities = site.capacity.capacities
            self.assertTrue(capacities.paced('s'))
            self.assertGreater(capacities.usual_seconds('s', ''), 0.0)
            self.assertLess(capacities.usual_seconds('s', ''), 0.1)

    async def test_answer_of_another_server(self) -> None:
        """A 421 may be the answer of another server at the address."""
        site = loopback.Site(loopback.Upstream('u1', _answers(421)))
        async with site.running():
            site.configure(loopback.route(max_attempts=1))
            await site.call(deadline_ms=400)
            self.assertFalse(site.capacity.paced('s'))


class ServerCapacityTest(unittest.TestCase):
    """Services are learned about only if their servers state their pace."""

    def setUp(self) -> None:
        """Create two instances."""
        self.clock = clocks.ManualClock()
        self.first = _Instance(self.clock)
        self.second = _Instance(self.clock)

    def _load(self) -> messages.InstanceLoad:
        rows = self.first.capacity.load_rows()
        return messages.InstanceLoad('i', 1, (), (), (), capacities=rows)

    def test_no_pace(self) -> None:
        """Earlier deployments send the same messages as before."""
        self.first.answer(b'3,1,4')
        self.assertFalse(self.first.capacity.paced('p'))
        self.assertIsNone(self.first.capacity.limit(self.first.server))
        self.assertEqual((), self.first.capacity.load_rows())
        self.assertEqual((), self.first.capacity.view_rows(lambda _: 0))

    def test_shared(self) -> None:
        """What one instance hears reaches another one by the owner."""
        self.first.answer(b'3,1,4,250')
        self.clock.advance(0.2)
        self.second.capacity.on_load(self._load())
        (row,) = self.second.capacity.view_rows(lambda _: 2)
        self.assertEqual((3, 1), (row.running, row.waiting))
        self.assertEqual((2.5, 2), (row.pace, row.others))
        self.assertAlmostEqual(0.2, row.age)
        third = _Instance(self.clock)
        view = messages.FleetView('o', (), (), 1, 1, capacities=(row,))
        third.capacity.on_view(view, self.clock.now())
        self.assertTrue(third.capacity.paced('p'))
        self.assertTrue(third.capacity.paced_server('b'))

    def test_another_process(self) -> None:
        """Figures of an earlier process of a server are dropped."""
        self.first.answer(b'3,1,4,250')
        self.second.registry.update(
            entries.entry('a', service='p', started_ms=2000), 0.0
        )
        self.second.capacity.on_load(self._load())
        self.assertFalse(self.second.capacity.paced('p'))

    def test_fast_errors(self) -> None:
        """A server that fails at once does not look fast."""
        capacity, server = self.first.capacity, self.first.server
        for _ in range(100):
            self.clock.advance(0.05)
            self.first.answer(b'1,0,4,100')
            capacity.on_completed(server, 'r', 500, 0.001, 1.0)
        (known,) = (
            item
            for key, item in capacity.capacities.servers.items()
            if key.server_id == 'a'
        )
        self.assertEqual(1.0, known.factor(self.clock.now()))

    def test_limit_is_logged_once_a_second(self) -> None:
        """A limit that falls fast does not fill the log."""
        capacity, server = self.first.capacity, self.first.server
        lines = fakes.log_lines(self)
        for number in range(100):
            self.clock.advance(0.02)
            slow = number >= 40
            self.first.answer(b'4,0,4,100' if slow else b'1,0,4,100')
            seconds = 0.5 if slow else 0.1
            capacity.on_completed(server, 'r', 200, seconds, 1.0)
        logged = [
            line for line in lines if line['message_type'] == 'capacity:limit'
        ]
        self.assertIn(len(logged), (1, 2))

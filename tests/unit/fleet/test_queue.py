"""Tests of the queue of waiting requests."""

from __future__ import annotations

import unittest

from dogwoodquay.fleet import choice
from dogwoodquay.fleet import queue


def _ticket(
    number: int,
    priority: int = 1,
    wait_deadline: float = 9.0,
    model: str = '',
    objective_at: float = 8.0,
) -> queue.Ticket:
    need = choice.Need('models', model)
    return queue.Ticket(
        number, priority, objective_at, wait_deadline, float(number), need
    )


class QueueTest(unittest.TestCase):
    """Requests leave the queue by urgency, age and wait deadline."""

    def test_urgent_first_then_oldest(self) -> None:
        """The most urgent request goes first, then the oldest."""
        subject = queue.RequestQueue()
        for ticket in (_ticket(1), _ticket(2), _ticket(3, priority=0)):
            subject.add(ticket)
        servers = ['x', 'y']
        assigned = subject.assign(
            lambda _: servers.pop(0) if servers else None, 4.0
        )
        numbers = [ticket.number for ticket, _ in assigned]
        self.assertEqual([3, 1], numbers)
        self.assertEqual(1, len(subject))

    def test_requests_past_their_objective_yield(self) -> None:
        """Requests that can still meet their objective go first."""
        subject = queue.RequestQueue()
        for number in range(1, 70):
            subject.add(_ticket(number, objective_at=100.0))
        subject.add(_ticket(200, objective_at=201.0))
        subject.add(_ticket(201, priority=2, objective_at=400.0))
        servers = ['x', 'x', 'x']
        assigned = subject.assign(
            lambda _: servers.pop(0) if servers else None, 200.5
        )
        numbers = [ticket.number for ticket, _ in assigned]
        self.assertEqual([200, 201, 1], numbers)

    def test_successor_does_not_block_its_model(self) -> None:
        """A request that needs another server holds up none that does not."""
        subject = queue.RequestQueue()
        first = _ticket(1, priority=0)
        need = first.need._replace(avoid=frozenset({'x'}), successor=True)
        subject.add(first._replace(need=need))
        subject.add(_ticket(2, priority=2))
        assigned = subject.assign(
            lambda need: None if 'x' in need.avoid else 'x', 3.0
        )
        self.assertEqual([2], [ticket.number for ticket, _ in assigned])

    def test_full_model_does_not_block_others(self) -> None:
        """Requests for a model without free servers do not block others."""
        subject = queue.RequestQueue()
        subject.add(_ticket(1, priority=0, model='full'))
        subject.add(_ticket(2, priority=2, model='free'))
        assigned = subject.assign(
            lambda need: 'x' if need.model == 'free' else None, 3.0
        )
        self.assertEqual([2], [ticket.number for ticket, _ in assigned])

    def test_full_version_does_not_block_others(self) -> None:
        """Requests for one software version do not block those for others."""
        subject = queue.RequestQueue()
        versions = ('v1', 'v1', 'v2', None, '')
        for number, version in enumerate(versions):
            ticket = _ticket(number)
            need = ticket.need._replace(version=version)
            subject.add(ticket._replace(need=need))
        asked = []

        def choose(need: choice.Need) -> str | None:
            asked.append(need.version)
            return None if need.version in ('v1', '') else 'x'

        assigned = subject.assign(choose, 3.0)
        self.assertEqual([2, 3], [ticket.number for ticket, _ in assigned])
        self.assertEqual(['v1', 'v2', None, ''], asked)

    def test_expired(self) -> None:
        """Requests past their wait deadline leave the queue."""
        subject = queue.RequestQueue()
        subject.add(_ticket(1, wait_deadline=5.0))
        subject.add(_ticket(2, wait_deadline=6.0))
        expired = subject.expired(5.0)
        self.assertEqual([1], [ticket.number for ticket in expired])
        self.assertEqual(1, len(subject))

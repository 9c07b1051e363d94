"""Tests of the demonstration's requests, stream parser and result."""

from __future__ import annotations

import random
import typing
import unittest
import uuid

import anyio

from dogwoodquay.demo import events
from dogwoodquay.demo import outcomes
from dogwoodquay.demo import report
from dogwoodquay.demo import requests

if typing.TYPE_CHECKING:
    from collections import abc


async def _lines(*lines: str) -> abc.AsyncIterator[str]:
    for line in lines:
        yield line


def _event(number: int, text: str) -> tuple[str, str, str]:
    data = f'data: {{"choices": [{{"delta": {{"content": "{text}"}}}}]}}'
    return f'id: {number}', data, ''


class StreamTextTest(unittest.TestCase):
    """Parsing of event streams."""

    def test_two_connections(self) -> None:
        """A resumed stream is complete only after its last event."""
        text = events.StreamText()
        anyio.run(text.read, _lines(*_event(0, 'a'), *_event(1, 'b')))
        self.assertEqual(
            ('ab', 1, False), (text.text, text.last_event, text.complete)
        )
        anyio.run(
            text.read, _lines(*_event(2, 'c'), 'id: 3', 'data: [DONE]', '')
        )
        self.assertEqual(('abc', True), (text.text, text.complete))

    def test_error_event(self) -> None:
        """A stream that ends with an error event is not complete."""
        text = events.StreamText()
        error = 'data: {"reason": "answer_cut", "outcome": "unknown"}'
        anyio.run(
            text.read, _lines(*_event(0, 'a'), 'event: error', error, '')
        )
        self.assertFalse(text.complete)
        self.assertEqual(events.Problem('answer_cut', 'unknown'), text.problem)

    def test_unreadable_problem(self) -> None:
        """A body that cannot be parsed gives the outcome "unknown"."""
        for body in (b'', b'no', b'\xff', b'[]'):
            self.assertEqual('unknown', events.parse_problem(body).outcome)


class ResultTest(unittest.TestCase):
    """Conditions under which the demonstration passes."""

    def _result(
        self,
        *endings: outcomes.Ending,
        violations: int = 0,
        repeated: int = 0,
    ) -> report.Result:
        tally = outcomes.Tally()
        for ending in endings:
            tally.add(outcomes.Outcome('while', 'kind', ending, 1, 0))
        return report.Result(tally, 0, 0, violations, repeated)

    def test_passed(self) -> None:
        """An unknown outcome beside correct ones is not a failure."""
        good, unknown = outcomes.Ending.CORRECT, outcomes.Ending.UNKNOWN
        self.assertTrue(self._result(good, unknown).passed)

    def test_failed(self) -> None:
        """A wrong, missing or repeated result is a failure."""
        good = outcomes.Ending.CORRECT
        for result in (
            self._result(),
            self._result(outcomes.Ending.UNKNOWN),
            self._result(good, outcomes.Ending.WRONG),
            self._result(good, outcomes.Ending.GIVEN_UP),
            self._result(good, violations=1),
            self._result(good, repeated=1),
        ):
            self.assertFalse(result.passed)
            self.assertIn('outcomes', report.render(result))


class RequestsTest(unittest.TestCase):
    """The generated requests and their expected replies."""

    def test_keys(self) -> None:
        """Idempotency keys are distinct UUIDs of version 7."""
        keys = {requests.uuid7(now) for now in (0.0, 1e9, 1e9)}
        self.assertEqual(3, len(keys))
        self.assertEqual({7}, {uuid.UUID(key).version for key in keys})

    def test_expected_text(self) -> None:
        """Requests with different photos have different expected texts."""
        rng = random.Random(1)
        expected = {
            requests.repair_ticket(rng, True).expected for _ in range(50)
        }
        self.assertEqual(50, len(expected))

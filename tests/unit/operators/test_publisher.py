"""Tests of publishing records over a log that fails."""

from __future__ import annotations

import json
import random
import unittest

import anyio

from dogwoodquay import clock
from dogwoodquay.external import memory
from dogwoodquay.external.memory import faults
from dogwoodquay.operators import publisher
from dogwoodquay.records import catalog


def _policy(weight, **fields):
    record = {
        'schema_version': 1,
        'kind': 'policy',
        'name': 'default',
        'move_weight': weight,
    }
    return json.dumps(record | fields).encode()


class PublisherTest(unittest.TestCase):
    """What the publisher says is what the log decided."""

    def setUp(self):
        self.time = clock.SystemClock()
        self.log = memory.MemoryLog(memory.SystemTimeline(), random.Random(1))

    def _publish(self, *payloads, seconds=5.0):
        async def work():
            subject = publisher.Publisher(
                self.log, self.time, random.Random(1)
            )
            decisions = []
            async with anyio.create_task_group() as group:
                group.start_soon(subject.run)
                for payload in payloads:
                    deadline = self.time.now() + seconds
                    decisions.append(await subject.publish(payload, deadline))
                group.cancel_scope.cancel()
            return decisions, subject.state.catalog

        return anyio.run(work)

    def _entries(self):
        return len(self.log.entries(publisher.STREAM))

    def test_lost_answer_is_settled_by_reading(self):
        """The record is found on the log and not appended again."""
        self.log.faults.inject(faults.CallFault.LOSE_ANSWER)
        (decision,), found = self._publish(_policy(0.5))
        self.assertIsInstance(decision, publisher.Published)
        self.assertEqual(0.5, found.policy.move_weight)
        self.assertEqual(1, self._entries())

    def test_lost_call_stays_undecided(self):
        """Nothing is appended twice, and nothing is called accepted."""
        self.log.faults.inject(faults.CallFault.LOSE_CALL)
        (decision,), found = self._publish(_policy(0.5), seconds=0.3)
        self.assertIsInstance(decision, publisher.Undecided)
        self.assertEqual(0, self._entries())
        self.assertEqual(-1, found.offset)

    def test_unavailable_log_is_tried_again(self):
        """A call that certainly had no effect is repeated."""
        self.log.faults.inject(faults.CallFault.UNAVAILABLE)
        (decision,), _ = self._publish(_policy(0.5))
        self.assertIsInstance(decision, publisher.Published)
        self.assertEqual(1, self._entries())

    def test_loser_of_a_race_is_told(self):
        """Of two conditional records the later one is refused."""
        first, second = (
            _policy(0.5, expected_offset=-1),
            _policy(0.7, expected_offset=-1),
        )
        (won, lost), found = self._publish(first, second)
        self.assertIsInstance(won.outcome, catalog.Accepted)
        self.assertIsInstance(lost.outcome, catalog.RefusedRecord)
        self.assertEqual('lost_race', lost.outcome.reason.value)
        self.assertEqual(0.5, found.policy.move_weight)

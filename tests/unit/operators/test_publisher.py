"""Tests of publishing records to a log with faults."""

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
    """The publisher returns the outcome that the log shows."""

    def setUp(self):
        self.time = clock.SystemClock()
        self.log = memory.MemoryLog(memory.SystemTimeline(), random.Random(1))

    def _publish(self, *payloads, seconds=5.0):
        async def publish_all():
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

        return anyio.run(publish_all)

    def _entries(self):
        return len(self.log.entries(publisher.STREAM))

    def test_lost_response_is_resolved_by_reading(self):
        """The record is found in the log and not appended again."""
        self.log.faults.inject(faults.CallFault.LOSE_ANSWER)
        (decision,), published_catalog = self._publish(_policy(0.5))
        self.assertIsInstance(decision, publisher.Published)
        self.assertEqual(0.5, published_catalog.policy.move_weight)
        self.assertEqual(1, self._entries())

    def test_lost_call_stays_undecided(self):
        """A lost append is neither repeated nor reported as accepted."""
        self.log.faults.inject(faults.CallFault.LOSE_CALL)
        (decision,), published_catalog = self._publish(
            _policy(0.5), seconds=0.3
        )
        self.assertIsInstance(decision, publisher.Undecided)
        self.assertEqual(0, self._entries())
        self.assertEqual(-1, published_catalog.offset)

    def test_append_to_unavailable_log_is_retried(self):
        """An append that certainly had no effect is retried."""
        self.log.faults.inject(faults.CallFault.UNAVAILABLE)
        (decision,), _ = self._publish(_policy(0.5))
        self.assertIsInstance(decision, publisher.Published)
        self.assertEqual(1, self._entries())

    def test_conflicting_record_is_refused(self):
        """Of two records with one expected offset the second is refused."""
        first, second = (
            _policy(0.5, expected_offset=-1),
            _policy(0.7, expected_offset=-1),
        )
        (first_decision, second_decision), published_catalog = self._publish(
            first, second
        )
        self.assertIsInstance(first_decision.outcome, catalog.Accepted)
        self.assertIsInstance(second_decision.outcome, catalog.RefusedRecord)
        self.assertEqual('lost_race', second_decision.outcome.reason.value)
        self.assertEqual(0.5, published_catalog.policy.move_weight)

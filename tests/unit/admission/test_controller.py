"""Tests of the admission controller."""

from __future__ import annotations

import math
import unittest

from dogwoodquay.admission import api
from dogwoodquay.admission import controller
from dogwoodquay.admission import queue
from dogwoodquay.records import api as records

_ARTIFACT = 'm@1'
_UNLIMITED_CALLER = records.Caller(
    '', '', requests_per_second=1e6, max_in_flight=10_000
)


def _subject(
    slots: int = 1, limit: int = 128, **callers: records.Caller
) -> controller.FairAdmission:
    settings = controller.AdmissionSettings(queue.QueueSettings(limit=limit))
    subject = controller.FairAdmission(settings)
    known = callers or {'a': _UNLIMITED_CALLER, 'b': _UNLIMITED_CALLER}
    subject.update_catalog(records.Catalog(callers=known), 0.0)
    subject.set_capacity(_ARTIFACT, slots, 0.1)
    return subject


def _ticket(
    request_id: str,
    caller: str = 'a',
    priority: int = 3,
    deadline: float = 1000.0,
) -> api.Ticket:
    return api.Ticket(request_id, caller, _ARTIFACT, priority, deadline)


def _release_in_turn(
    subject: controller.FairAdmission, running: str, count: int
) -> list[str]:
    """End one request after the other; return the order of admission."""
    order = []
    for step in range(count):
        answers = subject.release(running, float(step))
        admitted = [a for a in answers if isinstance(a, api.Admitted)]
        if not admitted:
            break
        running = admitted[0].request_id
        order.append(running)
    return order


class OrderTest(unittest.TestCase):
    """The order in which queued requests are admitted."""

    def test_order_is_by_priority_then_deadline(self) -> None:
        """A higher priority goes first, then an earlier deadline."""
        subject = _subject()
        subject.offer(_ticket('first'), 0.0)
        subject.offer(_ticket('late', deadline=900.0), 0.0)
        subject.offer(_ticket('early', deadline=800.0), 0.0)
        subject.offer(_ticket('high', priority=5), 0.0)
        order = _release_in_turn(subject, 'first', 3)
        self.assertEqual(['high', 'early', 'late'], order)

    def test_a_flood_of_one_caller_does_not_starve_another(self) -> None:
        """All five requests of a caller are among the first 16 admitted."""
        subject = _subject()
        subject.offer(_ticket('first'), 0.0)
        for number in range(60):
            subject.offer(_ticket(f'a{number}', 'a', deadline=500.0), 0.0)
        for number in range(5):
            subject.offer(_ticket(f'b{number}', 'b'), 0.0)
        order = _release_in_turn(subject, 'first', 16)
        self.assertEqual(5, sum(name.startswith('b') for name in order))

    def test_overnight_work_gets_its_share_of_the_admissions(self) -> None:
        """About a tenth of the admissions go to waiting overnight work."""
        subject = _subject()
        subject.offer(_ticket('first'), 0.0)
        for number in range(100):
            subject.offer(_ticket(f'i{number}'), 0.0)
        for number in range(20):
            subject.offer(_ticket(f'o{number}', priority=0), 0.0)
        order = _release_in_turn(subject, 'first', 100)
        overnight = sum(name.startswith('o') for name in order)
        self.assertIn(overnight, range(8, 12))

    def test_overnight_work_leaves_slots_for_interactive(self) -> None:
        """After an interactive request, half of the slots are reserved."""
        subject = _subject(slots=4)
        subject.offer(_ticket('i'), 0.0)
        subject.release('i', 0.1)
        answers = [
            subject.offer(_ticket(f'o{number}', priority=0), 1.0)
            for number in range(4)
        ]
        admitted = [a for a in answers if isinstance(a, api.Admitted)]
        self.assertEqual(2, len(admitted))
        answer = subject.offer(_ticket('next'), 1.0)
        self.assertIsInstance(answer, api.Admitted)


class RefusalTest(unittest.TestCase):
    """Rejections, with their reasons and retry times."""

    def test_unmeetable_deadline_is_refused_on_arrival(self) -> None:
        """The wait in the queue would exceed the deadline."""
        subject = _subject()
        for number in range(10):
            subject.offer(_ticket(f'r{number}', priority=5), 0.0)
        answer = subject.offer(_ticket('late', deadline=2.0), 0.0)
        assert isinstance(answer, api.Rejected)
        self.assertEqual('deadline_unmeetable', answer.reason)
        self.assertGreater(answer.retry_at, 0.0)
        self.assertLess(answer.retry_at, math.inf)

    def test_queued_request_is_rejected_before_its_deadline(self) -> None:
        """It is rejected once its first token cannot meet the deadline."""
        subject = _subject()
        subject.offer(_ticket('first'), 0.0)
        subject.offer(_ticket('second', deadline=5.0), 0.0)
        due = subject.next_due()
        self.assertLess(due, 5.0)
        answers = subject.tick(due + 0.001)
        self.assertEqual(['second'], [a.request_id for a in answers])
        self.assertIsInstance(answers[0], api.Rejected)
        self.assertEqual(math.inf, subject.next_due())

    def test_full_queue_rejects_equal_and_displaces_lower_priority(
        self,
    ) -> None:
        """The rejection of the displaced request is due at once."""
        subject = _subject(limit=2)
        subject.offer(_ticket('first'), 0.0)
        subject.offer(_ticket('one'), 0.0)
        subject.offer(_ticket('two', deadline=900.0), 0.0)
        answer = subject.offer(_ticket('equal'), 0.0)
        assert isinstance(answer, api.Rejected)
        self.assertEqual('queue_full', answer.reason)
        answer = subject.offer(_ticket('high', priority=5), 0.0)
        self.assertIsInstance(answer, api.Queued)
        self.assertLessEqual(subject.next_due(), 0.0)
        refused = subject.tick(0.0)
        assert isinstance(refused[0], api.Rejected)
        self.assertEqual(
            ('one', 'displaced'), (refused[0].request_id, refused[0].reason)
        )

    def test_every_offer_gets_exactly_one_final_answer(self) -> None:
        """Each request is admitted or rejected once, even in a flood."""
        subject = _subject(slots=2, limit=5)
        final_answers: list[str] = []
        running: list[str] = []
        for step in range(200):
            now = step * 0.1
            priority = step % 4
            deadline = now + 1.0 + step % 3
            answers: list[api.Admitted | api.Queued | api.Rejected] = [
                subject.offer(
                    _ticket(str(step), 'ab'[step % 2], priority, deadline), now
                )
            ]
            answers += subject.tick(now)
            if running and step % 3 == 0:
                answers += subject.release(running.pop(0), now)
            decided = [a for a in answers if not isinstance(a, api.Queued)]
            final_answers += [a.request_id for a in decided]
            running += [
                a.request_id for a in decided if isinstance(a, api.Admitted)
            ]
        final_answers += [a.request_id for a in subject.tick(1e6)]
        self.assertEqual(sorted(map(str, range(200))), sorted(final_answers))


class CallerLimitTest(unittest.TestCase):
    """The limits of each caller."""

    def test_rate_is_this_instances_share_of_the_allowance(self) -> None:
        """A tenth of 50 a second is 5 a second, in addition to a burst."""
        caller = records.Caller('c', '', requests_per_second=50.0)
        subject = _subject(slots=10_000, c=caller)
        subject.set_share('c', 0.1)
        admitted = 0
        for step in range(1000):
            answer = subject.offer(_ticket(str(step), 'c'), step * 0.01)
            if isinstance(answer, api.Admitted):
                admitted += 1
                subject.release(str(step), step * 0.01)
        self.assertIn(admitted, range(50, 62))

    def test_rate_rejection_has_a_retry_time(self) -> None:
        """At the retry time the next request is admitted."""
        caller = records.Caller('c', '', requests_per_second=1.0)
        subject = _subject(slots=10, c=caller)
        for number in range(2):
            subject.offer(_ticket(f'r{number}', 'c'), 0.0)
        answer = subject.offer(_ticket('third', 'c'), 0.0)
        assert isinstance(answer, api.Rejected)
        self.assertEqual('caller_rate', answer.reason)
        later = subject.offer(_ticket('again', 'c'), answer.retry_at)
        self.assertIsInstance(later, api.Admitted)

    def test_in_flight_limit_counts_queued_requests_until_their_end(
        self,
    ) -> None:
        """After a queued request ends, another one is accepted."""
        caller = records.Caller('c', '', max_in_flight=2)
        subject = _subject(slots=1, c=caller)
        subject.offer(_ticket('one', 'c'), 0.0)
        subject.offer(_ticket('two', 'c'), 0.0)
        answer = subject.offer(_ticket('three', 'c'), 0.0)
        assert isinstance(answer, api.Rejected)
        self.assertEqual('caller_in_flight', answer.reason)
        subject.release('two', 0.0)
        answer = subject.offer(_ticket('four', 'c'), 0.0)
        self.assertIsInstance(answer, api.Queued)

    def test_priority_is_capped_at_the_callers_maximum(self) -> None:
        """A high requested priority does not overtake other callers."""
        capped = records.Caller('low', '', max_priority=1)
        subject = _subject(low=capped, a=_UNLIMITED_CALLER)
        subject.offer(_ticket('first', 'a'), 0.0)
        subject.offer(_ticket('boast', 'low', priority=9), 0.0)
        subject.offer(_ticket('fair', 'a', priority=3), 0.0)
        self.assertEqual(
            ['fair', 'boast'], _release_in_turn(subject, 'first', 2)
        )

    def test_unknown_caller_is_rejected(self) -> None:
        """A caller without a record has no allowance."""
        answer = _subject().offer(_ticket('x', 'nobody'), 0.0)
        assert isinstance(answer, api.Rejected)
        self.assertEqual('unknown_caller', answer.reason)

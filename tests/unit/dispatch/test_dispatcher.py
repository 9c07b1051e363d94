"""Tests of results, outcomes and runs when attempts fail."""

from __future__ import annotations

import dataclasses
import typing
import unittest

import anyio

from dogwoodquay.dispatch import api
from dogwoodquay.dispatch import reasons
from dogwoodquay.idempotency import api as idempotency_api
from tests.unit.dispatch import fakes

Fault = fakes.Fault
Reason = reasons.Reason
Outcome = reasons.Outcome
KEY = '01890a5d-ac96-774b-bcce-b302099a8057'


class ListSink:
    """Keeps the events of a stream."""

    def __init__(self) -> None:
        self.last_event = -1
        self.data = b''

    async def write(self, frames: bytes, last_event: int) -> None:
        self.data += frames
        self.last_event = last_event


class DispatcherCase(unittest.TestCase):
    """Runs a test while the background work of a rig is running."""

    def setUp(self) -> None:
        self.count = 0

    def call(
        self, rig: fakes.Rig, seconds: float = 20.0, **fields: typing.Any
    ) -> api.Call:
        self.count += 1
        values: dict[str, typing.Any] = {
            'request_id': f'{self.count:024x}',
            'caller': 'counter',
            'kind': api.UpstreamKind.ENGINE,
            'artifact': 'ticket@v1',
            'method': 'POST',
            'path': '/v1/chat/completions',
            'headers': (),
            'body': b'body %d' % self.count,
            'deadline': rig.clock.now() + seconds,
        }
        values.update(fields)
        return api.Call(**values)

    def run_with(
        self,
        work: typing.Callable[[fakes.Rig], typing.Awaitable[None]],
        retry_share: float = 1.0,
    ) -> None:
        async def main() -> None:
            rig = fakes.Rig(retry_share)
            async with anyio.create_task_group() as group:
                group.start_soon(rig.dispatcher.run_background)
                with anyio.fail_after(30):
                    await work(rig)
                    await anyio.sleep(0.02)
                group.cancel_scope.cancel()
            self.assertEqual(rig.dispatcher.in_flight, 0)
            self.assertEqual(rig.router.open, set())
            self.assertEqual(rig.admission.inside, set())

        anyio.run(main)

    def assert_refused(
        self, result: typing.Any, reason: Reason, outcome: Outcome
    ) -> None:
        self.assertIsInstance(result, api.Refusal)
        self.assertEqual((result.reason, result.outcome), (reason, outcome))


class RetryTest(DispatcherCase):
    """Idempotent requests are retried on other servers."""

    def test_each_fault_is_retried(self) -> None:
        faults = set(Fault) - {Fault.NONE, Fault.DELAYED, Fault.HUNG}
        for fault in sorted(faults, key=str):
            for stream in (False, True):
                with self.subTest(fault=fault, stream=stream):
                    self.run_with(
                        lambda rig: self.check_retried(rig, fault, stream)
                    )

    async def check_retried(
        self, rig: fakes.Rig, fault: Fault, stream: bool
    ) -> None:
        call = self.call(rig, stream=stream)
        sink = ListSink()
        rig.upstream.faults.append(fault)
        result = await rig.dispatcher.run(call, sink if stream else None)
        text = sink.data if stream else result.body  # type: ignore[union-attr]
        for word in fakes.words(call.body):
            self.assertEqual(text.count(word.encode()), 1)
        if stream and fault is not Fault.CROSSED_BODY:
            self.assertTrue(text.endswith(b'[DONE]\n\n'))
        resumed_ids = {
            upstream_call.attempt_id
            for upstream_call in rig.upstream.calls
            if upstream_call.resume_after >= 0
        }
        answer_id = text[text.index(b'"id":"') + 6 :][:27].decode()
        self.assertLessEqual(resumed_ids, {answer_id})

    def test_retry_goes_to_another_server(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.faults.append(Fault.REFUSED)
            await rig.dispatcher.run(self.call(rig))
            second = rig.router.requests[1]
            self.assertEqual(second.avoid_servers, {'s0'})
            self.assertEqual(second.avoid_domains, {'d0'})

        self.run_with(work)

    def test_spent_budget_reports_unknown_outcome(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.draw = lambda: Fault.BROKEN
            outcomes = [
                await rig.dispatcher.run(self.call(rig)) for _ in range(150)
            ]
            last = outcomes[-1]
            self.assert_refused(
                last, Reason.RETRY_BUDGET_SPENT, Outcome.UNKNOWN
            )

        self.run_with(work, retry_share=0.1)

    def test_unfinished_attempt_is_cancelled(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.faults.append(Fault.BROKEN)
            call = self.call(rig)
            await rig.dispatcher.run(call)
            await anyio.sleep(0.02)
            self.assertEqual(rig.upstream.cancelled, [f'{call.request_id}-00'])

        self.run_with(work)

    def test_resume_refused_after_delivery_ends_the_stream(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.faults.extend([Fault.CUT, Fault.REFUSED])
            rig.upstream.rng.seed(5)
            sink = ListSink()
            call = self.call(rig, stream=True)
            result = await rig.dispatcher.run(call, sink)
            self.assertGreaterEqual(sink.last_event, 0)
            self.assert_refused(
                result, Reason.UPSTREAM_REFUSED, Outcome.UNKNOWN
            )
            self.assertNotIn(b'[DONE]', sink.data)

        self.run_with(work)


class OutcomeTest(DispatcherCase):
    """``not_run`` is reported only for requests that did not run."""

    def test_refused_everywhere(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.draw = lambda: Fault.REFUSED
            result = await rig.dispatcher.run(self.call(rig))
            self.assert_refused(
                result, Reason.UPSTREAM_REFUSED, Outcome.NOT_RUN
            )
            self.assertFalse(rig.upstream.runs)

        self.run_with(work)

    def test_ambiguous_attempt_makes_the_outcome_unknown(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.faults.append(Fault.AMBIGUOUS)
            rig.upstream.draw = lambda: Fault.UNAVAILABLE
            result = await rig.dispatcher.run(self.call(rig))
            self.assert_refused(
                result, Reason.UPSTREAM_UNAVAILABLE, Outcome.UNKNOWN
            )

        self.run_with(work)

    def test_no_replica_sets_retry_at(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.router.servers.clear()
            result = await rig.dispatcher.run(self.call(rig))
            self.assert_refused(
                result, Reason.NO_READY_REPLICA, Outcome.NOT_RUN
            )
            self.assertGreater(result.retry_at, rig.clock.now())

        self.run_with(work)

    def test_deadline_passes_in_the_queue_and_at_the_upstream(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.admission.queue = True
            queued = await rig.dispatcher.run(self.call(rig, 0.02))
            self.assert_refused(
                queued, Reason.DEADLINE_PASSED, Outcome.NOT_RUN
            )
            rig.admission.queue = False
            rig.upstream.faults.append(Fault.HUNG)
            attempted = await rig.dispatcher.run(self.call(rig, 0.02))
            self.assert_refused(
                attempted, Reason.DEADLINE_PASSED, Outcome.UNKNOWN
            )
            self.assertEqual(rig.upstream.stopped, 1)
            expired = await rig.dispatcher.run(self.call(rig, -1.0))
            self.assert_refused(
                expired, Reason.DEADLINE_PASSED, Outcome.NOT_RUN
            )
            self.assertEqual(len(rig.upstream.calls), 1)

        self.run_with(work)

    def test_rejected_by_admission(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.admission.reject = 'caller_rate'
            result = await rig.dispatcher.run(self.call(rig))
            self.assert_refused(result, Reason.CALLER_RATE, Outcome.NOT_RUN)
            self.assertEqual(
                rig.metrics.refusals(Reason.CALLER_RATE, Outcome.NOT_RUN), 1
            )

        self.run_with(work)


class AtMostOnceTest(DispatcherCase):
    """Non-idempotent requests run at most once."""

    def charge(
        self, rig: fakes.Rig, key: str = '', body: bytes = b'charge'
    ) -> api.Call:
        return self.call(
            rig,
            kind=api.UpstreamKind.SERVICE,
            artifact='counter',
            body=body,
            idempotent=False,
            key=key,
        )

    def test_not_retried_without_a_key(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            for fault in (Fault.AMBIGUOUS, Fault.BROKEN, Fault.CROSSED):
                rig.upstream.faults.append(fault)
                body = fault.value.encode()
                result = await rig.dispatcher.run(self.charge(rig, body=body))
                self.assertEqual(
                    result.outcome,  # type: ignore[union-attr]
                    Outcome.UNKNOWN,
                )
                self.assertEqual(rig.upstream.runs[body], 1)

        self.run_with(work)

    def test_refused_connection_is_retried(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.faults.append(Fault.UNAVAILABLE)
            result = await rig.dispatcher.run(self.charge(rig))
            self.assertIsInstance(result, api.WholeAnswer)
            self.assertEqual(rig.upstream.runs[b'charge'], 1)

        self.run_with(work)

    def test_second_call_gets_the_stored_answer(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            first = await rig.dispatcher.run(self.charge(rig, KEY))
            await anyio.sleep(0.02)
            second = await rig.dispatcher.run(self.charge(rig, KEY))
            self.assertEqual(
                first.body,  # type: ignore[union-attr]
                second.body,  # type: ignore[union-attr]
            )
            self.assertEqual(rig.upstream.runs[b'charge'], 1)
            conflicting = await rig.dispatcher.run(
                self.charge(rig, KEY, b'other')
            )
            self.assert_refused(
                conflicting, Reason.KEY_CONFLICT, Outcome.NOT_RUN
            )

        self.run_with(work)

    def test_lost_answer_makes_the_outcome_unknown(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.faults.append(Fault.AMBIGUOUS)
            await rig.dispatcher.run(self.charge(rig, KEY))
            await anyio.sleep(0.02)
            retry = await rig.dispatcher.run(self.charge(rig, KEY))
            self.assert_refused(
                retry, Reason.KEY_OUTCOME_UNKNOWN, Outcome.UNKNOWN
            )
            self.assertEqual(rig.upstream.runs[b'charge'], 1)

        self.run_with(work)

    def test_key_is_withdrawn_when_the_request_did_not_run(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.admission.reject = 'queue_full'
            result = await rig.dispatcher.run(self.charge(rig, KEY))
            self.assert_refused(result, Reason.QUEUE_FULL, Outcome.NOT_RUN)
            await anyio.sleep(0.02)
            self.assertEqual(rig.claims.withdrawn, [KEY])
            rig.admission.reject = ''
            result = await rig.dispatcher.run(self.charge(rig, KEY))
            self.assertIsInstance(result, api.WholeAnswer)

        self.run_with(work)

    def test_refused_key_prevents_attempts(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            for label, attempt_only, outcome in (
                ('key_from_future', False, Outcome.NOT_RUN),
                ('claim_undecided', True, Outcome.UNKNOWN),
            ):
                rig.claims.refuse = label
                rig.claims.attempt_only = attempt_only
                result = await rig.dispatcher.run(self.charge(rig, KEY))
                self.assert_refused(result, Reason(label), outcome)
            self.assertFalse(rig.upstream.calls)

        self.run_with(work)

    def test_drain_reports_unknown_for_an_undecided_key(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            await rig.dispatcher.drain(rig.clock.now())
            result = await rig.dispatcher.run(self.charge(rig, KEY))
            self.assert_refused(result, Reason.DRAINING, Outcome.UNKNOWN)

        self.run_with(work)

    def test_truncated_stored_answer_is_refused(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            call = self.charge(rig, KEY)
            stored = idempotency_api.StoredAnswer(200, (), b'', truncated=True)
            rig.claims.answers['counter', KEY] = idempotency_api.Known(stored)
            result = await rig.dispatcher.run(call)
            self.assert_refused(
                result, Reason.KEY_ANSWER_NOT_KEPT, Outcome.UNKNOWN
            )

        self.run_with(work)


class DrainTest(DispatcherCase):
    """Draining finishes requests or refuses them at the deadline."""

    def test_longer_than_the_stop(self) -> None:
        """Refused once a stop has begun, unless it may be repeated."""

        async def work(rig: fakes.Rig) -> None:
            now = rig.clock.now()
            rig.dispatcher.stop.leave(now + 5.0)
            late = dataclasses.replace(
                self.call(rig), idempotent=False, deadline=now + 6.0
            )
            result = await rig.dispatcher.run(late)
            self.assert_refused(result, Reason.DRAINING, Outcome.NOT_RUN)
            self.assertFalse(rig.upstream.calls)
            for call in (
                dataclasses.replace(late, deadline=now + 5.0, request_id='b'),
                dataclasses.replace(late, idempotent=True, request_id='c'),
            ):
                result = await rig.dispatcher.run(call)
                self.assertIsInstance(result, api.WholeAnswer)

        self.run_with(work)

    def test_in_flight_request_finishes(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.upstream.delay = 0.01
            results: list[typing.Any] = []
            call = self.call(rig)

            async def run() -> None:
                results.append(await rig.dispatcher.run(call))

            async with anyio.create_task_group() as group:
                group.start_soon(run)
                await anyio.sleep(0)
                await rig.dispatcher.drain(rig.clock.now() + 10.0)
            self.assertIsInstance(results[0], api.WholeAnswer)
            refused = await rig.dispatcher.run(self.call(rig))
            self.assert_refused(refused, Reason.DRAINING, Outcome.NOT_RUN)

        self.run_with(work)

    def test_hanging_claim_does_not_delay_drain(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            rig.claims.hang = True
            results: list[typing.Any] = []

            async def run() -> None:
                call = self.call(rig, key=KEY)
                results.append(await rig.dispatcher.run(call))

            async with anyio.create_task_group() as group:
                group.start_soon(run)
                await anyio.sleep(0.01)
                await rig.dispatcher.drain(rig.clock.now() + 0.01)
            self.assert_refused(
                results[0], Reason.INSTANCE_STOPPING, Outcome.UNKNOWN
            )
            self.assertFalse(rig.upstream.calls)

        self.run_with(work)

    def test_unfinished_requests_are_refused_at_the_deadline(self) -> None:
        async def work(rig: fakes.Rig) -> None:
            results: list[typing.Any] = []

            async def run(call: api.Call) -> None:
                results.append(await rig.dispatcher.run(call))

            rig.upstream.faults.append(Fault.HUNG)
            async with anyio.create_task_group() as group:
                group.start_soon(run, self.call(rig))
                await anyio.sleep(0.01)
                rig.admission.queue = True
                group.start_soon(run, self.call(rig))
                await anyio.sleep(0.01)
                await rig.dispatcher.drain(rig.clock.now() + 0.02)
            outcomes = {result.outcome for result in results}
            self.assertEqual(outcomes, {Outcome.UNKNOWN, Outcome.NOT_RUN})
            for result in results:
                self.assertIs(result.reason, Reason.INSTANCE_STOPPING)

        self.run_with(work)

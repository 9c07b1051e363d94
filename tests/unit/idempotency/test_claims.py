"""Tests of claims through a log with faults."""

from __future__ import annotations

import unittest

import anyio

from dogwoodquay.external.memory import faults
from dogwoodquay.idempotency import answers
from dogwoodquay.idempotency import api
from dogwoodquay.wire import codec as wire_codec

from . import fakes
from . import samples

CALLER = 'lakeshore'
BODY = b'body' * 4
ANSWER = api.StoredAnswer(201, (('content-type', 'text/plain'),), b'ticket')


class MessagesTest(unittest.TestCase):
    """Tests of the messages between instances."""

    def test_round_trip(self) -> None:
        """Encoded messages decode to equal ones."""
        codec = wire_codec.Codec()
        codec.add(answers.FetchAnswer)
        codec.add(answers.AnswerBody)
        for message in (
            answers.FetchAnswer(bytes(16)),
            answers.AnswerBody(ANSWER),
        ):
            frame = wire_codec.Frame(
                wire_codec.FrameKind.ANSWER, 1, codec.body(message)
            )
            data = wire_codec.encode(frame)
            read = wire_codec.decode(data, wire_codec.Frame)
            self.assertEqual(message, codec.message(read.body))


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Tests of three instances that share a log."""

    def setUp(self) -> None:
        self.net = fakes.Net(3)
        self.key = samples.make_key(1, self.net.time.now())

    async def _claim(
        self, number: int, seconds: float = 5.0, **changes: bytes | str
    ) -> api.ClaimAnswer:
        values = {'caller': CALLER, 'key': self.key, 'body_digest': BODY}
        values.update(changes)  # type: ignore[arg-type]
        return await self.net.nodes[number].claims.claim(
            deadline=self.net.deadline_in(seconds),
            **values,  # type: ignore[arg-type]
        )

    async def _granted(self, number: int) -> api.Claim:
        answer = await self._claim(number)
        assert isinstance(answer, api.Granted), answer
        return answer.claim

    async def _settle(
        self, number: int, claim: api.Claim, answer: api.StoredAnswer | None
    ) -> None:
        claims = self.net.nodes[number].claims
        await claims.settle(claim, answer, self.net.deadline_in())

    async def test_one_of_concurrent_claims_is_granted(self) -> None:
        """One of several claims on the same key is granted."""
        found: list[api.ClaimAnswer] = []

        async def claim(number: int) -> None:
            found.append(await self._claim(number))

        async with self.net.running(), anyio.create_task_group() as tasks:
            for number in (0, 1, 2, 0, 1, 2):
                tasks.start_soon(claim, number)
        granted = [a for a in found if isinstance(a, api.Granted)]
        running = [a for a in found if isinstance(a, api.Running)]
        self.assertEqual((1, 5), (len(granted), len(running)))

    async def test_answer_is_known_at_all_instances(self) -> None:
        """A retry at any instance gets the complete answer."""
        large = api.StoredAnswer(200, (), bytes(answers.MAX_INLINE_BYTES + 1))
        async with self.net.running():
            for answer in (ANSWER, large):
                self.key = samples.make_key(2, self.net.time.now())
                claim = await self._granted(0)
                await self._settle(0, claim, answer)
                for number in range(3):
                    self.assertEqual(
                        api.Known(answer), await self._claim(number)
                    )

    async def test_conflict_and_key_of_another_caller(self) -> None:
        """Another body conflicts; the same key of another caller does not."""
        async with self.net.running():
            await self._granted(0)
            conflicting = await self._claim(1, body_digest=b'another request!')
            self.assertEqual(api.Conflict(), conflicting)
            other_caller = await self._claim(1, caller='gulf')
            self.assertIsInstance(other_caller, api.Granted)

    async def test_invalid_keys_are_refused(self) -> None:
        """Malformed keys and keys from the future are refused."""
        future_key = samples.make_key(1, self.net.time.now() + 3600.0)
        async with self.net.running():
            for key, reason in (
                ('ticket-7', 'bad_idempotency_key'),
                (
                    '7d444840-9dc0-11d1-b245-5ffdce74fad2',
                    'bad_idempotency_key',
                ),
                (future_key, 'key_from_future'),
            ):
                answer = await self._claim(0, key=key)
                self.assertEqual(api.KeyRefused(reason), answer)

    async def test_append_with_a_lost_answer(self) -> None:
        """A claim is granted by reading the log if the answer is lost."""
        self.net.log.faults.inject(faults.CallFault.LOSE_ANSWER)
        async with self.net.running():
            await self._granted(0)

    async def test_delayed_append_of_a_refused_claim(self) -> None:
        """A refused claim whose append is delayed does not block the key."""
        self.net.log.faults.inject(faults.CallFault.LATE, delay=0.5)
        async with self.net.running():
            refused = await self._claim(0, seconds=0.2)
            assert isinstance(refused, api.KeyRefused), refused
            self.assertEqual('claim_undecided', refused.reason)
            self.assertTrue(refused.attempt_only)
            with anyio.fail_after(10.0):
                while not isinstance(await self._claim(1), api.Granted):
                    await anyio.sleep(0.05)

    async def test_log_is_unavailable(self) -> None:
        """Without the log new claims are refused; known answers remain."""
        async with self.net.running():
            claim = await self._granted(0)
            self.net.log.faults.outage = True
            await self.net.nodes[0].claims.settle(
                claim, ANSWER, self.net.deadline_in(0.05)
            )
            self.assertEqual(api.Known(ANSWER), await self._claim(0))
            new_key = samples.make_key(9, self.net.time.now())
            deadline = self.net.deadline_in(3600.0)
            with anyio.fail_after(10.0):
                refused = await self._claim(1, seconds=3600.0, key=new_key)
            assert isinstance(refused, api.KeyRefused), refused
            assert refused.retry_at is not None
            self.assertLess(refused.retry_at, deadline)
            self.net.log.faults.outage = False
            with anyio.fail_after(10.0):
                while await self._claim(1) != api.Known(ANSWER):
                    await anyio.sleep(0.05)
            retry = await self._claim(1, key=new_key)
            self.assertIsInstance(retry, api.Granted)

    async def test_claimant_fails(self) -> None:
        """The request is running, then unknown once its claimant failed."""
        async with self.net.running():
            claim = await self._granted(0)
            self.assertEqual(api.Running('instance-0'), await self._claim(1))
            self.net.dead.add(('instance-0', 1))
            self.assertEqual(api.Unknown(), await self._claim(1))
            await self._settle(0, claim, ANSWER)
            self.net.dead.clear()
            for number in range(3):
                self.assertEqual(api.Unknown(), await self._claim(number))

    async def test_lost_answer_of_the_upstream_is_unknown(self) -> None:
        """A request whose answer was lost has an unknown outcome."""
        async with self.net.running():
            await self._settle(0, await self._granted(0), None)
            self.assertEqual(api.Unknown(), await self._claim(2))

    async def test_withdrawn_key_can_be_claimed_again(self) -> None:
        """A key whose request did not run can be claimed again."""
        async with self.net.running():
            claim = await self._granted(0)
            claims = self.net.nodes[0].claims
            self.assertTrue(
                await claims.withdraw(claim, self.net.deadline_in())
            )
            await self._granted(1)

    async def test_cancelled_claim_is_withdrawn(self) -> None:
        """A claim that is cancelled while undecided releases its key."""
        self.net.log.faults.inject(faults.CallFault.LATE, delay=0.3)
        async with self.net.running():
            with anyio.move_on_after(0.1):
                await self._claim(0)
            with anyio.fail_after(10.0):
                while not isinstance(await self._claim(1), api.Granted):
                    await anyio.sleep(0.05)

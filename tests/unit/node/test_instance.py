"""Tests of several instances over real sockets."""

from __future__ import annotations

import pathlib
import resource
import unittest

import anyio
import httpx

from . import sites


def _owner(status):
    return status.pools[0].owner if status.pools else ''


def _children() -> set[str]:
    """Return the ids of this process's children from ``/proc``."""
    found = set()
    for file in pathlib.Path('/proc/self/task').glob('*/children'):
        found.update(file.read_text().split())
    return found


class InstanceTest(unittest.IsolatedAsyncioTestCase):
    """Three instances in front of three engines and a plain service."""

    def setUp(self):
        self.ended = resource.getrusage(resource.RUSAGE_CHILDREN)

    def tearDown(self):
        """Check that no instance started a process, even one that ended."""
        self.assertEqual(set(), _children())
        ended = resource.getrusage(resource.RUSAGE_CHILDREN)
        self.assertEqual(self.ended, ended)

    async def test_charge_runs_once_when_retried_at_any_instance(self):
        """Every instance returns the first answer; the charge runs once."""
        async with sites.deployed() as deployment:
            key = sites.idempotency_key(1)
            answers = []
            for member in (*deployment.fleet.live, deployment.fleet.live[0]):
                answer = await self._charge_until_answered(
                    deployment, member, key
                )
                answers.append((answer.status_code, answer.text))
            self.assertEqual(200, answers[0][0], answers[0])
            self.assertEqual(1, len(set(answers)), answers)
            self.assertEqual(0, deployment.site.run_counter.repeated)

    async def test_killed_owner(self):
        """The pool gets another owner, and other instances keep serving."""
        async with sites.deployed() as deployment:
            first = await deployment.status(deployment.fleet.live[0])
            owner = next(
                member
                for member in deployment.fleet.live
                if member.instance_id == _owner(first)
            )
            await deployment.fleet.kill(owner)
            other = deployment.fleet.live[0]
            answer = await deployment.chat(other)
            self.assertEqual(200, answer.status_code, answer.text)
            status = await deployment.until(
                other, lambda s: _owner(s) not in ('', owner.instance_id)
            )
            self.assertGreater(status.pools[0].epoch, first.pools[0].epoch)
            decision = await deployment.publish(sites.model('desk', 8))
            self.assertEqual('desk', decision.outcome.name)
            for member in deployment.fleet.live:
                await deployment.until(
                    member, lambda s: len(s.targets) == 5 and sites.placed(s)
                )
            self.assertEqual(0, deployment.site.memory_violations)

    async def test_log_outage(self):
        """During an outage of the log, an instance can still start and serve.

        Requests under a key are refused, and a new instance restores its
        state from peers.
        """
        async with sites.deployed() as deployment:
            deployment.site.set_log_outage(True)
            member = deployment.fleet.live[0]
            answer = await deployment.chat(member, 'boots')
            self.assertEqual(200, answer.status_code, answer.text)
            key = sites.idempotency_key(2)
            refused = await deployment.http.post(
                f'{member.callers_url}/services/counter/charges',
                json={'amount': 3},
                headers={'idempotency-key': key, 'x-timeout-seconds': '1'},
            )
            self.assertEqual(503, refused.status_code, refused.text)
            # Another attempt under the key might have run elsewhere.
            self.assertEqual('unknown', refused.json()['outcome'])
            self.assertEqual(0, deployment.site.run_counter.runs.total())
            await deployment.fleet.start(1)
            newest = deployment.fleet.live[-1]
            await deployment.until(
                newest, lambda s: s.ready and sites.placed(s)
            )
            answer = await deployment.chat(newest)
            self.assertEqual(200, answer.status_code, answer.text)
            deployment.site.set_log_outage(False)
            answer = await self._charge_until_answered(deployment, newest, key)
            self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(0, deployment.site.run_counter.repeated)

    async def test_planned_stop_finishes_a_stream(self):
        """The stream is complete, and the pool is handed over by its end."""
        async with sites.deployed() as deployment:
            first = await deployment.status(deployment.fleet.live[0])
            owner = next(
                member
                for member in deployment.fleet.live
                if member.instance_id == _owner(first)
            )
            others = [m for m in deployment.fleet.live if m is not owner]
            text = bytearray()
            async with deployment.http.stream(
                'POST',
                f'{owner.callers_url}/v1/chat/completions',
                json=sites.chat_body('tickets', 60) | {'stream': True},
            ) as answer:
                self.assertEqual(200, answer.status_code)
                async for chunk in answer.aiter_bytes():
                    if not text:
                        owner.instance.stop()
                    text += chunk
            self.assertTrue(text.endswith(b'data: [DONE]\n\n'), text[-200:])
            with anyio.fail_after(sites.GUARD_SECONDS):
                await owner.ended.wait()
            owner.killed = True
            status = await deployment.until(
                others[0], lambda s: _owner(s) not in ('', owner.instance_id)
            )
            self.assertGreater(status.pools[0].epoch, first.pools[0].epoch)

    async def test_leaving_server_gets_no_new_work(self):
        """Models of a leaving server move away, as do all requests."""
        async with sites.deployed() as deployment:
            status = await deployment.status(deployment.fleet.live[0])
            used = next(
                t.ready_on[0] for t in status.targets if t.name == 'tickets'
            )
            deployment.site.drain(used)
            for member in deployment.fleet.live:
                await deployment.until(
                    member,
                    lambda s: (
                        sites.placed(s)
                        and all(used not in t.ready_on for t in s.targets)
                    ),
                )
            for member in deployment.fleet.live:
                answer = await deployment.chat(member)
                self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(0, deployment.site.memory_violations)

    async def test_rolling_replacement(self):
        """No request fails, and the new instances own the pool and serve."""
        async with sites.deployed() as deployment:
            failed = []
            ready = list(deployment.fleet.live)
            calls = 0
            async with anyio.create_task_group() as group:

                async def call() -> None:
                    nonlocal calls
                    while True:
                        available_members = [m for m in ready if not m.leaving]
                        member = available_members[
                            calls % len(available_members)
                        ]
                        calls += 1
                        answer = await deployment.chat(member, tokens=8)
                        draining = 'draining' in answer.text
                        if answer.status_code != 200 and not draining:
                            failed.append(answer.text)

                group.start_soon(call)
                for old in deployment.fleet.live:
                    await deployment.fleet.start(1)
                    newest = deployment.fleet.live[-1]
                    await deployment.until(newest, lambda s: s.ready)
                    ready.append(newest)
                    with anyio.fail_after(sites.GUARD_SECONDS):
                        await deployment.fleet.stop(old)
                group.cancel_scope.cancel()
            names = {member.instance_id for member in deployment.fleet.live}
            self.assertEqual({'entry-4', 'entry-5', 'entry-6'}, names)
            for member in deployment.fleet.live:
                status = await deployment.until(
                    member, lambda s: _owner(s) in names and sites.placed(s)
                )
                self.assertIn(_owner(status), names)
            self.assertGreater(calls, 20)
            self.assertEqual([], failed)
            self.assertEqual(0, deployment.site.memory_violations)

    async def test_resume_at_another_instance(self):
        """A caller whose connection was lost can resume at any instance."""
        async with sites.deployed() as deployment:
            owner, other = deployment.fleet.live[:2]
            async with deployment.http.stream(
                'POST',
                f'{owner.callers_url}/v1/chat/completions',
                json=sites.chat_body('tickets', 40) | {'stream': True},
            ) as answer:
                stream_id = answer.headers['x-stream-id']
                async for chunk in answer.aiter_bytes():
                    first = chunk
                    break
            last = first.rpartition(b'id: ')[2].partition(b'\n')[0].decode()
            resumed = await deployment.http.get(
                f'{other.callers_url}/v1/streams/{stream_id}',
                headers={'last-event-id': last},
            )
            self.assertEqual(200, resumed.status_code, resumed.text)
            self.assertTrue(resumed.text.endswith('data: [DONE]\n\n'))
            self.assertTrue(
                resumed.text.startswith(f'id: {int(last) + 1}\n'),
                resumed.text[:60],
            )

    async def _charge_until_answered(
        self, deployment, member, key
    ) -> httpx.Response:
        """Charge, and retry while the first request under the key runs."""
        answer = await deployment.charge(member, key)
        while answer.status_code == 409 and 'key_running' in answer.text:
            await anyio.sleep(0.1)
            answer = await deployment.charge(member, key)
        return answer

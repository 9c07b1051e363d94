"""Tests of instances that act together over real sockets."""

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
    """Return this process's children by the kernel's own record."""
    found = set()
    for file in pathlib.Path('/proc/self/task').glob('*/children'):
        found.update(file.read_text().split())
    return found


class TogetherTest(unittest.IsolatedAsyncioTestCase):
    """Three instances before three engines and a plain service."""

    def setUp(self):
        self.ended = resource.getrusage(resource.RUSAGE_CHILDREN)

    def tearDown(self):
        """No instance started a process, not even one that has ended."""
        self.assertEqual(set(), _children())
        ended = resource.getrusage(resource.RUSAGE_CHILDREN)
        self.assertEqual(self.ended, ended)

    async def test_charge_runs_once_wherever_it_is_retried(self):
        """Every instance gives the first answer; the service ran it once."""
        async with sites.deployed() as site:
            key = sites.idempotency_key(1)
            answers = []
            for member in (*site.fleet.live, site.fleet.live[0]):
                answer = await self._final(site, member, key)
                answers.append((answer.status_code, answer.text))
            self.assertEqual(200, answers[0][0], answers[0])
            self.assertEqual(1, len(set(answers)), answers)
            self.assertEqual(0, site.site.run_counter.repeated)

    async def test_killed_owner(self):
        """Its pool gets another owner; calls at the others go on."""
        async with sites.deployed() as site:
            first = await site.status(site.fleet.live[0])
            owner = next(
                member
                for member in site.fleet.live
                if member.instance_id == _owner(first)
            )
            await site.fleet.kill(owner)
            other = site.fleet.live[0]
            answer = await site.chat(other)
            self.assertEqual(200, answer.status_code, answer.text)
            status = await site.until(
                other, lambda s: _owner(s) not in ('', owner.instance_id)
            )
            self.assertGreater(status.pools[0].epoch, first.pools[0].epoch)
            decision = await site.publish(sites.model('desk', 8))
            self.assertEqual('desk', decision.outcome.name)
            for member in site.fleet.live:
                await site.until(
                    member, lambda s: len(s.targets) == 5 and sites.placed(s)
                )
            self.assertEqual(0, site.site.memory_violations)

    async def test_log_outage(self):
        """Requests go on, keys are refused unsent, a start uses peers."""
        async with sites.deployed() as site:
            site.site.set_log_outage(True)
            member = site.fleet.live[0]
            answer = await site.chat(member, 'boots')
            self.assertEqual(200, answer.status_code, answer.text)
            key = sites.idempotency_key(2)
            refused = await site.http.post(
                f'{member.callers_url}/services/counter/charges',
                json={'amount': 3},
                headers={'idempotency-key': key, 'x-timeout-seconds': '1'},
            )
            self.assertEqual(503, refused.status_code, refused.text)
            # Another attempt under the key might have run elsewhere.
            self.assertEqual('unknown', refused.json()['outcome'])
            self.assertEqual(0, site.site.run_counter.runs.total())
            await site.fleet.start(1)
            newest = site.fleet.live[-1]
            await site.until(newest, lambda s: s.ready and sites.placed(s))
            answer = await site.chat(newest)
            self.assertEqual(200, answer.status_code, answer.text)
            site.site.set_log_outage(False)
            answer = await self._final(site, newest, key)
            self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(0, site.site.run_counter.repeated)

    async def test_planned_stop_finishes_a_stream(self):
        """The stream is whole, and the pool has another owner by its end."""
        async with sites.deployed() as site:
            first = await site.status(site.fleet.live[0])
            owner = next(
                member
                for member in site.fleet.live
                if member.instance_id == _owner(first)
            )
            others = [m for m in site.fleet.live if m is not owner]
            text = bytearray()
            async with site.http.stream(
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
            status = await site.until(
                others[0], lambda s: _owner(s) not in ('', owner.instance_id)
            )
            self.assertGreater(status.pools[0].epoch, first.pools[0].epoch)

    async def test_leaving_server_gets_no_new_work(self):
        """Every instance stops using it; its models move elsewhere first."""
        async with sites.deployed() as site:
            status = await site.status(site.fleet.live[0])
            used = next(
                t.ready_on[0] for t in status.targets if t.name == 'tickets'
            )
            site.site.drain(used)
            for member in site.fleet.live:
                await site.until(
                    member,
                    lambda s: (
                        sites.placed(s)
                        and all(used not in t.ready_on for t in s.targets)
                    ),
                )
            for member in site.fleet.live:
                answer = await site.chat(member)
                self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(0, site.site.memory_violations)

    async def test_all_are_replaced_one_after_another(self):
        """Nothing is cut off, and the newest own and serve everything."""
        async with sites.deployed() as site:
            failed = []
            ready = list(site.fleet.live)
            calls = 0
            async with anyio.create_task_group() as group:

                async def call() -> None:
                    nonlocal calls
                    while True:
                        able = [m for m in ready if not m.leaving]
                        member = able[calls % len(able)]
                        calls += 1
                        answer = await site.chat(member, tokens=8)
                        draining = 'draining' in answer.text
                        if answer.status_code != 200 and not draining:
                            failed.append(answer.text)

                group.start_soon(call)
                for old in site.fleet.live:
                    await site.fleet.start(1)
                    newest = site.fleet.live[-1]
                    await site.until(newest, lambda s: s.ready)
                    ready.append(newest)
                    with anyio.fail_after(sites.GUARD_SECONDS):
                        await site.fleet.stop(old)
                group.cancel_scope.cancel()
            names = {member.instance_id for member in site.fleet.live}
            self.assertEqual({'entry-4', 'entry-5', 'entry-6'}, names)
            for member in site.fleet.live:
                status = await site.until(
                    member, lambda s: _owner(s) in names and sites.placed(s)
                )
                self.assertIn(_owner(status), names)
            self.assertGreater(calls, 20)
            self.assertEqual([], failed)
            self.assertEqual(0, site.site.memory_violations)

    async def test_resume_at_another_instance(self):
        """A stream whose connection was lost goes on at any instance."""
        async with sites.deployed() as site:
            holder, other = site.fleet.live[:2]
            async with site.http.stream(
                'POST',
                f'{holder.callers_url}/v1/chat/completions',
                json=sites.chat_body('tickets', 40) | {'stream': True},
            ) as answer:
                stream_id = answer.headers['x-stream-id']
                async for chunk in answer.aiter_bytes():
                    first = chunk
                    break
            last = first.rpartition(b'id: ')[2].partition(b'\n')[0].decode()
            resumed = await site.http.get(
                f'{other.callers_url}/v1/streams/{stream_id}',
                headers={'last-event-id': last},
            )
            self.assertEqual(200, resumed.status_code, resumed.text)
            self.assertTrue(resumed.text.endswith('data: [DONE]\n\n'))
            self.assertTrue(
                resumed.text.startswith(f'id: {int(last) + 1}\n'),
                resumed.text[:60],
            )

    async def _final(self, site, member, key) -> httpx.Response:
        """Retry as long as the first request under the key runs."""
        answer = await site.charge(member, key)
        while answer.status_code == 409 and 'key_running' in answer.text:
            await anyio.sleep(0.1)
            answer = await site.charge(member, key)
        return answer

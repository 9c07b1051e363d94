"""Tests of the HTTP adapters against a site of stand-ins."""

from __future__ import annotations

import dataclasses
import typing
import unittest

import anyio
import msgspec

from dogwoodquay.external import api
from dogwoodquay.external import errors
from dogwoodquay.external.http import client as http_client
from dogwoodquay.external.http import engine as http_engine
from dogwoodquay.external.http import lists as http_lists
from dogwoodquay.external.http import log as http_log
from dogwoodquay.external.http import service as http_service
from dogwoodquay.external import memory
from dogwoodquay.external.memory import batch
from dogwoodquay.external.memory import completion
from dogwoodquay import standin

_FAST = standin.SiteOptions(
    engines=1,
    service_servers=1,
    throughput=batch.Throughput(64, 0.0, 0.0, 0.0),
    loads_per_second=1000.0,
    load_bytes_per_second=1e15,
    list_lag_seconds=0.0,
)
_SECONDS = 20.0


@dataclasses.dataclass
class _Site:
    """A running site and the adapters connected to it."""

    site: standin.StandInSite
    connections: http_client.Connections
    engine: http_engine.HttpEngine
    log: http_log.HttpLog

    @property
    def deadline(self) -> float:
        return self.site.time.now() + _SECONDS

    @property
    def address(self) -> standin.Address:
        return self.site.engines[0].address

    @property
    def fake(self) -> memory.FakeEngine:
        return self.site.engines[0].fake

    def call(self, attempt: str, tokens: int = 4) -> api.UpstreamCall:
        body = {'model': 'm', 'prompt': attempt, 'max_tokens': tokens}
        return api.UpstreamCall(
            attempt,
            'POST',
            '/v1/completions',
            (),
            msgspec.json.encode({**body, 'stream': True}),
            self.deadline,
            stream=True,
        )


def _run(
    main: typing.Callable[[_Site], typing.Awaitable[None]],
    options: standin.SiteOptions = _FAST,
) -> None:
    async def start() -> None:
        site = standin.StandInSite(options)
        async with site.running():
            async with http_client.Connections(site.time) as connections:
                log = http_log.HttpLog(
                    connections, site.time, *site.log_address
                )
                engine = http_engine.HttpEngine(connections)
                running = _Site(site, connections, engine, log)
                order = api.Order('o1', 1, api.OrderKind.LOAD, 'm@1', 2**30)
                done = await engine.order(
                    *running.address, order, running.deadline
                )
                assert done.is_ok(), done
                await main(running)

    anyio.run(start)


class EngineTest(unittest.TestCase):
    """Calls to an engine."""

    def test_stream_is_the_answer_to_its_request(self) -> None:
        """All events arrive in order, with the id of the attempt."""

        async def main(running: _Site) -> None:
            call = running.call('a1', tokens=50)
            async with running.engine.call(*running.address, call) as result:
                self.assertEqual('a1', result.ok.attempt_id)
                body = b''.join([chunk async for chunk in result.ok])
            events = body.decode().split('\n\n')
            self.assertEqual('id: 50\ndata: [DONE]', events[50])
            texts = [
                msgspec.json.decode(event.split('data: ')[1])['choices'][0]
                for event in events[:50]
            ]
            self.assertEqual(
                completion.expected_text('m@1', call.body),
                ''.join(text['text'] for text in texts),
            )

        _run(main)

    def test_broken_stream_raises_and_can_be_resumed(self) -> None:
        """A resume returns exactly the missing events, without a new run."""

        async def main(running: _Site) -> None:
            running.fake.serve_faults.inject(
                memory.CallFault.BREAK, after_chunks=2
            )
            call = running.call('a1')
            body = b''
            with self.assertRaises(errors.UpstreamBroken):
                async with running.engine.call(*running.address, call) as got:
                    async for chunk in got.ok:
                        body += chunk
            resumed = dataclasses.replace(call, resume_after=1)
            async with running.engine.call(*running.address, resumed) as got:
                rest = b''.join([chunk async for chunk in got.ok])
            events = (body + rest).decode().strip().split('\n\n')
            numbers = [event.split('\n')[0] for event in events]
            self.assertEqual([f'id: {n}' for n in range(5)], numbers)
            self.assertEqual(1, running.fake.runs['a1'])

        _run(main)

    def test_marked_refusal_is_not_run(self) -> None:
        """An answer marked as not run is reported as a refusal."""

        async def main(running: _Site) -> None:
            running.fake.serve_faults.inject(memory.CallFault.REFUSE)
            call = running.call('a1')
            async with running.engine.call(*running.address, call) as result:
                self.assertEqual(api.Refused('injected'), result.error)
            self.assertEqual(0, running.fake.runs['a1'])

        _run(main)

    def test_kill_is_ambiguous_and_no_connection_is_unavailable(self) -> None:
        """A sent request may have run; an unsent one has not."""

        async def main(running: _Site) -> None:
            running.fake.serve_faults.inject(memory.CallFault.LATE, delay=60.0)
            address = running.address
            call_errors = []

            async def call(attempt: str) -> None:
                async with running.engine.call(
                    *address, running.call(attempt)
                ) as result:
                    call_errors.append(result.error)

            async with anyio.create_task_group() as group:
                group.start_soon(call, 'a1')
                await anyio.sleep(0.1)
                await running.site.kill('engine-1')
            await call('a2')
            self.assertIsInstance(call_errors[0], api.Ambiguous)
            self.assertIsInstance(call_errors[1], api.Unavailable)

        _run(main)

    def test_request_past_its_deadline_is_not_sent(self) -> None:
        """It fails as unavailable and does not run."""

        async def main(running: _Site) -> None:
            call = dataclasses.replace(running.call('a1'), deadline=1.0)
            async with running.engine.call(*running.address, call) as result:
                self.assertEqual(api.Unavailable('deadline'), result.error)
            self.assertEqual(0, running.fake.runs['a1'])

        _run(main)

    def test_leaving_a_call_cancels_it_at_the_engine(self) -> None:
        """A disconnect releases the slot of the batch."""

        async def main(running: _Site) -> None:
            call = running.call('a1', tokens=100_000)
            async with running.engine.call(*running.address, call) as result:
                async for _ in result.ok:
                    break
                self.assertEqual(1, running.fake.batch.running)
            with anyio.fail_after(_SECONDS):
                while running.fake.batch.running:
                    await anyio.sleep(0.01)

        slow = batch.Throughput(64, 0.0, 0.0, 0.01)
        _run(main, _FAST._replace(throughput=slow))

    def test_order_errors(self) -> None:
        """Stale fencing tokens and refusals are returned as such."""

        async def main(running: _Site) -> None:
            address, deadline = running.address, running.deadline
            raised = await running.engine.raise_fence(*address, 9, deadline)
            self.assertEqual(9, raised.ok.highest_fence)
            old = api.Order('o2', 3, api.OrderKind.LOAD, 'n@1', 1)
            result = await running.engine.order(*address, old, deadline)
            self.assertEqual(api.StaleFence(9), result.error)
            based = api.Order('o3', 9, api.OrderKind.LOAD, 'x@1', 1, 'n@1')
            result = await running.engine.order(*address, based, deadline)
            self.assertEqual(api.Refused('base_not_ready'), result.error)

        _run(main)


class LogTest(unittest.TestCase):
    """Calls to the log."""

    def test_round_trip_and_errors(self) -> None:
        """Payloads are returned unchanged and errors as such."""

        async def main(running: _Site) -> None:
            log, payload = running.log, bytes(range(256))
            appended = await log.append('a/b', payload, running.deadline)
            self.assertEqual(0, appended.ok)
            page = await log.read('a/b', 0, 10, running.deadline)
            self.assertEqual(payload, page.ok.entries[0].payload)
            running.site.log.trim('a/b', 1)
            read = await log.read('a/b', 0, 10, running.deadline)
            self.assertEqual(api.Trimmed(1), read.error)
            running.site.set_log_outage(True)
            lost = await log.append('a/b', b'', running.deadline)
            self.assertIsInstance(lost.error, api.Unavailable)

        _run(main)

    def test_long_poll_ends_with_the_entry(self) -> None:
        """A waiting read returns an entry that is appended later."""

        async def main(running: _Site) -> None:
            pages = []

            async def read() -> None:
                pages.append(
                    await running.log.read(
                        's', 0, 10, running.deadline, wait=True
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(read)
                await anyio.sleep(0.05)
                await running.log.append('s', b'x', running.deadline)
            self.assertEqual(b'x', pages[0].ok.entries[0].payload)

        _run(main)

    def test_delayed_append_is_ambiguous_and_takes_effect(self) -> None:
        """The caller's deadline passes before the append takes effect."""

        async def main(running: _Site) -> None:
            running.site.log.faults.inject(memory.CallFault.LATE, delay=60.0)
            deadline = running.site.time.now() + 0.3
            result = await running.log.append('s', b'x', deadline)
            self.assertIsInstance(result.error, api.Ambiguous)
            self.assertEqual((), running.site.log.entries('s'))
            self.assertEqual(1, running.site.log.release_delayed())
            self.assertEqual(1, len(running.site.log.entries('s')))

        _run(main)


class PlatformTest(unittest.TestCase):
    """Calls to the instance list, the weight store and plain services."""

    def test_list_shows_a_drained_server(self) -> None:
        """A drained server is listed as leaving."""

        async def main(running: _Site) -> None:
            site = running.site
            listed = http_lists.HttpInstanceList(
                running.connections, *site.list_address
            )
            site.drain('engine-1')
            result = await listed.instances(running.deadline)
            states = {item.instance_id: item.state for item in result.ok}
            self.assertEqual(
                {
                    'engine-1': api.InstanceState.LEAVING,
                    'counter-1': api.InstanceState.LIVE,
                },
                states,
            )

        _run(main)

    def test_repeated_request_is_counted(self) -> None:
        """A request that is sent twice runs twice."""

        async def main(running: _Site) -> None:
            service = http_service.HttpPlainService(running.connections)
            address = running.site.services[0].address
            call = api.UpstreamCall(
                'a1', 'POST', '/charges', (), b'{}', running.deadline
            )
            runs = []
            for _ in range(2):
                async with service.call(*address, call) as result:
                    body = b''.join([chunk async for chunk in result.ok])
                runs.append(msgspec.json.decode(body)['run'])
            self.assertEqual([1, 2], runs)
            self.assertEqual(1, running.site.run_counter.repeated)

        _run(main)

    def test_path_and_headers_are_sent_unchanged(self) -> None:
        """Paths are not normalized, and invalid ones fail as unavailable."""

        async def main(running: _Site) -> None:
            service = http_service.HttpPlainService(running.connections)
            address = running.site.services[0].address
            headers = (('x-note', 'caf\xe9'),)
            paths = []
            for path in ('/a/../charges?b=%2e%2e', '/a b', '/a\r\nb: c'):
                call = api.UpstreamCall(
                    'a1', 'POST', path, headers, b'', running.deadline
                )
                async with service.call(*address, call) as result:
                    if result.is_error():
                        paths.append(result.error)
                        continue
                    body = b''.join([chunk async for chunk in result.ok])
                paths.append(msgspec.json.decode(body)['path'])
            unsent = api.Unavailable('bad_request')
            self.assertEqual(['/a/../charges?b=%2e%2e', unsent, unsent], paths)

        _run(main)

    def test_weight_store_returns_its_limits(self) -> None:
        """The limits are those of the site's options."""

        async def main(running: _Site) -> None:
            store = http_lists.HttpWeightStore(
                running.connections, *running.site.weights_address
            )
            state = await store.state(running.deadline)
            self.assertEqual(6, state.ok.full_speed_loads)

        _run(main)

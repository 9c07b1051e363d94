"""Tests of the HTTP adapters against a site of stand-ins."""

from __future__ import annotations

import dataclasses
import typing
import unittest

import anyio
import msgspec

from dogwoodquay.external import api
from dogwoodquay.external import errors
from dogwoodquay.external import http
from dogwoodquay.external import memory
from dogwoodquay.external.memory import batch
from dogwoodquay.external.memory import completion
from dogwoodquay import standin

_FAST = standin.SiteOptions(
    engines=1,
    service_servers=1,
    pace=batch.Pace(64, 0.0, 0.0, 0.0),
    loads_per_second=1000.0,
    load_bytes_per_second=1e15,
    list_lag_seconds=0.0,
)
_SECONDS = 20.0


@dataclasses.dataclass
class _Site:
    """A running site with adapters to it."""

    site: standin.StandInSite
    connections: http.Connections
    engine: http.HttpEngine
    log: http.HttpLog

    @property
    def deadline(self) -> float:
        return self.site.time.now() + _SECONDS

    @property
    def place(self) -> standin.Address:
        return self.site.engines[0].address

    @property
    def model(self) -> memory.EngineModel:
        return self.site.engines[0].model

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
            async with http.Connections(site.time) as connections:
                log = http.HttpLog(connections, site.time, *site.log_address)
                engine = http.HttpEngine(connections)
                running = _Site(site, connections, engine, log)
                order = api.Order('o1', 1, api.OrderKind.LOAD, 'm@1', 2**30)
                done = await engine.order(
                    *running.place, order, running.deadline
                )
                assert done.is_ok(), done
                await main(running)

    anyio.run(start)


class EngineTest(unittest.TestCase):
    """Calls to an engine over HTTP."""

    def test_streams_the_requests_own_answer(self) -> None:
        """All events arrive, in order, with the attempt's id."""

        async def main(running: _Site) -> None:
            call = running.call('a1', tokens=50)
            async with running.engine.call(*running.place, call) as result:
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

    def test_broken_stream_is_never_whole(self) -> None:
        """A cut body raises; a resume gives exactly the rest."""

        async def main(running: _Site) -> None:
            running.model.serve_faults.inject(
                memory.CallFault.BREAK, after_chunks=2
            )
            call = running.call('a1')
            body = b''
            with self.assertRaises(errors.UpstreamBroken):
                async with running.engine.call(*running.place, call) as got:
                    async for chunk in got.ok:
                        body += chunk
            again = dataclasses.replace(call, resume_after=1)
            async with running.engine.call(*running.place, again) as got:
                rest = b''.join([chunk async for chunk in got.ok])
            events = (body + rest).decode().strip().split('\n\n')
            numbers = [event.split('\n')[0] for event in events]
            self.assertEqual([f'id: {n}' for n in range(5)], numbers)
            self.assertEqual(1, running.model.runs['a1'])

        _run(main)

    def test_refusal_by_protocol_is_not_run(self) -> None:
        """An engine that says that it did not run is believed."""

        async def main(running: _Site) -> None:
            running.model.serve_faults.inject(memory.CallFault.REFUSE)
            call = running.call('a1')
            async with running.engine.call(*running.place, call) as result:
                self.assertEqual(api.Refused('injected'), result.error)
            self.assertEqual(0, running.model.runs['a1'])

        _run(main)

    def test_no_connection_is_unavailable_and_a_kill_is_not(self) -> None:
        """What was sent may have run; what could not be sent did not."""

        async def main(running: _Site) -> None:
            running.model.serve_faults.inject(
                memory.CallFault.LATE, delay=60.0
            )
            place = running.place
            errors_seen = []

            async def call(attempt: str) -> None:
                async with running.engine.call(
                    *place, running.call(attempt)
                ) as result:
                    errors_seen.append(result.error)

            async with anyio.create_task_group() as group:
                group.start_soon(call, 'a1')
                await anyio.sleep(0.1)
                await running.site.kill('engine-1')
            await call('a2')
            self.assertIsInstance(errors_seen[0], api.Ambiguous)
            self.assertIsInstance(errors_seen[1], api.Unavailable)

        _run(main)

    def test_past_deadline_sends_nothing(self) -> None:
        """A request that comes too late never reaches the engine."""

        async def main(running: _Site) -> None:
            call = dataclasses.replace(running.call('a1'), deadline=1.0)
            async with running.engine.call(*running.place, call) as result:
                self.assertEqual(api.Unavailable('deadline'), result.error)
            self.assertEqual(0, running.model.runs['a1'])

        _run(main)

    def test_leaving_the_call_stops_the_engines_work(self) -> None:
        """A disconnect frees the place in the batch."""

        async def main(running: _Site) -> None:
            call = running.call('a1', tokens=100_000)
            async with running.engine.call(*running.place, call) as result:
                async for _ in result.ok:
                    break
                self.assertEqual(1, running.model.batch.running)
            with anyio.fail_after(_SECONDS):
                while running.model.batch.running:
                    await anyio.sleep(0.01)

        slow = batch.Pace(64, 0.0, 0.0, 0.01)
        _run(main, _FAST._replace(pace=slow))

    def test_errors_of_orders(self) -> None:
        """Stale fences and refusals keep their meaning over HTTP."""

        async def main(running: _Site) -> None:
            place, deadline = running.place, running.deadline
            taught = await running.engine.teach(*place, 9, deadline)
            self.assertEqual(9, taught.ok.highest_fence)
            old = api.Order('o2', 3, api.OrderKind.LOAD, 'n@1', 1)
            result = await running.engine.order(*place, old, deadline)
            self.assertEqual(api.StaleFence(9), result.error)
            based = api.Order('o3', 9, api.OrderKind.LOAD, 'x@1', 1, 'n@1')
            result = await running.engine.order(*place, based, deadline)
            self.assertEqual(api.Refused('base_not_ready'), result.error)

        _run(main)


class LogTest(unittest.TestCase):
    """The log over HTTP."""

    def test_round_trip_and_errors(self) -> None:
        """Payloads are kept byte by byte; errors keep their meaning."""

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
        """A waiting reader gets an entry that comes later."""

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

    def test_hung_append_is_ambiguous_and_lands(self) -> None:
        """The caller's deadline passes before the append takes effect."""

        async def main(running: _Site) -> None:
            running.site.log.faults.inject(memory.CallFault.LATE, delay=60.0)
            deadline = running.site.time.now() + 0.3
            result = await running.log.append('s', b'x', deadline)
            self.assertIsInstance(result.error, api.Ambiguous)
            self.assertEqual((), running.site.log.entries('s'))
            self.assertEqual(1, running.site.log.release_late())
            self.assertEqual(1, len(running.site.log.entries('s')))

        _run(main)


class PlatformTest(unittest.TestCase):
    """Instance list, weight store and plain services over HTTP."""

    def test_list_shows_a_drain(self) -> None:
        """A server that is drained is leaving for every reader."""

        async def main(running: _Site) -> None:
            site = running.site
            listed = http.HttpInstanceList(
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

    def test_repeated_charge_is_seen(self) -> None:
        """The same charge, sent twice, has run twice."""

        async def main(running: _Site) -> None:
            service = http.HttpPlainService(running.connections)
            place = running.site.services[0].address
            call = api.UpstreamCall(
                'a1', 'POST', '/charges', (), b'{}', running.deadline
            )
            runs = []
            for _ in range(2):
                async with service.call(*place, call) as result:
                    body = b''.join([chunk async for chunk in result.ok])
                runs.append(msgspec.json.decode(body)['run'])
            self.assertEqual([1, 2], runs)
            self.assertEqual(1, running.site.book.repeated)

        _run(main)

    def test_path_and_headers_go_out_as_they_are(self) -> None:
        """No path is rewritten, and what cannot be sent was not run."""

        async def main(running: _Site) -> None:
            service = http.HttpPlainService(running.connections)
            place = running.site.services[0].address
            headers = (('x-note', 'caf\xe9'),)
            paths = []
            for path in ('/a/../charges?b=%2e%2e', '/a b', '/a\r\nb: c'):
                call = api.UpstreamCall(
                    'a1', 'POST', path, headers, b'', running.deadline
                )
                async with service.call(*place, call) as result:
                    if result.is_error():
                        paths.append(result.error)
                        continue
                    body = b''.join([chunk async for chunk in result.ok])
                paths.append(msgspec.json.decode(body)['path'])
            unsent = api.Unavailable('bad_request')
            self.assertEqual(['/a/../charges?b=%2e%2e', unsent, unsent], paths)

        _run(main)

    def test_weight_store_tells_its_limits(self) -> None:
        """The limits arrive as they were set."""

        async def main(running: _Site) -> None:
            store = http.HttpWeightStore(
                running.connections, *running.site.weights_address
            )
            state = await store.state(running.deadline)
            self.assertEqual(6, state.ok.full_speed_loads)

        _run(main)

"""A soak of planned stops under load.

By hand with other seeds, more instances or for longer:
``STOP_SOAK_SEEDS=1-50 STOP_SOAK_INSTANCES=12 STOP_SOAK_SECONDS=30 python -m
unittest tests.site.test_stop_soak``.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import os
import random
import time
import typing
import unittest

from . import processes
from . import stops

if typing.TYPE_CHECKING:
    from collections import abc

_DEFAULT_SEED: typing.Final = '5101'
_DEFAULT_INSTANCES: typing.Final = '4'
_DEFAULT_SECONDS: typing.Final = '10'
_ZONES: typing.Final = 2
_CALLERS_PER_INSTANCE: typing.Final = 16
# Far longer than any seed takes; only a hang reaches it.
_TEST_TIMEOUT_SECONDS: typing.Final = 150.0
# The turns of processes on a busy machine.
_SLACK_SECONDS: typing.Final = 0.25
_WATCH_SECONDS: typing.Final = 0.05
# Between the clocks of processes.
_CLOCK_SECONDS: typing.Final = 0.05
# A connection may end without an answer for so long after the request.
_LOSS_SLACK_SECONDS: typing.Final = 0.5
# The latest removal by the balancer, after which no stream is taken.
_REMOVED_SECONDS: typing.Final = 2.4
_NOT_RUN: typing.Final = frozenset({408, 421, 429, 503})

_Kind = stops.Kind
_KINDS: typing.Final = (
    _Kind('once-short', 1500, 1.2),
    _Kind('once-short', 1500, 0.1),
    _Kind('once-mid', 4000, 3.5),
    _Kind('once-long', 15_000, 8.0),
    _Kind('once-long', 15_000, 1.0),
    _Kind('once-short', 1500, 0.8, pieces=2),
    _Kind('once-mid', 4000, 2.0, pieces=5),
    _Kind('once-mid', 4000, 2.0, pieces=4, chunked=True),
    _Kind('once-long', 15_000, 5.0, pieces=5, chunked=True),
    _Kind('again-short', 1500, 1.2, repeatable=True),
    _Kind('again-long', 15_000, 8.0, repeatable=True),
    _Kind('again-mid', 4000, 1.0, repeatable=True, pieces=4),
    _Kind('once-narrow', 4000, 1.5, service='narrow'),
    _Kind('again-narrow', 4000, 1.5, repeatable=True, service='narrow'),
    _Kind('resumable', 15_000, 6.0, repeatable=True, streaming=True),
    _Kind('resumable-short', 3000, 1.0, repeatable=True, streaming=True),
    _Kind('stream-once', 15_000, 6.0, streaming=True),
    _Kind('stream-short', 3000, 1.0, streaming=True),
)


def _manifest(version: int) -> dict[str, typing.Any]:
    """Return a manifest with the routes of all kinds."""
    routes = {}
    for kind in _KINDS:
        plain = 'idempotent' if kind.repeatable else 'non_idempotent'
        routes[kind.route] = processes.route(
            f'/{kind.route}/',
            'engines' if kind.streaming else kind.service,
            Type='streaming' if kind.streaming else plain,
            Resumable=kind.streaming and kind.repeatable,
            MaxAttempts=2,
            TimeoutMs=kind.timeout_ms,
            # Callers wait for the first event as long as the route allows.
            TargetLatencyMs=kind.timeout_ms // 4,
        )
    added = processes.plain_route(f'/added-{version}/')
    manifest = processes.manifest(version, *routes.values(), added)
    services = typing.cast('list[dict[str, object]]', manifest['Services'])
    services.append(dict(services[0], Name='narrow'))
    return manifest


class _Soak:
    """One seed: callers, stops, and trouble beside them."""

    def __init__(self, seed: int, instances: int, seconds: float) -> None:
        self.ledger = stops.Ledger(f's{seed}')
        self.reasons: dict[str, str] = {}
        # When the instance began to read refused requests.
        self.arrivals: dict[str, float] = {}
        # When instances logged their steps and refusals, by time.monotonic().
        self.logged: list[tuple[str, float, str]] = []
        # The times of all lines, by instance, and the stand-ins' delays.
        self.line_times: dict[str, list[float]] = {}
        self.delays: list[tuple[float, float]] = []
        self.stops: list[stops.Stop] = []
        self._rng = random.Random(seed)
        self._instances = instances
        self._seconds = seconds
        self._version = 1
        self._server_numbers = 0

    async def run(self) -> None:
        """Play the seed."""
        zones = tuple(f'zone-{number}' for number in range(_ZONES))
        running = processes.Site.running(
            self._instances,
            _manifest(1),
            self._add_servers,
            zones,
            linked=False,
        )
        async with running as site:
            stopper = stops.Stopper(site, random.Random(self._rng.random()))
            balancer = stops.Balancer(site, _ZONES)
            asking = asyncio.create_task(balancer.run())
            watching = asyncio.create_task(self._watch_delays())
            until = time.monotonic() + self._seconds
            over = asyncio.Event()
            async with asyncio.TaskGroup() as group:
                for number in range(_CALLERS_PER_INSTANCE * self._instances):
                    caller = self._caller(site, balancer, number)
                    group.create_task(caller.run(over))
                group.create_task(self._trouble(site, until))
                await self._stop_in_series(stopper, until)
                await stopper.stop_all()
                over.set()
            asking.cancel()
            watching.cancel()
            # A request that was refused may run later.
            await asyncio.sleep(1.0)
            self.stops = stopper.stops
            self._read_logs(site)

    async def _watch_delays(self) -> None:
        """Note when the stand-ins were late themselves."""
        while True:
            due = time.monotonic() + _WATCH_SECONDS
            await asyncio.sleep(_WATCH_SECONDS)
            late = time.monotonic() - due
            if late > _WATCH_SECONDS:
                self.delays.append((due, late))

    def _add_servers(self, site: processes.Site) -> None:
        for service, count, slots in (
            ('desk', 3, 16 * self._instances),
            ('narrow', 1, 1),
        ):
            for _ in range(count):
                site.servers.append(self._server(site, service, slots))
        for _ in range(2):
            engine = self._server(
                site, 'engines', 16 * self._instances, 'loaded'
            )
            site.servers.append(engine)
        # Those of other tests tell no ledger.
        site.servers.remove(site.desk)
        site.servers.remove(site.engine)

    def _server(
        self, site: processes.Site, service: str, slots: int, *models: str
    ) -> stops.RecordingServer:
        self._server_numbers += 1
        server = stops.RecordingServer(
            site.store,
            f'server-{self._server_numbers}',
            service,
            *models,
            slots=slots,
        )
        server.ledger = self.ledger
        return server

    def _caller(
        self, site: processes.Site, balancer: stops.Balancer, number: int
    ) -> stops.Caller:
        def slow(attempt: str, silence: typing.Any) -> None:
            for server in site.servers:
                server.silences[attempt] = silence

        return stops.Caller(
            random.Random(self._rng.random()),
            self.ledger,
            lambda: balancer.instances(number % _ZONES),
            slow,
            _KINDS,
        )

    async def _stop_in_series(
        self, stopper: stops.Stopper, until: float
    ) -> None:
        """Begin stops that overlap."""
        numbers = range(self._instances)
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                await asyncio.sleep(self._rng.uniform(0.5, 2.5))
                zone = self._rng.randrange(_ZONES)
                chosen = self._rng.choice(
                    [
                        self._rng.sample(numbers, 1),
                        self._rng.sample(numbers, 2),
                        numbers[zone::_ZONES],
                    ]
                )
                group.create_task(stopper.stop(chosen))

    async def _trouble(self, site: processes.Site, until: float) -> None:
        """Change the manifest, leave servers and disturb the store."""
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            match self._rng.randrange(5):
                case 0 | 1:
                    self._version += 1
                    manifest = _manifest(self._version)
                    site.store.put('keyed.op', 'config', manifest)
                case 2:
                    site.store.unavailable = True
                    await asyncio.sleep(self._rng.uniform(0.5, 3.0))
                    site.store.unavailable = False
                case 3:
                    site.store.answer_seconds = 1.5
                    await asyncio.sleep(self._rng.uniform(0.5, 3.0))
                    site.store.answer_seconds = 0.0
                case 4:
                    await self._replace_server(site)

    async def _replace_server(self, site: processes.Site) -> None:
        """Let a plain server leave after another one has come."""
        successor = self._server(site, 'desk', 16 * self._instances)
        leaving = site.servers[0]
        site.servers.append(successor)
        site.servers.remove(leaving)
        await successor.start()
        leaving.register('draining')
        await asyncio.sleep(1.0)
        site.store.put('keyed.servers', leaving.server_id, None)

    def _read_logs(self, site: processes.Site) -> None:
        epoch = time.time() - time.monotonic()
        for instance in site.instances:
            times = self.line_times.setdefault(instance.member, [])
            for line in instance.log_lines():
                times.append(line['timestamp'] - epoch)
                name = line.get('message_type', '')
                if name == 'request:refused':
                    reason = f'{line["reason"]} {line["detail"]}'.strip()
                    self.reasons[line['request']] = reason
                    self.arrivals[line['request']] = (
                        line['timestamp'] - epoch - line['seconds']
                    )
                elif name.partition(':')[0] != 'instance':
                    continue
                about = line.get('request', instance.member)
                self.logged.append((about, line['timestamp'] - epoch, name))


class _Verdict:
    """What is wrong with the requests of a soak."""

    def __init__(self, soak: _Soak) -> None:
        self._soak = soak
        self.faults: list[str] = []
        for stop in soak.stops:
            lasted = stop.ended_at - stop.started_at
            if stop.exit_status or lasted > stops.GRACE_SECONDS:
                steps = self._logged(stop.instance, stop)
                steps += f'; {self._silences(stop)}'
                self._add(
                    f'exit {stop.exit_status} after {lasted:.2f} s; {steps}'
                )
        for record in soak.ledger.records.values():
            for fault in self._faults(record):
                self._add(self._describe(record, fault))

    def _add(self, fault: str) -> None:
        self.faults.append(fault)

    def _stop_of(self, record: stops.Record) -> stops.Stop | None:
        """Return the stop that the request's process was ended by."""
        for stop in self._soak.stops:
            if (
                stop.instance == record.instance
                and record.started_at < stop.ended_at
                and record.ended_at > stop.started_at
            ):
                return stop
        return None

    def _faults(self, record: stops.Record) -> abc.Iterator[str]:
        kind, runs = record.kind, record.runs
        stop = self._stop_of(record)
        if not kind.repeatable and len(runs) > 1:
            yield 'run twice'
        if runs and not kind.repeatable and record.status in _NOT_RUN:
            yield 'refused and run'
        if runs and runs[-1] > record.ended_at + _SLACK_SECONDS:
            yield 'run after its end'
        if record.status == 0:
            yield from self._closed(record)
        elif record.status == 200:
            yield from self._answered(record, stop)
        elif record.status == 504:
            if not self._may_end(record, stop):
                yield 'ended early'
        elif record.status not in _NOT_RUN:
            yield 'not an answer of a server'
        elif self._reason(record) == 'stopping':
            yield from self._refused(record, stop)

    def _closed(self, record: stops.Record) -> abc.Iterator[str]:
        if record.runs:
            yield 'closed after it was passed on'
        elif (
            record.last_sent_at
            and record.ended_at - record.last_sent_at > _LOSS_SLACK_SECONDS
        ):
            yield 'closed without an answer'

    def _answered(
        self, record: stops.Record, stop: stops.Stop | None
    ) -> abc.Iterator[str]:
        if not record.runs:
            yield 'answered but not run'
        if not record.complete:
            if not (record.kind.streaming and self._may_end(record, stop)):
                yield 'cut'
        elif record.kind.streaming:
            events = record.body.count(b'\n\n')
            if events != 4:
                yield f'{events} events'
        elif not record.body.endswith(stops.BODY):
            yield 'another body'

    def _refused(
        self, record: stops.Record, stop: stops.Stop | None
    ) -> abc.Iterator[str]:
        """Find a refusal of a request that could have been served.

        A process may get its turn late on a busy machine, so that its own
        times count.
        """
        if stop is None:
            yield 'refused by an instance that does not stop'
            return
        arrived_at = self._soak.arrivals[record.attempt]
        deadline = arrived_at + record.kind.timeout_ms / 1000
        if (
            not record.kind.streaming
            and record.kind.service == 'desk'
            and deadline < stop.started_at + stops.END_SECONDS - _CLOCK_SECONDS
        ):
            yield 'refused early'

    def _may_end(self, record: stops.Record, stop: stops.Stop | None) -> bool:
        """Whether the gateway may end a request at a server."""
        if record.ended_at >= record.deadline - _SLACK_SECONDS:
            return True
        if stop is None:
            return False
        end = stop.started_at + stops.END_SECONDS - _SLACK_SECONDS
        taken = _REMOVED_SECONDS if record.kind.repeatable else 0.0
        return (
            record.ended_at >= end
            and record.started_at < stop.started_at + taken + _SLACK_SECONDS
        )

    def _logged(self, about: str, stop: stops.Stop) -> str:
        """Return what was logged of an instance or request in a stop."""
        return ', '.join(
            f'{name.partition(":")[2]} {at - stop.started_at:.2f}'
            for item, at, name in self._soak.logged
            if item == about and stop.started_at - 1.0 < at < stop.ended_at
        )

    def _silences(self, stop: stops.Stop) -> str:
        """Return the gaps in a process's log, and the stand-ins' delays."""
        times = [
            item - stop.started_at
            for item in sorted(self._soak.line_times[stop.instance])
            if stop.started_at < item < stop.ended_at
        ]
        gaps = [
            f'{first:.2f}-{second:.2f}'
            for first, second in itertools.pairwise(times)
            if second - first > _SLACK_SECONDS
        ]
        delays = [
            f'{due - stop.started_at:.2f}+{late:.2f}'
            for due, late in self._soak.delays
            if stop.started_at < due < stop.ended_at and late > 0.1
        ]
        return f'silent {" ".join(gaps)}, late {" ".join(delays)}'

    def _reason(self, record: stops.Record) -> str:
        return self._soak.reasons.get(record.attempt, '')

    def _describe(self, record: stops.Record, fault: str) -> str:
        stop = self._stop_of(record)
        since = stop.started_at if stop else record.started_at
        times = [record.started_at, record.last_sent_at, *record.runs]
        shown = [f'{item - since:.2f}' for item in (*times, record.ended_at)]
        return (
            f'{record.kind.route}: {fault}; {record.attempt} at '
            f'{record.instance} {record.status} {self._reason(record)}; sent, '
            f'run and ended {" ".join(shown)} s after '
            f'{"SIGTERM" if stop else "its begin"}; logged: '
            + (self._logged(record.attempt, stop) if stop else '')
            + (f'; {self._logged(record.instance, stop)}' if stop else '')
            + (f'; {self._silences(stop)}' if stop else '')
            + (f'; {record.used} requests before' if record.used else '')
        )

    def summary(self) -> str:
        """Return how requests ended, and how many stops there were."""
        ends = collections.Counter(
            f'{record.status} {self._reason(record)}'.strip()
            + ('' if record.complete else ' cut')
            for record in self._soak.ledger.records.values()
        )
        held = [
            record.ended_at - max(record.last_sent_at, stop.started_at)
            for record in self._soak.ledger.records.values()
            if self._reason(record) == 'stopping'
            and record.status in _NOT_RUN
            and (stop := self._stop_of(record)) is not None
        ]
        longest = max(
            (stop.ended_at - stop.started_at for stop in self._soak.stops),
            default=0.0,
        )
        records = self._soak.ledger.records
        late = max(
            (
                at - records[attempt].started_at
                for attempt, at in self._soak.arrivals.items()
                if attempt in records
            ),
            default=0.0,
        )
        return (
            f'{len(self._soak.stops)} stops of {longest:.2f} s at most; '
            f'read {late:.2f} s late at most; '
            f'refused by a stop after {max(held, default=0.0):.2f} s at most; '
            f'{dict(ends.most_common())}'
        )


def _seeds() -> list[int]:
    first, _, last = os.environ.get(
        'STOP_SOAK_SEEDS', _DEFAULT_SEED
    ).partition('-')
    return list(range(int(first), int(last or first) + 1))


class StopSoakTest(unittest.IsolatedAsyncioTestCase):
    """Requests of all kinds end with a true answer around planned stops."""

    async def test_planned_stops(self) -> None:
        """Several instances stop at once and in series, in trouble."""
        instances = int(
            os.environ.get('STOP_SOAK_INSTANCES', _DEFAULT_INSTANCES)
        )
        seconds = float(os.environ.get('STOP_SOAK_SECONDS', _DEFAULT_SECONDS))
        for seed in _seeds():
            with self.subTest(seed=seed):
                # The stand-ins are slow in debug mode.
                asyncio.get_running_loop().set_debug(False)
                soak = _Soak(seed, instances, seconds)
                async with asyncio.timeout(_TEST_TIMEOUT_SECONDS):
                    await soak.run()
                verdict = _Verdict(soak)
                if 'STOP_SOAK_SEEDS' in os.environ:
                    print(f'seed {seed}:', verdict.summary(), flush=True)
                    for fault in verdict.faults:
                        print(f'  seed {seed}:', fault, flush=True)
                self.assertEqual([], verdict.faults)


if __name__ == '__main__':
    unittest.main()

"""Mixed requests through crossed, delayed and cut answers, all compared.

``python -m tests.unit.entry.mixed 10000 7`` runs as many as wanted.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import random
import sys
import typing
import uuid

import anyio

from tests.unit.dispatch import fakes
from tests.unit.entry import client
from tests.unit.entry import test_whole_path as paths

CONCURRENCY = 100
FAULT_SHARE = 0.25
VANISH_SHARE = 0.2
MAX_RESUMES = 20
SETTLE_SECONDS = 0.05
CHARGE = '/services/counter/tickets/7/charge'


@dataclasses.dataclass
class Report:
    """How the answers compare with the right ones."""

    requests: int = 0
    whole: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ended_with_error: int = 0
    resumed: int = 0
    wrong: list[str] = dataclasses.field(default_factory=list)
    truncated_shown_complete: int = 0
    false_not_run: int = 0
    ran_twice: int = 0


class Mix:
    """Sends requests and compares what comes back."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.site = client.Site()
        self.report = Report()
        upstream = self.site.rig.upstream
        upstream.rng = random.Random(seed + 1)
        upstream.draw = self._draw

    async def run(self, count: int) -> Report:
        limiter = anyio.Semaphore(CONCURRENCY)

        async def limited(number: int) -> None:
            async with limiter:
                await self._one(number)

        async def work() -> None:
            async with anyio.create_task_group() as group:
                for number in range(count):
                    group.start_soon(limited, number)

        async with anyio.create_task_group() as group:
            group.start_soon(self.site.rig.dispatcher.run_background)
            group.start_soon(self.site.app.run_background)
            await work()
            group.cancel_scope.cancel()
        return self.report

    def _draw(self) -> fakes.Fault:
        if self.rng.random() >= FAULT_SHARE:
            return fakes.Fault.NONE
        faults = [fault for fault in fakes.Fault if fault.value != 'hung']
        return self.rng.choice(faults)

    async def _one(self, number: int) -> None:
        self.report.requests += 1
        match self.rng.randrange(4):
            case 0:
                await self._json(paths.chat(f'json {number}'))
            case 1:
                await self._charge(b'charge %d' % number, '')
            case 2:
                key = str(uuid.UUID(int=number | 7 << 76 | 2 << 62))
                await self._charge(b'keyed %d' % number, key)
            case _:
                await self._stream(paths.chat(f'stream {number}', stream=True))

    async def _json(self, body: bytes) -> None:
        reply = await self.site.request('POST', paths.CHAT, body)
        self._compare_whole(reply, body)

    async def _charge(self, body: bytes, key: str) -> None:
        headers = {'idempotency-key': key} if key else {}
        runs = self.site.rig.upstream.runs
        for _ in range(3 if key else 1):
            reply = await self.site.request('POST', CHARGE, body, headers)
            self._compare_whole(reply, body)
            self.report.ran_twice += runs[body] > 1
            await anyio.sleep(SETTLE_SECONDS)

    async def _stream(self, body: bytes) -> None:
        connection = client.Connection(body)
        if self.rng.random() < VANISH_SHARE:
            connection.vanish_after = self.rng.randint(1, 900)
        reply = await self.site.request(
            'POST', paths.CHAT, connection=connection
        )
        data = reply.body
        for _ in range(MAX_RESUMES):
            if reply.complete or not reply.headers:
                break
            self.report.resumed += 1
            reply = await self._resume(reply, data)
            data += reply.body
        self._compare_stream(reply, data, body)

    async def _resume(self, reply: client.Reply, data: bytes) -> client.Reply:
        connection = client.Connection(b'')
        connection.vanish_after = self.rng.randint(1, 900)
        stream_id = reply.headers['x-stream-id']
        last = data.count(b'\nid: ') + data.startswith(b'id: ') - 1
        headers = {'last-event-id': str(last)}
        found = await self.site.request(
            'GET', f'/v1/streams/{stream_id}', b'', headers, connection
        )
        return found

    def _compare_whole(self, reply: client.Reply, body: bytes) -> None:
        if reply.status == 200:
            text = json.loads(reply.body)['text']
            self._count(text == ''.join(fakes.words(body)), reply.body)
        elif reply.status == 500 and reply.body == b'{}':
            self.report.refused["the service's own"] += 1
        else:
            self._compare_refusal(reply.body, body)

    def _compare_stream(
        self, reply: client.Reply, data: bytes, body: bytes
    ) -> None:
        if reply.status != 200:
            self._compare_refusal(reply.body, body)
            return
        right = fakes.words(body)
        if data.endswith(b'data: [DONE]\n\n'):
            self._count(paths.texts(data) == right, data)
            return
        found = paths.texts(data.partition(b'event: error')[0])
        if b'event: error' not in data:
            self.report.truncated_shown_complete += 1
        elif found != right[: len(found)]:
            self.report.wrong.append(data.decode())
        else:
            self.report.ended_with_error += 1

    def _compare_refusal(self, problem: bytes, body: bytes) -> None:
        told = json.loads(problem)
        self.report.refused[f'{told["reason"]} {told["outcome"]}'] += 1
        if told['outcome'] == 'not_run' and self.site.rig.upstream.runs[body]:
            self.report.false_not_run += 1

    def _count(self, right: bool, found: bytes) -> None:
        if right:
            self.report.whole += 1
        else:
            self.report.wrong.append(found.decode())


def main(arguments: typing.Sequence[str]) -> int:
    """Run a mix and print the report."""
    count, seed = int(arguments[1]), int(arguments[2])
    report = anyio.run(Mix(seed).run, count)
    print(report)
    bad = report.truncated_shown_complete + report.false_not_run
    return int(bool(report.wrong or bad or report.ran_twice))


if __name__ == '__main__':
    sys.exit(main(sys.argv))

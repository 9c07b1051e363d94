"""Mixed requests to an upstream with faults; checks every response.

``python -m tests.unit.entry.mixed 10000 7`` sends 10000 requests, with seed 7.
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
from tests.unit.entry import test_requests as requests

CONCURRENCY = 100
FAULT_SHARE = 0.25
DISCONNECT_SHARE = 0.2
MAX_RESUMES = 20
SETTLE_SECONDS = 0.05
CHARGE_PATH = '/services/counter/tickets/7/charge'


@dataclasses.dataclass
class Report:
    """The responses, counted by how they compare with the expected ones."""

    requests: int = 0
    correct: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ended_with_error: int = 0
    resumed: int = 0
    wrong: list[str] = dataclasses.field(default_factory=list)
    truncated_without_error: int = 0
    false_not_run: int = 0
    ran_twice: int = 0


class MixedLoad:
    """Sends requests and compares the responses with the expected ones."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.harness = client.EntryHarness()
        self.report = Report()
        upstream = self.harness.rig.upstream
        upstream.rng = random.Random(seed + 1)
        upstream.draw = self._choose_fault

    async def run(self, count: int) -> Report:
        limiter = anyio.Semaphore(CONCURRENCY)

        async def limited(number: int) -> None:
            async with limiter:
                await self._send_one(number)

        async def send_all() -> None:
            async with anyio.create_task_group() as group:
                for number in range(count):
                    group.start_soon(limited, number)

        async with anyio.create_task_group() as group:
            group.start_soon(self.harness.rig.dispatcher.run_background)
            group.start_soon(self.harness.app.run_background)
            await send_all()
            group.cancel_scope.cancel()
        return self.report

    def _choose_fault(self) -> fakes.Fault:
        if self.rng.random() >= FAULT_SHARE:
            return fakes.Fault.NONE
        faults = [fault for fault in fakes.Fault if fault.value != 'hung']
        return self.rng.choice(faults)

    async def _send_one(self, number: int) -> None:
        self.report.requests += 1
        match self.rng.randrange(4):
            case 0:
                await self._send_completion(
                    requests.chat_body(f'json {number}')
                )
            case 1:
                await self._send_charge(b'charge %d' % number, '')
            case 2:
                key = str(uuid.UUID(int=number | 7 << 76 | 2 << 62))
                await self._send_charge(b'keyed %d' % number, key)
            case _:
                await self._send_stream(
                    requests.chat_body(f'stream {number}', stream=True)
                )

    async def _send_completion(self, body: bytes) -> None:
        response = await self.harness.request('POST', requests.CHAT, body)
        self._compare_whole(response, body)

    async def _send_charge(self, body: bytes, key: str) -> None:
        headers = {'idempotency-key': key} if key else {}
        runs = self.harness.rig.upstream.runs
        for _ in range(3 if key else 1):
            response = await self.harness.request(
                'POST', CHARGE_PATH, body, headers
            )
            self._compare_whole(response, body)
            self.report.ran_twice += runs[body] > 1
            await anyio.sleep(SETTLE_SECONDS)

    async def _send_stream(self, body: bytes) -> None:
        connection = client.Connection(body)
        if self.rng.random() < DISCONNECT_SHARE:
            connection.disconnect_after_bytes = self.rng.randint(1, 900)
        response = await self.harness.request(
            'POST', requests.CHAT, connection=connection
        )
        data = response.body
        for _ in range(MAX_RESUMES):
            if response.complete or not response.headers:
                break
            self.report.resumed += 1
            response = await self._resume(response, data)
            data += response.body
        self._compare_stream(response, data, body)

    async def _resume(
        self, response: client.Response, data: bytes
    ) -> client.Response:
        connection = client.Connection(b'')
        connection.disconnect_after_bytes = self.rng.randint(1, 900)
        stream_id = response.headers['x-stream-id']
        last = data.count(b'\nid: ') + data.startswith(b'id: ') - 1
        headers = {'last-event-id': str(last)}
        resumed = await self.harness.request(
            'GET', f'/v1/streams/{stream_id}', b'', headers, connection
        )
        return resumed

    def _compare_whole(self, response: client.Response, body: bytes) -> None:
        if response.status == 200:
            text = json.loads(response.body)['text']
            self._record(text == ''.join(fakes.words(body)), response.body)
        elif response.status == 500 and response.body == b'{}':
            self.report.refused['error of the service'] += 1
        else:
            self._compare_refusal(response.body, body)

    def _compare_stream(
        self, response: client.Response, data: bytes, body: bytes
    ) -> None:
        if response.status != 200:
            self._compare_refusal(response.body, body)
            return
        expected = fakes.words(body)
        if data.endswith(b'data: [DONE]\n\n'):
            self._record(requests.event_texts(data) == expected, data)
            return
        actual = requests.event_texts(data.partition(b'event: error')[0])
        if b'event: error' not in data:
            self.report.truncated_without_error += 1
        elif actual != expected[: len(actual)]:
            self.report.wrong.append(data.decode())
        else:
            self.report.ended_with_error += 1

    def _compare_refusal(self, problem: bytes, body: bytes) -> None:
        refusal = json.loads(problem)
        self.report.refused[f'{refusal["reason"]} {refusal["outcome"]}'] += 1
        if (
            refusal['outcome'] == 'not_run'
            and self.harness.rig.upstream.runs[body]
        ):
            self.report.false_not_run += 1

    def _record(self, correct: bool, response: bytes) -> None:
        if correct:
            self.report.correct += 1
        else:
            self.report.wrong.append(response.decode())


def main(arguments: typing.Sequence[str]) -> int:
    """Send the requests and print the report."""
    count, seed = int(arguments[1]), int(arguments[2])
    report = anyio.run(MixedLoad(seed).run, count)
    print(report)
    failures = report.truncated_without_error + report.false_not_run
    return int(bool(report.wrong or failures or report.ran_twice))


if __name__ == '__main__':
    sys.exit(main(sys.argv))

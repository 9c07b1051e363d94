"""Tests of requests through the application and the dispatcher."""

from __future__ import annotations

import json
import typing
import unittest

import anyio

from tests.unit.dispatch import fakes
from tests.unit.entry import client

CHAT = '/v1/chat/completions'


def chat_body(text: str = 'a torn welt', stream: bool = False) -> bytes:
    """Return the body of a chat completion request."""
    message = {'role': 'user', 'content': text}
    fields = {'model': 'ticket', 'stream': stream, 'messages': [message]}
    return json.dumps(fields).encode()


def event_texts(body: bytes) -> list[str]:
    """Return the texts of a stream's events."""
    result = []
    for event in body.split(b'\n\n'):
        _, _, data = event.partition(b'data: ')
        if event.startswith(b'id: ') and data != b'[DONE]':
            result.append(json.loads(data)['text'])
    return result


class RequestTest(unittest.TestCase):
    """Requests without faults."""

    def run_with(
        self,
        scenario: typing.Callable[
            [client.EntryHarness], typing.Awaitable[None]
        ],
    ) -> None:
        async def main() -> None:
            harness = client.EntryHarness()
            await client.run_with_background(
                harness, lambda: scenario(harness)
            )

        anyio.run(main)

    def test_json_completion(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            body = chat_body()
            response = await harness.request('POST', CHAT, body)
            self.assertEqual(response.status, 200)
            text = json.loads(response.body)['text']
            self.assertEqual(text, ''.join(fakes.words(body)))

        self.run_with(scenario)

    def test_streamed_completion(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            body = chat_body(stream=True)
            response = await harness.request('POST', CHAT, body)
            self.assertEqual(response.status, 200)
            self.assertEqual(event_texts(response.body), fakes.words(body))
            self.assertTrue(response.body.endswith(b'data: [DONE]\n\n'))
            self.assertTrue(response.complete)
            self.assertTrue(response.headers['x-stream-id'])

        self.run_with(scenario)

    def test_adapter_and_service(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            body = chat_body().replace(b'"ticket"', b'"welt"')
            response = await harness.request('POST', CHAT, body)
            self.assertEqual(response.status, 200)
            headers = dict(harness.rig.upstream.calls[0].headers)
            self.assertEqual(headers['x-artifact'], 'welt@v1')
            response = await harness.request(
                'GET', '/services/counter/queue?at=1'
            )
            self.assertEqual(response.status, 200)
            self.assertEqual(harness.rig.upstream.calls[1].path, '/queue?at=1')

        self.run_with(scenario)

    def test_pages(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            models = await harness.request('GET', '/v1/models')
            names = [item['id'] for item in json.loads(models.body)['data']]
            self.assertEqual(names, ['ticket', 'welt'])
            self.assertEqual(
                (await harness.request('GET', '/livez')).status, 200
            )
            not_ready = await harness.request('GET', '/readyz')
            self.assertEqual(not_ready.status, 503)
            harness.health.set_ready('configuration')
            ready = await harness.request('GET', '/readyz')
            self.assertEqual(ready.status, 200)
            page = await harness.request('GET', '/metrics')
            self.assertIn(b'dogwoodquay_first_byte_seconds_bucket', page.body)

        self.run_with(scenario)

    def test_request_id_is_echoed(self) -> None:
        async def scenario(harness: client.EntryHarness) -> None:
            response = await harness.request(
                'POST', CHAT, chat_body(), {'x-request-id': 'till-7'}
            )
            self.assertEqual(response.headers['x-request-id'], 'till-7')

        self.run_with(scenario)

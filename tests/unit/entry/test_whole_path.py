"""One request through the application, the dispatcher and an upstream."""

from __future__ import annotations

import json
import typing
import unittest

import anyio

from tests.unit.dispatch import fakes
from tests.unit.entry import client

CHAT = '/v1/chat/completions'


def chat(text: str = 'a torn welt', stream: bool = False) -> bytes:
    """Return a chat completion request."""
    message = {'role': 'user', 'content': text}
    fields = {'model': 'ticket', 'stream': stream, 'messages': [message]}
    return json.dumps(fields).encode()


def texts(body: bytes) -> list[str]:
    """Return the words of a stream's events."""
    found = []
    for event in body.split(b'\n\n'):
        _, _, data = event.partition(b'data: ')
        if event.startswith(b'id: ') and data != b'[DONE]':
            found.append(json.loads(data)['text'])
    return found


class WholePathTest(unittest.TestCase):
    """Requests that meet no fault."""

    def run_with(
        self, work: typing.Callable[[client.Site], typing.Awaitable[None]]
    ) -> None:
        async def main() -> None:
            site = client.Site()
            await client.running(site, lambda: work(site))

        anyio.run(main)

    def test_json_completion(self) -> None:
        async def work(site: client.Site) -> None:
            body = chat()
            reply = await site.request('POST', CHAT, body)
            self.assertEqual(reply.status, 200)
            text = json.loads(reply.body)['text']
            self.assertEqual(text, ''.join(fakes.words(body)))

        self.run_with(work)

    def test_streamed_completion(self) -> None:
        async def work(site: client.Site) -> None:
            body = chat(stream=True)
            reply = await site.request('POST', CHAT, body)
            self.assertEqual(reply.status, 200)
            self.assertEqual(texts(reply.body), fakes.words(body))
            self.assertTrue(reply.body.endswith(b'data: [DONE]\n\n'))
            self.assertTrue(reply.complete)
            self.assertTrue(reply.headers['x-stream-id'])

        self.run_with(work)

    def test_adapter_and_service(self) -> None:
        async def work(site: client.Site) -> None:
            body = chat().replace(b'"ticket"', b'"welt"')
            reply = await site.request('POST', CHAT, body)
            self.assertEqual(reply.status, 200)
            headers = dict(site.rig.upstream.calls[0].headers)
            self.assertEqual(headers['x-artifact'], 'welt@v1')
            reply = await site.request('GET', '/services/counter/queue?at=1')
            self.assertEqual(reply.status, 200)
            self.assertEqual(site.rig.upstream.calls[1].path, '/queue?at=1')

        self.run_with(work)

    def test_pages(self) -> None:
        async def work(site: client.Site) -> None:
            models = await site.request('GET', '/v1/models')
            names = [item['id'] for item in json.loads(models.body)['data']]
            self.assertEqual(names, ['ticket', 'welt'])
            self.assertEqual((await site.request('GET', '/livez')).status, 200)
            early = await site.request('GET', '/readyz')
            self.assertEqual(early.status, 503)
            site.health.set_ready('configuration')
            ready = await site.request('GET', '/readyz')
            self.assertEqual(ready.status, 200)
            page = await site.request('GET', '/metrics')
            self.assertIn(b'dogwoodquay_first_byte_seconds_bucket', page.body)

        self.run_with(work)

    def test_request_id_is_echoed(self) -> None:
        async def work(site: client.Site) -> None:
            reply = await site.request(
                'POST', CHAT, chat(), {'x-request-id': 'till-7'}
            )
            self.assertEqual(reply.headers['x-request-id'], 'till-7')

        self.run_with(work)

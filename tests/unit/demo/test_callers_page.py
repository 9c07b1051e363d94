"""Runs the examples of ``docs/callers.md`` against a small site."""

from __future__ import annotations

import json
import pathlib
import re
import shlex
import typing
import unittest

import anyio
import httpx

from dogwoodquay import clock as clocks
from dogwoodquay.demo import events
from dogwoodquay.demo import fleet as fleets
from dogwoodquay.demo import requests
from dogwoodquay.demo import waiting
from dogwoodquay.standin import examples
from dogwoodquay.standin import site as sites

_PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'callers.md'
_BLOCK = re.compile(r'```(\w+)\n(.*?)```', re.DOTALL)
_TIMEOUT_SECONDS = 60


class Example(typing.NamedTuple):
    """A command line of the page and the reply shown below it."""

    command: str
    shown: str


def page_examples() -> list[Example]:
    """Return the page's examples in order."""
    shown_examples: list[Example] = []
    for language, content in _BLOCK.findall(_PAGE.read_text('utf-8')):
        if language == 'sh':
            shown_examples.append(Example(content, ''))
        elif language == 'http':
            shown_examples[-1] = shown_examples[-1]._replace(shown=content)
    return shown_examples


async def run_curl(
    http: httpx.AsyncClient, command: str, variables: dict[str, str]
) -> httpx.Response:
    """Send the request of a ``curl`` command line."""
    for name, value in variables.items():
        command = command.replace(f'${name}', value)
    words = iter(shlex.split(command.replace('\\\n', ' ')))
    if next(words) != 'curl':
        raise ValueError(command)
    url, headers, data = '', {}, None
    for word in words:
        match word:
            case '-H':
                name, _, value = next(words).partition(': ')
                headers[name] = value
            case '-d':
                data = next(words)
            case '-s' | '-sN' | '-si':
                pass
            case _ if not url and not word.startswith('-'):
                url = word
            case _:
                raise ValueError(word)
    method = 'GET' if data is None else 'POST'
    return await http.request(method, url, headers=headers, content=data)


class CallersPageTest(unittest.TestCase):
    """The examples of the page work."""

    def test_examples(self) -> None:
        """Each reply is as shown, and a repeated charge does not run."""
        anyio.run(self._run)

    async def _run(self) -> None:
        small = examples.HEELBRIGHT._replace(
            models=examples.HEELBRIGHT.models[:1]
        )
        options = sites.SiteOptions(
            engines=2, loads_per_second=1000.0, load_bytes_per_second=1e12
        )
        clock = clocks.SystemClock()
        with anyio.fail_after(_TIMEOUT_SECONDS):
            async with (
                sites.StandInSite(options).running() as site,
                anyio.create_task_group() as group,
            ):
                fleet = fleets.Fleet(site, group)
                await fleet.start(2)
                offset = await waiting.publish_examples(site, clock, small)
                async with (
                    waiting.Watcher(fleet).running() as watcher,
                    httpx.AsyncClient(trust_env=False) as http,
                ):
                    await watcher.wait_reachable(offset, _TIMEOUT_SECONDS)
                    await self._check(http, fleet, small)
                await fleet.kill_all()
            self.assertEqual(0, site.run_counter.repeated)

    async def _check(
        self,
        http: httpx.AsyncClient,
        fleet: fleets.Fleet,
        deployment: examples.Deployment,
    ) -> None:
        urls = [member.callers_url for member in fleet.members]
        variables = {
            'URL': urls[0],
            'KEY': examples.caller_key(deployment),
            'ID': requests.uuid7(),
        }
        texts: dict[str, str] = {}
        for example in page_examples():
            answer = await run_curl(http, example.command, variables)
            if 'x-stream-id' in answer.headers:
                variables['STREAM'] = answer.headers['x-stream-id']
            with self.subTest(example.command):
                self._compare(example, answer)
                texts[example.command] = answer.text
            if '$ID' in example.command:
                other = {**variables, 'URL': urls[1]}
                await self._repeat_charge(http, example, other, answer.text)
        self.assertEqual(6, len(texts))
        streams = [text for text in texts.values() if '[DONE]' in text]
        self.assertEqual(2, len(streams))
        self.assertTrue(streams[0].endswith(streams[1]))

    async def _repeat_charge(
        self,
        http: httpx.AsyncClient,
        example: Example,
        variables: dict[str, str],
        first: str,
    ) -> None:
        answer = await run_curl(http, example.command, variables)
        while events.parse_problem(answer.content).reason == 'key_running':
            await anyio.sleep(0.05)
            answer = await run_curl(http, example.command, variables)
        self.assertEqual((200, first), (answer.status_code, answer.text))

    def _compare(self, example: Example, answer: httpx.Response) -> None:
        if not example.shown:
            self.assertEqual(200, answer.status_code, answer.text)
            return
        head, _, body = example.shown.partition('\n\n')
        self.assertEqual(int(head.split()[1]), answer.status_code)
        reply_fields = answer.json()
        for name, value in json.loads(body).items():
            self.assertEqual(value, reply_fields[name])

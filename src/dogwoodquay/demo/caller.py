"""A caller that tries again as callers should: safely, and elsewhere."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import httpx
import msgspec

from . import events
from . import outcomes
from . import requests

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks

__all__ = ['Caller']

PATIENCE_SECONDS: typing.Final = 25.0
PAUSE_SECONDS: typing.Final = 0.25
MAX_PAUSE_SECONDS: typing.Final = 2.0
TIMEOUT_SECONDS: typing.Final = 20.0
# A host that vanishes closes no connection.
SILENCE_SECONDS: typing.Final = 3.0
# After these the same key may still get its answer later.
WAITING: typing.Final = frozenset({'key_running'})


class _Message(msgspec.Struct, frozen=True):
    content: str = ''


class _Choice(msgspec.Struct, frozen=True):
    message: _Message = _Message()


class _Answer(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()


class _Echo(msgspec.Struct, frozen=True):
    path: str = ''
    body_digest: str = ''
    run: int = 0


@dataclasses.dataclass(slots=True)
class _Effort:
    """What one request has taken so far."""

    phase: str
    kind: str
    give_up_at: float
    sent: int = 0
    resumed: int = 0

    def end(
        self, ending: outcomes.Ending, detail: str = ''
    ) -> outcomes.Outcome:
        """Return the outcome."""
        return outcomes.Outcome(
            self.phase, self.kind, ending, self.sent, self.resumed, detail
        )


class Caller:
    """Sends requests to the instances in turn."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        urls: abc.Callable[[], tuple[str, ...]],
        tally: outcomes.Tally,
        clock: clocks.Clock,
    ) -> None:
        """Make a caller.

        :param urls: the instances as a balancer knows them; one of them may
            just have died.
        """
        self._http = http
        self._urls = urls
        self._tally = tally
        self._clock = clock
        self._turn = 0

    async def call(
        self, phase: str, request: requests.Request, cut_after: int = 0
    ) -> None:
        """Carry a request to its end and add its outcome.

        :param cut_after: lose the first connection of a stream after so
            many events, as a phone does.
        """
        match request:
            case requests.Completion(stream=True):
                outcome = await self._stream(phase, request, cut_after)
            case requests.Completion():
                outcome = await self._whole(phase, request)
            case requests.Operation():
                outcome = await self._operate(phase, request)
        self._tally.add(outcome)

    def _effort(self, phase: str, kind: str) -> _Effort:
        return _Effort(phase, kind, self._clock.now() + PATIENCE_SECONDS)

    async def _whole(
        self, phase: str, request: requests.Completion
    ) -> outcomes.Outcome:
        effort = self._effort(phase, 'model, JSON')
        while self._clock.now() < effort.give_up_at:
            effort.sent += 1
            answer = await self._post(request, '')
            if answer is None:
                continue
            if answer.status_code == httpx.codes.OK:
                decoded = msgspec.json.decode(answer.content, type=_Answer)
                text = decoded.choices[0].message.content
                return effort.end(_judge(text == request.expected))
            await self._note_refusal(answer)
        return effort.end(outcomes.Ending.GIVEN_UP)

    async def _operate(
        self, phase: str, request: requests.Operation
    ) -> outcomes.Outcome:
        effort = self._effort(phase, 'operation, once')
        answers = []
        while self._clock.now() < effort.give_up_at:
            effort.sent += 1
            answer = await self._post(request, request.idempotency_key)
            if answer is None:
                continue
            if answer.status_code == httpx.codes.OK:
                answers.append(answer.content)
                # The second answer comes from another instance.
                if len(answers) == 2:
                    return effort.end(_judge(_same(answers, request)))
                continue
            problem = await self._note_refusal(answer)
            if problem.outcome == 'unknown' and problem.reason not in WAITING:
                return effort.end(outcomes.Ending.UNKNOWN, problem.reason)
        return effort.end(outcomes.Ending.GIVEN_UP)

    async def _stream(
        self, phase: str, request: requests.Completion, cut_after: int
    ) -> outcomes.Outcome:
        effort = self._effort(phase, 'model, streamed')
        while self._clock.now() < effort.give_up_at:
            effort.sent += 1
            text = await self._read_stream(request, effort, cut_after)
            if text.whole:
                return effort.end(_judge(text.text == request.expected))
            cut_after = 0
            await anyio.sleep(PAUSE_SECONDS)
        return effort.end(outcomes.Ending.GIVEN_UP)

    async def _read_stream(
        self,
        request: requests.Completion,
        effort: _Effort,
        cut_after: int,
    ) -> events.StreamText:
        text = events.StreamText()
        began = self._clock.now()
        stream_id = await self._begin(request, text, began, cut_after)
        while stream_id and not text.whole and text.problem is None:
            effort.resumed += 1
            if not await self._resume(request, stream_id, text):
                break
        if text.problem is not None:
            self._tally.refused(text.problem.reason)
        return text

    async def _begin(
        self,
        request: requests.Completion,
        text: events.StreamText,
        began: float,
        cut_after: int,
    ) -> str:
        """Send a request and read until its connection ends.

        :return: the stream's id, or nothing when no stream began.
        """
        stream_id = ''
        try:
            async with self._http.stream(
                'POST',
                self._next_url() + request.path,
                content=request.body,
                headers=_headers(request, ''),
                timeout=SILENCE_SECONDS,
            ) as answer:
                if answer.status_code != httpx.codes.OK:
                    await answer.aread()
                    await self._note_refusal(answer)
                    return ''
                stream_id = answer.headers.get('x-stream-id', '')
                lines = self._timed(answer.aiter_lines(), began, cut_after)
                await text.read(lines)
        except httpx.HTTPError as error:
            self._tally.refused(_name(error))
        return stream_id

    async def _resume(
        self,
        request: requests.Completion,
        stream_id: str,
        text: events.StreamText,
    ) -> bool:
        """Read a stream on at the next instance.

        :return: whether the stream could be found.
        """
        headers = _headers(request, '')
        if text.last_event >= 0:
            headers['last-event-id'] = str(text.last_event)
        url = f'{self._next_url()}/v1/streams/{stream_id}'
        try:
            async with self._http.stream(
                'GET', url, headers=headers, timeout=SILENCE_SECONDS
            ) as answer:
                if answer.status_code != httpx.codes.OK:
                    await answer.aread()
                    await self._note_refusal(answer)
                    return False
                await text.read(answer.aiter_lines())
        except httpx.HTTPError as error:
            self._tally.refused(_name(error))
        return True

    async def _timed(
        self, lines: abc.AsyncIterator[str], began: float, cut_after: int
    ) -> abc.AsyncIterator[str]:
        seen = 0
        async for line in lines:
            if line.startswith('data:'):
                seen += 1
                if seen == 1:
                    self._tally.first_token(self._clock.now() - began)
            yield line
            if cut_after and seen >= cut_after and not line:
                return

    async def _post(
        self, request: requests.Request, idempotency_key: str
    ) -> httpx.Response | None:
        try:
            return await self._http.post(
                self._next_url() + request.path,
                content=request.body,
                headers=_headers(request, idempotency_key),
            )
        except httpx.HTTPError as error:
            self._tally.refused(_name(error))
            await anyio.sleep(PAUSE_SECONDS)
            return None

    async def _note_refusal(self, answer: httpx.Response) -> events.Problem:
        problem = events.parse_problem(answer.content)
        self._tally.refused(problem.reason)
        given = answer.headers.get('retry-after', '')
        pause = float(given) if given.isdecimal() else PAUSE_SECONDS
        await anyio.sleep(min(max(pause, PAUSE_SECONDS), MAX_PAUSE_SECONDS))
        return problem

    def _next_url(self) -> str:
        urls = self._urls()
        self._turn += 1
        return urls[self._turn % len(urls)]


def _headers(
    request: requests.Request, idempotency_key: str
) -> dict[str, str]:
    headers = {
        'authorization': f'Bearer {request.key}',
        'content-type': 'application/json',
        'x-timeout-seconds': str(int(TIMEOUT_SECONDS)),
    }
    if idempotency_key:
        headers['idempotency-key'] = idempotency_key
    return headers


def _same(answers: list[bytes], request: requests.Operation) -> bool:
    echo = msgspec.json.decode(answers[0], type=_Echo)
    return (
        answers[0] == answers[1]
        and echo.path == request.service_path
        and echo.body_digest == request.digest
        and echo.run == 1
    )


def _judge(correct: bool) -> outcomes.Ending:
    return outcomes.Ending.CORRECT if correct else outcomes.Ending.WRONG


def _name(error: httpx.HTTPError) -> str:
    return f'connection: {type(error).__name__}'

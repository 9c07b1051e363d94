"""A caller that retries safely and on another instance each time."""

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

TOTAL_TIMEOUT_SECONDS: typing.Final = 25.0
RETRY_PAUSE_SECONDS: typing.Final = 0.25
MAX_RETRY_PAUSE_SECONDS: typing.Final = 2.0
REQUEST_TIMEOUT_SECONDS: typing.Final = 20.0
# A failed host does not close its connections; the caller has to time out.
IDLE_TIMEOUT_SECONDS: typing.Final = 3.0
# A later request with the same key can still get the answer after these.
PENDING_REASONS: typing.Final = frozenset({'key_running'})


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
class _Progress:
    """The progress of one request over all its attempts."""

    phase: str
    kind: str
    deadline: float
    sent: int = 0
    resumed: int = 0

    def end(
        self, ending: outcomes.Ending, detail: str = ''
    ) -> outcomes.Outcome:
        """Return the outcome with this ending."""
        return outcomes.Outcome(
            self.phase, self.kind, ending, self.sent, self.resumed, detail
        )


class Caller:
    """Sends requests to the instances in round-robin order."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        urls: abc.Callable[[], tuple[str, ...]],
        tally: outcomes.Tally,
        clock: clocks.Clock,
    ) -> None:
        """Create a caller.

        :param urls: returns the URLs of the instances behind the load
            balancer, which may include a failed one.
        """
        self._http = http
        self._urls = urls
        self._tally = tally
        self._clock = clock
        self._requests_sent = 0

    async def call(
        self, phase: str, request: requests.Request, cut_after: int = 0
    ) -> None:
        """Send a request until it ends and add its outcome to the tally.

        :param cut_after: close the first connection of a stream after this
            many events, as if a phone lost its network; zero for never.
        """
        match request:
            case requests.Completion(stream=True):
                outcome = await self._call_streaming(phase, request, cut_after)
            case requests.Completion():
                outcome = await self._call_model(phase, request)
            case requests.Operation():
                outcome = await self._call_service(phase, request)
        self._tally.add(outcome)

    def _start(self, phase: str, kind: str) -> _Progress:
        return _Progress(
            phase, kind, self._clock.now() + TOTAL_TIMEOUT_SECONDS
        )

    async def _call_model(
        self, phase: str, request: requests.Completion
    ) -> outcomes.Outcome:
        progress = self._start(phase, 'model, JSON')
        while self._clock.now() < progress.deadline:
            progress.sent += 1
            answer = await self._post(request, '')
            if answer is None:
                continue
            if answer.status_code == httpx.codes.OK:
                decoded = msgspec.json.decode(answer.content, type=_Answer)
                text = decoded.choices[0].message.content
                return progress.end(_ending(text == request.expected))
            await self._on_error_reply(answer)
        return progress.end(outcomes.Ending.GIVEN_UP)

    async def _call_service(
        self, phase: str, request: requests.Operation
    ) -> outcomes.Outcome:
        progress = self._start(phase, 'operation, once')
        answers = []
        while self._clock.now() < progress.deadline:
            progress.sent += 1
            answer = await self._post(request, request.idempotency_key)
            if answer is None:
                continue
            if answer.status_code == httpx.codes.OK:
                answers.append(answer.content)
                # The request is sent again to check that another instance
                # returns the stored answer.
                if len(answers) == 2:
                    return progress.end(
                        _ending(_replayed_correctly(answers, request))
                    )
                continue
            problem = await self._on_error_reply(answer)
            if (
                problem.outcome == 'unknown'
                and problem.reason not in PENDING_REASONS
            ):
                return progress.end(outcomes.Ending.UNKNOWN, problem.reason)
        return progress.end(outcomes.Ending.GIVEN_UP)

    async def _call_streaming(
        self, phase: str, request: requests.Completion, cut_after: int
    ) -> outcomes.Outcome:
        progress = self._start(phase, 'model, streamed')
        while self._clock.now() < progress.deadline:
            progress.sent += 1
            text = await self._read_and_resume(request, progress, cut_after)
            if text.complete:
                return progress.end(_ending(text.text == request.expected))
            cut_after = 0
            await anyio.sleep(RETRY_PAUSE_SECONDS)
        return progress.end(outcomes.Ending.GIVEN_UP)

    async def _read_and_resume(
        self,
        request: requests.Completion,
        progress: _Progress,
        cut_after: int,
    ) -> events.StreamText:
        text = events.StreamText()
        start_time = self._clock.now()
        stream_id = await self._open_stream(
            request, text, start_time, cut_after
        )
        while stream_id and not text.complete and text.problem is None:
            progress.resumed += 1
            if not await self._resume_stream(request, stream_id, text):
                break
        if text.problem is not None:
            self._tally.record_error(text.problem.reason)
        return text

    async def _open_stream(
        self,
        request: requests.Completion,
        text: events.StreamText,
        start_time: float,
        cut_after: int,
    ) -> str:
        """Send a request and read its stream until the connection ends.

        :return: the stream's id, or an empty string if no stream began.
        """
        stream_id = ''
        try:
            async with self._http.stream(
                'POST',
                self._next_url() + request.path,
                content=request.body,
                headers=_headers(request, ''),
                timeout=IDLE_TIMEOUT_SECONDS,
            ) as answer:
                if answer.status_code != httpx.codes.OK:
                    await answer.aread()
                    await self._on_error_reply(answer)
                    return ''
                stream_id = answer.headers.get('x-stream-id', '')
                lines = self._watch_lines(
                    answer.aiter_lines(), start_time, cut_after
                )
                await text.read(lines)
        except httpx.HTTPError as error:
            self._tally.record_error(_error_name(error))
        return stream_id

    async def _resume_stream(
        self,
        request: requests.Completion,
        stream_id: str,
        text: events.StreamText,
    ) -> bool:
        """Resume a stream at the next instance.

        :return: whether to go on resuming: the stream was found or the
            connection failed.
        """
        headers = _headers(request, '')
        if text.last_event >= 0:
            headers['last-event-id'] = str(text.last_event)
        url = f'{self._next_url()}/v1/streams/{stream_id}'
        try:
            async with self._http.stream(
                'GET', url, headers=headers, timeout=IDLE_TIMEOUT_SECONDS
            ) as answer:
                if answer.status_code != httpx.codes.OK:
                    await answer.aread()
                    await self._on_error_reply(answer)
                    return False
                await text.read(answer.aiter_lines())
        except httpx.HTTPError as error:
            self._tally.record_error(_error_name(error))
        return True

    async def _watch_lines(
        self, lines: abc.AsyncIterator[str], start_time: float, cut_after: int
    ) -> abc.AsyncIterator[str]:
        event_count = 0
        async for line in lines:
            if line.startswith('data:'):
                event_count += 1
                if event_count == 1:
                    self._tally.record_first_token(
                        self._clock.now() - start_time
                    )
            yield line
            if cut_after and event_count >= cut_after and not line:
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
            self._tally.record_error(_error_name(error))
            await anyio.sleep(RETRY_PAUSE_SECONDS)
            return None

    async def _on_error_reply(self, answer: httpx.Response) -> events.Problem:
        problem = events.parse_problem(answer.content)
        self._tally.record_error(problem.reason)
        retry_after = answer.headers.get('retry-after', '')
        pause = (
            float(retry_after)
            if retry_after.isdecimal()
            else RETRY_PAUSE_SECONDS
        )
        await anyio.sleep(
            min(max(pause, RETRY_PAUSE_SECONDS), MAX_RETRY_PAUSE_SECONDS)
        )
        return problem

    def _next_url(self) -> str:
        urls = self._urls()
        self._requests_sent += 1
        return urls[self._requests_sent % len(urls)]


def _headers(
    request: requests.Request, idempotency_key: str
) -> dict[str, str]:
    headers = {
        'authorization': f'Bearer {request.key}',
        'content-type': 'application/json',
        'x-timeout-seconds': str(int(REQUEST_TIMEOUT_SECONDS)),
    }
    if idempotency_key:
        headers['idempotency-key'] = idempotency_key
    return headers


def _replayed_correctly(
    answers: list[bytes], request: requests.Operation
) -> bool:
    echo = msgspec.json.decode(answers[0], type=_Echo)
    return (
        answers[0] == answers[1]
        and echo.path == request.service_path
        and echo.body_digest == request.digest
        and echo.run == 1
    )


def _ending(correct: bool) -> outcomes.Ending:
    return outcomes.Ending.CORRECT if correct else outcomes.Ending.WRONG


def _error_name(error: httpx.HTTPError) -> str:
    return f'connection: {type(error).__name__}'

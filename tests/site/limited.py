"""Callers of servers that limit their requests, and what servers got."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import processes
    from . import server as servers

__all__ = [
    'Call',
    'Callers',
    'allowed',
    'arrivals_since',
    'most_in_window',
    'wait_until',
]

# The users' bound: requests of all instances together in any such window.
WINDOW_SECONDS: typing.Final = 4.0
WINDOW_SHARE: typing.Final = 1.5
WINDOW_SLACK: typing.Final = 5
_POLL_SECONDS: typing.Final = 0.02


class Call(typing.NamedTuple):
    """A caller's request; status zero stands for no answer."""

    instance: int
    sent_at: float
    seconds: float
    status: int
    complete: bool
    retry_after: float

    @property
    def served(self) -> bool:
        """Whether the caller got a complete answer of a server."""
        return self.status == 200 and self.complete


class Callers:
    """Sends requests to instances at a steady rate until cancelled."""

    def __init__(
        self, target: str = '/plain/x', method: str = 'GET', model: str = ''
    ) -> None:
        self.calls: list[Call] = []
        self._target = target
        self._method = method
        self._model = model
        self._numbers = itertools.count()

    async def send(
        self, number: int, instance: processes.Instance, timeout: float = 8.0
    ) -> Call:
        """Send one request to the instance with a number."""
        attempt = f'{self._model}{self._target}{next(self._numbers)}'
        attempt = attempt.replace('/', '-')
        sent_at = time.monotonic()
        status, complete, retry_after = 0, False, 0.0
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(timeout):
                answer = await instance.call(
                    self._target, attempt, self._method, self._model
                )
            status, complete = answer.status, answer.complete
            retry_after = float(answer.headers.get('retry-after', '0'))
        seconds = time.monotonic() - sent_at
        call = Call(number, sent_at, seconds, status, complete, retry_after)
        self.calls.append(call)
        return call

    async def keep_sending(
        self, number: int, instance: processes.Instance, rate: float
    ) -> None:
        """Send requests at a rate per second, whatever the answers."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.send(number, instance))
                await asyncio.sleep(1.0 / rate)

    @contextlib.asynccontextmanager
    async def at(
        self,
        instances: abc.Iterable[processes.Instance],
        rate: float,
        first: int = 0,
    ) -> abc.AsyncIterator[None]:
        """Keep sending to each instance at a rate within the context.

        :param first: the number of the first of these instances.
        """
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self.keep_sending(number, instance, rate))
                for number, instance in enumerate(instances, first)
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()

    def since(self, at: float) -> list[Call]:
        """Return the calls that were sent since a time."""
        return [call for call in self.calls if call.sent_at >= at]


def allowed(rate: float) -> float:
    """Return the requests in a window that a limit allows."""
    return rate * WINDOW_SECONDS * WINDOW_SHARE + WINDOW_SLACK


def most_in_window(times: abc.Iterable[float], since: float) -> int:
    """Return the most requests in any window, counted from a time on."""
    window: list[float] = []
    most = 0
    for at in sorted(item for item in times if item >= since):
        window.append(at)
        while at - window[0] > WINDOW_SECONDS:
            window.pop(0)
        most = max(most, len(window))
    return most


async def wait_until(
    condition: abc.Callable[[], bool], seconds: float = 30.0
) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it does not for long.
    """
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(_POLL_SECONDS)


def arrivals_since(server: servers.Server, since: float) -> int:
    """Return how many requests a server got since a time."""
    return sum(at >= since for at in server.arrivals)

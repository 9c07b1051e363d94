"""Runs the application for the requests of a connection."""

from __future__ import annotations

import asyncio
import collections
import functools
import typing

from hypercorn.asyncio import task_group

if typing.TYPE_CHECKING:
    from collections import abc

    from hypercorn import config as hypercorn_config
    from hypercorn import typing as hypercorn_typing

__all__ = ['AppTasks', 'run_app']

# Parts of a body that wait for the application.
MAX_MESSAGES: typing.Final = 2

_Message = typing.Any


class _MessageQueue:
    """The messages of one request until the application receives them.

    The last one tells of the disconnect. It is always taken, and so is
    everything after it, which nobody receives.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: collections.deque[_Message] = collections.deque()
        self._closed = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()

    async def put(self, message: _Message) -> None:
        """Add a message; waits while there are too many."""
        if message['type'] == 'http.disconnect':
            self._closed = True
            self._writable.set()
        else:
            while len(self._messages) >= self._limit and not self._closed:
                self._writable.clear()
                await self._writable.wait()
            if self._closed:
                return
        self._messages.append(message)
        self._readable.set()

    async def get(self) -> _Message:
        """Return the next message; waits for it."""
        while not self._messages:
            self._readable.clear()
            await self._readable.wait()
        self._writable.set()
        return self._messages.popleft()


async def run_app(
    app: hypercorn_typing.AppWrapper,
    config: hypercorn_config.Config,
    scope: hypercorn_typing.Scope,
    receive: abc.Callable[[], abc.Awaitable[_Message]],
    send: abc.Callable[[_Message], abc.Awaitable[None]],
) -> None:
    """Run the application for one request, then end its answer."""
    loop = asyncio.get_running_loop()
    spawn = functools.partial(loop.run_in_executor, None)
    try:
        await app(scope, receive, send, spawn, loop.call_soon_threadsafe)
    except asyncio.CancelledError:
        raise
    except Exception:
        await config.log.exception('Error in ASGI Framework')
    finally:
        await send(None)


class AppTasks(task_group.TaskGroup):
    """The tasks of a connection.

    In hypercorn's, a queue of messages that the application has left full
    blocks the end of the request, so that its connection is never closed.
    """

    async def spawn_app(
        self,
        app: hypercorn_typing.AppWrapper,
        config: hypercorn_config.Config,
        scope: hypercorn_typing.Scope,
        send: abc.Callable[[_Message], abc.Awaitable[None]],
    ) -> abc.Callable[[_Message], abc.Awaitable[None]]:
        """Start the application; returns what passes messages to it."""
        queue = _MessageQueue(MAX_MESSAGES)
        self.spawn(run_app, app, config, scope, queue.get, send)
        return queue.put

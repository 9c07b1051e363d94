"""Peers on loopback sockets for tests."""

from __future__ import annotations

import contextlib
import random
import typing

import anyio

from dogwoodquay import clock
from dogwoodquay.wire import api
from dogwoodquay.wire import peers
from dogwoodquay.wire import settings

if typing.TYPE_CHECKING:
    from collections import abc

SECRET = b'a secret of the tests'


class Echo(api.Message, frozen=True, tag='test.echo'):
    """A message whose handler returns it as the answer."""

    text: str
    data: bytes = b''


class Count(api.Message, frozen=True, tag='test.count'):
    """Requests a stream of ``Echo`` messages."""

    stop_at: int
    fail_at: int = -1


def make_settings(name: str, **changes: typing.Any) -> settings.WireSettings:
    """Return settings with short timeouts."""
    values: dict[str, typing.Any] = {
        'secrets': (SECRET,),
        'handshake_seconds': 1.0,
        'backoff_seconds': 0.01,
        'backoff_max_seconds': 0.05,
    }
    values.update(changes)
    return settings.WireSettings(name, '127.0.0.1', 0, **values)


def make_peer(name: str, **changes: typing.Any) -> peers.Peers:
    """Return an instance of ``Peers`` that is not running yet."""
    return peers.Peers(
        make_settings(name, **changes),
        clock.SystemClock(),
        random.Random(name),
    )


@contextlib.asynccontextmanager
async def running(*subjects: peers.Peers) -> abc.AsyncIterator[None]:
    """Run several instances of ``Peers``."""
    async with contextlib.AsyncExitStack() as stack:
        for subject in subjects:
            await stack.enter_async_context(subject.running())
        yield


def new_deadline() -> float:
    """Return a deadline in 5 s, long enough for calls to succeed."""
    return clock.SystemClock().now() + 5.0


async def wait_until(condition: abc.Callable[[], bool]) -> None:
    """Wait for a condition; fail if it is not true within 10 s."""
    with anyio.fail_after(10.0):
        while not condition():
            await anyio.sleep(0.005)

"""Repeats reads that get no answer while they still wait for it."""

from __future__ import annotations

import typing

import anyio

from ..external import api as external_api
from . import store_api

if typing.TYPE_CHECKING:
    from collections import abc

    import expression

    _Page = expression.Result[store_api.Records, store_api.StoreError]
    # Reads once; calls the function when the answer begins.
    _Read = abc.Callable[[abc.Callable[[], None]], abc.Awaitable[_Page]]

__all__ = ['read_repeatedly']

# Reads that wait for an answer at the same time.
MAX_READS: typing.Final = 3


class _Attempts:
    """The reads in progress and the answer that ends them."""

    def __init__(self) -> None:
        self.running = 0
        self.answer: _Page | None = None
        self.progress = anyio.Event()


async def read_repeatedly(
    read: _Read,
    patience_seconds: float,
    on_begin: abc.Callable[[], None],
) -> _Page:
    """Return the first answer to a read, which is begun again while silent.

    A connection may fall silent without an error, and so delay its read until
    a timeout. Another one is begun beside it, on another connection. No read
    is added once an answer has begun, however long it takes.

    :param patience_seconds: how long no answer of a read may begin.
    :param on_begin: called as the first answer begins.
    """
    attempts = _Attempts()
    begun = anyio.Event()

    def on_any_begin() -> None:
        if not begun.is_set():
            on_begin()
        begun.set()
        attempts.progress.set()

    async def run() -> None:
        try:
            answer = await read(on_any_begin)
        finally:
            attempts.running -= 1
        answered = answer.is_ok() or isinstance(
            answer.error, external_api.Trimmed | store_api.Restored
        )
        if answered or not attempts.running:
            attempts.answer = answer
            group.cancel_scope.cancel()
        attempts.progress.set()

    async with anyio.create_task_group() as group:
        for _ in range(MAX_READS):
            attempts.running += 1
            attempts.progress = anyio.Event()
            group.start_soon(run)
            with anyio.move_on_after(patience_seconds):
                await attempts.progress.wait()
            if begun.is_set():
                break
    assert attempts.answer is not None
    return attempts.answer

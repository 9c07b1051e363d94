"""Awaitables that are run until they first wait and finished later.

A step is one read of a body's next chunk. Starting it directly, without a
task, returns a chunk that is already available with no switch to the event
loop.
"""

from __future__ import annotations

import types
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['PendingStep', 'start']


class _Cancelled(Exception):
    """Thrown into a pending step to cancel it."""


class PendingStep(typing.NamedTuple):
    """A started step and the object that it waits for."""

    step: abc.Generator[typing.Any, typing.Any, bytes]
    awaited: typing.Any

    async def finish(self) -> bytes:
        """Run the step to its end and return its result."""
        return await _resume(self.step, self.awaited)

    async def cancel(self) -> None:
        """Cancel the step."""
        try:
            await _throw(self.step, _Cancelled())
        except _Cancelled:
            return


def start(step: typing.Awaitable[bytes]) -> bytes | PendingStep:
    """Run a step until it waits; return its result if it does not wait."""
    running = step.__await__()
    try:
        awaited = running.send(None)
    except StopIteration as ended:
        return typing.cast('bytes', ended.value)
    return PendingStep(running, awaited)


@types.coroutine
def _resume(
    step: abc.Generator[typing.Any, typing.Any, bytes], awaited: typing.Any
) -> abc.Generator[typing.Any, typing.Any, bytes]:
    try:
        while True:
            try:
                value = yield awaited
            except BaseException as error:
                awaited = step.throw(error)
            else:
                awaited = step.send(value)
    except StopIteration as ended:
        return typing.cast('bytes', ended.value)


@types.coroutine
def _throw(
    step: abc.Generator[typing.Any, typing.Any, bytes], error: Exception
) -> abc.Generator[typing.Any, typing.Any, bytes]:
    try:
        awaited = step.throw(error)
    except StopIteration as ended:
        return typing.cast('bytes', ended.value)
    return (yield from _resume(step, awaited))

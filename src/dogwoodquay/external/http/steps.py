"""Steps of a body that are begun at once and ended later."""

from __future__ import annotations

import types
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Waiting', 'start']


class _Abandoned(Exception):
    """Ends a step whose result nobody wants."""


class Waiting(typing.NamedTuple):
    """A step that was begun and waits for something."""

    step: abc.Generator[typing.Any, typing.Any, bytes]
    awaited: typing.Any

    async def finish(self) -> bytes:
        """Run the step to its end."""
        return await _resume(self.step, self.awaited)

    async def abandon(self) -> None:
        """End the step where it is."""
        try:
            await _throw(self.step, _Abandoned())
        except _Abandoned:
            return


def start(step: typing.Awaitable[bytes]) -> bytes | Waiting:
    """Run a step until it waits or has its result."""
    running = step.__await__()
    try:
        awaited = running.send(None)
    except StopIteration as ended:
        return typing.cast('bytes', ended.value)
    return Waiting(running, awaited)


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

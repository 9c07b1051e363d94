"""Runs a coroutine's first step at once, to find out whether it waits.

Most writes to a connection end without waiting. What only a waiting write
needs, such as a cancel scope, is then not paid for by the others.
"""

from __future__ import annotations

import types
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Coroutine', 'Waiting', 'start']

Coroutine = typing.Coroutine[typing.Any, typing.Any, None]


class Waiting(typing.NamedTuple):
    """A coroutine that was started and waits for something."""

    coroutine: Coroutine
    awaited: typing.Any

    async def finish(self) -> None:
        """Run the coroutine to its end."""
        await _resume(self.coroutine, self.awaited)


def start(coroutine: Coroutine) -> Waiting | None:
    """Run a coroutine until it waits; ``None`` when it has ended."""
    try:
        awaited = coroutine.send(None)
    except StopIteration:
        return None
    return Waiting(coroutine, awaited)


@types.coroutine
def _resume(
    coroutine: Coroutine, awaited: typing.Any
) -> abc.Generator[typing.Any, typing.Any, None]:
    try:
        while True:
            try:
                value = yield awaited
            except BaseException as error:
                awaited = coroutine.throw(error)
            else:
                awaited = coroutine.send(value)
    except StopIteration:
        return

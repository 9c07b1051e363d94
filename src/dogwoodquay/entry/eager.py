"""Starts coroutines eagerly, up to the first point where they suspend.

Most writes to a connection complete without suspending. They are spared the
cost of a cancel scope, which only a suspended write needs.
"""

from __future__ import annotations

import types
import typing

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Coroutine', 'Suspended', 'start']

Coroutine = typing.Coroutine[typing.Any, typing.Any, None]


class Suspended(typing.NamedTuple):
    """A started coroutine and the awaitable on which it is suspended."""

    coroutine: Coroutine
    awaited: typing.Any

    async def finish(self) -> None:
        """Run the coroutine to completion."""
        await _resume(self.coroutine, self.awaited)


def start(coroutine: Coroutine) -> Suspended | None:
    """Run a coroutine until it suspends; return ``None`` if it completed."""
    try:
        awaited = coroutine.send(None)
    except StopIteration:
        return None
    return Suspended(coroutine, awaited)


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

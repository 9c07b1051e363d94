"""Detects callers that disconnect while their request is in flight.

All watches share one task group: a group for each request would cost a fifth
of the time that a request takes in this process. A watch ends by itself, as
the server reports a disconnect at the end of every exchange too.
"""

from __future__ import annotations

import typing

import anyio

from ..observe import logs

if typing.TYPE_CHECKING:
    import anyio.abc

    from . import asgi

__all__ = ['DisconnectWatcher']

_DisconnectCallback = typing.Callable[[], None]

_LOG: typing.Final = logs.ComponentLog('entry')


class DisconnectWatcher:
    """Watches connections for disconnects while ``run`` is running."""

    def __init__(self) -> None:
        self._group: anyio.abc.TaskGroup | None = None
        self._pending: list[tuple[asgi.Request, _DisconnectCallback]] = []

    def watch(
        self, request: asgi.Request, on_disconnect: _DisconnectCallback
    ) -> None:
        """Call back on a disconnect or at the end of the exchange."""
        if self._group is None:
            self._pending.append((request, on_disconnect))
        else:
            self._group.start_soon(_watch, request, on_disconnect)

    async def run(self) -> None:
        """Run the watches until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            pending, self._pending = self._pending, []
            for request, on_disconnect in pending:
                group.start_soon(_watch, request, on_disconnect)
            try:
                await anyio.sleep_forever()
            finally:
                self._group = None


async def _watch(
    request: asgi.Request, on_disconnect: _DisconnectCallback
) -> None:
    try:
        await request.wait_disconnected()
        on_disconnect()
    except Exception as error:
        _LOG.failure('watch', error)

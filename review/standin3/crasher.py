"""A plain server that crashes on one request and starts under its id."""

from __future__ import annotations

import asyncio
import time
import typing

from tests.site import http
from tests.site import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

    from tests.site import store as stores


class Crasher(servers.Server):
    """A server that ends when it begins to run the deadly body.

    It is back after ``down_seconds``, under the id that it had.
    """

    def __init__(
        self,
        store: stores.Store,
        server_id: str,
        deadly: bytes,
        down_seconds: float,
        log: abc.Callable[[str], None],
    ) -> None:
        super().__init__(store, server_id, 'desk', slots=16)
        self.deadly_runs: list[float] = []
        self.crashes: list[float] = []
        self._deadly = deadly
        self._down_seconds = down_seconds
        self._log = log
        self._born = int(time.time() * 1000)
        self._restart: asyncio.Task[None] | None = None

    def register(
        self, state: str = 'ready', reports: int | None = None, **more: int
    ) -> None:
        """Write the entry with the start of the process."""
        super().register(state, reports, **{'born': self._born, **more})

    async def _handle(self, request: http.Request) -> http.Answer | None:
        if not self._deadly or request.body != self._deadly:
            return await super()._handle(request)
        if request.headers.get('expect-instance', self._id) != self._id:
            return await super()._handle(request)
        attempt = request.headers['attempt-id']
        self.deadly_runs.append(time.monotonic())
        self._log(f'{self._id} begins to run {attempt} and crashes')
        await asyncio.sleep(0.02)
        self.crash()
        raise ConnectionResetError

    def crash(self) -> None:
        """End without a word: all connections break."""
        if self._restart is not None:
            return
        self.crashes.append(time.monotonic())
        self.listed = False
        self.http.stop()
        self._restart = asyncio.ensure_future(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(self._down_seconds)
        self._born = int(time.time() * 1000)
        self._reports = 0
        self.listed = True
        await self.start()
        self._log(f'{self._id} is back, born {self._born}')
        self._restart = None

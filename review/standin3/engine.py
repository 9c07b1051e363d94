"""A model server that crashes and starts again, empty, under its id."""

from __future__ import annotations

import asyncio
import time
import typing

from tests.site import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

    from tests.site import store as stores

# Three status report intervals, after which the store removes an entry.
_LAPSE_SECONDS: typing.Final = 3.6


class Engine(servers.Server):
    """An engine whose entry tells when its process was started."""

    def __init__(
        self,
        store: stores.Store,
        server_id: str,
        log: abc.Callable[[str], None],
        *models: str,
        **more: typing.Any,
    ) -> None:
        super().__init__(store, server_id, 'engines', *models, **more)
        self._log = log
        self._born = int(time.time() * 1000)

    def register(
        self, state: str = 'ready', reports: int | None = None, **more: int
    ) -> None:
        """Write the entry with the start of the process."""
        super().register(state, reports, **{'born': self._born, **more})

    async def crash(self, seconds: float) -> None:
        """Be down for some time; then start again, empty, with this id."""
        self._log(f'{self.server_id} crashes')
        self.listed = False
        self.http.stop()
        await asyncio.sleep(min(seconds, _LAPSE_SECONDS))
        if seconds > _LAPSE_SECONDS:
            self._store.put('keyed.servers', self.server_id, None)
            self._log(f'the entry of {self.server_id} lapses')
            await asyncio.sleep(seconds - _LAPSE_SECONDS)
        self.forget_models()
        self._born = int(time.time() * 1000)
        self._reports = 0
        await self.http.start()
        self.listed = True
        self.register()
        self._log(f'{self.server_id} is back, empty')

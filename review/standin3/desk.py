"""A plain server that takes some time for each request."""

from __future__ import annotations

import asyncio
import typing

from tests.site import http
from tests.site import server as servers

if typing.TYPE_CHECKING:
    from tests.site import store as stores


class Desk(servers.Server):
    """A plain server with ``slots`` requests at a time; others queue."""

    def __init__(
        self,
        store: stores.Store,
        server_id: str,
        slots: int,
        work_seconds: float,
    ) -> None:
        super().__init__(store, server_id, 'desk', slots=slots)
        self.tenants: dict[str, str] = {}
        self._turns = asyncio.Semaphore(slots)
        self._work_seconds = work_seconds

    async def _execute(
        self, request: http.Request, attempt: str, model: str
    ) -> http.Answer:
        self.tenants[attempt] = request.headers.get('tenant', '')
        async with self._turns:
            await asyncio.sleep(self._work_seconds)
            return await super()._execute(request, attempt, model)

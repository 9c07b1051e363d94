"""A model server with memory, late orders and restarts under its id."""

from __future__ import annotations

import asyncio
import time
import typing

from tests.site import http
from tests.site import server as servers

if typing.TYPE_CHECKING:
    from collections import abc

    from tests.site import store as stores

_LAPSE_SECONDS: typing.Final = 3.6


class Engine(servers.Server):
    """An engine that crashes if an order asks for more than it can hold.

    ``late`` names a model: the next order to load it gets no answer and is
    carried out ``late_seconds`` later, if the server has this id then. Only
    the rule's own condition counts as an overload.
    """

    def __init__(
        self,
        store: stores.Store,
        server_id: str,
        sizes: abc.Mapping[str, float],
        memory: float,
        log: abc.Callable[[str], None],
        **more: typing.Any,
    ) -> None:
        super().__init__(store, server_id, 'engines', **more)
        self.late = ''
        self.late_seconds = 0.0
        self.up = True
        self.overloads: list[str] = []
        self._sizes = sizes
        self._memory = memory
        self._log = log
        self._born = int(time.time() * 1000)
        self._late_tasks: list[asyncio.Task[None]] = []

    def register(
        self, state: str = 'ready', reports: int | None = None, **more: int
    ) -> None:
        """Write the entry with the start of the process."""
        super().register(state, reports, **{'born': self._born, **more})

    async def crash(self, seconds: float) -> None:
        """Be down for some time; then start again, empty, with this id."""
        self._log(f'{self.server_id} crashes')
        self.up = self.listed = False
        self.http.stop()
        await asyncio.sleep(min(seconds, _LAPSE_SECONDS))
        if seconds > _LAPSE_SECONDS:
            self._store.put('keyed.servers', self.server_id, None)
            self._log(f'the entry of {self.server_id} lapses')
            await asyncio.sleep(seconds - _LAPSE_SECONDS)
        self.forget_models()
        self._born = int(time.time() * 1000)
        self._reports = 0
        self._running = 0
        await self.http.start()
        self.up = self.listed = True
        self.register()
        self._log(f'{self.server_id} is back, empty')

    async def _handle(self, request: http.Request) -> http.Answer | None:
        if request.path == '/order':
            order = request.json()
            if order['Operation'] == 'load' and order['Model'] == self.late:
                self.late = ''
                self._log(f'order gets no answer, carried out later: {order}')
                self._late_tasks.append(
                    asyncio.create_task(self._carry_out(order))
                )
                return None
        return await super()._handle(request)

    async def _carry_out(self, order: dict[str, typing.Any]) -> None:
        await asyncio.sleep(self.late_seconds)
        if self.up:
            self._log(f'a late order arrives: {order}')
            self._order(order)

    def _order(self, order: dict[str, typing.Any]) -> http.Answer:
        contents = self._contents
        before = {*contents.models, contents.loading} - {''}
        answer = super()._order(order)
        after = {*contents.models, contents.loading} - {''}
        self._log(
            f'order {order["Operation"]} {order["Model"]} Expect '
            f'{order.get("Expect")} fence {order["FencingToken"]}: '
            f'{answer.status}, holds {sorted(after)}'
        )
        used = sum(self._sizes[name] for name in after)
        if after != before and used > self._memory:
            self.overloads.append(f'{sorted(after)}: {used} of {self._memory}')
            self._log(f'LIMIT: {self.overloads[-1]} MB')
            self._late_tasks.append(asyncio.create_task(self.crash(4.5)))
        return answer

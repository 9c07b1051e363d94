"""Servers of services: plain ones and engines."""

from __future__ import annotations

import asyncio
import json
import time
import typing

from . import store as stores
from . import web

HEARTBEAT_SECONDS = 1.2


class Run(typing.NamedTuple):
    """A request that a server has run."""

    at: float
    attempt: str
    server: str


class Order(typing.NamedTuple):
    """An order that an engine has accepted."""

    at: float
    server: str
    holder: str
    fence: int
    what: str
    status: int


class Server:
    """One server; ``models`` makes it an engine.

    It writes its entry at once when it changes, and every heartbeat.
    """

    def __init__(
        self,
        store: stores.Store,
        name: str,
        service: str,
        models: dict[str, set[str]] | None = None,
        version: str = '1',
        slots: int = 8,
    ) -> None:
        self._store = store
        self.name = name
        self.service = service
        self.version = version
        self.models = models or {}
        self._slots = slots
        self.web = web.Server(self._handle)
        self.runs: list[Run] = []
        self.orders: list[Order] = []
        self.sequence = 0
        self.accepted = 0
        self._fence = 0
        self._running = 0
        self.listed = False
        self.state = 'ready'
        self.event_seconds = 0.1
        self.events = 30
        self._beat: asyncio.Task | None = None
        self.note: typing.Callable[[str], None] = lambda _: None

    async def start(self) -> None:
        await self.web.start()
        self.write_entry()
        self._beat = asyncio.create_task(self._write_entries())

    def stop(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        self.web.stop()

    def write_entry(self, state: str = '') -> None:
        """Write the entry, unless the store is away."""
        self.state = state or self.state
        self.listed = True
        if self._store.web.away:
            return
        self.sequence += 1
        entry = {
            'Service': self.service,
            'Address': f'{web.HOST}:{self.web.port}',
            'Zone': 'zone-1',
            'Version': self.version,
            'Slots': self._slots,
            'State': self.state,
            'ColdRemainingMs': 0,
            'Sequence': self.sequence,
            'Models': self._listed_models(),
        }
        value = json.dumps(entry).encode()
        self._store.put('keyed.servers', self.name, value)

    def remove_entry(self) -> None:
        """Remove the entry; the server serves on."""
        self.listed = False
        self._store.put('keyed.servers', self.name, None)

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.listed:
                self.write_entry()

    def _listed_models(self) -> list[dict[str, typing.Any]]:
        return [
            {'Name': name, 'Version': 1, 'Adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    async def _handle(self, request: web.Request) -> web.Answer:
        if request.headers.get('expect-instance', self.name) != self.name:
            return self._not_run(421, request)
        match request.path:
            case '/report':
                return self._report()
            case '/order':
                return self._order(request.json())
            case '/healthz':
                return web.Answer(200, (('Instance-Id', self.name),))
        model, _, adapter = request.headers.get('model', '').partition('/')
        if model and (
            model not in self.models
            or (adapter and adapter not in self.models[model])
        ):
            return self._not_run(421, request)
        attempt = request.headers['attempt-id']
        self.runs.append(Run(time.monotonic(), attempt, self.name))
        last = request.headers.get('last-event-id', '')
        after = f' after event {last}' if last else ''
        self.note(f'{self.name} runs {attempt}{after}')
        headers = (
            ('Attempt-Id', attempt),
            ('Response-Stamp', f'{self.name}.{attempt}'),
            ('Server-Load', f'{self._running},0,{self._slots}'),
        )
        if model:
            last = int(request.headers.get('last-event-id', '0'))
            kind = ('Content-Type', 'text/event-stream')
            return web.Answer(200, (*headers, kind), b'', self._events(last))
        await asyncio.sleep(0.005)
        return web.Answer(200, headers, f'{self.name}\n'.encode())

    async def _events(self, last: int) -> typing.AsyncIterator[bytes]:
        self._running += 1
        try:
            for number in range(last + 1, self.events + 1):
                await asyncio.sleep(self.event_seconds)
                text = f'id: {number}\ndata: v{self.version} {self.name}\n\n'
                yield text.encode()
        finally:
            self._running -= 1

    def _not_run(self, status: int, request: web.Request) -> web.Answer:
        attempt = request.headers.get('attempt-id', '')
        headers = (('Attempt-Id', attempt), ('Not-Executed', '1'))
        return web.Answer(status, headers)

    def _report(self) -> web.Answer:
        fields = {
            'Stage': 'both',
            'Models': self._listed_models(),
            'Busy': False,
            'Sequence': self.accepted,
            'Waiting': 0,
            'Running': self._running,
            'KvUsed': 0,
            'KvTotal': 100000,
            'Handles': 0,
        }
        kind = (('Content-Type', 'application/json'),)
        return web.Answer(200, kind, json.dumps(fields).encode())

    def _order(self, order: dict[str, typing.Any]) -> web.Answer:
        """Carry out an order on an adapter; loads of models are refused."""
        status = self._carry_out(order)
        what = f'{order["Operation"]} {order["Model"]}/{order.get("Adapter")}'
        self.orders.append(
            Order(
                time.monotonic(),
                self.name,
                order['Holder'],
                order['FencingToken'],
                what,
                status,
            )
        )
        return web.Answer(status)

    def _carry_out(self, order: dict[str, typing.Any]) -> int:
        if order['FencingToken'] < self._fence:
            return 412
        self._fence = order['FencingToken']
        if order.get('Expect', self.accepted) != self.accepted:
            return 409
        adapters = self.models.get(order['Model'])
        adapter = order.get('Adapter')
        if adapters is None or not adapter:
            return 400
        self.accepted += 1
        if order['Operation'] == 'load':
            adapters.add(adapter)
            return 202
        adapters.discard(adapter)
        return 200

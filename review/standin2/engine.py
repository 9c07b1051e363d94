"""A sound model server that keeps to PROTOCOL.md.

``Engine`` stands for a server at one address under one id. ``crash`` ends its
process and ``start`` begins a new one, which holds and knows nothing of
before; its disk is kept. Orders that the trouble holds up get no answer, and
are carried out later by the process that has the id then, if it takes them.
"""

from __future__ import annotations

import asyncio
import time
import typing

import deployment
from tests.site import http
from tests.site import store as stores

EVENTS = 5
EVENT_SECONDS = 0.03


class Engine:
    """One model server.

    ``on_event`` is called with a line for each thing that happens to it.
    """

    def __init__(
        self,
        store: stores.Store,
        server_id: str,
        service: str,
        weights: dict[str, float],
        capacity: float,
        max_adapters: int,
        placed: tuple[str, ...],
        on_event: typing.Callable[[str], None],
        slots: int = 64,
        version: str = 'v1',
    ) -> None:
        self.id = server_id
        self._store = store
        self._service = service
        self._weights = weights
        self._capacity = capacity
        self._max_adapters = max_adapters
        self._log = on_event
        self._slots = slots
        self._version = version
        self.disk: set[str] = set()
        self.overcommitted: list[str] = []
        self.orders_seen = 0
        self.hold_load_adapters = 0
        self.hold_seconds = 0.0
        self.on_held: typing.Callable[[], None] = lambda: None
        self.events = EVENTS
        self.event_seconds = EVENT_SECONDS
        self.running = 0
        self.runs: list[tuple[float, str]] = []
        self.http = http.HttpServer(self._handle)
        self._reports = 0
        self.alive = False
        self._begin(placed)

    def _begin(self, placed: tuple[str, ...]) -> None:
        """Begin a process that holds the given models."""
        self.models: dict[str, set[str]] = {name: set() for name in placed}
        self.disk.update(placed)
        self.coming: dict[tuple[str, str], float] = {}
        self.loading = ''
        self.busy_until = 0.0
        self.sequence = 0
        self.fence = 0
        self.born = int(time.time() * 1000)
        self._reports = 0

    async def start(self, again: bool = False) -> None:
        """Start a process; one that starts again is empty."""
        if again:
            self._begin(())
        await self.http.start()
        self.alive = True
        self._log(f'{self.id} starts, born {self.born}')
        self.beat()

    def crash(self, why: str) -> None:
        """End the process without a word."""
        self.alive = False
        self.http.stop()
        self._log(f'{self.id} crashes: {why}')

    def beat(self) -> None:
        """Write the entry to the store, while the process lives."""
        if not self.alive:
            return
        self._settle()
        self._reports += 1
        self._store.put(
            'keyed.servers',
            self.id,
            {
                'Service': self._service,
                'Address': self.http.address,
                'Zone': 'zone-1',
                'Version': self._version,
                'Slots': self._slots,
                'State': 'ready',
                'ColdRemainingMs': 0,
                'Sequence': self._reports,
                'Stage': 'both',
                'Models': self._listed(),
                'born': self.born,
            },
        )

    def _listed(self) -> list[dict[str, typing.Any]]:
        return [
            {'Name': name, 'Version': 1, 'Adapters': sorted(adapters)}
            for name, adapters in self.models.items()
            if name != self.loading
        ]

    def _settle(self) -> None:
        """Complete the loads that are due."""
        now = time.monotonic()
        if self.loading and now >= self.busy_until:
            self.loading = ''
        for key, due in tuple(self.coming.items()):
            if now >= due:
                del self.coming[key]
                self.models.get(key[0], set()).add(key[1])

    def _adapters(self) -> int:
        return len(self.coming) + sum(map(len, self.models.values()))

    async def _handle(self, request: http.Request) -> http.Answer | None:
        self._settle()
        attempt = request.headers.get('attempt-id', '')
        echo = (('Attempt-Id', attempt),) if attempt else ()
        refused = (('Not-Executed', '1'), *echo)
        if request.headers.get('expect-instance', self.id) != self.id:
            return http.Answer(421, b'', refused)
        if request.path == '/report':
            return http.Answer.of(
                {
                    'Stage': 'both',
                    'Models': self._listed(),
                    'Busy': bool(self.loading),
                    'Sequence': self.sequence,
                    'Waiting': 0,
                    'Running': self.running,
                    'KvUsed': 0,
                    'KvTotal': 100000,
                    'Handles': 0,
                    'born': self.born,
                    'Coming': [f'{m}/{a}@1' for m, a in self.coming],
                    'AtHand': {'InMemory': [], 'OnDisk': sorted(self.disk)},
                }
            )
        if request.path == '/order':
            return await self._order_arrives(request.json())
        model, _, adapter = request.headers.get('model', '').partition('/')
        present = model in self.models and model != self.loading
        if not present or (adapter and adapter not in self.models[model]):
            return http.Answer(421, b'', refused)
        if self.running >= self._slots:
            return http.Answer(503, b'', refused)
        self.runs.append((time.monotonic(), attempt))
        stamp = ('Response-Stamp', f'{self.id}.{attempt}')
        kind = ('Content-Type', 'text/event-stream')
        return http.Answer(
            200, b'', (*echo, stamp, kind), self._stream(request)
        )

    async def _stream(self, request: http.Request) -> typing.Any:
        self.running += 1
        try:
            first = int(request.headers.get('last-event-id', '-1')) + 1
            for number in range(first, self.events):
                await asyncio.sleep(self.event_seconds)
                data = f'{number} {self._version}'
                yield f'id: {number}\ndata: {data}\n\n'.encode()
        finally:
            self.running -= 1

    async def _order_arrives(
        self, order: dict[str, typing.Any]
    ) -> http.Answer | None:
        self.orders_seen += 1
        loads_adapter = order['Operation'] == 'load' and 'Adapter' in order
        if self.hold_load_adapters and loads_adapter:
            self.hold_load_adapters -= 1
            self._log(f'{self.id} gets no answer out for {order}')
            asyncio.get_running_loop().call_later(
                self.hold_seconds, self._carry_out_late, order
            )
            self.on_held()
            return None
        answer = self._order(order)
        self._log(f'{self.id} answers {answer.status} to {order}')
        return answer

    def _carry_out_late(self, order: dict[str, typing.Any]) -> None:
        if not self.alive:
            self._log(f'{self.id} is down when a late order comes: {order}')
            return
        self._settle()
        answer = self._order(order)
        self._log(f'{self.id}: late order, {answer.status}: {order}')

    def _order(self, order: dict[str, typing.Any]) -> http.Answer:
        """Check an order and begin to carry it out."""
        if 'Holder' not in order or 'FencingToken' not in order:
            return http.Answer(400)
        if order['FencingToken'] < self.fence:
            return http.Answer(412)
        self.fence = order['FencingToken']
        if self.loading or order.get('Expect', self.sequence) != self.sequence:
            return http.Answer(409)
        model, adapter = order['Model'], order.get('Adapter')
        load = order['Operation'] == 'load'
        if adapter is not None:
            return self._adapter_order(model, adapter, load)
        if load == (model in self.models):
            return http.Answer(200)
        self.sequence += 1
        if not load:
            del self.models[model]
            return http.Answer(202)
        used = sum(self._weights[name] for name in self.models)
        if used + self._weights[model] > self._capacity:
            return self._overcommit(f'load {model} beside {self._listed()}')
        self.models[model] = set()
        self.loading = model
        seconds = 0.8 if model in self.disk else 4.0
        self.disk.add(model)
        self.busy_until = time.monotonic() + seconds
        return http.Answer(202)

    def _adapter_order(
        self, model: str, adapter: str, load: bool
    ) -> http.Answer:
        if model not in self.models:
            return http.Answer(400)
        present = adapter in self.models[model]
        if load == (present or (model, adapter) in self.coming):
            return http.Answer(200)
        self.sequence += 1
        if not load:
            self.models[model].discard(adapter)
            return http.Answer(200)
        if self._adapters() >= self._max_adapters:
            return self._overcommit(
                f'load adapter {model}/{adapter} beside {self._adapters()} '
                f'of {self._max_adapters}'
            )
        self.coming[model, adapter] = time.monotonic() + 0.008
        return http.Answer(202)

    def _overcommit(self, what: str) -> http.Answer:
        """Crash, as a server does that is ordered more than it holds."""
        self.overcommitted.append(what)
        self._log(f'{self.id} is ordered more than it holds: {what}')
        self.crash('out of memory')
        return http.Answer(202)


async def beat_engines(engines: list[Engine]) -> None:
    """Write the entries; those of silent servers are removed after three."""
    store = engines[0]._store
    silent = {engine.id: 0 for engine in engines}
    while True:
        await asyncio.sleep(1.2)
        for engine in engines:
            engine.beat()
            silent[engine.id] = 0 if engine.alive else silent[engine.id] + 1
            if silent[engine.id] == 3:
                store.put('keyed.servers', engine.id, None)


ROUTE = deployment.route

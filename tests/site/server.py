"""A stand-in of the platform's servers: plain servers and engines."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import time
import typing

from . import endless
from . import http

if typing.TYPE_CHECKING:
    from collections import abc

    from . import store as stores

__all__ = ['Place', 'Server', 'Silence']

_RESPONSE_STAMP: typing.Final = 'stand-in'


class Place(enum.Enum):
    """Where in its answer a server falls silent."""

    HEAD = 'head'
    BODY = 'body'
    BETWEEN_EVENTS = 'between events'
    WITHIN_EVENT = 'within an event'


class Silence(typing.NamedTuple):
    """A pause in an answer, after which the server goes on.

    In a stream it comes at the event with the number ``event``.
    """

    place: Place
    seconds: float
    event: int = 1


@dataclasses.dataclass
class _Contents:
    """The models in an engine's memory and the state of its orders.

    ``orders`` counts the accepted orders.
    """

    models: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    orders: int = 0
    fence: int = 0
    busy_until: float = 0.0
    loading: str = ''

    def finish_due_load(self) -> bool:
        """Complete a load that is due.

        :return: whether an order is still in progress.
        """
        if time.monotonic() < self.busy_until:
            return True
        if self.loading:
            self.models[self.loading] = set()
            self.loading = ''
        return False


class Server:
    """A server that replies to requests and executes orders.

    A stream has ``events`` events at intervals of ``event_seconds``.
    ``silences`` are the pauses to come, by attempt id; each happens once, and
    so do ``resets``, the places and events at which a stream is broken off,
    and ``ends``, those at which it ends as if it were complete. Answers of
    an ``unframed`` server end with their connection.
    ``endless`` is what answers send without end, ``endless_now`` how many.
    ``limit`` is the text by which answers limit the requests per second, and
    ``arrivals`` holds the times at which requests came.
    ``listed`` is whether it has an entry in the list of servers.
    ``last_headers`` are those of the last request that it ran.
    ``refusals`` are the attempts to be refused as not run, with a status; each
    happens once. A server that ``repeats_refusals`` writes the last refusal
    on a connection again before each later answer there. ``failures`` are
    attempts that fail with a status, an answer of the server itself.
    ``notices`` are headers of all its answers, and ``pause`` the text by which
    it refuses all requests, reports and orders and asks for a pause.
    Plain answers hold the body of their request if the server ``echoes``, and
    end with ``padding``.

    :param version: the version of the software, which events then carry.
    """

    def __init__(
        self,
        store: stores.Store,
        server_id: str,
        service: str,
        *models: str,
        load_seconds: float = 0.1,
        slots: int = 4,
        version: str = '',
        zone: str = 'zone-1',
    ) -> None:
        self.listed = True
        self.executed_attempts: list[str] = []
        self.last_headers: dict[str, str] = {}
        self.silences: dict[str, Silence] = {}
        self.resets: dict[str, tuple[Place, int]] = {}
        self.ends: dict[str, tuple[Place, int]] = {}
        self.unframed = False
        self.endless: endless.Kind | None = None
        self.endless_now = 0
        self.limit: str | None = None
        self.notices: tuple[tuple[str, str], ...] = ()
        self.pause: str | None = None
        self.arrivals: list[float] = []
        self.refusals: dict[str, int] = {}
        self.repeats_refusals = False
        self.repeated_refusals = 0
        self.failures: dict[str, int] = {}
        self._peer_ports: dict[str, int] = {}
        self.order_sources: list[tuple[str, int]] = []
        self.padding = b''
        self.echoes = True
        self.events = 4
        self.event_seconds = 0.01
        self._store = store
        self._id = server_id
        self._service = service
        self._state = 'ready'
        self._reports = 0
        self._load_seconds = load_seconds
        self._slots = slots
        self._version = version
        self._zone = zone
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._silent_until = 0.0
        # The last refusal on each connection, by the client's port.
        self._refused: dict[int, bytes] = {}
        self._contents = _Contents({name: set() for name in models})
        self._running = 0
        self.http = http.HttpServer(self._handle)

    @property
    def server_id(self) -> str:
        """The id in the list of servers."""
        return self._id

    @property
    def version(self) -> str:
        """The version of the software."""
        return self._version

    @property
    def models(self) -> set[str]:
        """The models in memory."""
        return set(self._contents.models)

    async def start(self) -> None:
        """Start listening and register in the store."""
        await self.http.start()
        self.register()

    def register(
        self, state: str = 'ready', reports: int | None = None, **more: int
    ) -> None:
        """Write the server's entry with a state to the store.

        :param reports: another number of reports than the server's own.
        :param more: further fields.
        """
        self._state = state
        self._reports += 1
        entry = {
            'Service': self._service,
            'Address': self.http.address,
            'Zone': self._zone,
            'Version': self._version or 'v1',
            'Slots': self._slots,
            'State': state,
            'Sequence': self._reports if reports is None else reports,
            'Models': self._models(),
            **more,
        }
        self._store.put('keyed.servers', self._id, entry)

    def end(self) -> None:
        """Stop listening; the server is no longer listed."""
        self.listed = False
        self._store.put('keyed.servers', self._id, None)
        self.http.stop()

    def forget_models(self) -> None:
        """Drop all models and orders, as a new process does."""
        self._contents = _Contents()

    def fall_silent(self, seconds: float) -> None:
        """Send nothing on any connection for some time."""
        self._silent_until = time.monotonic() + seconds

    def is_abandoned(self, attempt: str) -> bool:
        """Whether the connection of an attempt has been closed."""
        return self.http.is_closed(self._peer_ports[attempt])

    def hold(self) -> None:
        """Hold each stream after its first event from this server."""
        self._flowing.clear()

    def let_go(self) -> None:
        """Let held streams go on."""
        self._flowing.set()

    async def _wait_while_silent(self) -> None:
        while (left := self._silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    async def _pause(self, attempt: str, place: Place, event: int = 1) -> None:
        """Pause if a silence is due at this place of an answer."""
        silence = self.silences.get(attempt)
        if silence is not None and silence[::2] == (place, event):
            del self.silences[attempt]
            await asyncio.sleep(silence.seconds)
        await self._wait_while_silent()

    def _reset(self, attempt: str, place: Place, event: int) -> None:
        """Break a stream off if that is due at this place."""
        if self.resets.get(attempt) == (place, event):
            del self.resets[attempt]
            raise http.Reset

    def _ends(self, attempt: str, place: Place, event: int) -> bool:
        """Whether a stream ends early at this place."""
        if self.ends.get(attempt) != (place, event):
            return False
        del self.ends[attempt]
        return True

    def _models(self) -> list[dict[str, typing.Any]]:
        return [
            {'Name': name, 'Version': 1, 'Adapters': sorted(adapters)}
            for name, adapters in self._contents.models.items()
        ]

    async def _handle(self, request: http.Request) -> http.Answer | None:
        await self._wait_while_silent()
        if self.pause is not None:
            self.arrivals.append(time.monotonic())
            answer = self._refuse(503, request)
            after = ('Retry-After', self.pause)
            return answer._replace(headers=(*answer.headers, after))
        if request.path == '/report':
            answer = self._report()
            headers = (*answer.headers, *self.notices)
            return answer._replace(headers=headers)
        expected = request.headers.get('expect-instance', self._id)
        if expected != self._id:
            return self._refuse(421, request)
        if request.path == '/order':
            return self._order(request.json())
        self.arrivals.append(time.monotonic())
        model, _, adapter = request.headers.get('model', '').partition('/')
        self._contents.finish_due_load()
        adapters = self._contents.models.get(model)
        if model and (
            adapters is None or (adapter and adapter not in adapters)
        ):
            return self._refuse(421, request)
        attempt = request.headers['attempt-id']
        if attempt in self.refusals:
            return self._refuse_once(request, attempt)
        self.executed_attempts.append(attempt)
        self.last_headers = request.headers
        self._peer_ports[attempt] = request.peer_port
        answer = await self._execute(request, attempt, model)
        earlier = self._refused.get(request.peer_port)
        if not self.repeats_refusals or earlier is None:
            return answer
        self.repeated_refusals += 1
        return answer._replace(raw=_once(earlier))

    def _refuse_once(self, request: http.Request, attempt: str) -> http.Answer:
        """Refuse an attempt and remember the refusal's bytes."""
        answer = self._refuse(self.refusals.pop(attempt), request)
        lines = [f'HTTP/1.1 {answer.status} X']
        lines += [f'{name}: {value}' for name, value in answer.headers]
        lines += ['Content-Length: 0', '', '']
        self._refused[request.peer_port] = '\r\n'.join(lines).encode()
        return answer

    async def _execute(
        self, request: http.Request, attempt: str, model: str
    ) -> http.Answer:
        """Run a request and return its answer."""
        if self.endless is not None:
            raw = self._endless(self.endless, attempt)
            return http.Answer(raw=raw)
        headers = (
            ('Attempt-Id', attempt),
            ('Response-Stamp', _RESPONSE_STAMP),
            ('Server-Load', f'{self._running},0,{self._slots}'),
            *self._limits(),
        )
        await self._pause(attempt, Place.HEAD)
        if attempt in self.failures:
            body = b'id: 9\ndata: failed\n\n'
            return http.Answer(self.failures.pop(attempt), body, headers)
        if model:
            return http.Answer(
                200,
                b'',
                headers,
                self._stream(request),
                unframed=self.unframed,
            )
        await asyncio.sleep(0.005)
        body = f'{self._id} {request.method} {request.path} '.encode()
        if self.echoes:
            body += request.body
        body += self.padding
        pieces = self._pieces(attempt, body)
        return http.Answer(
            200, body, headers, pieces=pieces, unframed=self.unframed
        )

    async def _endless(
        self, kind: endless.Kind, attempt: str
    ) -> abc.AsyncGenerator[bytes, None]:
        self.endless_now += 1
        try:
            async for part in endless.parts(kind, attempt):
                yield part
        finally:
            self.endless_now -= 1

    async def _pieces(
        self, attempt: str, body: bytes
    ) -> abc.AsyncIterator[bytes]:
        yield body[:4]
        await self._pause(attempt, Place.BODY)
        self._reset(attempt, Place.BODY, 1)
        yield body[4:]

    async def _stream(self, request: http.Request) -> abc.AsyncIterator[bytes]:
        attempt = request.headers['attempt-id']
        self._running += 1
        try:
            first = int(request.headers.get('last-event-id', '-1')) + 1
            for number in range(first, self.events):
                await asyncio.sleep(self.event_seconds)
                if number > first:
                    await self._flowing.wait()
                await self._pause(attempt, Place.BETWEEN_EVENTS, number)
                self._reset(attempt, Place.BETWEEN_EVENTS, number)
                if self._ends(attempt, Place.BETWEEN_EVENTS, number):
                    return
                data = f'x{number} {self._version}'.rstrip()
                event = f'id: {number}\ndata: {data}\n\n'.encode()
                yield event[:8]
                await self._pause(attempt, Place.WITHIN_EVENT, number)
                self._reset(attempt, Place.WITHIN_EVENT, number)
                if self._ends(attempt, Place.WITHIN_EVENT, number):
                    return
                yield event[8:]
        finally:
            self._running -= 1

    def _refuse(self, status: int, request: http.Request) -> http.Answer:
        headers = [('Not-Executed', '1'), *self._limits()]
        if 'attempt-id' in request.headers:
            headers.append(('Attempt-Id', request.headers['attempt-id']))
        return http.Answer(status, b'', tuple(headers))

    def _limits(self) -> tuple[tuple[str, str], ...]:
        """Return the headers by which this server tells of itself."""
        if self.limit is None:
            return self.notices
        return (('Server-Limit', self.limit), *self.notices)

    def _report(self) -> http.Answer:
        contents = self._contents
        return http.Answer.of(
            {
                'Stage': 'both',
                'Busy': contents.finish_due_load(),
                'Models': self._models(),
                'Sequence': contents.orders,
                'Waiting': 0,
                'Running': self._running,
                'KvUsed': 0,
                'KvTotal': 1000,
                'AtHand': {'InMemory': [], 'OnDisk': []},
            }
        )

    def _order(self, order: dict[str, typing.Any]) -> http.Answer:
        contents = self._contents
        if order['FencingToken'] < contents.fence:
            return http.Answer(412)
        contents.fence = order['FencingToken']
        self.order_sources.append((order['Holder'], order['FencingToken']))
        if (
            contents.finish_due_load()
            or order.get('Expect', contents.orders) != contents.orders
        ):
            return http.Answer(409)
        model, adapter = order['Model'], order.get('Adapter', '')
        contents.orders += 1
        if adapter:
            adapters = contents.models[model]
            if order['Operation'] == 'load':
                adapters.add(adapter)
            else:
                adapters.discard(adapter)
            return http.Answer(202)
        contents.busy_until = time.monotonic() + self._load_seconds
        if order['Operation'] == 'load':
            contents.loading = model
        else:
            contents.models.pop(model, None)
        return http.Answer(202)


async def _once(data: bytes) -> abc.AsyncGenerator[bytes, None]:
    yield data

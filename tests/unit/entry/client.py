"""An in-memory ASGI client that can stall and disconnect."""

from __future__ import annotations

import dataclasses
import typing

import anyio

from dogwoodquay.entry import app as app_module
from dogwoodquay.entry import health
from dogwoodquay.entry import limits as limits_module
from dogwoodquay.entry import streams
from tests.unit.dispatch import fakes


@dataclasses.dataclass
class Response:
    """The response received over a connection."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    complete: bool = False


class Connection:
    """A connection for one request."""

    def __init__(self, body: bytes, parts: int = 1) -> None:
        self.response = Response()
        self.disconnected = anyio.Event()
        self.disconnect_after_bytes: int | None = None
        self.stall_after_bytes: int | None = None
        self.first_part = anyio.Event()
        size = max(1, -(-len(body) // parts))
        self._parts = [
            body[start : start + size] for start in range(0, len(body), size)
        ]

    def disconnect(self) -> None:
        self.disconnected.set()

    async def receive(self) -> typing.Any:
        if self._parts:
            part = self._parts.pop(0)
            more = bool(self._parts)
            return {'type': 'http.request', 'body': part, 'more_body': more}
        if not hasattr(self, '_end_sent'):
            self._end_sent = True
            return {'type': 'http.request', 'body': b'', 'more_body': False}
        await self.disconnected.wait()
        return {'type': 'http.disconnect'}

    async def send(self, message: typing.Any) -> None:
        await anyio.sleep(0)
        if self.disconnected.is_set():
            return
        if message['type'] == 'http.response.start':
            self.response.status = message['status']
            self.response.headers = {
                name.decode(): value.decode()
                for name, value in message['headers']
            }
            return
        if self.stall_after_bytes is not None:
            if len(self.response.body) >= self.stall_after_bytes:
                await anyio.sleep_forever()
        self.response.body += message.get('body', b'')
        self.first_part.set()
        if not message.get('more_body', False):
            self.response.complete = True
            self.disconnect()
        if self.disconnect_after_bytes is not None:
            if len(self.response.body) >= self.disconnect_after_bytes:
                self.disconnect()


class EntryHarness:
    """An entry application with a fake upstream."""

    def __init__(
        self,
        limits: limits_module.Limits | None = None,
        remote_streams: streams.RemoteStreams | None = None,
        instance_id: str = 'here',
    ) -> None:
        self.rig = fakes.Rig()
        self.limits = limits or limits_module.Limits()
        self.health = health.Health(('configuration',))
        self.streams = streams.StreamTable(
            instance_id, self.rig.clock, self.limits
        )
        self.app = app_module.EntryApp(
            self.rig.dispatcher,
            self.streams,
            lambda: self.rig.catalog,
            self.rig.clock,
            self.limits,
            self.rig.metrics,
            self.health,
            remote_streams,
        )

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        connection: Connection | None = None,
        caller: str = 'counter',
    ) -> Response:
        connection = connection or Connection(body)
        all_headers = {'authorization': f'Bearer {fakes.API_KEYS[caller]}'}
        all_headers.update(headers or {})
        raw_path, _, query = path.partition('?')
        scope = {
            'type': 'http',
            'method': method,
            'raw_path': raw_path.encode('latin-1'),
            'query_string': query.encode('latin-1'),
            'headers': [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in all_headers.items()
            ],
        }
        await self.app(scope, connection.receive, connection.send)
        return connection.response


async def run_with_background(
    harness: EntryHarness,
    scenario: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Run a test scenario with the background tasks of a harness."""
    async with anyio.create_task_group() as group:
        group.start_soon(harness.rig.dispatcher.run_background)
        group.start_soon(harness.app.run_background)
        with anyio.fail_after(30):
            await scenario()
        group.cancel_scope.cancel()

"""An ASGI client in memory that can stall, vanish and come back."""

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
class Reply:
    """What came back over a connection."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    complete: bool = False


class Connection:
    """One request; ``vanish`` cuts the connection."""

    def __init__(self, body: bytes, parts: int = 1) -> None:
        self.reply = Reply()
        self.gone = anyio.Event()
        self.vanish_after: int | None = None
        self.stall_after: int | None = None
        self.first_part = anyio.Event()
        size = max(1, -(-len(body) // parts))
        self._parts = [
            body[at : at + size] for at in range(0, len(body), size)
        ]

    def vanish(self) -> None:
        self.gone.set()

    async def receive(self) -> typing.Any:
        if self._parts:
            part = self._parts.pop(0)
            more = bool(self._parts)
            return {'type': 'http.request', 'body': part, 'more_body': more}
        if not hasattr(self, '_told'):
            self._told = True
            return {'type': 'http.request', 'body': b'', 'more_body': False}
        await self.gone.wait()
        return {'type': 'http.disconnect'}

    async def send(self, message: typing.Any) -> None:
        await anyio.sleep(0)
        if self.gone.is_set():
            return
        if message['type'] == 'http.response.start':
            self.reply.status = message['status']
            self.reply.headers = {
                name.decode(): value.decode()
                for name, value in message['headers']
            }
            return
        if self.stall_after is not None:
            if len(self.reply.body) >= self.stall_after:
                await anyio.sleep_forever()
        self.reply.body += message.get('body', b'')
        self.first_part.set()
        if not message.get('more_body', False):
            self.reply.complete = True
            self.vanish()
        if self.vanish_after is not None:
            if len(self.reply.body) >= self.vanish_after:
                self.vanish()


class Site:
    """An entry application with fakes behind it."""

    def __init__(
        self,
        limits: limits_module.Limits | None = None,
        finder: streams.StreamFinder | None = None,
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
            finder,
        )

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        connection: Connection | None = None,
        caller: str = 'counter',
    ) -> Reply:
        connection = connection or Connection(body)
        given = {'authorization': f'Bearer {fakes.KEYS[caller]}'}
        given.update(headers or {})
        raw_path, _, query = path.partition('?')
        scope = {
            'type': 'http',
            'method': method,
            'raw_path': raw_path.encode('latin-1'),
            'query_string': query.encode('latin-1'),
            'headers': [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in given.items()
            ],
        }
        await self.app(scope, connection.receive, connection.send)
        return connection.reply


async def running(
    site: Site, work: typing.Callable[[], typing.Awaitable[None]]
) -> None:
    """Run a test's work with the background parts of a site."""
    async with anyio.create_task_group() as group:
        group.start_soon(site.rig.dispatcher.run_background)
        group.start_soon(site.app.run_background)
        with anyio.fail_after(30):
            await work()
        group.cancel_scope.cancel()

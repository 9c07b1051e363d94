"""Stand-ins of the log, the instance list and the weight store."""

from __future__ import annotations

import typing
import urllib.parse

import msgspec

from . import asgi
from ..external import api
from ..external.http import wire
from ..external import memory

__all__ = ['InstanceListApp', 'LogApp', 'WeightStoreApp']

APPEND_SECONDS: typing.Final = 5.0
READ_LIMIT: typing.Final = 1000
_NOT_FOUND: typing.Final = wire.Failure('not_found')
_BAD_BODY: typing.Final = wire.Failure('bad_body')


class LogApp(asgi.App):
    """Serves a fake log."""

    def __init__(self, log: memory.MemoryLog, time: memory.Timeline) -> None:
        self._log = log
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Append to a stream or read from it."""
        parts = exchange.path.split('/')
        if len(parts) != 4 or parts[3] != 'entries':
            await exchange.refuse(404, _NOT_FOUND)
            return
        stream = urllib.parse.unquote(parts[2])
        match exchange.method:
            case 'POST':
                async with exchange.while_connected():
                    await self._append(exchange, stream)
            case 'GET':
                async with exchange.while_connected():
                    await self._read(exchange, stream)
            case _:
                await exchange.refuse(405, _NOT_FOUND)

    async def _append(self, exchange: asgi.Exchange, stream: str) -> None:
        deadline = self._time.now() + APPEND_SECONDS
        result = await self._log.append(stream, exchange.body, deadline)
        if result.is_error():
            await exchange.fail(result.error)
            return
        await exchange.reply_json(201, wire.OffsetBody(result.ok))

    async def _read(self, exchange: asgi.Exchange, stream: str) -> None:
        wait = exchange.query_number('wait', 0.0)
        result = await self._log.read(
            stream,
            int(exchange.query_number('offset', 0)),
            min(READ_LIMIT, int(exchange.query_number('limit', READ_LIMIT))),
            self._time.now() + (wait if wait > 0 else APPEND_SECONDS),
            wait=wait > 0,
        )
        if result.is_error():
            await exchange.fail(result.error)
            return
        await exchange.reply_json(200, wire.log_page_body(result.ok))


class InstanceListApp(asgi.App):
    """Serves a fake instance list."""

    def __init__(
        self, instances: memory.MemoryInstanceList, time: memory.Timeline
    ) -> None:
        self._instances = instances
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Return the list or take in an instance."""
        deadline = self._time.now() + APPEND_SECONDS
        if exchange.method == 'PUT':
            await self._announce(exchange, deadline)
            return
        result = await self._instances.instances(deadline)
        if result.is_error():
            await exchange.fail(result.error)
            return
        await exchange.reply_json(200, result.ok)

    async def _announce(
        self, exchange: asgi.Exchange, deadline: float
    ) -> None:
        try:
            instance = msgspec.json.decode(exchange.body, type=api.Instance)
        except msgspec.DecodeError:
            await exchange.refuse(422, _BAD_BODY)
            return
        result = await self._instances.announce(instance, deadline)
        if result.is_error():
            await exchange.fail(result.error)
            return
        await exchange.reply(204)


class WeightStoreApp(asgi.App):
    """Serves a fake weight store's state."""

    def __init__(
        self, store: memory.MemoryWeightStore, time: memory.Timeline
    ) -> None:
        self._store = store
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Return the store's limits and use."""
        result = await self._store.state(self._time.now() + APPEND_SECONDS)
        if result.is_error():
            await exchange.fail(result.error)
            return
        await exchange.reply_json(200, result.ok)

"""Stand-ins for the log, the instance list and the weight store."""

from __future__ import annotations

import typing
import urllib.parse

import msgspec

from . import asgi
from ..external import api
from ..external.http import wire
from ..external import memory

__all__ = ['InstanceListApp', 'LogApp', 'WeightStoreApp']

CALL_TIMEOUT_SECONDS: typing.Final = 5.0
MAX_READ_ENTRIES: typing.Final = 1000
_NOT_FOUND: typing.Final = wire.Failure('not_found')
_BAD_BODY: typing.Final = wire.Failure('bad_body')


class LogApp(asgi.App):
    """Serves an in-memory log."""

    def __init__(self, log: memory.MemoryLog, time: memory.Timeline) -> None:
        self._log = log
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Handle an append to a stream or a read from it."""
        parts = exchange.path.split('/')
        if len(parts) != 4 or parts[3] != 'entries':
            await exchange.refuse(404, _NOT_FOUND)
            return
        stream = urllib.parse.unquote(parts[2])
        match exchange.method:
            case 'POST':
                async with exchange.cancel_on_disconnect():
                    await self._append(exchange, stream)
            case 'GET':
                async with exchange.cancel_on_disconnect():
                    await self._read(exchange, stream)
            case _:
                await exchange.refuse(405, _NOT_FOUND)

    async def _append(self, exchange: asgi.Exchange, stream: str) -> None:
        deadline = self._time.now() + CALL_TIMEOUT_SECONDS
        result = await self._log.append(stream, exchange.body, deadline)
        if result.is_error():
            await exchange.reply_error(result.error)
            return
        await exchange.reply_json(201, wire.OffsetBody(result.ok))

    async def _read(self, exchange: asgi.Exchange, stream: str) -> None:
        wait = exchange.query_number('wait', 0.0)
        result = await self._log.read(
            stream,
            int(exchange.query_number('offset', 0)),
            min(
                MAX_READ_ENTRIES,
                int(exchange.query_number('limit', MAX_READ_ENTRIES)),
            ),
            self._time.now() + (wait if wait > 0 else CALL_TIMEOUT_SECONDS),
            wait=wait > 0,
        )
        if result.is_error():
            await exchange.reply_error(result.error)
            return
        await exchange.reply_json(200, wire.log_page_body(result.ok))


class InstanceListApp(asgi.App):
    """Serves an in-memory instance list."""

    def __init__(
        self, instances: memory.MemoryInstanceList, time: memory.Timeline
    ) -> None:
        self._instances = instances
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Handle a read of the list or an announcement of an instance."""
        deadline = self._time.now() + CALL_TIMEOUT_SECONDS
        if exchange.method == 'PUT':
            await self._announce(exchange, deadline)
            return
        result = await self._instances.instances(deadline)
        if result.is_error():
            await exchange.reply_error(result.error)
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
            await exchange.reply_error(result.error)
            return
        await exchange.reply(204)


class WeightStoreApp(asgi.App):
    """Serves the state of an in-memory weight store."""

    def __init__(
        self, store: memory.MemoryWeightStore, time: memory.Timeline
    ) -> None:
        self._store = store
        self._time = time

    async def serve(self, exchange: asgi.Exchange) -> None:
        """Handle a read of the store's limits and running loads."""
        result = await self._store.state(
            self._time.now() + CALL_TIMEOUT_SECONDS
        )
        if result.is_error():
            await exchange.reply_error(result.error)
            return
        await exchange.reply_json(200, result.ok)

"""A minimal forwarder with hypercorn and httpcore, the gateway's baseline.

``python -m bench.gateway_bare PORT...`` prints the port it listens on and
forwards to the given ports in round-robin order, without routes, checks,
queues or logs.
"""

from __future__ import annotations

import itertools
import socket
import sys
import typing

import anyio
import httpcore
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

_HOP_BY_HOP: typing.Final = frozenset({b'transfer-encoding', b'connection'})


class _Forwarder:
    """An ASGI application that forwards every request."""

    def __init__(self, ports: list[int]) -> None:
        self._urls = itertools.cycle(
            f'http://127.0.0.1:{port}' for port in ports
        )
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=60.0
        )

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        if scope['type'] != 'http':
            return
        body = b''
        more = True
        while more:
            message = await receive()
            body += message.get('body', b'')
            more = message.get('more_body', False)
        async with self._pool.stream(
            scope['method'],
            next(self._urls) + scope['path'],
            headers=scope['headers'],
            content=body,
        ) as answer:
            headers = [
                (name.lower(), value)
                for name, value in answer.headers
                if name.lower() not in _HOP_BY_HOP
            ]
            await send(
                {
                    'type': 'http.response.start',
                    'status': answer.status,
                    'headers': headers,
                }
            )
            async for chunk in answer.aiter_stream():
                await send(
                    {
                        'type': 'http.response.body',
                        'body': chunk,
                        'more_body': True,
                    }
                )
        await send({'type': 'http.response.body', 'body': b''})


async def _serve(ports: list[int]) -> None:
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(128)
    print(listener.getsockname()[1], flush=True)
    config = hypercorn_config.Config()
    config.bind = [f'fd://{listener.detach()}']
    config.accesslog = config.errorlog = None
    config.keep_alive_max_requests = 1_000_000
    await hypercorn_asyncio.serve(
        typing.cast('typing.Any', _Forwarder(ports)), config
    )


if __name__ == '__main__':
    anyio.run(_serve, [int(port) for port in sys.argv[1:]])

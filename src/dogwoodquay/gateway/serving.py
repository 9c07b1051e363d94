"""Serves ASGI applications on the gateway's addresses with hypercorn."""

from __future__ import annotations

import logging
import socket
import typing

from hypercorn import config as hypercorn_config

from . import closings
from ..entry import guard as guards
from ..entry import server as entry_server

if typing.TYPE_CHECKING:
    from collections import abc

    from . import settings as gateway_settings

__all__ = ['Listener']

BACKLOG: typing.Final = 1024
# Above the application's own limit, so that it can refuse with a reason.
HEADER_LIMIT_FACTOR: typing.Final = 2
# Used until a configuration sets the limit of heads.
DEFAULT_HEADER_BYTES: typing.Final = 16 << 10
MAX_REQUESTS_PER_CONNECTION: typing.Final = 1_000_000
# Used until a configuration sets the idle time of connections.
DEFAULT_KEEP_ALIVE_SECONDS: typing.Final = 15.0
GRACEFUL_STOP_SECONDS: typing.Final = 0.5


class Listener:
    """One listening socket and its server."""

    def __init__(self, address: gateway_settings.Address) -> None:
        self._socket = _listen(address)
        self._config = _config(self._socket)

    def keep_idle(self, seconds: float) -> None:
        """Set how long idle connections are kept from now on."""
        self._config.keep_alive_timeout = seconds

    def limit_heads(self, max_bytes: int) -> None:
        """Set the size of heads that the application allows from now on."""
        size = HEADER_LIMIT_FACTOR * max_bytes
        self._config.h11_max_incomplete_size = size

    def stop_within(self, seconds: float) -> None:
        """Set how long requests may take to end once the server stops."""
        self._config.graceful_timeout = seconds

    async def serve(
        self,
        app: object,
        stop: abc.Callable[[], abc.Awaitable[None]],
        guard: guards.ConnectionGuard | None = None,
        name: str = guards.CALLERS,
    ) -> None:
        """Serve until ``stop`` returns, then close idle connections.

        :param guard: limits what connections hold; no limits if not given.
        :param name: the name under which it counts those of this listener.
        """
        await entry_server.serve_until(app, self._config, stop, guard, name)


def _listen(address: gateway_settings.Address) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def _config(listener: socket.socket) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.bind = [f'fd://{listener.detach()}']
    config.backlog = BACKLOG
    config.h11_max_incomplete_size = HEADER_LIMIT_FACTOR * DEFAULT_HEADER_BYTES
    config.keep_alive_timeout = DEFAULT_KEEP_ALIVE_SECONDS
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = GRACEFUL_STOP_SECONDS
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.logger_class = closings.ClosingLogger
    config.errorlog = logging.getLogger('hypercorn.error')
    return config

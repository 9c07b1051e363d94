"""Serves the callers' interface with hypercorn."""

from __future__ import annotations

import logging
import socket
import typing

import anyio
from hypercorn import config as hypercorn_config
import msgspec

from . import connections
from . import guard as guards

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clock_module
    from . import app as app_module

__all__ = ['ServerSettings', 'bound_port', 'listen', 'serve', 'serve_until']

SEND_BUFFER_BYTES: typing.Final = 64 << 10
TCP_USER_TIMEOUT_MILLISECONDS: typing.Final = 60_000
BACKLOG: typing.Final = 1024
# Hypercorn's limit is higher than the application's, which refuses large
# headers with a reason.
HEADER_MARGIN_BYTES: typing.Final = 16 << 10
MAX_REQUESTS_PER_CONNECTION: typing.Final = 100_000
GRACEFUL_CLOSE_SECONDS: typing.Final = 2.0


class ServerSettings(msgspec.Struct, frozen=True):
    """Settings of the listener; TLS is on if both files are set.

    ``keep_alive_seconds`` is the idle timeout of a connection. The server
    also keeps the state of a connection for that time after the caller has
    closed it, so the value limits memory too.
    """

    address: str
    port: int
    certificate_file: str = ''
    key_file: str = ''
    drain_seconds: float = 30.0
    header_bytes: int = 16 << 10
    keep_alive_seconds: float = 5.0


def listen(settings: ServerSettings) -> socket.socket:
    """Open the listening socket; port 0 selects a free port."""
    family = socket.AF_INET6 if ':' in settings.address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # A small buffer shows early that a reader is slow. It also limits the
    # bytes that can be lost with a connection to less than streams keep for
    # resumption.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        TCP_USER_TIMEOUT_MILLISECONDS,
    )
    listener.bind((settings.address, settings.port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def bound_port(listener: socket.socket) -> int:
    """Return the port that a socket listens on."""
    return int(listener.getsockname()[1])


async def serve(
    app: app_module.EntryApp,
    settings: ServerSettings,
    listener: socket.socket,
    shutdown: anyio.Event,
    clock: clock_module.Clock,
    guard: guards.ConnectionGuard | None = None,
) -> None:
    """Serve until the shutdown event, then drain and close."""

    async def drain_on_shutdown() -> None:
        await shutdown.wait()
        await app.drain(clock.now() + settings.drain_seconds)

    config = _make_config(settings, listener)
    await serve_until(app, config, drain_on_shutdown, guard)


async def serve_until(
    app: object,
    config: hypercorn_config.Config,
    shutdown_trigger: abc.Callable[[], abc.Awaitable[None]],
    guard: guards.ConnectionGuard | None = None,
    listener: str = guards.CALLERS,
) -> None:
    """Serve an ASGI application until ``shutdown_trigger`` returns."""
    await connections.serve(app, config, shutdown_trigger, guard, listener)


def _make_config(
    settings: ServerSettings, listener: socket.socket
) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.bind = [f'fd://{listener.detach()}']
    config.backlog = BACKLOG
    config.h11_max_incomplete_size = (
        settings.header_bytes + HEADER_MARGIN_BYTES
    )
    config.keep_alive_timeout = settings.keep_alive_seconds
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = GRACEFUL_CLOSE_SECONDS
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger('hypercorn.error')
    if settings.certificate_file:
        config.certfile = settings.certificate_file
        config.keyfile = settings.key_file
    return config

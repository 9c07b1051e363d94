"""The operators' HTTP server of an instance."""

from __future__ import annotations

import typing

from hypercorn import config as hypercorn_config

from ..entry import guard as guards
from ..entry import server as entry_server
from ..operators import app as operators_app

if typing.TYPE_CHECKING:
    import socket

    import anyio

    from .. import clock as clocks
    from ..observe import metrics
    from ..operators import api
    from ..settings import schema

__all__ = ['OperatorServer']

CLOSE_TIMEOUT_SECONDS: typing.Final = 1.0


class OperatorServer:
    """Serves status, health and metrics to operators."""

    def __init__(
        self,
        settings: schema.Operators,
        clock: clocks.Clock,
        source: api.StatusSource,
        registry: metrics.Registry,
        guard: guards.ConnectionGuard,
    ) -> None:
        self._settings = settings
        self._guard = guard
        self._app = operators_app.OperatorsApp(
            source, settings.token, clock, lambda: registry.render().body
        )

    def listen(self) -> socket.socket:
        """Open the listening socket."""
        listen = self._settings.listen
        return entry_server.listen(
            entry_server.ServerSettings(listen.address, listen.port)
        )

    async def serve(
        self, listener: socket.socket, closed: anyio.Event
    ) -> None:
        """Serve until ``closed`` is set."""
        config = hypercorn_config.Config()
        config.bind = [f'fd://{listener.detach()}']
        config.graceful_timeout = CLOSE_TIMEOUT_SECONDS
        config.include_server_header = False
        config.accesslog = None
        config.errorlog = None
        await entry_server.serve_until(
            self._app, config, closed.wait, self._guard, guards.READINESS
        )

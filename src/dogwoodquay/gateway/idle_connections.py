"""Watches the connections to servers that no request uses."""

from __future__ import annotations

import typing

import anyio

from ..external.http import findings
from ..observe import logs

if typing.TYPE_CHECKING:
    from ..external.http import client
    from ..fleet import registry as registries
    from . import metrics as gateway_metrics
    from . import settings as gateway_settings

__all__ = ['IdleConnections']

_LOG: typing.Final = logs.ComponentLog('connections')

INTERVAL_SECONDS: typing.Final = 2.0


class IdleConnections:
    """Keeps idle connections to listed servers and the store only.

    Each one holds a descriptor, of which an instance has a limited number.
    What servers send on them unasked is logged and counted.
    """

    def __init__(
        self,
        connections: client.Connections,
        registry: registries.Registry,
        store: gateway_settings.Address,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._connections = connections
        self._registry = registry
        self._store = store
        self._metrics = metrics
        connections.on_finding(self._record)
        metrics.gauge(
            'gateway_server_connections_in_use',
            'Connections to servers and the store that requests use',
            lambda: connections.in_use,
        )
        metrics.gauge(
            'gateway_server_connections_idle',
            'Idle connections to servers and the store',
            lambda: connections.idle,
        )

    async def run(self) -> typing.NoReturn:
        """Close the others at intervals until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Close the others once."""
        listed = {
            (server.entry.address, server.entry.port)
            for server in self._registry.servers.values()
            if not server.leaving
        }
        listed.add((self._store.host, self._store.port))
        await self._connections.keep_only(listed)

    def _record(self, finding: findings.Finding) -> None:
        address = f'{finding.address}:{finding.port}'
        match finding:
            case findings.Unsolicited():
                self._metrics.unsolicited()
                _LOG.write(
                    'unsolicited',
                    server_address=address,
                    connection=finding.connection,
                    requests=finding.requests,
                    request=finding.request_id,
                    bytes=finding.size,
                )
            case findings.ExtraAnswers():
                self._metrics.extra_answers(finding.answers)
                _LOG.write(
                    'extra_answers',
                    server_address=address,
                    connection=finding.connection,
                    request=finding.request_id,
                    answers=finding.answers,
                )

"""HTTP adapters to the instance list and the weight store."""

from __future__ import annotations

import typing
import urllib.parse

import expression
import msgspec

from .. import api
from . import bodies
from . import client
from . import responses
from . import wire

__all__ = ['HttpInstanceList', 'HttpWeightStore']

_ENCODER: typing.Final = msgspec.json.Encoder()


class HttpInstanceList:
    """The instance list at an address."""

    def __init__(
        self, connections: client.Connections, address: str, port: int
    ) -> None:
        self._connections = connections
        self._address = address
        self._port = port

    async def instances(
        self, deadline: float
    ) -> expression.Result[tuple[api.Instance, ...], api.Unavailable]:
        """Return the current list."""
        sent = await self._connections.fetch(
            self._address,
            self._port,
            'GET',
            wire.INSTANCES_PATH,
            deadline,
            max_bytes=bodies.MAX_DOWNLOAD_BYTES,
        )
        if sent.is_error():
            return expression.Error(api.Unavailable(sent.error.reason))
        if not sent.ok.is_success:
            reason = responses.failure(sent.ok).reason
            return expression.Error(api.Unavailable(reason))
        decoded = responses.decode(sent.ok, tuple[api.Instance, ...])
        if decoded.is_error():
            return expression.Error(api.Unavailable(decoded.error.reason))
        return expression.Ok(decoded.ok)

    async def announce(
        self, instance: api.Instance, deadline: float
    ) -> expression.Result[None, api.Unavailable | api.Ambiguous]:
        """Add an instance to the list or update its entry."""
        name = urllib.parse.quote(instance.instance_id, safe='')
        sent = await self._connections.fetch(
            self._address,
            self._port,
            'PUT',
            f'{wire.INSTANCES_PATH}/{name}',
            deadline,
            _ENCODER.encode(instance),
        )
        if sent.is_error():
            return expression.Error(sent.error)
        if sent.ok.is_success:
            return expression.Ok(None)
        reason = responses.failure(sent.ok).reason
        if wire.NOT_RUN_HEADER in sent.ok.headers:
            return expression.Error(api.Unavailable(reason))
        return expression.Error(api.Ambiguous(reason))


class HttpWeightStore:
    """The weight store at an address."""

    def __init__(
        self, connections: client.Connections, address: str, port: int
    ) -> None:
        self._connections = connections
        self._address = address
        self._port = port

    async def state(
        self, deadline: float
    ) -> expression.Result[api.WeightStoreState, api.Unavailable]:
        """Return the store's limits and the number of running loads."""
        sent = await self._connections.fetch(
            self._address,
            self._port,
            'GET',
            wire.WEIGHTS_PATH,
            deadline,
            max_bytes=bodies.MAX_DOWNLOAD_BYTES,
        )
        if sent.is_error():
            return expression.Error(api.Unavailable(sent.error.reason))
        if not sent.ok.is_success:
            reason = responses.failure(sent.ok).reason
            return expression.Error(api.Unavailable(reason))
        decoded = responses.decode(sent.ok, api.WeightStoreState)
        if decoded.is_error():
            return expression.Error(api.Unavailable(decoded.error.reason))
        return expression.Ok(decoded.ok)

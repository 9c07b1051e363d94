"""Calls to the model engines that are not callers' requests."""

from __future__ import annotations

import typing

import expression
import msgspec

from ..external import api as external_api
from ..fleet import api as fleet_api
from ..residency import api

if typing.TYPE_CHECKING:
    from ..external.http import client

__all__ = ['EngineClient']

_OK: typing.Final = 200
_JSON: typing.Final = ('content-type', 'application/json')
_EXPECTED_SERVER: typing.Final = 'expect-instance'

_ANSWERS: typing.Final = {
    200: api.OrderAnswer.HOLDS_ALREADY,
    202: api.OrderAnswer.ACCEPTED,
    409: api.OrderAnswer.CONFLICT,
    412: api.OrderAnswer.STALE_FENCE,
    421: api.OrderAnswer.OTHER_SERVER,
}


class _Body(msgspec.Struct, rename='pascal', omit_defaults=True):
    """The base of all bodies; unknown fields are left."""


class _Model(_Body):
    name: str
    version: int = 1
    adapters: list[str] = []


class _AtHand(_Body):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Report(_Body):
    models: list[_Model] = []
    busy: bool = False
    # Counts the accepted orders here; on the list it counts reports.
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    # The part of the cache that can't be freed for other requests.
    kv_used: int = 0
    kv_total: int = 0
    # MODEL/NAME@VERSION
    coming: list[str] = []
    at_hand: _AtHand = msgspec.field(default_factory=_AtHand)


class _Order(_Body):
    operation: str
    model: str
    holder: str
    fencing_token: int
    expect: int | None = None
    adapter: str | None = None


class EngineClient:
    """Reads engines' reports and gives them orders."""

    def __init__(self, connections: client.Connections, holder: str) -> None:
        self._connections = connections
        self._holder = holder

    async def report(
        self, server: fleet_api.ServerEntry, deadline: float
    ) -> expression.Result[api.EngineReport, str]:
        """Return an engine's report; the error says why there is none."""
        sent = await self._connections.fetch(
            server.address,
            server.port,
            'GET',
            '/report',
            deadline,
            headers=((_EXPECTED_SERVER, server.server_id),),
        )
        if sent.is_error():
            return expression.Error(sent.error.reason)
        if sent.ok.status_code != _OK:
            return expression.Error(f'status_{sent.ok.status_code}')
        try:
            raw = msgspec.json.decode(sent.ok.content, type=_Report)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return expression.Error(str(error))
        return expression.Ok(_report(raw))

    async def order(
        self,
        server: fleet_api.ServerEntry,
        order: api.Order,
        order_number: int,
        fence: int,
        deadline: float,
    ) -> api.OrderAnswer:
        """Give an order that takes effect only as one certain number.

        :param order_number: how many orders the engine must have accepted
            before this one.
        """
        body = _encoded(order)
        body.holder = self._holder
        body.fencing_token = fence
        body.expect = order_number
        sent = await self._connections.fetch(
            server.address,
            server.port,
            'POST',
            '/order',
            deadline,
            msgspec.json.encode(body),
            (_JSON, (_EXPECTED_SERVER, server.server_id)),
        )
        if sent.is_error():
            if isinstance(sent.error, external_api.Unavailable):
                return api.OrderAnswer.UNSENT
            return api.OrderAnswer.UNKNOWN
        status = sent.ok.status_code
        return _ANSWERS.get(status, api.OrderAnswer.REFUSED)


def _encoded(order: api.Order) -> _Order:
    match order:
        case api.LoadModel(model):
            return _Order('load', model, '', 0)
        case api.UnloadModel(model):
            return _Order('unload', model, '', 0)
        case api.LoadAdapter(model, adapter):
            return _Order('load', model, '', 0, adapter=adapter)
        case api.UnloadAdapter(model, adapter):
            return _Order('unload', model, '', 0, adapter=adapter)


def _report(raw: _Report) -> api.EngineReport:
    return api.EngineReport(
        models=tuple(
            fleet_api.LoadedModel(
                model.name, model.version, frozenset(model.adapters)
            )
            for model in raw.models
        ),
        busy=raw.busy,
        order_number=raw.sequence,
        running=raw.running,
        waiting=raw.waiting,
        cache_used=raw.kv_used,
        cache_total=raw.kv_total,
        loading_adapters=frozenset(_coming(item) for item in raw.coming),
        in_memory=frozenset(raw.at_hand.in_memory),
        on_disk=frozenset(raw.at_hand.on_disk),
    )


def _coming(item: str) -> tuple[str, str]:
    model, _, rest = item.partition('/')
    return model, rest.partition('@')[0]

"""HTTP calls to read the engines' reports and to send them orders."""

from __future__ import annotations

import typing

import expression
import msgspec

from ..external import api as external_api
from ..external import decoding
from ..fleet import api as fleet_api
from . import headers
from ..residency import api

if typing.TYPE_CHECKING:
    import httpx

    from ..external.http import client
    from ..gateway import api as gateway_api

__all__ = ['EngineClient']

_OK: typing.Final = 200
# The answer of another server at the address.
_MISDIRECTED: typing.Final = 421
_JSON: typing.Final = ('content-type', 'application/json')
_EXPECTED_SERVER: typing.Final = 'expect-instance'
# Answers to callers' requests have it, those to reports and orders do not.
_ATTEMPT: typing.Final = 'attempt-id'
# Reports and orders have no ids. An answer that is written again could be
# taken for that to an order, and one to an order for an empty report, so
# orders use connections apart.
# No value of a header, and thus no caller's id, ends with a space.
_REPORT: typing.Final = 'report '
_ORDER: typing.Final = 'order '

_ORDER_ANSWERS: typing.Final = {
    200: api.OrderAnswer.HOLDS_ALREADY,
    202: api.OrderAnswer.ACCEPTED,
    409: api.OrderAnswer.CONFLICT,
    412: api.OrderAnswer.STALE_FENCE,
    421: api.OrderAnswer.OTHER_SERVER,
}


class _Body(msgspec.Struct, rename='pascal', omit_defaults=True):
    """The base of all bodies; unknown fields are ignored."""


class _Model(_Body):
    name: str
    version: decoding.Count = 1
    adapters: list[str] = []


class _LocalWeights(_Body):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Report(_Body):
    models: list[_Model] = []
    busy: bool = False
    # The number of accepted orders; in the list's entries the same field
    # counts the reports.
    sequence: decoding.Count = 0
    running: decoding.Count = 0
    waiting: decoding.Count = 0
    # The part of the cache that cannot be freed for other requests.
    kv_used: decoding.Count = 0
    kv_total: decoding.Count = 0
    # The adapters being loaded, each as MODEL/NAME@VERSION.
    coming: list[str] = []
    at_hand: _LocalWeights = msgspec.field(default_factory=_LocalWeights)


class _Order(_Body):
    operation: str
    model: str
    holder: str
    fencing_token: int
    expect: int | None = None
    adapter: str | None = None


class EngineClient:
    """Reads reports of engines and sends them orders.

    ``holder`` is this instance's id as the sender of orders. ``on_answer`` is
    called with what each answer's headers say.
    """

    def __init__(
        self,
        connections: client.Connections,
        holder: str,
        on_answer: gateway_api.AnswerHandler,
    ) -> None:
        self._connections = connections
        self._holder = holder
        self._on_answer = on_answer

    async def report(
        self, server: fleet_api.ServerEntry, deadline: float
    ) -> expression.Result[api.EngineReport, str]:
        """Return an engine's report, or the reason why there is none."""
        result = await self._connections.fetch(
            server.address,
            server.port,
            'GET',
            '/report',
            deadline,
            headers=((_EXPECTED_SERVER, server.server_id),),
            request_id=_REPORT,
            apart_from=(_ORDER,),
            foreign_header=_ATTEMPT,
        )
        if result.is_error():
            return expression.Error(result.error.reason)
        self._handle_headers(server, result.ok)
        if result.ok.status_code != _OK:
            return expression.Error(f'status_{result.ok.status_code}')
        decoded = decoding.decode_json(result.ok.content, _Report)
        if decoded.is_error():
            return expression.Error(decoded.error)
        return expression.Ok(_report(decoded.ok))

    async def order(
        self,
        server: fleet_api.ServerEntry,
        order: api.Order,
        order_number: int,
        fence: int,
        deadline: float,
    ) -> api.OrderAnswer:
        """Send an order and return its result.

        :param order_number: the number of orders that the engine must have
            accepted before; otherwise it refuses this one.
        :param fence: the fencing token.
        """
        body = _order_body(order)
        body.holder = self._holder
        body.fencing_token = fence
        body.expect = order_number
        result = await self._connections.fetch(
            server.address,
            server.port,
            'POST',
            '/order',
            deadline,
            msgspec.json.encode(body),
            (_JSON, (_EXPECTED_SERVER, server.server_id)),
            request_id=_ORDER,
            apart_from=(_ORDER, _REPORT),
            foreign_header=_ATTEMPT,
        )
        if result.is_error():
            if isinstance(result.error, external_api.Unavailable):
                return api.OrderAnswer.UNSENT
            return api.OrderAnswer.UNKNOWN
        self._handle_headers(server, result.ok)
        status = result.ok.status_code
        return _ORDER_ANSWERS.get(status, api.OrderAnswer.REFUSED)

    def _handle_headers(
        self, server: fleet_api.ServerEntry, response: httpx.Response
    ) -> None:
        status = response.status_code
        if status != _MISDIRECTED:
            terms = headers.answer_terms(status, response.headers.raw)
            self._on_answer(server, terms)


def _order_body(order: api.Order) -> _Order:
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
        loading_adapters=frozenset(
            _loading_adapter(item) for item in raw.coming
        ),
        in_memory=frozenset(raw.at_hand.in_memory),
        on_disk=frozenset(raw.at_hand.on_disk),
    )


def _loading_adapter(item: str) -> tuple[str, str]:
    model, _, rest = item.partition('/')
    return model, rest.partition('@')[0]

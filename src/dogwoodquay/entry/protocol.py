"""HTTP/1.1 on callers' connections, without changes of the protocol."""

from __future__ import annotations

import typing

import h11
from hypercorn.protocol import h11 as hypercorn_h11

if typing.TYPE_CHECKING:
    from . import holdings

__all__ = ['ALPN_PROTOCOLS', 'CallerProtocol']

ALPN_PROTOCOLS: typing.Final = ('http/1.1',)
_BODY_HEADERS: typing.Final = {b'content-length', b'transfer-encoding'}
_UPGRADE: typing.Final = b'upgrade'


class CallerProtocol(hypercorn_h11.H11Protocol):
    """Reads requests and writes answers of one connection.

    Hypercorn takes up HTTP/2 and WebSocket where a caller asks for them. Here
    such a request is served as any other (RFC 9110, section 7.8).
    """

    def __init__(self, holding: holdings.Holding, *args: typing.Any) -> None:
        super().__init__(*args)
        self._holding = holding

    async def _check_protocol(self, event: h11.Request) -> None:
        """Stay with HTTP/1.1."""

    async def _create_stream(self, request: h11.Request) -> None:
        names = {name for name, _ in request.headers}
        self._holding.begin(len(request.headers), not names & _BODY_HEADERS)
        if self._holding.is_closed:
            return
        if _UPGRADE in names:
            request = h11.Request(
                method=request.method,
                target=request.target,
                headers=[
                    (name, value)
                    for name, value in request.headers
                    if name != _UPGRADE
                ],
                http_version=request.http_version,
            )
        await super()._create_stream(request)

"""The HTTP client of the adapters."""

from __future__ import annotations

import typing

import anyio
import expression
import httpx

from .. import api
from . import bodies
from . import marks
from . import network
from . import progress
from . import sender
from . import sending

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Connections', 'Headers']

Headers = sender.Headers


class Connections(sender.RequestSender):
    """An HTTP client that reuses connections, with calls read to their end."""

    async def is_refused(
        self, address: str, port: int, seconds: float
    ) -> bool:
        """Whether nothing listens at an address.

        False if a connection is accepted, or if there is no reply in time.
        """
        return await network.is_refused(address, port, seconds)

    async def fetch(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        deadline: float,
        body: bytes = b'',
        headers: Headers = (),
        max_bytes: int = bodies.MAX_ANSWER_BYTES,
        request_id: str = '',
        apart_from: tuple[str, ...] = (),
        foreign_header: str = '',
    ) -> expression.Result[httpx.Response, sending.SendError]:
        """Send a request and read the complete response before a deadline.

        :param max_bytes: the limit of the response's body.
        :param request_id: the kind of the call; its use of the connection is
            never forgotten.
        :param apart_from: as in ``open_raw``.
        :param foreign_header: the header with the id of a request, in lower
            case. An answer that has it is not the answer to this call.
        """
        with anyio.move_on_after(deadline - self._time.now()):
            async with self.open(
                address,
                port,
                method,
                path,
                headers,
                body,
                deadline,
                request_id=request_id,
                apart_from=apart_from,
                id_header=foreign_header,
            ) as sent:
                if sent.is_ok():
                    # The next call of the kind may come at any later time.
                    marks.bar_repeat(sent.ok)
                    if foreign_header and foreign_header in sent.ok.headers:
                        marks.discard(sent.ok)
                        return expression.Error(
                            api.Ambiguous('answer_crossed')
                        )
                    try:
                        bodies.limit(sent.ok, max_bytes)
                        await sent.ok.aread()
                    except httpx.HTTPError as error:
                        reason = bodies.broken_reason(error)
                        return expression.Error(api.Ambiguous(reason))
                return sent
        return expression.Error(api.Ambiguous('timeout'))

    async def download(
        self,
        address: str,
        port: int,
        path: str,
        deadline: float,
        on_received: abc.Callable[[int], None],
    ) -> expression.Result[httpx.Response, sending.SendError]:
        """Send a GET request and read a response of any size.

        The body may take as long as its size needs at the least rate.

        :param deadline: time by which the response headers are due.
        :param on_received: called with the size of the received part of the
            body of a successful response.
        """
        async with self.open(
            address,
            port,
            'GET',
            path,
            (),
            b'',
            deadline,
            progress.MAX_PAUSE_SECONDS,
        ) as sent:
            if sent.is_error():
                return sent
            response = sent.ok
            try:
                bodies.limit(response, bodies.MAX_DOWNLOAD_BYTES)
                body = await progress.read(response, on_received)
            except httpx.HTTPError as error:
                return expression.Error(
                    api.Ambiguous(bodies.broken_reason(error))
                )
            if body is None:
                return expression.Error(api.Ambiguous('slow'))
            return expression.Ok(
                httpx.Response(
                    response.status_code,
                    headers=response.headers,
                    content=body,
                )
            )

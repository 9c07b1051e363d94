"""Drops extra answers to earlier requests from what a server sends.

A server may answer a request twice, the second time when the connection has
been given to another request. The id in the head tells whose answer it is. No
input or output is done here.
"""

from __future__ import annotations

import re
import typing

import h11

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['EarlierAnswers', 'Unreadable']

_HEAD_END: typing.Final = b'\r\n\r\n'
_LINE_END: typing.Final = b'\r\n'
_STATUS: typing.Final = re.compile(rb'HTTP/1\.[01] [1-5][0-9][0-9]\b')
# Only these have no body without a header that says how it ends.
_BODILESS_STATUSES: typing.Final = frozenset({204, 304})


class Unreadable(Exception):
    """It is not known where an extra answer ends.

    A server may break one off and go on with the next answer.
    """


class EarlierAnswers:
    """Passes on what follows the extra answers to earlier requests.

    :param request_id: the id of the request whose answer is awaited.
    :param method_of: returns the method of an earlier request on the
        connection by its id, ``None`` if there was none.
    """

    def __init__(
        self, request_id: str, method_of: abc.Callable[[str], str | None]
    ) -> None:
        self._request_id = request_id.encode('latin-1')
        self._method_of = method_of
        self._head = bytearray()
        self._dropping: h11.Connection | None = None
        self._passed = False
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """The number of extra answers that were read to their end."""
        return self._dropped

    def feed(self, data: bytes) -> bytes:
        """Return what belongs to the awaited answer, if anything.

        :raises Unreadable: if an extra answer does not tell where it ends, or
            if another answer begins within it.
        """
        while data and not self._passed:
            if self._dropping is None:
                data = self._read_head(data)
            else:
                data = self._drop(self._dropping, data)
        return data

    def _read_head(self, data: bytes) -> bytes:
        """Begin to drop an answer, or pass it on, once its head is whole."""
        searched = max(0, len(self._head) - len(_HEAD_END) + 1)
        self._head += data
        end = self._head.find(_HEAD_END, searched)
        if end < 0:
            return b''
        data = bytes(self._head)
        head = data[:end]
        self._head.clear()
        if len(_STATUS.findall(head)) > 1:
            raise Unreadable('an answer begins within a head')
        method = self._earlier_method(head)
        if method is None:
            self._passed = True
            return data
        self._dropping = h11.Connection(h11.CLIENT)
        # Makes the parser expect the answer; nothing is sent.
        self._dropping.send(
            h11.Request(method=method, target='/', headers=[('Host', 'x')])
        )
        self._dropping.send(h11.EndOfMessage())
        return data

    def _earlier_method(self, head: bytes) -> str | None:
        """Return the method of the earlier request that a head answers."""
        if self._request_id in head:
            return None
        for line in head.split(_LINE_END)[1:]:
            value = line.partition(b':')[2].strip().decode('latin-1')
            method = self._method_of(value)
            if method is not None:
                return method
        return None

    def _drop(self, answer: h11.Connection, data: bytes) -> bytes:
        """Read on in an extra answer and return what follows its end."""
        try:
            answer.receive_data(data)
            while True:
                event = answer.next_event()
                if event is h11.NEED_DATA:
                    return b''
                if isinstance(event, h11.Response):
                    _check_framed(event)
                if isinstance(event, h11.Data):
                    self._check_foreign(event.data)
                if isinstance(event, h11.EndOfMessage):
                    break
        except h11.RemoteProtocolError as error:
            raise Unreadable(str(error)) from error
        if answer.their_state is h11.MUST_CLOSE:
            raise Unreadable('the server closes the connection')
        self._dropping = None
        self._dropped += 1
        return answer.trailing_data[0]

    def _check_foreign(self, body: bytes) -> None:
        if self._request_id in body:
            raise Unreadable('the awaited answer begins within a body')


def _check_framed(response: h11.Response) -> None:
    names = {name for name, _ in response.headers}
    framed = names & {b'content-length', b'transfer-encoding'}
    if not framed and response.status_code not in _BODILESS_STATUSES:
        raise Unreadable('the end of the answer is not marked')

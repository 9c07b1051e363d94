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

_HEAD_BEGIN: typing.Final = b'HTTP/1.'
# As h11 reads it, also without carriage returns.
_HEAD_END: typing.Final = re.compile(rb'\n\r?\n')
_MAX_HEAD_END_BYTES: typing.Final = 3
# All but a change of protocol, which no request asks for.
_INFORMATIONAL: typing.Final = re.compile(rb'HTTP/1\.[01] 1(?!01)')
# Extra answers and informational heads before an answer.
_MAX_HEADS: typing.Final = 16
_STATUS: typing.Final = re.compile(rb'HTTP/1\.[01] [0-9]{3}\b')
# Only these have no body without a header that says how it ends.
_BODILESS_STATUSES: typing.Final = frozenset({204, 304})


class Unreadable(Exception):
    """It is not known where an extra answer ends, or they do not end.

    A server may break one off and go on with the next answer.
    """


class EarlierAnswers:
    """Passes on what follows the extra answers to earlier requests.

    Informational heads before the awaited answer are dropped as well.

    :param request_id: the id of the request whose answer is awaited.
    :param method_of: returns the method of an earlier request on the
        connection by its id, ``None`` if there was none.
    :param id_header: the header that has the id, in lower case; empty for any
        one, which is enough where the awaited answer has an id itself.
    """

    def __init__(
        self,
        request_id: str,
        method_of: abc.Callable[[str], str | None],
        id_header: str = '',
    ) -> None:
        self._request_id = request_id.encode('latin-1')
        # Spares the lines of the usual head.
        self._own_line = b': %b\r' % self._request_id
        self._method_of = method_of
        self._id_header = id_header.encode('latin-1')
        self._head = bytearray()
        self._dropping: h11.Connection | None = None
        self._body_end = b''
        self._passed = False
        self._dropped = 0
        self._heads = 0

    @property
    def dropped(self) -> int:
        """The number of extra answers that were read to their end."""
        return self._dropped

    @property
    def dropping(self) -> bool:
        """Whether the end of an extra answer is awaited."""
        return self._dropping is not None

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
        searched = max(0, len(self._head) - _MAX_HEAD_END_BYTES + 1)
        self._head += data
        if not _HEAD_BEGIN.startswith(self._head[: len(_HEAD_BEGIN)]):
            return self._pass_on()
        end = _HEAD_END.search(self._head, searched)
        if end is None:
            return b''
        head = bytes(self._head[: end.start()])
        if len(_STATUS.findall(head)) > 1:
            raise Unreadable('an answer begins within a head')
        if _INFORMATIONAL.match(head):
            # It tells nothing, and not whose answer comes next.
            self._check_number()
            return self._take()[end.end() :]
        method = self._earlier_method(head)
        if method is None:
            return self._pass_on()
        self._check_number()
        self._dropping = h11.Connection(h11.CLIENT)
        # Makes the parser expect the answer; nothing is sent.
        self._dropping.send(
            h11.Request(method=method, target='/', headers=[('Host', 'x')])
        )
        self._dropping.send(h11.EndOfMessage())
        return self._take()

    def _check_number(self) -> None:
        self._heads += 1
        if self._heads > _MAX_HEADS:
            raise Unreadable('too many extra answers')

    def _pass_on(self) -> bytes:
        """Return what was read, and nothing is dropped from now on."""
        self._passed = True
        return self._take()

    def _take(self) -> bytes:
        """Return what was read of a head and what follows it."""
        data = bytes(self._head)
        self._head = bytearray()
        return data

    def _earlier_method(self, head: bytes) -> str | None:
        """Return the method of the earlier request that a head answers."""
        if not self._request_id or self._own_line in head:
            return None
        lines = [line.partition(b':') for line in head.split(b'\n')[1:]]
        values = [
            value.strip()
            for name, _, value in lines
            if self._id_header in (b'', name.strip().lower())
        ]
        if self._request_id in values:
            return None
        for value in values:
            method = self._method_of(value.decode('latin-1'))
            if method is not None:
                return method
        return None

    def _drop(self, answer: h11.Connection, data: bytes) -> bytes:
        """Read on in an extra answer and return what follows its end."""
        try:
            answer.receive_data(data)
            while True:
                event = answer.next_event()
                match event:
                    case h11.NEED_DATA:
                        return b''
                    case h11.InformationalResponse():
                        pass
                    case h11.Response():
                        _check_framed(event)
                    case h11.Data():
                        self._check_body(event.data)
                    case h11.EndOfMessage() if answer.their_state is h11.DONE:
                        break
                    case _:
                        raise Unreadable('no answer can follow')
        except h11.RemoteProtocolError as error:
            raise Unreadable(str(error)) from error
        self._dropping = None
        self._body_end = b''
        self._dropped += 1
        return answer.trailing_data[0]

    def _check_body(self, data: bytes) -> None:
        """Fail if the awaited answer may begin in the body."""
        body = self._body_end + data
        if _HEAD_BEGIN in body or self._request_id in body:
            raise Unreadable('another answer begins within a body')
        kept = max(len(_HEAD_BEGIN), len(self._request_id)) - 1
        self._body_end = body[-kept:]


def _check_framed(response: h11.Response) -> None:
    names = {name for name, _ in response.headers}
    framed = names & {b'content-length', b'transfer-encoding'}
    if not framed and response.status_code not in _BODILESS_STATUSES:
        raise Unreadable('the end of the answer is not marked')

"""What servers send on a connection without having been asked."""

from __future__ import annotations

import typing

__all__ = ['ExtraAnswers', 'Finding', 'Unsolicited']


class Unsolicited(typing.NamedTuple):
    """Bytes behind a complete answer, before the next request was sent.

    They came after the answers to ``requests`` requests, of which the last
    one was ``request_id``. The connection was closed.
    """

    address: str
    port: int
    connection: int
    requests: int
    request_id: str
    size: int


class ExtraAnswers(typing.NamedTuple):
    """Extra answers to earlier requests that came before a request's own."""

    address: str
    port: int
    connection: int
    request_id: str
    answers: int


Finding = Unsolicited | ExtraAnswers

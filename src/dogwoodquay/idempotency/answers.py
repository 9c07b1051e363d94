"""Answers that are too large for the log, kept in the claimant's memory."""

from __future__ import annotations

import collections
import typing

from . import api
from ..wire import api as wire_api

__all__ = [
    'AnswerBody',
    'AnswerStore',
    'FetchAnswer',
    'MAX_INLINE_BYTES',
    'size',
]

MAX_INLINE_BYTES: typing.Final = 4 * 1024
MAX_STORE_BYTES: typing.Final = 32 * 1024 * 1024
MAX_FETCH_BYTES: typing.Final = 900 * 1024


class FetchAnswer(wire_api.Message, frozen=True, tag='once.fetch'):
    """Requests the complete answer for a key from its holder."""

    key: bytes


class AnswerBody(wire_api.Message, frozen=True, tag='once.answer'):
    """The complete answer for a key."""

    answer: api.StoredAnswer


class AnswerStore:
    """Complete answers by key; evicts the oldest ones at its size limit."""

    def __init__(self, max_bytes: int = MAX_STORE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._answers: collections.OrderedDict[bytes, api.StoredAnswer]
        self._answers = collections.OrderedDict()

    def get(self, key: bytes) -> api.StoredAnswer | None:
        """Return the complete answer for a key, or ``None``."""
        return self._answers.get(key)

    def put(self, key: bytes, answer: api.StoredAnswer) -> None:
        """Store an answer unless it is too large to store or to send."""
        if size(answer) > min(self._max_bytes, MAX_FETCH_BYTES):
            return
        self._answers[key] = answer
        self._bytes += size(answer)
        while self._bytes > self._max_bytes:
            _, oldest = self._answers.popitem(last=False)
            self._bytes -= size(oldest)


def size(answer: api.StoredAnswer) -> int:
    """Return the size of an answer's headers and body in bytes."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers

"""Answers that are too large for the log, kept by the claimant for a while."""

from __future__ import annotations

import collections
import typing

from . import api
from ..wire import api as wire_api

__all__ = ['AnswerBody', 'AnswerStore', 'FetchAnswer', 'INLINE_BYTES', 'size']

INLINE_BYTES: typing.Final = 4 * 1024
STORE_BYTES: typing.Final = 32 * 1024 * 1024
MAX_FETCH_BYTES: typing.Final = 900 * 1024


class FetchAnswer(wire_api.Message, frozen=True, tag='once.fetch'):
    """Asks the holder of a key for the whole answer."""

    key: bytes


class AnswerBody(wire_api.Message, frozen=True, tag='once.answer'):
    """The whole answer."""

    answer: api.StoredAnswer


class AnswerStore:
    """Whole answers by key; the oldest go when the bytes are used up."""

    def __init__(self, max_bytes: int = STORE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._answers: collections.OrderedDict[bytes, api.StoredAnswer]
        self._answers = collections.OrderedDict()

    def get(self, key: bytes) -> api.StoredAnswer | None:
        """Return the whole answer of a key if it is still here."""
        return self._answers.get(key)

    def put(self, key: bytes, answer: api.StoredAnswer) -> None:
        """Keep an answer if it can be kept and fetched."""
        if size(answer) > min(self._max_bytes, MAX_FETCH_BYTES):
            return
        self._answers[key] = answer
        self._bytes += size(answer)
        while self._bytes > self._max_bytes:
            _, old = self._answers.popitem(last=False)
            self._bytes -= size(old)


def size(answer: api.StoredAnswer) -> int:
    """Return the bytes of an answer's headers and body."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers

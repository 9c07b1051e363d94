"""Answers of the platform's store: its era and the records of its log."""

from __future__ import annotations

import struct
import typing

import expression

from ..external import api as external_api
from ..gateway import store_api

if typing.TYPE_CHECKING:
    from collections import abc

    import httpx

__all__ = [
    'PAGE_HEADER',
    'RECORD_LENGTH',
    'is_other_era',
    'join_record',
    'log_page',
    'split_record',
    'store_era',
]

# Rises by one each time that the store comes back from an older copy.
_ERA: typing.Final = 'store-era'
_MAX_ERA: typing.Final = 1_000_000
PAGE_HEADER: typing.Final = struct.Struct('>QQ')
RECORD_LENGTH: typing.Final = struct.Struct('>I')


def store_era(response: httpx.Response) -> int:
    """Return the era in which a call was answered, zero if not reported."""
    text = response.headers.get(_ERA, '')
    if not (text.isascii() and text.isdecimal() and len(text) < 10):
        return 0
    era = int(text)
    return era if era <= _MAX_ERA else 0


def is_other_era(position: store_api.Position, era: int) -> bool:
    """Whether an answer's era is known to be another than a position's."""
    return bool(era and position.era) and era != position.era


def log_page(
    answer: expression.Result[httpx.Response, store_api.StoreError],
    position: store_api.Position,
) -> expression.Result[store_api.LogRecords, store_api.StoreError]:
    """Decode the records of an answer that begin at a position."""
    if answer.is_error():
        return expression.Error(answer.error)
    body = answer.ok.content
    if len(body) < PAGE_HEADER.size:
        return expression.Error(external_api.Ambiguous('short_answer'))
    end, _ = PAGE_HEADER.unpack_from(body)
    era = store_era(answer.ok)
    if is_other_era(position, era) or end < position.offset:
        return expression.Error(store_api.Restored(era))
    records = tuple(_records(body))
    after = store_api.Position(
        era or position.era, position.offset + len(records)
    )
    return expression.Ok(store_api.LogRecords(records, after, end))


def _records(body: bytes) -> abc.Iterator[bytes]:
    position = PAGE_HEADER.size
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        if position + length > len(body):
            return
        yield body[position : position + length]
        position += length


def join_record(key: str, value: bytes) -> bytes:
    """Return a record with its key, which is at most 255 bytes long."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def split_record(record: bytes) -> store_api.NewestRecord:
    """Split a record into key and value; a malformed one has no key."""
    if not record or len(record) < 1 + record[0]:
        return store_api.NewestRecord('', b'')
    end = 1 + record[0]
    key = record[1:end].decode('utf-8', 'replace')
    return store_api.NewestRecord(key, record[end:])

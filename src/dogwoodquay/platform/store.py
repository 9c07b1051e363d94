"""HTTP calls to the platform's store."""

from __future__ import annotations

import base64
import binascii
import typing
import urllib.parse

import expression
import msgspec

from ..external import api as external_api
from ..external import decoding
from ..gateway import store_api
from . import log_pages

if typing.TYPE_CHECKING:
    from collections import abc

    import httpx

    from ..external.http import client
    from ..external.http import sending
    from ..gateway import settings

__all__ = [
    'CONFIGURATION',
    'CONFIGURATION_KEY',
    'CRASHES',
    'PlatformStore',
    'SERVERS',
]

CONFIGURATION: typing.Final = store_api.Topic('keyed.op')
CONFIGURATION_KEY: typing.Final = 'config'
SERVERS: typing.Final = store_api.Topic('keyed.servers')
CRASHES: typing.Final = store_api.Topic('keyed.crashes')

_OK: typing.Final = 200
_GONE: typing.Final = 410
_NOT_EXECUTED: typing.Final = frozenset({429, 503})
_JSON: typing.Final = (('content-type', 'application/json'),)
_BINARY: typing.Final = (('content-type', 'application/octet-stream'),)
# Time for each further page of the newest records to begin.
_PAGE_SECONDS: typing.Final = 1.0
# The store returns at least one record, whatever its size.
_SINGLE_KILOBYTES: typing.Final = 1


class _Body(msgspec.Struct, rename='pascal'):
    """The base of all bodies; unknown fields are ignored."""


class _Item(_Body):
    key: str
    value: str
    offset: int


class _Newest(_Body):
    end: int
    has_more: bool = False
    items: list[_Item] = msgspec.field(name='items', default_factory=list)


class _TrimmedBody(_Body):
    first: int = 0


class _Join(_Body):
    member: str
    topics: list[str]
    ttl_ms: int
    generation: int
    group: str = msgspec.field(name='group')


class _Joined(_Body):
    generation: int
    # Each row has a topic, a partition and its committed offset.
    parts: list[tuple[str, int, int]] = msgspec.field(
        name='parts', default_factory=list
    )


class _Leave(_Body):
    member: str
    group: str = msgspec.field(name='group')


# A topic, a partition, the member that owns it, and an offset.
_OwnerRow = tuple[str, int, str | None, int]


class PlatformStore:
    """A client of the store's HTTP interface; see ``store_api.Store``."""

    def __init__(
        self, connections: client.Connections, address: settings.Address
    ) -> None:
        self._connections = connections
        self._address = address
        self._era = 0

    @property
    def era(self) -> int:
        """The newest era that an answer told, zero if none did."""
        return self._era

    async def newest(
        self,
        topic: store_api.Topic,
        deadline: float,
        on_begin: abc.Callable[[], None] = store_api.ignore_begin,
    ) -> expression.Result[store_api.Records, store_api.StoreError]:
        """Return the newest record of each key of a topic.

        The pages do not form a snapshot. The returned position is therefore
        the end as of the first page, so that a reader that continues there
        reads the changes made between pages again. Pages of different eras
        are not put together.
        """
        records: dict[str, bytes] = {}
        start: store_api.Position | None = None
        after = ''
        while True:
            path = _path('/log-newest', Topic=topic.name, part=0, after=after)
            answer = await self._download(path, deadline, lambda _: on_begin())
            deadline = self._connections.now() + _PAGE_SECONDS
            if answer.is_error():
                return expression.Error(answer.error)
            page = _decoded(answer.ok, _Newest)
            if page.is_error():
                return expression.Error(page.error)
            for item in page.ok.items:
                records[item.key] = _value(item.value)
                after = item.key
            era = log_pages.store_era(answer.ok)
            if start is None:
                start = store_api.Position(era, page.ok.end)
            elif log_pages.is_other_era(start, era):
                return expression.Error(store_api.Restored(era))
            if not page.ok.has_more or not page.ok.items:
                break
        pairs = (store_api.NewestRecord(*pair) for pair in records.items())
        return expression.Ok(
            store_api.Records(tuple(pairs), start, start.offset)
        )

    async def read(
        self,
        topic: store_api.Topic,
        position: store_api.Position,
        wait_seconds: float,
        deadline: float,
        single: bool = False,
        on_begin: abc.Callable[[], None] = store_api.ignore_begin,
    ) -> expression.Result[store_api.Records, store_api.StoreError]:
        """Return the records from a position on; wait for the first one."""
        path = _path(
            '/log-read',
            Topic=topic.name,
            part=0,
            From=position.offset,
            WaitMs=int(wait_seconds * 1000),
            MaxKb=_SINGLE_KILOBYTES if single else '',
        )

        def on_received(size: int) -> None:
            if size > log_pages.PAGE_HEADER.size:
                on_begin()

        page = log_pages.log_page(
            await self._download(path, deadline, on_received), position
        )
        if page.is_error():
            return expression.Error(page.error)
        records, after, end = page.ok
        return expression.Ok(
            store_api.Records(
                tuple(log_pages.split_record(record) for record in records),
                after,
                end,
            )
        )

    async def append(
        self, topic: store_api.Topic, record: bytes, deadline: float
    ) -> expression.Result[None, store_api.StoreError]:
        """Append a record to a topic without keys."""
        return await self._append(topic, (record,), deadline)

    async def write(
        self,
        topic: store_api.Topic,
        records: abc.Mapping[str, bytes],
        deadline: float,
    ) -> expression.Result[None, store_api.StoreError]:
        """Write records with their keys; an empty value deletes one."""
        return await self._append(
            topic,
            (log_pages.join_record(*item) for item in records.items()),
            deadline,
        )

    async def read_log(
        self,
        topic: store_api.Topic,
        position: store_api.Position,
        deadline: float,
    ) -> expression.Result[store_api.LogRecords, store_api.StoreError]:
        """Return the records of a topic without keys from a position on."""
        path = _path(
            '/log-read',
            Topic=topic.name,
            part=0,
            From=position.offset,
            WaitMs=0,
        )
        return log_pages.log_page(
            await self._download(path, deadline), position
        )

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        ttl_seconds: float,
        generation: int,
        deadline: float,
    ) -> expression.Result[store_api.Membership, store_api.StoreError]:
        """Join a group or renew the membership."""
        body = _Join(
            member=member,
            topics=[topic],
            ttl_ms=int(ttl_seconds * 1000),
            generation=generation,
            group=group,
        )
        answer = await self._call('POST', '/log-join', deadline, body)
        if answer.is_error():
            return expression.Error(answer.error)
        decoded = _decoded(answer.ok, _Joined)
        if decoded.is_error():
            return expression.Error(decoded.error)
        owned = frozenset(
            row[1] for row in decoded.ok.parts if row[0] == topic
        )
        return expression.Ok(
            store_api.Membership(
                decoded.ok.generation, owned, log_pages.store_era(answer.ok)
            )
        )

    async def leave(self, group: str, member: str, deadline: float) -> bool:
        """Leave a group, so that the membership need not expire first."""
        body = _Leave(member=member, group=group)
        answer = await self._call('POST', '/log-leave', deadline, body)
        return bool(answer.is_ok())

    async def owner(
        self, group: str, partition: int, deadline: float
    ) -> expression.Result[store_api.GroupView, store_api.StoreError]:
        """Return the owner of a partition."""
        path = _path('/log-owners', group=group)
        answer = await self._call('GET', path, deadline)
        if answer.is_error():
            return expression.Error(answer.error)
        rows = _owner_rows(answer.ok)
        if rows.is_error():
            return expression.Error(rows.error)
        owners = {number: member or '' for _, number, member, _ in rows.ok}
        return expression.Ok(
            store_api.GroupView(
                owners.get(partition, ''), any(owners.values())
            )
        )

    async def _append(
        self,
        topic: store_api.Topic,
        records: abc.Iterable[bytes],
        deadline: float,
    ) -> expression.Result[None, store_api.StoreError]:
        result = await self._connections.fetch(
            *self._address,
            'POST',
            _path('/log-append', Topic=topic.name, part=0),
            deadline,
            b''.join(
                log_pages.RECORD_LENGTH.pack(len(record)) + record
                for record in records
            ),
            _BINARY,
        )
        answer = self._check(result)
        if answer.is_error():
            return expression.Error(answer.error)
        return expression.Ok(None)

    async def _call(
        self,
        method: str,
        path: str,
        deadline: float,
        body: _Body | None = None,
    ) -> expression.Result[httpx.Response, store_api.StoreError]:
        result = await self._connections.fetch(
            *self._address,
            method,
            path,
            deadline,
            b'' if body is None else msgspec.json.encode(body),
            _JSON if body is not None else (),
        )
        return self._check(result)

    async def _download(
        self,
        path: str,
        deadline: float,
        on_received: abc.Callable[[int], None] = lambda _: None,
    ) -> expression.Result[httpx.Response, store_api.StoreError]:
        """Read an answer of any size that begins before a deadline."""
        result = await self._connections.download(
            *self._address, path, deadline, on_received
        )
        return self._check(result)

    def _check(
        self, result: expression.Result[httpx.Response, sending.SendError]
    ) -> expression.Result[httpx.Response, store_api.StoreError]:
        """Turn every status but success into an error."""
        if result.is_error():
            return expression.Error(result.error)
        response = result.ok
        self._era = max(self._era, log_pages.store_era(response))
        if response.status_code == _OK:
            return expression.Ok(response)
        if response.status_code == _GONE:
            trimmed = _decoded(response, _TrimmedBody)
            first_offset = trimmed.ok.first if trimmed.is_ok() else 0
            return expression.Error(external_api.Trimmed(first_offset))
        reason = f'status_{response.status_code}'
        if response.status_code in _NOT_EXECUTED:
            return expression.Error(external_api.Unavailable(reason))
        return expression.Error(external_api.Refused(reason))


_Kind = typing.TypeVar('_Kind')


def _decoded(
    response: httpx.Response, kind: type[_Kind]
) -> expression.Result[_Kind, external_api.Ambiguous]:
    decoded = decoding.decode_json(response.content, kind)
    if decoded.is_error():
        return expression.Error(external_api.Ambiguous(decoded.error))
    return expression.Ok(decoded.ok)


def _owner_rows(
    response: httpx.Response,
) -> expression.Result[list[_OwnerRow], external_api.Ambiguous]:
    """Decode the rows, which come as a list or as an object with a list."""
    decoded = _decoded(response, object)
    if decoded.is_error():
        return expression.Error(decoded.error)
    rows = decoded.ok
    if isinstance(rows, dict):
        lists = [value for value in rows.values() if isinstance(value, list)]
        rows = lists[0] if lists else []
    try:
        return expression.Ok(msgspec.convert(rows, list[_OwnerRow]))
    except msgspec.ValidationError as error:
        return expression.Error(external_api.Ambiguous(str(error)))


def _path(path: str, **query: str | int) -> str:
    non_empty = {name: value for name, value in query.items() if value != ''}
    return f'{path}?{urllib.parse.urlencode(non_empty)}'


def _value(text: str) -> bytes:
    """Decode a base64 value; return any other text as it is.

    The decoder of the value then reports the error.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return text.encode('utf-8', 'replace')

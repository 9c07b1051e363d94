"""Tests of the calls to the platform's store."""

from __future__ import annotations

import base64
import json
import struct
import typing
import unittest
import urllib.parse

import expression
import httpx

from dogwoodquay.external import api as external_api
from dogwoodquay.external.http import client
from dogwoodquay.external.http import sending
from dogwoodquay.gateway import settings
from dogwoodquay.gateway import store_api
from dogwoodquay.platform import store

if typing.TYPE_CHECKING:
    from collections import abc

TOPIC = store_api.Topic('keyed.any')
LOG_TOPIC = store_api.Topic('any')
ADDRESS = settings.Address('192.0.2.1', 1)
_AT_4 = store_api.Position(0, 4)


class _Connections:
    """Answers each download with the next response."""

    def __init__(self, *responses: httpx.Response) -> None:
        self._responses = list(responses)
        self.queries: list[dict[str, str]] = []
        self.deadlines: list[float] = []
        self.bodies: list[bytes] = []
        self.time = 100.0

    def now(self) -> float:
        """Return the time, a second later after each download."""
        return self.time

    async def fetch(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        deadline: float,
        body: bytes = b'',
        headers: client.Headers = (),
    ) -> expression.Result[httpx.Response, sending.SendError]:
        """Return the next response."""
        self.bodies.append(body)
        query = urllib.parse.urlsplit(path).query
        self.queries.append(dict(urllib.parse.parse_qsl(query)))
        return expression.Ok(self._responses.pop(0))

    async def download(
        self,
        address: str,
        port: int,
        path: str,
        deadline: float,
        on_received: abc.Callable[[int], None],
    ) -> expression.Result[httpx.Response, sending.SendError]:
        """Return the next response."""
        self.time += 1.0
        query = urllib.parse.urlsplit(path).query
        self.queries.append(dict(urllib.parse.parse_qsl(query)))
        self.deadlines.append(deadline)
        response = self._responses.pop(0)
        if response.is_success:
            on_received(len(response.content))
        return expression.Ok(response)


def _store(connections: _Connections) -> store.PlatformStore:
    return store.PlatformStore(
        typing.cast('client.Connections', connections), ADDRESS
    )


def _log(end: int, *values: bytes) -> httpx.Response:
    body = struct.pack('>QQ', end, 0)
    for value in values:
        record = b'\x01k' + value
        body += struct.pack('>I', len(record)) + record
    return httpx.Response(200, content=body)


def _newest(end: int, key: str, more: bool) -> httpx.Response:
    value = base64.b64encode(b'v').decode()
    items = [{'Key': key, 'Value': value, 'Offset': 0}]
    fields = {'items': items, 'HasMore': more, 'End': end}
    return httpx.Response(200, content=json.dumps(fields).encode())


class LogTest(unittest.IsolatedAsyncioTestCase):
    """Topics without keys hold records as they are."""

    async def test_append(self) -> None:
        """A record is sent with its length before it."""
        connections = _Connections(httpx.Response(200, content=b'{}'))
        answer = await _store(connections).append(LOG_TOPIC, b'abc', 9.0)
        self.assertTrue(answer.is_ok())
        self.assertEqual([b'\x00\x00\x00\x03abc'], connections.bodies)
        self.assertEqual([{'Topic': 'any', 'part': '0'}], connections.queries)

    async def test_append_refused(self) -> None:
        """The store turns the caller away and has done nothing."""
        connections = _Connections(httpx.Response(503))
        answer = await _store(connections).append(LOG_TOPIC, b'abc', 9.0)
        self.assertEqual(external_api.Unavailable('status_503'), answer.error)

    async def test_write(self) -> None:
        """Records with keys are sent in one call; an empty value deletes."""
        connections = _Connections(httpx.Response(200, content=b'{}'))
        answer = await _store(connections).write(
            TOPIC, {'ab': b'c', 'd': b''}, 9.0
        )
        self.assertTrue(answer.is_ok())
        body = b'\x00\x00\x00\x04\x02abc\x00\x00\x00\x02\x01d'
        self.assertEqual([body], connections.bodies)

    async def test_read(self) -> None:
        """Records are returned whole; the end tells of more."""
        body = struct.pack('>QQ', 7, 2) + b'\x00\x00\x00\x03\x01ab'
        body += b'\x00\x00\x00\x00'
        connections = _Connections(httpx.Response(200, content=body))
        page = (await _store(connections).read_log(LOG_TOPIC, _AT_4, 9.0)).ok
        self.assertEqual(
            store_api.LogRecords(
                (b'\x01ab', b''), store_api.Position(0, 6), 7
            ),
            page,
        )
        self.assertEqual(
            [{'Topic': 'any', 'part': '0', 'From': '4', 'WaitMs': '0'}],
            connections.queries,
        )

    async def test_read_expired(self) -> None:
        """The error names the oldest record that is left."""
        response = httpx.Response(410, content=b'{"First": 12}')
        store_ = _store(_Connections(response))
        answer = await store_.read_log(LOG_TOPIC, _AT_4, 9.0)
        self.assertEqual(external_api.Trimmed(12), answer.error)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    """Reads tell of records that they do not contain."""

    async def _read(
        self, connections: _Connections
    ) -> expression.Result[store_api.Records, store_api.StoreError]:
        self.begun = 0

        def on_begin() -> None:
            self.begun += 1

        return await _store(connections).read(
            TOPIC, _AT_4, 5.0, 9.0, single=True, on_begin=on_begin
        )

    async def test_single_record(self) -> None:
        """The end of the topic shows whether there are more records."""
        connections = _Connections(_log(7, b'v'))
        page = (await self._read(connections)).ok
        self.assertEqual((store_api.NewestRecord('k', b'v'),), page.records)
        self.assertEqual(store_api.Position(0, 5), page.position)
        self.assertTrue(page.incomplete)
        self.assertEqual('1', connections.queries[0]['MaxKb'])
        self.assertEqual(1, self.begun)

    async def test_no_record(self) -> None:
        """A poll that ends without a record does not tell of one."""
        page = (await self._read(_Connections(_log(4)))).ok
        self.assertFalse(page.incomplete)
        self.assertEqual(0, self.begun)

    async def test_trimmed(self) -> None:
        """An error does not tell of a record."""
        response = httpx.Response(410, content=b'{"First": 1234567890}')
        error = (await self._read(_Connections(response))).error
        self.assertEqual(external_api.Trimmed(1234567890), error)
        self.assertEqual(0, self.begun)


class NewestTest(unittest.IsolatedAsyncioTestCase):
    """The newest records are read page by page."""

    async def test_deadline_of_each_page(self) -> None:
        """A page is not due before it has been asked for."""
        connections = _Connections(
            _newest(3, 'a', True),
            _newest(4, 'b', True),
            _newest(5, 'c', False),
        )
        page = (await _store(connections).newest(TOPIC, 101.0)).ok
        self.assertEqual(['a', 'b', 'c'], [item.key for item in page.records])
        self.assertEqual(store_api.Position(0, 3), page.position)
        self.assertEqual([101.0, 102.0, 103.0], connections.deadlines)


class EraTest(unittest.IsolatedAsyncioTestCase):
    """Positions count in the era of the store that answered."""

    def _of_era(self, response: httpx.Response, era: str) -> httpx.Response:
        response.headers['Store-Era'] = era
        return response

    async def _read(
        self, response: httpx.Response, era: int
    ) -> expression.Result[store_api.Records, store_api.StoreError]:
        return await _store(_Connections(response)).read(
            TOPIC, store_api.Position(era, 4), 0.0, 9.0
        )

    async def test_same_era(self) -> None:
        """The next position is of the same era, also if it is not told."""
        for response in (self._of_era(_log(5, b'v'), '7'), _log(5, b'v')):
            page = (await self._read(response, 7)).ok
            self.assertEqual(store_api.Position(7, 5), page.position)

    async def test_unknown_era(self) -> None:
        """The first answer that tells the era is believed."""
        page = (await self._read(self._of_era(_log(5, b'v'), '7'), 0)).ok
        self.assertEqual(store_api.Position(7, 5), page.position)

    async def test_other_era(self) -> None:
        """Records at an offset of another era are not returned."""
        for era in ('6', '8'):
            response = self._of_era(_log(5, b'v'), era)
            error = (await self._read(response, 7)).error
            self.assertEqual(store_api.Restored(int(era)), error)

    async def test_end_before_the_position(self) -> None:
        """A topic that has become shorter has been restored."""
        error = (await self._read(_log(3), 0)).error
        self.assertEqual(store_api.Restored(0), error)

    async def test_log(self) -> None:
        """Topics without keys are read in the same way."""
        response = self._of_era(httpx.Response(200, content=bytes(16)), '3')
        answer = await _store(_Connections(response)).read_log(
            LOG_TOPIC, store_api.Position(2, 0), 9.0
        )
        self.assertEqual(store_api.Restored(3), answer.error)

    async def test_pages_of_two_eras(self) -> None:
        """The newest records of two eras are not put together."""
        connections = _Connections(
            self._of_era(_newest(3, 'a', True), '1'),
            self._of_era(_newest(4, 'b', False), '2'),
        )
        answer = await _store(connections).newest(TOPIC, 101.0)
        self.assertEqual(store_api.Restored(2), answer.error)

    async def test_newest_era(self) -> None:
        """Each answer tells it, also one that refuses a call."""
        connections = _Connections(
            self._of_era(httpx.Response(200, content=b'{}'), '4'),
            self._of_era(httpx.Response(503), '6'),
            self._of_era(httpx.Response(200, content=b'{}'), '5'),
        )
        store_ = _store(connections)
        self.assertEqual(0, store_.era)
        for era in (4, 6, 6):
            await store_.append(LOG_TOPIC, b'abc', 9.0)
            self.assertEqual(era, store_.era)

"""Tests of dropping extra answers to earlier requests."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from dogwoodquay.external.http import earlier_answers
from dogwoodquay.external.http import network

_OWN = b'HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok'
_EXTRA = b'HTTP/1.1 500 X\r\nId: a\r\nContent-Length: 3\r\n\r\nbad'
_CHUNKED = (
    b'HTTP/1.1 200 X\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nab\r\n0\r\n\r\n'
)
_NO_BODY = b'HTTP/1.1 200 X\r\nId: h\r\nContent-Length: 3\r\n\r\n'
_EMPTY = b'HTTP/1.1 204 X\r\nId: a\r\n\r\n'
_HINT = b'HTTP/1.1 103 X\r\nLink: x\r\n\r\n'
_NAMED_HINT = b'HTTP/1.1 103 X\r\nId: a\r\n\r\n'


def _earlier() -> earlier_answers.EarlierAnswers:
    methods = {'a': 'POST', 'c': 'CONNECT', 'h': 'HEAD'}
    return earlier_answers.EarlierAnswers('own', methods.get)


class DroppedTest(unittest.TestCase):
    """The awaited answer is passed on unchanged, and nothing else."""

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from((_EXTRA, _CHUNKED, _NO_BODY, _EMPTY)),
            max_size=4,
        ),
        strategies.lists(
            strategies.sampled_from((_HINT, _NAMED_HINT)), max_size=2
        ),
        strategies.lists(strategies.integers(1, 60), max_size=20),
    )
    def test_any_parts(
        self, extra: list[bytes], hints: list[bytes], sizes: list[int]
    ) -> None:
        """However the bytes are split into reads.

        An informational head does not tell whose answer follows.
        """
        earlier = _earlier()
        data = b''.join([*hints, *extra, *hints, _OWN])
        passed = b''
        for size in (*sizes, len(data)):
            passed += earlier.feed(data[:size])
            data = data[size:]
        self.assertEqual((_OWN, len(extra)), (passed, earlier.dropped))

    def test_unknown_id(self) -> None:
        """An answer that names no earlier request is passed on."""
        data = _EXTRA.replace(b'Id: a', b'Id: b') + _OWN
        self.assertEqual(data, _earlier().feed(data))

    def test_id_within_another(self) -> None:
        """The awaited id is a part of what an extra answer's head says."""
        methods = {'a-own': 'POST'}
        earlier = earlier_answers.EarlierAnswers('own', methods.get)
        extra = _EXTRA.replace(b'Id: a', b'Id: a-own')
        self.assertEqual(_OWN, earlier.feed(extra + _OWN))

    def test_own_id_first(self) -> None:
        """Nothing is dropped once the awaited answer has begun."""
        data = _OWN + _EXTRA
        self.assertEqual(data, _earlier().feed(data))

    def test_bare_line_feeds(self) -> None:
        """Lines may end without a carriage return, as the parser has it."""
        data = (_EXTRA + _OWN).replace(b'\r\n', b'\n')
        own = _OWN.replace(b'\r\n', b'\n')
        for size in (1, len(data)):
            earlier = _earlier()
            passed = b''.join(
                earlier.feed(data[start : start + size])
                for start in range(0, len(data), size)
            )
            self.assertEqual(own, passed)

    def test_no_head(self) -> None:
        """Bytes that cannot begin a head are passed on at once."""
        for data in (b'\x00', b'\r\n', b'HTTZ', b'nonsense'):
            self.assertEqual(data, _earlier().feed(data))

    def test_no_answer(self) -> None:
        """Bytes that are no answer are passed on with their end."""
        data = b'\x00 nonsense\r\n\r\n'
        self.assertEqual(data, _earlier().feed(data))


class UnreadableTest(unittest.TestCase):
    """What follows is not trusted if the end of an answer is not known."""

    def _assert_unreadable(self, data: bytes) -> None:
        with self.assertRaises(earlier_answers.Unreadable):
            _earlier().feed(data)

    def test_another_answer_in_its_body(self) -> None:
        """Its end was cut off; reads may end anywhere."""
        cut = _EXTRA.replace(b'Length: 3', b'Length: 99')
        for size in range(1, len(cut + _OWN)):
            earlier = _earlier()
            data = cut + _OWN
            with self.assertRaises(earlier_answers.Unreadable):
                earlier.feed(data[:size])
                earlier.feed(data[size:])

    def test_end_not_marked(self) -> None:
        """It would end with the connection."""
        extra = _EXTRA.replace(b'Content-Length', b'Other')
        self._assert_unreadable(extra + _OWN)

    def test_tunnel(self) -> None:
        """A success of this method has no end."""
        self._assert_unreadable(
            _EXTRA.replace(b'500 X\r\nId: a', b'200 X\r\nId: c')
        )

    def test_connection_ends(self) -> None:
        """The server says that no answer follows."""
        extra = _EXTRA.replace(b'Id', b'Connection: close\r\nId')
        self._assert_unreadable(extra + _OWN)

    def test_many(self) -> None:
        """Reading past them would take long."""
        for data in (_EMPTY, _EMPTY + _HINT):
            self._assert_unreadable(data * 64 + _OWN)

    def test_truncated(self) -> None:
        """The awaited answer is not read as the rest of an extra one."""
        extra = _EXTRA.replace(b'Length: 3', b'Length: 300')
        data = extra + _OWN
        self._assert_unreadable(data)
        for size in (1, 7, 20):
            with self.assertRaises(earlier_answers.Unreadable):
                earlier = _earlier()
                for start in range(0, len(data), size):
                    earlier.feed(data[start : start + size])

    def test_broken_chunks(self) -> None:
        """The size of a chunk is no number."""
        self._assert_unreadable(_CHUNKED.replace(b'2\r\n', b'?\r\n') + _OWN)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    """Much that is dropped is read in steps, between which others run."""

    async def test_endless(self) -> None:
        """The body of an extra answer is limited as other bodies are."""
        extra = _EXTRA.replace(b'Length: 3', b'Length: %d' % (1 << 30))
        parts = itertools.chain((extra,), itertools.repeat(b'x' * (1 << 16)))
        connection = mock.Mock(read=mock.AsyncMock(side_effect=parts))
        stream = network.Stream(connection)
        stream.drop_answers(_earlier())
        with self.assertRaises(network.HeadTooLarge):
            await stream.read(1 << 16)
        most = network.MAX_DROPPED_BYTES // (1 << 16) + 2
        self.assertLessEqual(connection.read.await_count, most)

    async def test_small_chunks(self) -> None:
        """The event loop turns between the steps, also within one read."""
        extra = _CHUNKED.replace(b'2\r\nab\r\n', b'1\r\na\r\n' * 4096)
        connection = mock.Mock(read=mock.AsyncMock(return_value=extra + _OWN))
        stream = network.Stream(connection)
        stream.drop_answers(_earlier())
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        self.assertEqual(_OWN, await stream.read(1 << 16))
        counting.cancel()
        self.assertLess(4, turns)


if __name__ == '__main__':
    unittest.main()

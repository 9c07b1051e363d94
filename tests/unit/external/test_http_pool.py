"""Tests of the idle connections of the HTTP client."""

from __future__ import annotations

import typing
import unittest

from dogwoodquay import clock as clocks
from dogwoodquay.external.http import pool
from dogwoodquay.external.http import uses

_ENDPOINT: typing.Final = ('127.0.0.1', 1)


class _Connection:
    """An idle connection that is never opened."""

    def __init__(self) -> None:
        self.closed = False

    def is_idle(self) -> bool:
        """Whether it can be reused."""
        return True

    def has_expired(self) -> bool:
        """Whether the other end has closed it."""
        return False

    async def aclose(self) -> None:
        """Close it."""
        self.closed = True


class _PoolTest(unittest.IsolatedAsyncioTestCase):
    """A pool with two idle connections; the second was used for ``a``."""

    refused = False

    async def asyncSetUp(self) -> None:
        """Put two idle connections into the pool."""
        self.clock = clocks.ManualClock()
        self.pool = pool.ConnectionPool(self.clock, 60.0)
        self.first = await self._release(_Connection())
        self.second = await self._release(_Connection(), 'a')

    async def _release(
        self, connection: _Connection, request_id: str = ''
    ) -> _Connection:
        acquired = self._acquired(connection)
        await self._return(acquired, request_id)
        return connection

    def _acquired(self, connection: _Connection) -> pool.Acquired:
        return pool.Acquired(
            typing.cast('typing.Any', connection), uses.Uses()
        )

    async def _return(
        self,
        acquired: pool.Acquired,
        request_id: str = '',
        deadline: float = 0.0,
    ) -> None:
        now = self.clock.now()
        acquired.uses.add(request_id, 'GET', self.refused, deadline, now)
        await self.pool.release(*_ENDPOINT, acquired)

    async def _acquire(self, *request_ids: str) -> pool.Acquired:
        return await self.pool.acquire(*_ENDPOINT, request_ids)


class UsedTest(_PoolTest):
    """Connections that were used for a request before (MIXED)."""

    async def test_left_out(self) -> None:
        """An older connection is used, then a new one."""
        found = await self._acquire('a')
        self.assertIs(self.first, found.connection)
        new = await self._acquire('a')
        self.assertNotIn(new.connection, (self.first, self.second))

    async def test_left_out_for_one_of_several(self) -> None:
        """Requests may have to go apart from those of other kinds."""
        found = await self._acquire('b', 'a')
        self.assertIs(self.first, found.connection)

    async def test_still_used_for_others(self) -> None:
        """What was left out is kept, in the same order."""
        await self._acquire('a')
        found = await self._acquire('b')
        self.assertIs(self.second, found.connection)
        self.assertFalse(self.second.closed)

    async def test_remembered(self) -> None:
        """A connection stays left out after other requests."""
        found = await self._acquire('b')
        await self._return(found, 'b')
        for request_id in ('a', 'b'):
            found = await self._acquire(request_id)
            self.assertIsNot(self.second, found.connection)
            await self._return(found)


class RefusedTest(UsedTest):
    """The same for requests that were refused."""

    refused = True

    async def test_refused_for_many(self) -> None:
        """A connection is closed rather than remembered without limit."""
        connection = _Connection()
        acquired = self._acquired(connection)
        for number in range(uses.MAX_BARRED_REQUESTS + 1):
            await self._return(acquired, f'c{number}')
            acquired = await self._acquire('d')
        self.assertTrue(connection.closed)

    async def test_never_forgotten(self) -> None:
        """Answers to other requests do not supersede a refusal."""
        found = await self._acquire('b')
        self.refused = False
        for number in range(2 * uses.MIN_RECENT_REQUESTS):
            await self._return(found, f'c{number}')
            found = await self._acquire(f'd{number}')
            self.assertIs(self.second, found.connection)
        await self._return(found)
        found = await self._acquire('a')
        self.assertIsNot(self.second, found.connection)


class AnsweredTest(_PoolTest):
    """Connections that are used for many requests."""

    async def test_kept_open(self) -> None:
        """The oldest requests are forgotten, and the connection is kept."""
        found = await self._acquire('b')
        for number in range(2 * uses.MAX_BARRED_REQUESTS):
            await self._return(found, f'c{number}')
            found = await self._acquire(f'd{number}')
            self.assertIs(self.second, found.connection)
        self.assertFalse(self.second.closed)
        self.assertTrue(found.uses.includes([f'c{number}']))
        self.assertFalse(found.uses.includes(['a']))

    async def test_remembered_until_deadline(self) -> None:
        """Not forgotten while the request may be sent again (MIXED)."""
        deadline = self.clock.now() + 1.0
        found = await self._acquire('b')
        await self._return(found, 'b', deadline)
        for number in range(2 * uses.MIN_RECENT_REQUESTS):
            found = await self._acquire(f'd{number}')
            self.assertIs(self.second, found.connection)
            await self._return(found, f'c{number}')
        self.assertIsNot(self.second, (await self._acquire('b')).connection)
        self.clock.advance(2.0)
        found = await self._acquire('d')
        await self._return(found, 'c')
        self.assertIs(self.second, (await self._acquire('b')).connection)

    async def test_too_many_to_remember(self) -> None:
        """The connection is closed rather than remembered without limit."""
        deadline = self.clock.now() + 1.0
        for number in range(uses.MAX_REMEMBERED_REQUESTS + 2):
            found = await self._acquire('x')
            await self._return(found, f'c{number}', deadline)
        self.assertTrue(self.second.closed)


class BoundTest(_PoolTest):
    """Idle connections are closed that nobody will use."""

    async def test_unlisted_addresses(self) -> None:
        """Those to other addresses are kept."""
        other = _Connection()
        await self.pool.release('127.0.0.1', 2, self._acquired(other))
        self.assertEqual(3, self.pool.idle)
        await self.pool.keep_only({('127.0.0.1', 2)})
        self.assertTrue(self.first.closed and self.second.closed)
        self.assertFalse(other.closed)
        self.assertEqual(1, self.pool.idle)
        await self.pool.close()
        self.assertEqual((True, 0), (other.closed, self.pool.idle))

    async def test_bound(self) -> None:
        """No more are kept than a number over all addresses."""
        for port in range(pool.MAX_IDLE_CONNECTIONS + 50):
            acquired = await self.pool.acquire('127.0.0.1', 10_000 + port)
            await self.pool.release(
                '127.0.0.1', 10_000 + port, self._acquired(_Connection())
            )
            del acquired
        self.assertEqual(pool.MAX_IDLE_CONNECTIONS, self.pool.idle)

    async def test_counts(self) -> None:
        """Each connection is in use, idle or closed."""
        found = [await self._acquire() for _ in range(3)]
        self.assertEqual(0, self.pool.idle)
        used = self.pool.in_use
        await self.pool.discard(found[2])
        for item in found[:2]:
            await self._return(item)
        self.assertEqual(used - 3, self.pool.in_use)
        self.assertEqual(2, self.pool.idle)

"""Tests of the operators' interface."""

from __future__ import annotations

import unittest

import anyio
import httpx

from dogwoodquay import clock
from dogwoodquay.operators import api
from dogwoodquay.operators import app
from dogwoodquay.operators import client
from dogwoodquay.operators import tables

TOKEN = 'a-token-for-operators'
STATUS = api.Status(
    instance_id='entry-1',
    incarnation=1,
    time=0.0,
    ready=False,
    leaving=False,
    configuration=api.ConfigurationStatus(
        offset=7,
        digest='abc',
        log_reachable=False,
        refused=(api.RefusedStatus(6, 'model', 'x', 'no_room', 'why'),),
    ),
    members=(),
    targets=(api.TargetStatus('model', 'tickets', 'tickets@1', ()),),
    pools=(
        api.PoolStatus(
            pool='lakes',
            owner='',
            epoch=3,
            version=1,
            moves=2,
            servers=(),
            infeasible=(
                api.InfeasibleStatus('lots@1', 'memory', 3 << 30, 1 << 30),
            ),
        ),
    ),
)


class _Source:
    """A constant status."""

    ready = False

    def status(self):
        return STATUS

    async def in_force(self, offset, deadline):
        return api.InForce(offset, ('entry-1',), ('entry-2',), ())


def _request(path, token=TOKEN, method='GET'):
    subject = app.OperatorsApp(
        _Source(), TOKEN, clock.ManualClock(), lambda: b'a_metric 1\n'
    )

    async def call():
        transport = httpx.ASGITransport(subject)
        async with httpx.AsyncClient(
            transport=transport, base_url='http://127.0.0.1'
        ) as http:
            headers = {'authorization': f'Bearer {token}'}
            return await http.request(method, path, headers=headers)

    return anyio.run(call)


class OperatorsAppTest(unittest.TestCase):
    """Responses of the operators' interface."""

    def test_status_needs_the_token(self):
        """A wrong or missing token is refused."""
        for token in ('', 'another', TOKEN + 'x'):
            self.assertEqual(401, _request('/status', token).status_code)
            self.assertEqual(
                401, _request('/in-force?offset=1', token).status_code
            )

    def test_status(self):
        """The status is sent as JSON."""
        response = _request('/status')
        self.assertEqual('entry-1', response.json()['instance_id'])

    def test_health_and_metrics_are_open(self):
        """Health and metrics need no token."""
        self.assertEqual(200, _request('/livez', '').status_code)
        self.assertEqual(503, _request('/readyz', '').status_code)
        self.assertEqual(b'a_metric 1\n', _request('/metrics', '').content)

    def test_bad_requests(self):
        """Bad paths, methods and queries get their own status codes."""
        self.assertEqual(404, _request('/nothing').status_code)
        self.assertEqual(405, _request('/status', method='POST').status_code)
        self.assertEqual(400, _request('/in-force').status_code)
        self.assertEqual(400, _request('/in-force?offset=x').status_code)

    def test_in_force(self):
        """The instances that are behind are listed."""
        self.assertEqual(
            ['entry-2'], _request('/in-force?offset=7').json()['behind']
        )


class OperatorsClientTest(unittest.TestCase):
    """The client of the operators' interface."""

    def test_unreachable_instance(self):
        """An unreachable instance gives an error result, no exception."""

        async def call():
            url = 'http://127.0.0.1:9'
            async with client.OperatorsClient(url, TOKEN) as subject:
                return await subject.status()

        self.assertTrue(anyio.run(call).is_error())


class TablesTest(unittest.TestCase):
    """Status tables."""

    def test_shows_problems(self):
        """The tables show refusals, missing replicas and missing memory."""
        output = tables.render(STATUS)
        for text in (
            'log unreachable',
            'nowhere',
            'none',
            'no_room',
            '3.0     1.0',
        ):
            self.assertIn(text, output)

    def test_empty_table(self):
        """A table without rows still has its header."""
        self.assertEqual('t\n  a  b', tables.table('t', ('a', 'b'), []))

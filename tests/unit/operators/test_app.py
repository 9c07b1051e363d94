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
    """A status that never changes."""

    ready = False

    def status(self):
        return STATUS

    async def in_force(self, offset, deadline):
        return api.InForce(offset, ('entry-1',), ('entry-2',), ())


def _ask(path, token=TOKEN, method='GET'):
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
    """Answers of the operators' interface."""

    def test_status_needs_the_token(self):
        """Another token, or none, is refused."""
        for token in ('', 'another', TOKEN + 'x'):
            self.assertEqual(401, _ask('/status', token).status_code)
            self.assertEqual(
                401, _ask('/in-force?offset=1', token).status_code
            )

    def test_status(self):
        """The status arrives whole."""
        answer = _ask('/status')
        self.assertEqual('entry-1', answer.json()['instance_id'])

    def test_health_and_metrics_are_open(self):
        """Health and metrics need no token."""
        self.assertEqual(200, _ask('/livez', '').status_code)
        self.assertEqual(503, _ask('/readyz', '').status_code)
        self.assertEqual(b'a_metric 1\n', _ask('/metrics', '').content)

    def test_bad_requests(self):
        """Bad paths, methods and queries are refused as such."""
        self.assertEqual(404, _ask('/nothing').status_code)
        self.assertEqual(405, _ask('/status', method='POST').status_code)
        self.assertEqual(400, _ask('/in-force').status_code)
        self.assertEqual(400, _ask('/in-force?offset=x').status_code)

    def test_in_force(self):
        """Instances that lag are named."""
        self.assertEqual(
            ['entry-2'], _ask('/in-force?offset=7').json()['behind']
        )


class OperatorsClientTest(unittest.TestCase):
    """The client for the command line."""

    def test_no_instance(self):
        """An instance that can't be reached is an error, not a traceback."""

        async def call():
            url = 'http://127.0.0.1:9'
            async with client.OperatorsClient(url, TOKEN) as subject:
                return await subject.status()

        self.assertTrue(anyio.run(call).is_error())


class TablesTest(unittest.TestCase):
    """Tables for a terminal."""

    def test_names_what_is_wrong(self):
        """Refusals, missing replicas and missing room are shown."""
        text = tables.render(STATUS)
        for part in (
            'log out of reach',
            'nowhere',
            'nobody',
            'no_room',
            '3.0     1.0',
        ):
            self.assertIn(part, text)

    def test_empty_table(self):
        """A table without rows has its columns."""
        self.assertEqual('t\n  a  b', tables.table('t', ('a', 'b'), []))

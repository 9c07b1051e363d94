"""Tests of decoding the platform's records, headers and settings."""

from __future__ import annotations

import json
import pathlib
import tempfile
import typing
import unittest

from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.gateway import api
from dogwoodquay.platform import headers
from dogwoodquay.platform import manifest
from dogwoodquay.platform import servers
from dogwoodquay.platform import settings
from dogwoodquay.routes import api as routes_api

MANIFEST: dict[str, typing.Any] = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'one',
            'Host': 'a.example',
            'PathPrefix': '/one/',
            'Type': 'streaming',
            'TimeoutMs': 12000,
            'TargetLatencyMs': 250,
            'Priority': 1,
            'WeightedBackends': [
                {'Service': 's1', 'Weight': 90},
                {'Service': 's2', 'Weight': 10},
            ],
            'MaxAttempts': 2,
            'Resumable': True,
            'GapAimMs': 150,
            'Unknown': {'x': 1},
        },
        {
            'Name': 'two',
            'Host': 'a.example',
            'PathPrefix': '/two/',
            'Type': 'non_idempotent',
            'TimeoutMs': 800,
            'Service': 's2',
        },
    ],
    'Services': [
        {
            'Name': 's1',
            'MaxConnections': 370,
            'Engine': {
                'Slots': 64,
                'KvCapacity': 1000,
                'WeightsMb': 200000.0,
                'MaxAdapters': 8,
                'LoadsPerS': 1.6,
                'Models': [
                    {
                        'Name': 'm',
                        'WeightsMb': 72700.0,
                        'LoadTimeS': 4.2,
                        'Adapters': 3,
                        'AdapterMb': 66.0,
                        'WarmupS': 0.63,
                        'DiskS': 0.84,
                    }
                ],
            },
        },
        {'Name': 's2'},
    ],
    'Limits': {'IdleTimeoutMs': 9000},
}

ENTRY: dict[str, typing.Any] = {
    'Service': 's1',
    'Address': '10.128.0.9:8080',
    'Zone': 'd1',
    'Version': 'v1',
    'Slots': 64,
    'State': 'ready',
    'Models': [{'Name': 'm', 'Version': 1, 'Adapters': ['a1']}],
    'Sequence': 4,
    'born': 1786216446851,
}


def _encoded(value: object) -> bytes:
    return json.dumps(value).encode()


class ManifestTest(unittest.TestCase):
    """The operators' configuration is decoded into this project's types."""

    def test_whole(self) -> None:
        """Times are in seconds, and a single service has the whole weight."""
        decoded = manifest.decode(_encoded(MANIFEST))
        configuration = decoded.ok
        self.assertEqual(7, configuration.version)
        stream, plain = configuration.routes
        self.assertEqual(12.0, stream.timeout_seconds)
        self.assertEqual(0.15, stream.gap_objective_seconds)
        self.assertEqual(2, len(stream.services))
        self.assertTrue(stream.resumable)
        self.assertIs(routes_api.RouteKind.NON_IDEMPOTENT, plain.kind)
        self.assertEqual('s2', plain.services[0].service)
        engine = configuration.services['s1'].engine
        assert engine is not None
        self.assertEqual(0.84, engine.models['m'].disk_load_seconds)
        self.assertIsNone(configuration.services['s2'].engine)
        self.assertEqual(9.0, configuration.limits.idle_timeout_seconds)

    def test_unknown_kind_is_not_repeated(self) -> None:
        """Requests of a route with an unknown type are not repeated."""
        changed = dict(MANIFEST['Routes'][1], Type='novel')
        body = dict(MANIFEST, Routes=[changed])
        (route,) = manifest.decode(_encoded(body)).ok.routes
        self.assertFalse(route.repeatable)

    def test_unreadable(self) -> None:
        """Bytes that are not a configuration result in an error."""
        for body in (b'', b'\xff\xfe', b'[]', b'{"Version": "x"}'):
            self.assertTrue(manifest.decode(body).is_error())


_SLOWER = '[Bounds]\nConfigApplyMs = 5000'


class ServerTest(unittest.TestCase):
    """Entries of servers are decoded, and malformed ones refused."""

    def test_whole(self) -> None:
        """All fields are decoded and have this project's names."""
        entry = servers.decode('i-1', _encoded(ENTRY)).ok
        self.assertEqual(('10.128.0.9', 8080), (entry.address, entry.port))
        self.assertEqual(4, entry.report_number)
        self.assertIs(fleet_api.ServerState.LIVE, entry.state)
        self.assertEqual(frozenset({'a1'}), entry.models[0].adapters)
        self.assertEqual('v1', entry.version)
        self.assertEqual(1, entry.models[0].version)

    def test_other_fields(self) -> None:
        """Fields that the platform does not name have no effect."""
        expected = servers.decode('i', _encoded(ENTRY)).ok
        for value in (0, 1, 2**60, 'soon', None):
            body = _encoded(dict(ENTRY, Labels=value))
            with self.subTest(value=value):
                self.assertEqual(expected, servers.decode('i', body).ok)

    def test_start(self) -> None:
        """The start tells processes apart; an odd one has no effect."""
        entry = servers.decode('i', _encoded(ENTRY)).ok
        self.assertEqual(ENTRY['born'], entry.started_ms)
        odd = (-1, 2**50, 2**60, 1.5, 'soon', True, [7], None)
        for start, expected in ((0, 0), (1, 1), *((item, 0) for item in odd)):
            body = _encoded(dict(ENTRY, born=start))
            with self.subTest(born=start):
                self.assertEqual(
                    entry._replace(started_ms=expected),
                    servers.decode('i', body).ok,
                )

    def test_unusual_software_versions(self) -> None:
        """A software version is any string, kept as it is."""
        for version in ('', ' ', '1', 'v1 ', 'V1', 'x' * 999, '\n\u00e9'):
            body = _encoded(dict(ENTRY, Version=version))
            with self.subTest(version=version):
                self.assertEqual(version, servers.decode('i', body).ok.version)

    def test_malformed_software_versions(self) -> None:
        """An entry whose software version is no string is not usable."""
        for version in (1, 1.5, None, True, [], ['v1'], {'Name': 'v1'}):
            body = _encoded(dict(ENTRY, Version=version))
            with self.subTest(version=version):
                self.assertTrue(servers.decode('i', body).is_error())

    def test_leaving(self) -> None:
        """A draining server is decoded as leaving."""
        entry = servers.decode('i', _encoded(dict(ENTRY, State='draining')))
        self.assertIs(fleet_api.ServerState.LEAVING, entry.ok.state)

    def test_malformed(self) -> None:
        """Missing fields, wrong types and bad bytes result in an error."""
        malformed: list[bytes] = [b'', b'\x00\xff', b'null', b'"text"', b'[1]']
        names = ('Service', 'Address', 'Zone', 'State')
        for name in (*names, 'Version', 'Slots', 'Sequence'):
            malformed.append(
                _encoded({k: v for k, v in ENTRY.items() if k != name})
            )
            malformed.append(_encoded(dict(ENTRY, **{name: [7]})))
        for name in names:
            malformed.append(_encoded(dict(ENTRY, **{name: 7})))
        malformed.append(_encoded(dict(ENTRY, State='resting')))
        malformed.append(_encoded(dict(ENTRY, Address='nowhere')))
        malformed.append(_encoded(dict(ENTRY, Address='10.0.0.1:http')))
        malformed.append(_encoded(dict(ENTRY, Sequence=1.5)))
        malformed.append(_encoded(dict(ENTRY, Models='m')))
        nested = b'[' * 3000
        malformed.append(b'{"Labels":' + nested)
        malformed.append(b'{"Labels":' + nested + b']' * 3000 + b'}')
        malformed.append(b'{"Models":' + nested)
        for body in malformed:
            with self.subTest(body=body[:80]):
                self.assertTrue(servers.decode('i', body).is_error())


class CallerHeadersTest(unittest.TestCase):
    """Callers' headers are parsed, and some are forwarded to servers."""

    HEADERS = (
        (b'host', b'a.example'),
        (b'attempt-id', b'9c41'),
        (b'model', b'daka/a3'),
        (b'token-usage', b'1460,80'),
        (b'prompt-prefix', b'5c1e:800,91bd:410'),
        (b'deadline-ms', b'12000'),
        (b'last-event-id', b'12'),
        (b'connection', b'keep-alive, x-hop'),
        (b'x-hop', b'1'),
        (b'x-own', b'2'),
        (b'hold', b'h1'),
        (b'pin-ms', b'100'),
        (b'kv-from', b'10.0.0.1:80/x'),
        (b'kv-backup', b'10.0.0.1:80'),
        (b'expect-instance', b'i-0'),
        (b'request-priority', b'0'),
        (b'transfer-encoding', b'chunked'),
    )

    def test_terms(self) -> None:
        """Each header is parsed into its field."""
        terms = headers.caller_terms(self.HEADERS)
        self.assertEqual('9c41', terms.attempt_id)
        self.assertEqual(('daka', 'a3'), (terms.model, terms.adapter))
        self.assertEqual(1460, terms.prompt_tokens)
        self.assertEqual(80, terms.output_tokens)
        self.assertEqual(12.0, terms.wait_seconds)
        self.assertEqual(12, terms.last_event)
        self.assertEqual('91bd', terms.prompt_parts[1].part_id)

    def test_no_headers(self) -> None:
        """A request without headers sets no limit to its waiting time."""
        terms = headers.caller_terms(())
        self.assertEqual(float('inf'), terms.wait_seconds)
        self.assertEqual(api.NO_EVENT, terms.last_event)
        self.assertEqual((), terms.prompt_parts)

    def test_forwarded(self) -> None:
        """Hop-by-hop and internal headers of a caller are not forwarded."""
        outgoing = api.AddedHeaders('i-7', 3.5, 2, 12)
        sent = headers.for_server(self.HEADERS, outgoing)
        found = dict(sent)
        self.assertEqual(len(found), len(sent))
        self.assertEqual(b'i-7', found[b'expect-instance'])
        self.assertEqual(b'3500', found[b'deadline-ms'])
        self.assertEqual(b'2', found[b'request-priority'])
        self.assertEqual(b'12', found[b'last-event-id'])
        self.assertEqual(b'daka/a3', found[b'model'])
        self.assertEqual(b'2', found[b'x-own'])
        for name in (
            b'hold',
            b'pin-ms',
            b'kv-from',
            b'kv-backup',
            b'x-hop',
            b'connection',
            b'transfer-encoding',
        ):
            self.assertNotIn(name, found)


class AnswerHeadersTest(unittest.TestCase):
    """Headers of servers' answers are parsed."""

    def test_limits(self) -> None:
        """A limit is a decimal number; others are no limits."""
        for text, limit in ((b'2.9', 2.9), (b' 0 ', 0.0), (b'12', 12.0)):
            terms = headers.answer_terms(503, ((b'Server-Limit', text),))
            self.assertEqual(limit, terms.rate_limit)
            self.assertFalse(terms.rate_limit_unreadable)
        for text in (
            b'', b'nan', b'inf', b'-1', b'1e3', b'1_0', b'2, 3', b'x', b'.',
            b'9' * 5000, b'\xb2',
        ):  # fmt: skip
            terms = headers.answer_terms(200, ((b'server-limit', text),))
            self.assertIsNone(terms.rate_limit, text)
            self.assertTrue(terms.rate_limit_unreadable, text)
        terms = headers.answer_terms(200, ())
        self.assertIsNone(terms.rate_limit)
        self.assertFalse(terms.rate_limit_unreadable)

    def test_terms(self) -> None:
        """Load, idle time and the marks of a server's own answer are read."""
        terms = headers.answer_terms(
            200,
            (
                (b'Attempt-Id', b'9c41'),
                (b'Response-Stamp', b'3e1b'),
                (b'Server-Load', b'3,1,8'),
                (b'Keep-Alive', b'timeout=5, max=10'),
            ),
        )
        self.assertEqual('9c41', terms.attempt_id)
        self.assertTrue(terms.stamped)
        self.assertFalse(terms.not_executed)
        self.assertEqual((3, 1), (terms.running, terms.waiting))
        self.assertEqual(5.0, terms.idle_seconds)

    def test_pace(self) -> None:
        """An odd fourth figure costs the pace alone, not the load."""
        for value, pace in (
            (b'3,1,8', None),
            (b'3,1,8,100', 1.0),
            (b'3,1,8, 250', 2.5),
            (b'3,1,8,250,7', 2.5),
            (b'3,1,8,', None),
            (b'3,1,8,x', None),
            (b'3,1,8,nan', None),
            (b'3,1,8,inf', None),
            (b'3,1,8,-100', None),
            (b'3,1,8,0', None),
            (b'3,1,8,1e9', None),
            (b'3,1,8,999999999', None),
        ):
            with self.subTest(value):
                terms = headers.answer_terms(200, ((b'Server-Load', value),))
                self.assertEqual(pace, terms.pace)
                self.assertEqual(8, terms.slots)
                self.assertEqual((3, 1), (terms.running, terms.waiting))
        short = headers.answer_terms(503, ((b'Server-Load', b'3,1'),))
        self.assertEqual((3, None), (short.running, short.slots))

    def test_not_executed(self) -> None:
        """A status of 421 or a header means that a request did not run."""
        self.assertFalse(headers.answer_terms(503, ()).not_executed)
        self.assertTrue(headers.answer_terms(421, ()).not_executed)
        shed = headers.answer_terms(503, ((b'Not-Executed', b'1'),))
        self.assertTrue(shed.not_executed)
        self.assertIsNone(shed.running)

    def test_bad_values(self) -> None:
        """Values that are not numbers are treated as missing."""
        terms = headers.answer_terms(
            200, ((b'server-load', b'x,,'), (b'keep-alive', b'timeout=no'))
        )
        self.assertIsNone(terms.running)
        self.assertEqual(0.0, terms.idle_seconds)


SETTINGS = """
NodeName = "front-1"
Ip = "10.1.0.38"
Zone = "d1"
PortRange = [7380, 7395]
New = "field"
[Listen]
Front = "10.1.0.38:8149"
Readiness = "10.1.0.38:8141"
[Bounds]
DrainMs = 2000
GraceS = 8
FenceChecked = true
[Platform]
Address = "10.200.1.7:8142"
"""


class SettingsTest(unittest.TestCase):
    """The platform's settings file is decoded and checked."""

    def _load(self, text: str) -> typing.Any:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'node.toml'
            path.write_text(text, 'utf-8')
            return settings.load(path)

    def test_whole(self) -> None:
        """Unknown fields are ignored; missing ones have defaults."""
        loaded = self._load(SETTINGS).ok
        self.assertEqual('front-1', loaded.instance_id)
        self.assertEqual(('10.1.0.38', 7380), loaded.peers)
        self.assertEqual(('10.200.1.7', 8142), loaded.store)
        self.assertTrue(loaded.fences_checked)
        self.assertLess(2 * loaded.list_interval_seconds, 2.0)
        self.assertEqual(1.0, loaded.configuration_age_seconds)
        slower = self._load(SETTINGS.replace('[Bounds]', _SLOWER)).ok
        self.assertEqual(2.5, slower.configuration_age_seconds)

    def test_wrong_value_is_named(self) -> None:
        """The error names the invalid value."""
        result = self._load(SETTINGS.replace('GraceS = 8', 'GraceS = "x"'))
        self.assertIn('GraceS', result.error)
        result = self._load(SETTINGS.replace(':8149', ''))
        self.assertIn('10.1.0.38', result.error)
        self.assertTrue(self._load('= no toml').is_error())

    def test_missing_file(self) -> None:
        """A file that cannot be read results in an error."""
        result = settings.load(pathlib.Path('no-such-file.toml'))
        self.assertIn('cannot read', result.error)

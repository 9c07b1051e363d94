"""Tests of reading and validating settings."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from dogwoodquay.settings import load

EXAMPLE = {
    'instance': {
        'instance_id': 'entry-1',
        'failure_domain': 'lakes-a',
        'region': 'lakes',
    },
    'callers': {'listen': {'address': '127.0.0.1', 'port': 8080}},
    'peers': {
        'listen': {'address': '127.0.0.1'},
        'secrets': ['a-secret-of-some-length'],
    },
    'operators': {
        'listen': {'address': '127.0.0.1'},
        'token': 'another-secret-of-length',
    },
    'platform': {
        'log': {'address': '127.0.0.1', 'port': 1},
        'instance_list': {'address': '127.0.0.1', 'port': 2},
        'weight_store': {'address': '::1', 'port': 3},
    },
}


def _changed(path, value):
    raw = json.loads(json.dumps(EXAMPLE))
    target = raw
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return load.parse(json.dumps(raw))


class ParseTest(unittest.TestCase):
    """Validation of settings."""

    def _assert_error(self, result, path, value, allowed):
        self.assertTrue(result.is_error())
        self.assertEqual(path, result.error.path)
        self.assertIn(value, result.error.value)
        self.assertIn(allowed, result.error.allowed)

    def test_comments_are_allowed(self):
        """JSON with comments is read."""
        text = '// an instance\n' + json.dumps(EXAMPLE)
        settings = load.parse(text).default_value(None)
        self.assertEqual('entry-1', settings.instance.instance_id)

    def test_unknown_key(self):
        """An unknown key is an error that names it."""
        result = _changed(('callers', 'colour'), 'red')
        self._assert_error(result, '$.callers', 'colour', 'unknown field')

    def test_out_of_range(self):
        """The error of a port out of range has path, value and range."""
        result = _changed(('platform', 'log', 'port'), 70000)
        self._assert_error(result, '$.platform.log.port', '70000', '<= 65535')

    def test_host_name_is_refused(self):
        """A host name instead of an IP address is an error."""
        result = _changed(('peers', 'listen', 'address'), 'localhost')
        self._assert_error(result, '$.peers.listen', 'address', 'IP address')

    def test_missing_key(self):
        """A missing section is an error that names it."""
        raw = {k: v for k, v in EXAMPLE.items() if k != 'platform'}
        result = load.parse(json.dumps(raw))
        self._assert_error(result, '$', 'an object', 'platform')

    def test_secrets_are_not_shown(self):
        """The text of an error does not contain an invalid secret."""
        result = _changed(('peers', 'secrets'), ['short-secret'])
        self.assertTrue(result.is_error())
        self.assertNotIn('short-secret', str(result.error))
        result = _changed(('operators', 'token'), 'short-token')
        self.assertTrue(result.is_error())
        self.assertNotIn('short-token', str(result.error))

    def test_not_json(self):
        """Text that is not JSON is an error."""
        for text in ('', '{', '[1,2', 'x' * 10, '[' * 5000):
            self.assertTrue(load.parse(text).is_error(), text[:10])

    def test_duplicate_key(self):
        """The same key twice is an error."""
        self.assertTrue(
            load.parse('{"instance": 1, "instance": 2}').is_error()
        )


class LoadTest(unittest.TestCase):
    """Reading of settings files."""

    def test_missing_file(self):
        """A missing file is an error that names it."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'none.json'
            result = load.load(file)
        self.assertIn('none.json', result.error.path)

    def test_not_utf8(self):
        """A file in another encoding is an error."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'bad.json'
            file.write_bytes(b'\xff\xfe\x00')
            self.assertTrue(load.load(file).is_error())

"""Tests of ``dogwoodquay explain``."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from dogwoodquay.commands import explain


def _line(at: float, kind: str, **fields: object) -> dict[str, object]:
    return {'timestamp': at, 'message_type': kind, 'instance': 'f1', **fields}


REFUSED = [
    _line(10.0, 'servers:removed', server='i-1'),
    _line(11.0, 'request:sent', request='other', server='i-2'),
    _line(
        12.0,
        'request:refused',
        request='aa',
        reason='model_absent',
        retry_after=1.1,
    ),
]

CUT = [
    _line(1.0, 'servers:leaving', server='i-1'),
    _line(20.0, 'request:sent', request='bb', server='i-1', load=3),
    _line(18.0, 'orders:engine_silent', server='i-1', reason='connect'),
    _line(21.0, 'request:attempt_failed', request='bb', reason='protocol'),
    _line(21.1, 'request:cut', request='bb', reason='partly_delivered'),
]


class TimelineTest(unittest.TestCase):
    """Selection and order of the lines about a request."""

    def test_refused(self) -> None:
        """A refusal before any attempt gives one line with its reason."""
        (line,) = explain.timeline(REFUSED, 'aa')
        self.assertIn('request:refused reason=model_absent', line)

    def test_cut(self) -> None:
        """Lines are in chronological order, with events of the server."""
        lines = list(explain.timeline(CUT, 'bb'))
        kinds = [line.split()[3] for line in lines]
        expected = [
            'orders:engine_silent',
            'request:sent',
            'request:attempt_failed',
            'request:cut',
        ]
        self.assertEqual(expected, kinds)

    def test_unknown(self) -> None:
        """The timeline of an unknown request is empty."""
        self.assertEqual([], list(explain.timeline(CUT, 'zz')))


class CommandTest(unittest.TestCase):
    """Reading of log files that a log collector has written."""

    def test_mixed_log(self) -> None:
        """Prefixes are removed and lines that are not JSON are skipped."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'log'
            text = ''.join(f'f1 | {json.dumps(line)}\n' for line in CUT)
            path.write_text('no json\n{broken\n' + text, 'utf-8')
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                lines = list(explain._read([path]))
                for line in explain.timeline(lines, 'bb'):
                    print(line)
        self.assertEqual(4, len(output.getvalue().splitlines()))

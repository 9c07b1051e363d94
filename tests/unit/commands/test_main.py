"""Tests of the command line."""

from __future__ import annotations

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from dogwoodquay.commands import main


def run_command(*words):
    """Run the command line in this process.

    :return: the exit code, standard output and standard error.
    """
    out = io.StringIO()
    err = io.StringIO()
    code = 0
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
        mock.patch('sys.argv', ['dogwoodquay', *words]),
    ):
        try:
            main.run()
        except SystemExit as error:
            code = error.code
    return code, out.getvalue(), err.getvalue()


class MainTest(unittest.TestCase):
    """Version, help and usage errors."""

    def test_version(self):
        """The version is printed."""
        self.assertEqual((0, '0.1.0\n', ''), run_command('version'))

    def test_help(self):
        """``--help`` prints the usage of the program and of a command."""
        for words in (('--help',), ('status', '--help')):
            code, out, _ = run_command(*words)
            self.assertEqual(0, code)
            self.assertIn('usage: dogwoodquay', out)

    def test_bad_usage(self):
        """A usage error exits with 2 and a message on standard error."""
        for words in ((), ('nonsense',), ('status', '--instance', 'a:1')):
            code, _, err = run_command(*words)
            self.assertEqual(2, code)
            self.assertIn('error:', err)


class StatusTest(unittest.TestCase):
    """Errors of ``dogwoodquay status``."""

    def test_unreachable(self):
        """An unreachable instance gives exit code 3 and one message."""
        with tempfile.TemporaryDirectory() as folder:
            token = pathlib.Path(folder) / 'token'
            token.write_text('a-token')
            code, _, err = run_command(
                'status',
                '--instance',
                '127.0.0.1:9',
                '--token-file',
                str(token),
            )
        self.assertEqual(3, code)
        self.assertEqual(1, err.count('\n'))

    def test_no_token(self):
        """An unreadable token file is a usage error."""
        code, _, err = run_command(
            'status',
            '--instance',
            '127.0.0.1:9',
            '--token-file',
            '/nonexistent',
        )
        self.assertEqual(2, code)
        self.assertIn('/nonexistent', err)


class PublishTest(unittest.TestCase):
    """Arguments of ``dogwoodquay publish``."""

    def test_log_option(self):
        """``--log`` is not taken for an abbreviation of an absl flag."""
        code, _, err = run_command(
            'publish', '--log', '127.0.0.1:9', '/nonexistent'
        )
        self.assertEqual(2, code)
        self.assertIn('/nonexistent', err)
        self.assertNotIn('ambiguous', err)


class DemoTest(unittest.TestCase):
    """The commands that run stand-ins of the platform."""

    def test_help(self):
        """``--help`` mentions the stand-ins."""
        for command in ('demo', 'standin'):
            code, out, _ = run_command(command, '--help')
            self.assertEqual(0, code)
            self.assertIn('stand-ins', out)

"""Tests of the command line."""

from __future__ import annotations

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from dogwoodquay.commands import main


def call(*words):
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
        except SystemExit as leaving:
            code = leaving.code
    return code, out.getvalue(), err.getvalue()


class MainTest(unittest.TestCase):
    """Commands, help and bad usage."""

    def test_version(self):
        """The version is printed."""
        self.assertEqual((0, '0.1.0\n', ''), call('version'))

    def test_help(self):
        """Each command explains itself."""
        for words in (('--help',), ('status', '--help')):
            code, out, _ = call(*words)
            self.assertEqual(0, code)
            self.assertIn('usage: dogwoodquay', out)

    def test_bad_usage(self):
        """Bad usage exits with 2 and says why on standard error."""
        for words in ((), ('nonsense',), ('status', '--instance', 'a:1')):
            code, _, err = call(*words)
            self.assertEqual(2, code)
            self.assertIn('error:', err)


class StatusTest(unittest.TestCase):
    """The command that asks an instance."""

    def test_unreachable(self):
        """An instance out of reach exits with 3 and one sentence."""
        with tempfile.TemporaryDirectory() as folder:
            token = pathlib.Path(folder) / 'token'
            token.write_text('a-token')
            code, _, err = call(
                'status',
                '--instance',
                '127.0.0.1:9',
                '--token-file',
                str(token),
            )
        self.assertEqual(3, code)
        self.assertEqual(1, err.count('\n'))

    def test_no_token(self):
        """A token file that can't be read is bad usage."""
        code, _, err = call(
            'status',
            '--instance',
            '127.0.0.1:9',
            '--token-file',
            '/nonexistent',
        )
        self.assertEqual(2, code)
        self.assertIn('/nonexistent', err)


class PublishTest(unittest.TestCase):
    """The command that publishes records."""

    def test_log_option(self):
        """``--log`` is the command's own and no short form of another."""
        code, _, err = call('publish', '--log', '127.0.0.1:9', '/nonexistent')
        self.assertEqual(2, code)
        self.assertIn('/nonexistent', err)
        self.assertNotIn('ambiguous', err)


class DemoTest(unittest.TestCase):
    """The commands that need no platform."""

    def test_help(self):
        """Both explain themselves."""
        for command in ('demo', 'standin'):
            code, out, _ = call(command, '--help')
            self.assertEqual(0, code)
            self.assertIn('stand-ins', out)

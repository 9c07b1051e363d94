"""Tests of the form in which structs leave the process."""

from __future__ import annotations

import importlib
import json
import pathlib
import typing
import unittest

import msgspec

_FILE: typing.Final = pathlib.Path(__file__).parent / 'formats.json'


class FormatsTest(unittest.TestCase):
    """Messages, stored entries, snapshots and pages keep their form.

    ``formats.json`` has an example of each struct as an earlier build wrote
    it. A renamed field, tag or enum value, or another order of positional
    fields, would not be understood by instances of that build.
    """

    def test_examples_are_read_and_written_alike(self) -> None:
        """Each example is decoded, and encoded to the same form again."""
        examples = json.loads(_FILE.read_text('utf-8'))
        self.assertGreater(len(examples), 150)
        for path, form in examples:
            with self.subTest(path):
                module, name = path.split(':')
                struct = getattr(importlib.import_module(module), name)
                decoded = msgspec.json.decode(json.dumps(form), type=struct)
                encoded = json.loads(msgspec.json.encode(decoded))
                self.assertEqual(form, encoded)

"""Tests of the entries' codec."""

from __future__ import annotations

import unittest

import cbor2
import hypothesis
from hypothesis import strategies as st

from . import helpers
from dogwoodquay.journal import api
from dogwoodquay.journal import entries as journal_entries
from dogwoodquay.ledger import entries


class CodecTest(unittest.TestCase):
    """Batches on the log."""

    @hypothesis.given(st.text(), st.integers(-1, 2**40))
    def test_round_trip(self, instance: str, replaces: int) -> None:
        """What is written is what is read."""
        claim = helpers.make_claim('id', instance, replaces)
        batch = (claim, claim)
        self.assertEqual(
            batch, entries.CODEC.decode(entries.CODEC.encode(batch))
        )

    @hypothesis.given(st.binary())
    def test_any_bytes_hold_no_entry(self, payload: bytes) -> None:
        """A record of another kind changes nothing."""
        self.assertEqual((), entries.CODEC.decode(payload))

    def test_newer_schema_stops_the_reader(self) -> None:
        """An old release must not guess what a new one decided."""
        newer = {'schema': journal_entries.SCHEMA + 1, 'entries': []}
        with self.assertRaises(api.NewerSchema):
            entries.CODEC.decode(cbor2.dumps(newer))

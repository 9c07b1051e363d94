"""Tests of the entry codec."""

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
    """Batches of entries are encoded as log records."""

    @hypothesis.given(st.text(), st.integers(-1, 2**40))
    def test_round_trip(self, instance: str, replaces: int) -> None:
        """Decoding returns the encoded batch."""
        claim = helpers.make_claim('id', instance, replaces)
        batch = (claim, claim)
        self.assertEqual(
            batch, entries.CODEC.decode(entries.CODEC.encode(batch))
        )

    @hypothesis.given(st.binary())
    def test_arbitrary_bytes_contain_no_entries(self, payload: bytes) -> None:
        """A malformed record is decoded as empty."""
        self.assertEqual((), entries.CODEC.decode(payload))

    def test_newer_schema_is_rejected(self) -> None:
        """An old release must not misinterpret the entries of a new one."""
        newer = {'schema': journal_entries.SCHEMA + 1, 'entries': []}
        with self.assertRaises(api.NewerSchema):
            entries.CODEC.decode(cbor2.dumps(newer))

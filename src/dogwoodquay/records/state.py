"""The replayed configuration with its canonical form for checkpoints."""

from __future__ import annotations

import typing

import msgspec
import xxhash

from . import catalog as catalogs
from ..journal import api as journal_api
from . import lift
from . import refusal

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api
    from ..external import api as external_api

__all__ = ['BadSnapshot', 'ConfigurationState']

FORMAT: typing.Final = 1


class BadSnapshot(ValueError):
    """A snapshot cannot be read by this release."""


class _Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    format: int
    offset: int
    stored: tuple[lift.Stored, ...]
    refused: tuple[catalogs.RefusedRecord, ...]


class _Compared(msgspec.Struct, frozen=True, array_like=True):
    offset: int
    stored: tuple[lift.Stored, ...]
    refused: tuple[tuple[int, refusal.Reason], ...]


_ENCODER: typing.Final = msgspec.json.Encoder(order='deterministic')
_DECODER: typing.Final = msgspec.json.Decoder(_Snapshot)


class ConfigurationState:
    """The operators' stream as the journal replays it."""

    def __init__(self) -> None:
        self._records = catalogs.CatalogState()
        self._callbacks: list[abc.Callable[[catalogs.Outcome], None]] = []

    @property
    def records(self) -> catalogs.CatalogState:
        """The declared records and the last refusals."""
        return self._records

    @property
    def catalog(self) -> api.Catalog:
        """What is in force; a new object after each change."""
        return self._records.catalog

    @property
    def offset(self) -> int:
        """The last offset that is reflected here, -1 before the first."""
        return self._records.offset

    def watch(self, callback: abc.Callable[[catalogs.Outcome], None]) -> None:
        """Call back with the outcome of each record that is replayed."""
        self._callbacks.append(callback)

    def apply(
        self, entry: external_api.LogEntry
    ) -> abc.Sequence[journal_api.Verdict]:
        """Take in the next entry of the stream.

        :return: a verdict for a record that carries an id.
        """
        outcome = self._records.apply(entry.offset, entry.payload)
        if outcome is None:
            return ()
        for callback in self._callbacks:
            callback(outcome)
        if not outcome.record_id:
            return ()
        valid = isinstance(outcome, catalogs.Accepted)
        verdict = journal_api.Verdict(outcome.record_id, valid, entry.offset)
        return (verdict,)

    def snapshot(self) -> bytes:
        """Return the full state; equal states give equal bytes."""
        records = self._records
        return _ENCODER.encode(
            _Snapshot(FORMAT, records.offset, records.stored, records.refused)
        )

    def digest(self) -> str:
        """Return a short digest by which instances compare their states.

        The wording of refusals is left out: it may change with a release.
        """
        records = self._records
        refused = tuple((item.offset, item.reason) for item in records.refused)
        compared = _Compared(records.offset, records.stored, refused)
        return xxhash.xxh3_128_hexdigest(_ENCODER.encode(compared))

    def restore(self, snapshot: bytes) -> None:
        """Take over a snapshot, unless the state is as new already."""
        try:
            found = _DECODER.decode(snapshot)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise BadSnapshot(str(error)) from error
        if found.format != FORMAT:
            raise BadSnapshot(f'format {found.format}, not {FORMAT}')
        self._records.load(found.offset, found.stored, found.refused)

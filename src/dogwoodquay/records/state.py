"""The replayed configuration, its snapshots and its digest."""

from __future__ import annotations

import typing

import msgspec
import xxhash

from . import catalog as catalog_module
from ..journal import api as journal_api
from . import refusal
from . import upgrade

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api
    from ..external import api as external_api

__all__ = ['ConfigurationState', 'SnapshotError']

SNAPSHOT_FORMAT: typing.Final = 1


class SnapshotError(ValueError):
    """This release cannot read a snapshot."""


class _Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    format: int
    offset: int
    stored: tuple[upgrade.StoredRecord, ...]
    refused: tuple[catalog_module.RefusedRecord, ...]


class _DigestInput(msgspec.Struct, frozen=True, array_like=True):
    offset: int
    stored: tuple[upgrade.StoredRecord, ...]
    refused: tuple[tuple[int, refusal.Reason], ...]


_ENCODER: typing.Final = msgspec.json.Encoder(order='deterministic')
_DECODER: typing.Final = msgspec.json.Decoder(_Snapshot)


class ConfigurationState:
    """The configuration, replayed by the journal from the operators' log."""

    def __init__(self) -> None:
        self._records = catalog_module.CatalogState()
        self._callbacks: list[
            abc.Callable[[catalog_module.Outcome], None]
        ] = []

    @property
    def records(self) -> catalog_module.CatalogState:
        """The declared records and the most recent refusals."""
        return self._records

    @property
    def catalog(self) -> api.Catalog:
        """The active declarations; a new object after each change."""
        return self._records.catalog

    @property
    def offset(self) -> int:
        """The last replayed offset, -1 before the first record."""
        return self._records.offset

    def watch(
        self, callback: abc.Callable[[catalog_module.Outcome], None]
    ) -> None:
        """Register a callback for the outcome of each replayed record."""
        self._callbacks.append(callback)

    def apply(
        self, entry: external_api.LogEntry
    ) -> abc.Sequence[journal_api.Verdict]:
        """Replay the next entry of the stream.

        :return: a verdict for a record with an id, else nothing.
        """
        outcome = self._records.apply(entry.offset, entry.payload)
        if outcome is None:
            return ()
        for callback in self._callbacks:
            callback(outcome)
        if not outcome.record_id:
            return ()
        valid = isinstance(outcome, catalog_module.Accepted)
        verdict = journal_api.Verdict(outcome.record_id, valid, entry.offset)
        return (verdict,)

    def snapshot(self) -> bytes:
        """Encode the full state; equal states have equal encodings."""
        records = self._records
        return _ENCODER.encode(
            _Snapshot(
                SNAPSHOT_FORMAT,
                records.offset,
                records.stored,
                records.refused,
            )
        )

    def digest(self) -> str:
        """Return a digest by which instances compare their states.

        It leaves out the texts of refusals, which may differ by release.
        """
        records = self._records
        refused = tuple((item.offset, item.reason) for item in records.refused)
        digest_input = _DigestInput(records.offset, records.stored, refused)
        return xxhash.xxh3_128_hexdigest(_ENCODER.encode(digest_input))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot if the snapshot is newer."""
        try:
            decoded = _DECODER.decode(snapshot)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise SnapshotError(str(error)) from error
        if decoded.format != SNAPSHOT_FORMAT:
            raise SnapshotError(
                f'format {decoded.format}, not {SNAPSHOT_FORMAT}'
            )
        self._records.load(decoded.offset, decoded.stored, decoded.refused)

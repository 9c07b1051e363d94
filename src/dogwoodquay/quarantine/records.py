"""Records of verdicts and crashes, which outlive the instances."""

from __future__ import annotations

import hashlib
import typing

import msgspec

from . import api
from ..journal import entries
from . import probes as verdict_probes

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Kept', 'RecordSet', 'decode', 'encode', 'shifted']

SCHEMA: typing.Final = 1
# Times of verdicts are rounded to this, so that those in use are seldom
# written again.
SEEN_STEP_SECONDS: typing.Final = 60.0
# The requests of a crash are left out beyond this size.
MAX_RECORD_BYTES: typing.Final = 64 * 1024
MAX_CALL_BYTES: typing.Final = 512 * 1024
KEY_BYTES: typing.Final = 12


class Kept(typing.NamedTuple):
    """Verdicts, crashes that may lead to one, and which are not firm yet."""

    verdicts: tuple[api.Verdict, ...]
    crashes: tuple[api.CrashReport, ...]
    probes: tuple[verdict_probes.Probe, ...] = ()


class _Broken(msgspec.Struct, frozen=True, array_like=True):
    own: str
    shared: tuple[str, ...]


class _Record(msgspec.Struct, frozen=True, tag=True):
    """The base of all records; times are in Unix seconds."""

    schema: int


class _Verdict(_Record, frozen=True, tag='verdict', omit_defaults=True):
    """A verdict; ``probes_left`` is ``None`` in records of earlier builds."""

    parts: tuple[str, ...]
    seen_at: float
    crashes: int
    rivals: tuple[str, ...] = ()
    probes_left: int | None = None


class _Crash(_Record, frozen=True, tag='crash', omit_defaults=True):
    server_id: str
    at: float
    requests: tuple[_Broken, ...]
    started_ms: int = 0


class _Envelope(msgspec.Struct, frozen=True):
    record: _Verdict | _Crash


def encode(kept: Kept) -> dict[str, bytes]:
    """Return the records by their keys."""
    found = {}
    probes = {probe.parts: probe for probe in kept.probes}
    firm = verdict_probes.Probe(frozenset(), left=0)
    for verdict in kept.verdicts:
        probe = probes.get(verdict.parts, firm)
        parts = tuple(sorted(verdict.parts))
        step = verdict.seen_at // SEEN_STEP_SECONDS
        found[_key('verdict', *parts)] = _pack(
            _Verdict(
                SCHEMA,
                parts,
                step * SEEN_STEP_SECONDS,
                verdict.crashes,
                tuple(sorted(probe.rivals)),
                probe.left,
            )
        )
    for crash in kept.crashes:
        found[_crash_key(crash, found)] = _encode_crash(crash)
    return found


def decode(
    values: abc.Iterable[bytes], now: float
) -> tuple[Kept, tuple[str, ...]]:
    """Return what records hold, and why some are unreadable.

    :param now: no time of a record is later.
    """
    verdicts, crashes, probes, errors = [], [], [], []
    for value in values:
        try:
            record = entries.unpack(value, _Envelope).record
        except ValueError as error:
            errors.append(str(error))
            continue
        match record:
            case _Verdict(_, parts, seen_at, count, rivals, left):
                seen_at = min(seen_at + SEEN_STEP_SECONDS, now)
                verdicts.append(api.Verdict(frozenset(parts), seen_at, count))
                probes.append(_probe(parts, rivals, left))
            case _Crash(_, server_id, at, rows, started_ms):
                requests = tuple(
                    api.BrokenRequest(row.own, frozenset(row.shared))
                    for row in rows
                )
                crashes.append(
                    api.CrashReport(
                        server_id, min(at, now), requests, started_ms
                    )
                )
    kept = Kept(tuple(verdicts), tuple(crashes), tuple(probes))
    return kept, tuple(errors)


def shifted(kept: Kept, seconds: float) -> Kept:
    """Return what is kept with all times moved, for another clock."""
    return kept._replace(
        verdicts=tuple(
            item._replace(seen_at=item.seen_at + seconds)
            for item in kept.verdicts
        ),
        crashes=tuple(
            item._replace(at=item.at + seconds) for item in kept.crashes
        ),
    )


class RecordSet:
    """What the store is known to hold."""

    def __init__(self) -> None:
        self._stored: dict[str, bytes] = {}

    def on_read(self, records: abc.Mapping[str, bytes]) -> None:
        """Record what the store holds now."""
        self._stored = dict(records)

    def on_written(self, changes: abc.Mapping[str, bytes]) -> None:
        """Record changes that the store has acknowledged."""
        for key, value in changes.items():
            if value:
                self._stored[key] = value
            else:
                self._stored.pop(key, None)

    def changes(
        self, wanted: abc.Mapping[str, bytes], deletes: bool
    ) -> dict[str, bytes]:
        """Return what has to be written, as much as fits in a call.

        :param deletes: whether to delete, by empty values, what is not
            wanted any more.
        """
        due = {
            key: value
            for key, value in wanted.items()
            if self._stored.get(key) != value
        }
        if deletes:
            due.update({key: b'' for key in self._stored.keys() - wanted})
        chosen: dict[str, bytes] = {}
        size = 0
        for key, value in due.items():
            size += len(key) + len(value)
            if chosen and size > MAX_CALL_BYTES:
                break
            chosen[key] = value
        return chosen


def _probe(
    parts: tuple[str, ...], rivals: tuple[str, ...], left: int | None
) -> verdict_probes.Probe:
    return verdict_probes.Probe(
        frozenset(parts),
        frozenset(rivals),
        left=verdict_probes.MAX_PROBES if left is None else left,
    )


def _crash_key(crash: api.CrashReport, found: abc.Container[str]) -> str:
    """Return a key that no other crash in ``found`` has."""
    names = [crash.server_id]
    if crash.started_ms:
        names.append(f'{crash.started_ms}')
    while (key := _key('crash', *names)) in found:
        names.append('again')
    return key


def _key(kind: str, *names: str) -> str:
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for name in names:
        digest.update(name.encode() + b'\0')
    return f'{kind}/{digest.hexdigest()}'


def _pack(record: _Verdict | _Crash) -> bytes:
    return entries.pack(_Envelope(record))


def _encode_crash(crash: api.CrashReport) -> bytes:
    rows = sorted(
        (item.own, tuple(sorted(item.shared))) for item in crash.requests
    )
    while True:
        requests = tuple(_Broken(*row) for row in rows)
        value = _pack(
            _Crash(
                SCHEMA, crash.server_id, crash.at, requests, crash.started_ms
            )
        )
        if len(value) <= MAX_RECORD_BYTES or not rows:
            return value
        rows = rows[: len(rows) // 2]

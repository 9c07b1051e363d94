"""The rows in which messages carry crashes, verdicts and probes."""

from __future__ import annotations

import typing

from . import messages
from ..quarantine import api as quarantine_api
from ..quarantine import probes as verdict_probes

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = [
    'from_crash_rows',
    'from_probe_rows',
    'from_progress_rows',
    'from_verdict_rows',
    'to_crash_rows',
    'to_probe_rows',
    'to_progress_rows',
    'to_verdict_rows',
]


def to_crash_rows(
    reports: abc.Iterable[quarantine_api.CrashReport], now: float
) -> tuple[messages.CrashRow, ...]:
    """Return the rows of reports."""
    return tuple(
        messages.CrashRow(
            report.server_id,
            now - report.at,
            tuple(
                messages.BrokenRow(item.own, tuple(sorted(item.shared)))
                for item in report.requests
            ),
            report.started_ms,
        )
        for report in reports
    )


def from_crash_rows(
    rows: abc.Iterable[messages.CrashRow], now: float
) -> list[quarantine_api.CrashReport]:
    """Return the reports in rows."""
    return [
        quarantine_api.CrashReport(
            row.server_id,
            now - row.seconds,
            tuple(
                quarantine_api.BrokenRequest(item.own, frozenset(item.shared))
                for item in row.requests
            ),
            row.started_ms,
        )
        for row in rows
    ]


def to_verdict_rows(
    verdicts: abc.Iterable[quarantine_api.Verdict], now: float
) -> tuple[messages.VerdictRow, ...]:
    """Return the rows of verdicts."""
    return tuple(
        messages.VerdictRow(
            tuple(sorted(item.parts)), now - item.seen_at, item.crashes
        )
        for item in verdicts
    )


def from_verdict_rows(
    rows: abc.Iterable[messages.VerdictRow], now: float
) -> list[quarantine_api.Verdict]:
    """Return the verdicts in rows."""
    return [
        quarantine_api.Verdict(
            frozenset(row.parts), now - row.seconds, row.crashes
        )
        for row in rows
    ]


def to_probe_rows(
    probes: abc.Iterable[verdict_probes.Probe],
) -> tuple[messages.ProbeRow, ...]:
    """Return the rows of probes."""
    return tuple(
        messages.ProbeRow(
            tuple(sorted(item.parts)),
            tuple(sorted(item.rivals)),
            item.number,
            item.left,
            item.member,
        )
        for item in probes
    )


def from_probe_rows(
    rows: abc.Iterable[messages.ProbeRow],
) -> list[verdict_probes.Probe]:
    """Return the probes in rows."""
    return [
        verdict_probes.Probe(
            frozenset(row.parts),
            frozenset(row.rivals),
            row.number,
            row.left,
            row.member,
        )
        for row in rows
    ]


def to_progress_rows(
    progress: abc.Iterable[verdict_probes.Progress],
) -> tuple[messages.ProbeProgressRow, ...]:
    """Return the rows of an instance's own probes."""
    return tuple(
        messages.ProbeProgressRow(
            tuple(sorted(item.parts)), item.number, item.failed
        )
        for item in progress
    )


def from_progress_rows(
    rows: abc.Iterable[messages.ProbeProgressRow],
) -> list[verdict_probes.Progress]:
    """Return what an instance tells of its own probes."""
    return [
        verdict_probes.Progress(frozenset(row.parts), row.number, row.failed)
        for row in rows
    ]

"""Formats a status as plain text tables."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from . import api

__all__ = ['render', 'table']

_GIB: typing.Final = 1 << 30


def table(
    title: str,
    columns: abc.Sequence[str],
    rows: abc.Iterable[abc.Sequence[object]],
) -> str:
    """Return a table with a title and aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(name), *(len(row[index]) for row in cells)])
        for index, name in enumerate(columns)
    ]
    lines = [title, _line(columns, widths)]
    lines.extend(_line(row, widths) for row in cells)
    return '\n'.join(lines)


def render(status: api.Status) -> str:
    """Return the tables of a status."""
    parts = [
        _heading(status),
        _members(status),
        _targets(status),
        _servers(status),
        _owners(status),
    ]
    if status.configuration.refused:
        parts.append(_refused(status))
    if any(pool.infeasible for pool in status.pools):
        parts.append(_infeasible(status))
    return '\n\n'.join(parts)


def _line(row: abc.Sequence[str], widths: list[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(row, widths))
    return ('  ' + '  '.join(padded)).rstrip()


def _heading(status: api.Status) -> str:
    state = 'ready' if status.ready else 'not ready'
    if status.leaving:
        state = 'leaving'
    log = 'reachable'
    if not status.configuration.log_reachable:
        log = 'unreachable'
    return (
        f'instance {status.instance_id}: {state}; configuration offset '
        f'{status.configuration.offset} ({status.configuration.digest}); '
        f'log {log}'
    )


def _members(status: api.Status) -> str:
    rows = [
        (m.instance_id, f'{m.address}:{m.port}', m.failure_domain, m.state)
        for m in status.members
    ]
    return table('instances', ('id', 'address', 'domain', 'state'), rows)


def _targets(status: api.Status) -> str:
    rows = [
        (t.kind, t.name, t.artifact, ' '.join(t.ready_on) or 'nowhere')
        for t in status.targets
    ]
    columns = ('kind', 'name', 'serves', 'ready on')
    return table('declared', columns, rows)


def _servers(status: api.Status) -> str:
    rows = [
        (
            pool.pool,
            server.server_id,
            server.failure_domain,
            'leaving' if server.leaving else 'live',
            _gib(server.confirmed_bytes),
            _gib(server.possible_bytes),
            _gib(server.capacity_bytes),
            len(server.artifacts),
            len(server.loading),
            len(server.orders),
        )
        for pool in status.pools
        for server in pool.servers
    ]
    columns = (
        'pool',
        'server',
        'domain',
        'state',
        'confirmed',
        'possible',
        'capacity GiB',
        'ready',
        'loading',
        'orders',
    )
    return table('servers', columns, rows)


def _owners(status: api.Status) -> str:
    rows: list[tuple[object, ...]] = [
        (f'pool {p.pool}', p.owner or 'none', p.epoch, p.moves)
        for p in status.pools
    ]
    rows.append(('weight store', status.weights_owner or 'none', '', ''))
    return table('owners', ('duty', 'owner', 'epoch', 'moves'), rows)


def _refused(status: api.Status) -> str:
    rows = [
        (r.offset, f'{r.kind}/{r.name}', r.reason, r.explanation)
        for r in status.configuration.refused
    ]
    return table('refused', ('offset', 'record', 'reason', 'why'), rows)


def _infeasible(status: api.Status) -> str:
    rows = [
        (
            pool.pool,
            item.artifact,
            item.reason,
            _gib(item.needed_bytes),
            _gib(item.free_bytes),
        )
        for pool in status.pools
        for item in pool.infeasible
    ]
    columns = ('pool', 'artifact', 'reason', 'needed', 'free GiB')
    return table('cannot be placed', columns, rows)


def _gib(size: int) -> str:
    return f'{size / _GIB:.1f}'

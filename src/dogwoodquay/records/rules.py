"""Whether a record fits what is declared already, or clashes with it."""

from __future__ import annotations

import ipaddress
import typing

from . import api
from . import capacity
from . import lift
from . import references
from . import refusal
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['check_declared', 'check_policy_name', 'check_withdrawal']

_SHOWN_NAMES: typing.Final = 5

_Refused = refusal.Refusal | None


def check_declared(
    before: api.Catalog, after: api.Catalog, item: lift.Internal
) -> _Refused:
    """Check a lifted record.

    :param before: what is in force.
    :param after: what would be in force with the record.
    """
    return (
        _check_values(item)
        or _check_references(before, item)
        or _check_names(before, item)
        or _check_servers(after, item)
        or _check_versions(after, item)
        or _check_capacity(before, after, item)
    )


def check_withdrawal(before: api.Catalog, kind: str, name: str) -> _Refused:
    """Check that nothing refers to what is withdrawn."""
    users = tuple(references.referrers(before, kind, name))
    if not users:
        return None
    return refusal.allow(
        refusal.Reason.IN_USE,
        '$.name',
        name,
        f'a {kind} that nothing refers to; withdraw or change first:'
        f' {_listed(users)}',
    )


def _check_values(item: lift.Internal) -> _Refused:
    match item:
        case api.Pool(servers=servers) | api.Service(servers=servers):
            return _check_addresses(servers)
        case api.Policy(freeze_windows=windows):
            return _check_windows(windows)
        case _:
            return None


def _check_addresses(servers: tuple[api.Server, ...]) -> _Refused:
    for index, server in enumerate(servers):
        try:
            ipaddress.ip_address(server.address)
        except ValueError:
            return refusal.allow(
                refusal.Reason.BAD_VALUE,
                f'$.servers[{index}].address',
                server.address,
                'an IP address',
            )
    return None


def _check_windows(windows: tuple[api.FreezeWindow, ...]) -> _Refused:
    for index, window in enumerate(windows):
        if window.end <= window.start:
            return refusal.allow(
                refusal.Reason.BAD_VALUE,
                f'$.freeze_windows[{index}].end',
                window.end,
                f'a time after the start, {window.start}',
            )
    return None


def _check_references(before: api.Catalog, item: lift.Internal) -> _Refused:
    for reference in references.unresolved(before, item):
        return refusal.allow(
            refusal.Reason.UNRESOLVED,
            reference.path,
            reference.name,
            f'the name of a declared {" or ".join(reference.kinds)}',
        )
    return None


def _check_names(before: api.Catalog, item: lift.Internal) -> _Refused:
    """Check that a name or key that callers use means one thing."""
    taken = ''
    match item:
        case api.Model(name=name):
            taken = _taken(before, name, 'adapter', 'service')
        case api.Adapter(name=name):
            taken = _taken(before, name, 'model', 'service')
        case api.Service(name=name):
            taken = _taken(before, name, 'model', 'adapter')
        case api.Caller(name=name, key_sha256=digest):
            return _check_key(before, name, digest)
        case _:
            return None
    if not taken:
        return None
    return refusal.allow(
        refusal.Reason.CLASH,
        '$.name',
        item.name,
        f'a name that no declared {taken} has',
    )


def _taken(before: api.Catalog, name: str, *kinds: str) -> str:
    for kind in kinds:
        if references.is_declared(before, kind, name):
            return kind
    return ''


def _check_key(before: api.Catalog, name: str, digest: str) -> _Refused:
    for other in before.callers.values():
        if other.key_sha256 == digest and other.name != name:
            return refusal.allow(
                refusal.Reason.CLASH,
                '$.key_sha256',
                digest,
                f'a key other than that of caller {other.name}',
            )
    return None


def _check_servers(after: api.Catalog, item: lift.Internal) -> _Refused:
    """Check that no other record claims a server of this one."""
    if not isinstance(item, api.Pool | api.Service):
        return None
    taken: dict[tuple[str, object], str] = {}
    for owner, server in _servers_of_others(after, item):
        taken['server_id', server.server_id] = owner
        taken['address', (server.address, server.port)] = owner
    for index, server in enumerate(item.servers):
        marks = (
            ('server_id', server.server_id),
            ('address', (server.address, server.port)),
        )
        for field, value in marks:
            owner = taken.get((field, value), '')
            if owner:
                return refusal.allow(
                    refusal.Reason.CLASH,
                    f'$.servers[{index}].{field}',
                    value,
                    f'a server that {owner} does not have',
                )
            taken[field, value] = 'an earlier entry of this record'
    return None


def _servers_of_others(
    after: api.Catalog, item: api.Pool | api.Service
) -> abc.Iterator[tuple[str, api.Server]]:
    owners: tuple[api.Pool | api.Service, ...] = (
        *after.pools.values(),
        *after.services.values(),
    )
    for owner in owners:
        kind = 'pool' if isinstance(owner, api.Pool) else 'service'
        if isinstance(owner, type(item)) and owner.name == item.name:
            continue
        for server in owner.servers:
            yield f'{kind} {owner.name}', server


def _check_versions(after: api.Catalog, item: lift.Internal) -> _Refused:
    """Check that one version of an artifact has one size."""
    match item:
        case api.Rollout(target=name):
            pass
        case api.Model(name=name) | api.Adapter(name=name):
            pass
        case _:
            return None
    rollout = after.rollouts.get(name)
    target = after.models.get(name) or after.adapters.get(name)
    if rollout is None or target is None or rollout.version != target.version:
        return None
    if rollout.memory_bytes == target.memory_bytes:
        return None
    other = target if isinstance(item, api.Rollout) else rollout
    return refusal.allow(
        refusal.Reason.CLASH,
        '$.memory_bytes',
        item.memory_bytes,
        f'{other.memory_bytes}, as declared for version {other.version}',
    )


def _check_capacity(
    before: api.Catalog, after: api.Catalog, item: lift.Internal
) -> _Refused:
    """Check the pool of which a record takes more, or which it shrinks."""
    name = _pool_of(after, item)
    if not name:
        return None
    if not _shrinks(before, after, name) and not _grows(before, after, name):
        return None
    shortage = capacity.find_shortage(after, name)
    if shortage is None:
        return None
    return refusal.Refusal(
        refusal.Reason.DOES_NOT_FIT, f'{shortage}; nothing changes'
    )


def _pool_of(after: api.Catalog, item: lift.Internal) -> str:
    match item:
        case api.Pool(name=name):
            return name
        case api.Model(pool=pool):
            return pool
        case api.Adapter(base=base):
            return after.models[base].pool
        case api.Rollout(target=target):
            found = after.models.get(target) or after.adapters[target]
            return _pool_of(after, found)
        case _:
            return ''


def _shrinks(before: api.Catalog, after: api.Catalog, name: str) -> bool:
    """Say whether a pool loses a server or a part of one."""
    pool = before.pools.get(name)
    if pool is None:
        return False
    left = {
        server.server_id: server.capacity_bytes
        for server in after.pools[name].servers
    }
    return any(
        left.get(server.server_id, 0) < server.capacity_bytes
        for server in pool.servers
    )


def _grows(before: api.Catalog, after: api.Catalog, name: str) -> bool:
    """Say whether more than before has to be placed in a pool."""
    placed = {
        (unit.artifact, unit.replica): unit.memory_bytes
        for unit in capacity.units(before, name)
    }
    return any(
        placed.get((unit.artifact, unit.replica), 0) < unit.memory_bytes
        for unit in capacity.units(after, name)
    )


def _listed(names: abc.Sequence[str]) -> str:
    shown = ', '.join(names[:_SHOWN_NAMES])
    rest = len(names) - _SHOWN_NAMES
    return f'{shown} and {rest} more' if rest > 0 else shown


def check_policy_name(record: wire.Record) -> _Refused:
    """Check that the one policy has its fixed name."""
    if record.kind_name != 'policy' or record.name == wire.POLICY_NAME:
        return None
    return refusal.allow(
        refusal.Reason.BAD_VALUE, '$.name', record.name, wire.POLICY_NAME
    )

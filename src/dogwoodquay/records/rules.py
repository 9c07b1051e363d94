"""Checks of a record against the other declared records."""

from __future__ import annotations

import ipaddress
import typing

from . import api
from . import capacity
from . import references
from . import refusal
from . import upgrade
from . import wire

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['check_declaration', 'check_policy_name', 'check_withdrawal']

_MAX_LISTED_NAMES: typing.Final = 5

_RefusalOrNone = refusal.Refusal | None


def check_declaration(
    before: api.Catalog, after: api.Catalog, item: upgrade.InternalRecord
) -> _RefusalOrNone:
    """Check a record in its internal form.

    :param before: the catalog without the record.
    :param after: the catalog with the record.
    """
    return (
        _check_values(item)
        or _check_references(before, item)
        or _check_name_unique(before, item)
        or _check_servers_unique(after, item)
        or _check_version_size(after, item)
        or _check_capacity(before, after, item)
    )


def check_withdrawal(
    before: api.Catalog, kind: str, name: str
) -> _RefusalOrNone:
    """Check that no record refers to the withdrawn record."""
    users = tuple(references.find_referrers(before, kind, name))
    if not users:
        return None
    return refusal.refuse_value(
        refusal.Reason.IN_USE,
        '$.name',
        name,
        f'a {kind} without references; withdraw or change first:'
        f' {_join_names(users)}',
    )


def _check_values(item: upgrade.InternalRecord) -> _RefusalOrNone:
    match item:
        case api.Pool(servers=servers) | api.Service(servers=servers):
            return _check_addresses(servers)
        case api.Policy(freeze_windows=windows):
            return _check_windows(windows)
        case _:
            return None


def _check_addresses(servers: tuple[api.Server, ...]) -> _RefusalOrNone:
    for index, server in enumerate(servers):
        try:
            ipaddress.ip_address(server.address)
        except ValueError:
            return refusal.refuse_value(
                refusal.Reason.BAD_VALUE,
                f'$.servers[{index}].address',
                server.address,
                'an IP address',
            )
    return None


def _check_windows(windows: tuple[api.FreezeWindow, ...]) -> _RefusalOrNone:
    for index, window in enumerate(windows):
        if window.end <= window.start:
            return refusal.refuse_value(
                refusal.Reason.BAD_VALUE,
                f'$.freeze_windows[{index}].end',
                window.end,
                f'a time after the start, {window.start}',
            )
    return None


def _check_references(
    before: api.Catalog, item: upgrade.InternalRecord
) -> _RefusalOrNone:
    for reference in references.find_unresolved(before, item):
        return refusal.refuse_value(
            refusal.Reason.UNRESOLVED,
            reference.path,
            reference.name,
            f'the name of a declared {" or ".join(reference.kinds)}',
        )
    return None


def _check_name_unique(
    before: api.Catalog, item: upgrade.InternalRecord
) -> _RefusalOrNone:
    """Check that no other target has this name, and no caller this key."""
    other_kind = ''
    match item:
        case api.Model(name=name):
            other_kind = _kind_using_name(before, name, 'adapter', 'service')
        case api.Adapter(name=name):
            other_kind = _kind_using_name(before, name, 'model', 'service')
        case api.Service(name=name):
            other_kind = _kind_using_name(before, name, 'model', 'adapter')
        case api.Caller(name=name, key_sha256=digest):
            return _check_key_unique(before, name, digest)
        case _:
            return None
    if not other_kind:
        return None
    return refusal.refuse_value(
        refusal.Reason.CLASH,
        '$.name',
        item.name,
        f'a name that no declared {other_kind} has',
    )


def _kind_using_name(before: api.Catalog, name: str, *kinds: str) -> str:
    for kind in kinds:
        if references.is_declared(before, kind, name):
            return kind
    return ''


def _check_key_unique(
    before: api.Catalog, name: str, digest: str
) -> _RefusalOrNone:
    for other in before.callers.values():
        if other.key_sha256 == digest and other.name != name:
            return refusal.refuse_value(
                refusal.Reason.CLASH,
                '$.key_sha256',
                digest,
                f'a key other than the key of caller {other.name}',
            )
    return None


def _check_servers_unique(
    after: api.Catalog, item: upgrade.InternalRecord
) -> _RefusalOrNone:
    """Check that no other record lists a server of this record."""
    if not isinstance(item, api.Pool | api.Service):
        return None
    owners: dict[tuple[str, object], str] = {}
    for owner, server in _servers_of_others(after, item):
        owners['server_id', server.server_id] = owner
        owners['address', (server.address, server.port)] = owner
    for index, server in enumerate(item.servers):
        identifiers = (
            ('server_id', server.server_id),
            ('address', (server.address, server.port)),
        )
        for field, value in identifiers:
            owner = owners.get((field, value), '')
            if owner:
                return refusal.refuse_value(
                    refusal.Reason.CLASH,
                    f'$.servers[{index}].{field}',
                    value,
                    f'a server that {owner} does not list',
                )
            owners[field, value] = 'an earlier entry of this record'
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


def _check_version_size(
    after: api.Catalog, item: upgrade.InternalRecord
) -> _RefusalOrNone:
    """Check that an artifact version has one size in all records."""
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
    return refusal.refuse_value(
        refusal.Reason.CLASH,
        '$.memory_bytes',
        item.memory_bytes,
        f'{other.memory_bytes}, as declared for version {other.version}',
    )


def _check_capacity(
    before: api.Catalog, after: api.Catalog, item: upgrade.InternalRecord
) -> _RefusalOrNone:
    """Check the capacity of a pool that shrinks or needs more memory.

    Other changes are accepted even if the pool is already too small.
    """
    name = _find_pool(after, item)
    if not name:
        return None
    if not _loses_capacity(before, after, name) and not _needs_more_memory(
        before, after, name
    ):
        return None
    shortage = capacity.find_shortage(after, name)
    if shortage is None:
        return None
    return refusal.Refusal(
        refusal.Reason.DOES_NOT_FIT, f'{shortage}; the record changes nothing'
    )


def _find_pool(after: api.Catalog, item: upgrade.InternalRecord) -> str:
    match item:
        case api.Pool(name=name):
            return name
        case api.Model(pool=pool):
            return pool
        case api.Adapter(base=base):
            return after.models[base].pool
        case api.Rollout(target=target):
            artifact = after.models.get(target) or after.adapters[target]
            return _find_pool(after, artifact)
        case _:
            return ''


def _loses_capacity(
    before: api.Catalog, after: api.Catalog, name: str
) -> bool:
    """Return whether a server of a pool is removed or has less memory."""
    pool = before.pools.get(name)
    if pool is None:
        return False
    remaining = {
        server.server_id: server.capacity_bytes
        for server in after.pools[name].servers
    }
    return any(
        remaining.get(server.server_id, 0) < server.capacity_bytes
        for server in pool.servers
    )


def _needs_more_memory(
    before: api.Catalog, after: api.Catalog, name: str
) -> bool:
    """Return whether a unit of a pool is new or needs more memory."""
    placed = {
        (unit.artifact, unit.replica): unit.memory_bytes
        for unit in capacity.placement_units(before, name)
    }
    return any(
        placed.get((unit.artifact, unit.replica), 0) < unit.memory_bytes
        for unit in capacity.placement_units(after, name)
    )


def _join_names(names: abc.Sequence[str]) -> str:
    shown = ', '.join(names[:_MAX_LISTED_NAMES])
    rest = len(names) - _MAX_LISTED_NAMES
    return f'{shown} and {rest} more' if rest > 0 else shown


def check_policy_name(record: wire.Record) -> _RefusalOrNone:
    """Check that the policy record has its fixed name."""
    if record.kind_name != 'policy' or record.name == wire.POLICY_NAME:
        return None
    return refusal.refuse_value(
        refusal.Reason.BAD_VALUE, '$.name', record.name, wire.POLICY_NAME
    )

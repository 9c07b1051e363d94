"""References between declared records."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Reference', 'find_referrers', 'find_unresolved', 'is_target']


class Reference(typing.NamedTuple):
    """A reference at ``path`` to a record of one of ``kinds``."""

    path: str
    name: str
    kinds: tuple[str, ...]


_TARGETS: typing.Final = ('model', 'adapter', 'service')


def is_declared(catalog: api.Catalog, kind: str, name: str) -> bool:
    """Return whether a record of this kind and name is declared."""
    declared: dict[str, abc.Collection[str]] = {
        'adapter': catalog.adapters,
        'model': catalog.models,
        'pool': catalog.pools,
        'service': catalog.services,
    }
    return name in declared[kind]


def is_target(catalog: api.Catalog, name: str) -> bool:
    """Return whether callers can send requests to a name."""
    return any(is_declared(catalog, kind, name) for kind in _TARGETS)


def find_unresolved(
    catalog: api.Catalog, item: object
) -> abc.Iterator[Reference]:
    """Return the references of a record to names that are not declared."""
    for reference in _references(item):
        if not any(
            is_declared(catalog, kind, reference.name)
            for kind in reference.kinds
        ):
            yield reference


def _references(item: object) -> abc.Iterator[Reference]:
    match item:
        case api.Model(pool=pool):
            yield Reference('$.pool', pool, ('pool',))
        case api.Adapter(base=base):
            yield Reference('$.base', base, ('model',))
        case api.Rollout(target=target):
            yield Reference('$.name', target, ('model', 'adapter'))
        case api.Caller(targets=targets):
            yield from _list_references('$.targets', targets, _TARGETS)
        case api.Policy(freeze_windows=windows):
            for index, window in enumerate(windows):
                path = f'$.freeze_windows[{index}].models'
                yield from _list_references(path, window.models, ('model',))


def _list_references(
    path: str, names: tuple[str, ...], kinds: tuple[str, ...]
) -> abc.Iterator[Reference]:
    for index, name in enumerate(names):
        if name != api.ALL:
            yield Reference(f'{path}[{index}]', name, kinds)


def find_referrers(
    catalog: api.Catalog, kind: str, name: str
) -> abc.Iterator[str]:
    """Return the kinds and names of records that refer to a record."""
    for referrer, item in _declared_records(catalog):
        for reference in _references(item):
            if reference.name == name and kind in reference.kinds:
                yield referrer
                break


def _declared_records(
    catalog: api.Catalog,
) -> abc.Iterator[tuple[str, object]]:
    for model in catalog.models.values():
        yield f'model {model.name}', model
    for adapter in catalog.adapters.values():
        yield f'adapter {adapter.name}', adapter
    for rollout in catalog.rollouts.values():
        yield f'rollout {rollout.target}', rollout
    for caller in catalog.callers.values():
        yield f'caller {caller.name}', caller
    yield 'policy', catalog.policy

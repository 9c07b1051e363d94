"""Which declared names refer to which others."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['Reference', 'is_target', 'referrers', 'unresolved']


class Reference(typing.NamedTuple):
    """A name that a record at a path refers to, and where it has to be."""

    path: str
    name: str
    kinds: tuple[str, ...]


_TARGETS: typing.Final = ('model', 'adapter', 'service')


def is_declared(catalog: api.Catalog, kind: str, name: str) -> bool:
    """Say whether a name of a kind is declared."""
    declared: dict[str, abc.Collection[str]] = {
        'adapter': catalog.adapters,
        'model': catalog.models,
        'pool': catalog.pools,
        'service': catalog.services,
    }
    return name in declared[kind]


def is_target(catalog: api.Catalog, name: str) -> bool:
    """Say whether callers can address a name."""
    return any(is_declared(catalog, kind, name) for kind in _TARGETS)


def unresolved(catalog: api.Catalog, item: object) -> abc.Iterator[Reference]:
    """Return the references of a lifted record that lead nowhere."""
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
            yield from _listed('$.targets', targets, _TARGETS)
        case api.Policy(freeze_windows=windows):
            for index, window in enumerate(windows):
                path = f'$.freeze_windows[{index}].models'
                yield from _listed(path, window.models, ('model',))


def _listed(
    path: str, names: tuple[str, ...], kinds: tuple[str, ...]
) -> abc.Iterator[Reference]:
    for index, name in enumerate(names):
        if name != api.ALL:
            yield Reference(f'{path}[{index}]', name, kinds)


def referrers(catalog: api.Catalog, kind: str, name: str) -> abc.Iterator[str]:
    """Return the records that refer to a declared name."""
    for referrer, item in _all(catalog):
        for reference in _references(item):
            if reference.name == name and kind in reference.kinds:
                yield referrer
                break


def _all(catalog: api.Catalog) -> abc.Iterator[tuple[str, object]]:
    for model in catalog.models.values():
        yield f'model {model.name}', model
    for adapter in catalog.adapters.values():
        yield f'adapter {adapter.name}', adapter
    for rollout in catalog.rollouts.values():
        yield f'rollout {rollout.target}', rollout
    for caller in catalog.callers.values():
        yield f'caller {caller.name}', caller
    yield 'policy', catalog.policy

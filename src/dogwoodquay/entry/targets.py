"""Finds what a model's name or a service's path stands for."""

from __future__ import annotations

import re
import typing
from urllib import parse

import msgspec

from ..records import api as records_api

if typing.TYPE_CHECKING:
    from collections import abc
    import random

__all__ = [
    'ServicePath',
    'is_idempotent',
    'models_page',
    'service_path',
    'versions',
]

SERVICES_PREFIX: typing.Final = '/services/'

_ENCODED_SEPARATOR: typing.Final = re.compile('%2f|%5c', re.IGNORECASE)
_SLASHES: typing.Final = re.compile('/+')
_DOT_SEGMENTS: typing.Final = frozenset({'.', '..'})


class ServicePath(typing.NamedTuple):
    """A path below a service; ``path`` is what goes upstream."""

    service: str
    path: str
    canonical: str


class _Model(msgspec.Struct, frozen=True):
    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'dogwoodquay'


class _Models(msgspec.Struct, frozen=True):
    data: tuple[_Model, ...]
    object: str = 'list'


def versions(
    catalog: records_api.Catalog, name: str, rng: random.Random
) -> tuple[str, ...]:
    """Return the artifacts that may answer for a name, the first best.

    A rollout's share of the calls goes to the new version; the other version
    follows in case that the first has no replica. Empty when unknown.
    """
    declared = catalog.models.get(name) or catalog.adapters.get(name)
    if declared is None:
        return ()
    current = records_api.artifact_id(name, declared.version)
    rollout = catalog.rollouts.get(name)
    if rollout is None or rollout.version == declared.version:
        return (current,)
    coming = records_api.artifact_id(name, rollout.version)
    if rng.random() < rollout.share:
        return (coming, current)
    return (current, coming)


def service_path(path: str) -> ServicePath | None:
    """Split a path below ``/services/``.

    ``None`` for paths that upstreams may read in two ways, so that no
    operation can pass under another one's name.
    """
    name, slash, rest = path[len(SERVICES_PREFIX) :].partition('/')
    if not name or '%' in name or _ENCODED_SEPARATOR.search(rest):
        return None
    decoded = parse.unquote(rest)
    if '\\' in decoded or ';' in decoded:
        return None
    canonical = _SLASHES.sub('/', '/' + decoded).rstrip('/')
    if not _DOT_SEGMENTS.isdisjoint(canonical.split('/')):
        return None
    return ServicePath(name, slash + rest or '/', canonical or '/')


def is_idempotent(
    service: records_api.Service, method: str, canonical: str
) -> bool:
    """Tell whether an operation of a service may run more than once."""
    return not any(
        operation.method.upper() == method
        and _matches(operation.path, canonical)
        for operation in service.non_idempotent
    )


def models_page(names: abc.Iterable[str]) -> bytes:
    """Return the list of models in the form that callers' tools expect."""
    found = tuple(_Model(name) for name in sorted(names))
    return msgspec.json.encode(_Models(found))


def _matches(pattern: str, canonical: str) -> bool:
    """Compare by segment without regard to case; ``{x}`` is any segment."""
    wanted = pattern.rstrip('/').split('/')
    given = canonical.rstrip('/').split('/')
    if len(wanted) != len(given):
        return False
    return all(
        _is_variable(segment) or segment.lower() == other.lower()
        for segment, other in zip(wanted, given, strict=True)
    )


def _is_variable(segment: str) -> bool:
    return segment.startswith('{') and segment.endswith('}')

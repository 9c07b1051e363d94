"""Resolves model names to artifacts and paths to service operations."""

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
    'candidate_artifacts',
    'encode_model_list',
    'is_idempotent',
    'parse_service_path',
]

SERVICES_PREFIX: typing.Final = '/services/'

_ENCODED_SEPARATOR: typing.Final = re.compile('%2f|%5c', re.IGNORECASE)
_SLASHES: typing.Final = re.compile('/+')
_DOT_SEGMENTS: typing.Final = frozenset({'.', '..'})


class ServicePath(typing.NamedTuple):
    """A path below a service.

    ``path`` is sent upstream; ``canonical`` is compared with operations.
    """

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


def candidate_artifacts(
    catalog: records_api.Catalog, name: str, rng: random.Random
) -> tuple[str, ...]:
    """Return the artifacts that may serve a name, the preferred one first.

    During a rollout, the new version is preferred for the rollout's share of
    the calls. The other version follows in case the preferred one has no
    replica. The result is empty if the name is unknown.
    """
    declared = catalog.models.get(name) or catalog.adapters.get(name)
    if declared is None:
        return ()
    declared_artifact = records_api.artifact_id(name, declared.version)
    rollout = catalog.rollouts.get(name)
    if rollout is None or rollout.version == declared.version:
        return (declared_artifact,)
    rollout_artifact = records_api.artifact_id(name, rollout.version)
    if rng.random() < rollout.share:
        return (rollout_artifact, declared_artifact)
    return (declared_artifact, rollout_artifact)


def parse_service_path(path: str) -> ServicePath | None:
    """Split a path below ``/services/`` into service and path.

    Returns ``None`` for a path that upstreams may normalize differently:
    a non-idempotent operation could pass for another one.
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
    """Return whether an operation of a service may run more than once."""
    return not any(
        operation.method.upper() == method
        and _matches_pattern(operation.path, canonical)
        for operation in service.non_idempotent
    )


def encode_model_list(names: abc.Iterable[str]) -> bytes:
    """Return the list of models in the format of the OpenAI API."""
    models = tuple(_Model(name) for name in sorted(names))
    return msgspec.json.encode(_Models(models))


def _matches_pattern(pattern: str, canonical: str) -> bool:
    """Compare segments, ignoring case; ``{x}`` matches any segment."""
    pattern_segments = pattern.rstrip('/').split('/')
    path_segments = canonical.rstrip('/').split('/')
    if len(pattern_segments) != len(path_segments):
        return False
    return all(
        _is_variable(segment) or segment.lower() == other.lower()
        for segment, other in zip(pattern_segments, path_segments, strict=True)
    )


def _is_variable(segment: str) -> bool:
    return segment.startswith('{') and segment.endswith('}')

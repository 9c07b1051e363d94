"""What a catalogue declares of artifacts, for the ledger's rules."""

from __future__ import annotations

import typing

from ..records import api as records_api

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['declared_versions', 'name_of']


def name_of(artifact: str) -> str:
    """Return the name of a model or adapter without its version."""
    return artifact.rpartition('@')[0]


def declared_versions(
    catalog: records_api.Catalog, pool: str
) -> dict[str, frozenset[str]]:
    """Return the artifacts that have to be served in a pool, by name."""
    declared: dict[str, frozenset[str]] = {}
    for model in catalog.models.values():
        if model.pool == pool:
            declared[model.name] = _versions(catalog, model)
    for adapter in catalog.adapters.values():
        if adapter.base in declared:
            declared[adapter.name] = _versions(catalog, adapter)
    return declared


def _versions(
    catalog: records_api.Catalog,
    item: records_api.Model | records_api.Adapter,
) -> frozenset[str]:
    present = records_api.artifact_id(item.name, item.version)
    rollout = catalog.rollouts.get(item.name)
    if rollout is None:
        return frozenset((present,))
    following = records_api.artifact_id(item.name, rollout.version)
    return frozenset(_shared((present, following), rollout.share))


def _shared(versions: tuple[str, str], share: float) -> abc.Iterator[str]:
    present, following = versions
    if share < 1:
        yield present
    if share > 0:
        yield following

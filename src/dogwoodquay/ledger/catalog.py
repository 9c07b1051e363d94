"""Artifacts declared in a catalog, for the ledger's rules."""

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
    """Return the artifacts that a pool must serve, keyed by name."""
    declared: dict[str, frozenset[str]] = {}
    for model in catalog.models.values():
        if model.pool == pool:
            declared[model.name] = _declared(catalog, model)
    for adapter in catalog.adapters.values():
        if adapter.base in declared:
            declared[adapter.name] = _declared(catalog, adapter)
    return declared


def _declared(
    catalog: records_api.Catalog,
    item: records_api.Model | records_api.Adapter,
) -> frozenset[str]:
    current = records_api.artifact_id(item.name, item.version)
    rollout = catalog.rollouts.get(item.name)
    if rollout is None:
        return frozenset((current,))
    rollout_target = records_api.artifact_id(item.name, rollout.version)
    return frozenset(
        _active_versions((current, rollout_target), rollout.share)
    )


def _active_versions(
    versions: tuple[str, str], share: float
) -> abc.Iterator[str]:
    current, rollout_target = versions
    if share < 1:
        yield current
    if share > 0:
        yield rollout_target

"""The desired state of a pool: its declared artifacts and their demand."""

from __future__ import annotations

import typing

from ..records import api as records_api

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['Artifact', 'declared_artifacts', 'frozen_names', 'needs']

QUEUE_DRAIN_SECONDS: typing.Final = 5.0
MIN_REQUEST_TOKENS: typing.Final = 50.0


class Artifact(typing.NamedTuple):
    """A version of a model or adapter that a pool has to serve.

    ``base`` is the id of the model version that an adapter needs, and empty
    for a model. ``successor`` is the id of the version that replaces this
    one; this one is kept only until the successor is ready.
    """

    artifact: str
    name: str
    memory_bytes: int
    min_replicas: int
    tokens_per_second: float
    base: str = ''
    successor: str = ''


def declared_artifacts(
    catalog: records_api.Catalog, pool: str
) -> dict[str, Artifact]:
    """Return a pool's declared artifacts by id, models first."""
    found: dict[str, Artifact] = {}
    for model in catalog.models.values():
        if model.pool == pool:
            for item in _model_versions(catalog, model):
                found[item.artifact] = item
    for adapter in catalog.adapters.values():
        base = catalog.models.get(adapter.base)
        if base is not None and base.pool == pool:
            for item in _adapter_versions(catalog, adapter, base):
                found[item.artifact] = item
    return found


def frozen_names(catalog: records_api.Catalog, now: float) -> frozenset[str]:
    """Return the names in a current freeze window.

    The adapters of a frozen model are frozen too.
    """
    names: set[str] = set()
    for window in catalog.policy.freeze_windows:
        if window.start <= now < window.end:
            names.update(window.models)
    if records_api.ALL in names:
        names.update(catalog.models, catalog.adapters)
    names.update(
        adapter.name
        for adapter in catalog.adapters.values()
        if adapter.base in names
    )
    return frozenset(names)


def needs(
    catalog: records_api.Catalog,
    artifacts: dict[str, Artifact],
    demand: tuple[api.Demand, ...],
) -> dict[str, float]:
    """Return each artifact's demand as a number of busy servers."""
    found = {
        item.artifact: _busy_servers(artifacts[item.artifact], item)
        for item in demand
        if item.artifact in artifacts
    }
    for rollout in catalog.rollouts.values():
        _spread_rollout(catalog, rollout, found)
    return {artifact: found.get(artifact, 0.0) for artifact in artifacts}


def _busy_servers(item: Artifact, demand: api.Demand) -> float:
    requests = demand.requests_per_second
    tokens = max(demand.tokens_per_second, requests * MIN_REQUEST_TOKENS)
    per_request = tokens / requests if requests > 0 else MIN_REQUEST_TOKENS
    backlog = demand.waiting * per_request / QUEUE_DRAIN_SECONDS
    return (tokens + backlog) / item.tokens_per_second


def _spread_rollout(
    catalog: records_api.Catalog,
    rollout: records_api.Rollout,
    found: dict[str, float],
) -> None:
    """Raise a new version's demand to its share of the rollout."""
    current = _current_version(catalog, rollout.target)
    if not current or current == rollout.version:
        return
    old = records_api.artifact_id(rollout.target, current)
    new = records_api.artifact_id(rollout.target, rollout.version)
    total = found.get(old, 0.0) + found.get(new, 0.0)
    found[new] = max(found.get(new, 0.0), rollout.share * total)


def _current_version(catalog: records_api.Catalog, name: str) -> str:
    model = catalog.models.get(name)
    if model is not None:
        return model.version
    adapter = catalog.adapters.get(name)
    return adapter.version if adapter is not None else ''


def _rollout(
    catalog: records_api.Catalog, name: str, version: str
) -> records_api.Rollout | None:
    """Return the rollout of a version other than the given one, if any."""
    rollout = catalog.rollouts.get(name)
    if rollout is None or rollout.version == version:
        return None
    return rollout


def _model_versions(
    catalog: records_api.Catalog, model: records_api.Model
) -> list[Artifact]:
    rollout = _rollout(catalog, model.name, model.version)
    old = Artifact(
        records_api.artifact_id(model.name, model.version),
        model.name,
        model.memory_bytes,
        model.min_replicas,
        model.tokens_per_second,
    )
    if rollout is None:
        return [old]
    new = old._replace(
        artifact=records_api.artifact_id(model.name, rollout.version),
        memory_bytes=rollout.memory_bytes,
    )
    if rollout.share >= 1.0:
        return [new, old._replace(successor=new.artifact)]
    return [old, new._replace(min_replicas=1)]


def _adapter_versions(
    catalog: records_api.Catalog,
    adapter: records_api.Adapter,
    base: records_api.Model,
) -> list[Artifact]:
    rollout = _rollout(catalog, adapter.name, adapter.version)
    old = Artifact(
        records_api.artifact_id(adapter.name, adapter.version),
        adapter.name,
        adapter.memory_bytes,
        1,
        base.tokens_per_second,
        base=_base_version(catalog, base),
    )
    if rollout is None:
        return [old]
    new = old._replace(
        artifact=records_api.artifact_id(adapter.name, rollout.version),
        memory_bytes=rollout.memory_bytes,
    )
    if rollout.share >= 1.0:
        return [new, old._replace(successor=new.artifact)]
    return [old, new]


def _base_version(
    catalog: records_api.Catalog, base: records_api.Model
) -> str:
    """Return the id of the model version that adapters have to use."""
    rollout = _rollout(catalog, base.name, base.version)
    version = base.version
    if rollout is not None and rollout.share >= 1.0:
        version = rollout.version
    return records_api.artifact_id(base.name, version)

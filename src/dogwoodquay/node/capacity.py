"""Sets how many requests an instance may run at a time per artifact."""

from __future__ import annotations

import math
import typing

from ..records import api as records_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..admission import api as admission_api
    from ..membership import api as membership_api
    from ..routing import api as routing_api

__all__ = ['CapacityUpdater']

SLOTS_PER_ENGINE: typing.Final = 48
SLOTS_PER_SERVICE_SERVER: typing.Final = 64
IMBALANCE_FACTOR: typing.Final = 2.0
MIN_SLOTS: typing.Final = 2
EXPECTED_FIRST_TOKEN_SECONDS: typing.Final = 0.06
EXPECTED_FIRST_BYTE_SECONDS: typing.Final = 0.05


class CapacityUpdater:
    """Divides the slots of all replicas among the live instances.

    The load balancer distributes requests unevenly, so each of several
    instances may use ``IMBALANCE_FACTOR`` times its even share. Requests
    beyond the slots of an engine wait in the engine's own queue.
    """

    def __init__(
        self,
        admission: admission_api.Admission,
        router: routing_api.Router,
        membership: membership_api.Membership,
        catalog: abc.Callable[[], records_api.Catalog],
    ) -> None:
        self._admission = admission
        self._router = router
        self._membership = membership
        self._catalog = catalog
        self._applied: dict[str, int] = {}

    def step(self) -> None:
        """Update admission for the current replicas and live members."""
        catalog = self._catalog()
        for artifact in _artifacts(catalog):
            self._apply(
                artifact, SLOTS_PER_ENGINE, EXPECTED_FIRST_TOKEN_SECONDS
            )
        for name in catalog.services:
            self._apply(
                name, SLOTS_PER_SERVICE_SERVER, EXPECTED_FIRST_BYTE_SECONDS
            )

    def _apply(
        self, artifact: str, slots_per_replica: int, first_token_seconds: float
    ) -> None:
        replicas = len(self._router.replicas(artifact))
        instances = max(1, len(self._membership.live()))
        share = replicas * slots_per_replica / instances
        if instances > 1:
            share *= IMBALANCE_FACTOR
        capacity = max(MIN_SLOTS, math.ceil(share))
        if self._applied.get(artifact) != capacity:
            self._applied[artifact] = capacity
            self._admission.set_capacity(
                artifact, capacity, first_token_seconds
            )


def _artifacts(catalog: records_api.Catalog) -> abc.Iterator[str]:
    """Yield the artifacts of the catalog, both versions in a rollout."""
    for declared in (catalog.models, catalog.adapters):
        for name, item in declared.items():
            for version in _versions(catalog, name, item.version):
                yield records_api.artifact_id(name, version)


def _versions(
    catalog: records_api.Catalog, name: str, version: str
) -> abc.Iterator[str]:
    yield version
    rollout = catalog.rollouts.get(name)
    if rollout is not None and rollout.version != version:
        yield rollout.version

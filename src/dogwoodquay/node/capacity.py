"""How many requests of each artifact this instance may run at a time."""

from __future__ import annotations

import math
import typing

from ..records import api as records_api

if typing.TYPE_CHECKING:
    from collections import abc

    from ..admission import api as admission_api
    from ..membership import api as membership_api
    from ..routing import api as routing_api

__all__ = ['CapacityKeeper']

ENGINE_SLOTS: typing.Final = 48
SERVICE_SLOTS: typing.Final = 64
UNEVEN_LOAD: typing.Final = 2.0
FEWEST_SLOTS: typing.Final = 2
FIRST_TOKEN_SECONDS: typing.Final = 0.06
SERVICE_FIRST_BYTE_SECONDS: typing.Final = 0.05


class CapacityKeeper:
    """Splits the replicas' places between the live instances.

    The balancer spreads requests unevenly, so that each instance may use
    more than its even part; the engines' own queues take what overlaps.
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
        self._set: dict[str, int] = {}

    def step(self) -> None:
        """Apply the present replicas and members."""
        catalog = self._catalog()
        for artifact in _artifacts(catalog):
            self._apply(artifact, ENGINE_SLOTS, FIRST_TOKEN_SECONDS)
        for name in catalog.services:
            self._apply(name, SERVICE_SLOTS, SERVICE_FIRST_BYTE_SECONDS)

    def _apply(
        self, artifact: str, slots: int, first_token_seconds: float
    ) -> None:
        replicas = len(self._router.replicas(artifact))
        instances = max(1, len(self._membership.live()))
        part = replicas * slots / instances
        if instances > 1:
            part *= UNEVEN_LOAD
        own = max(FEWEST_SLOTS, math.ceil(part))
        if self._set.get(artifact) != own:
            self._set[artifact] = own
            self._admission.set_capacity(artifact, own, first_token_seconds)


def _artifacts(catalog: records_api.Catalog) -> abc.Iterator[str]:
    """Yield each artifact that may be served."""
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

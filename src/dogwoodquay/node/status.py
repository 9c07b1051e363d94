"""Collects the status for operators from an instance's components."""

from __future__ import annotations

import typing

from ..operators import api
from ..records import api as records_api

if typing.TYPE_CHECKING:
    from collections import abc

    from .. import clock as clocks
    from . import configuration as configurations
    from ..entry import health as health_module
    from . import inforce
    from ..ledger import views as ledger_views
    from ..membership import api as membership_api
    from . import pools as pools_module
    from ..pools import api as pools_api
    from ..routing import api as routing_api
    from . import views as views_module
    from . import weights as weights_module

__all__ = ['InstanceStatus']


class InstanceStatus:
    """Implements ``operators.api.StatusSource``."""

    def __init__(
        self,
        membership: membership_api.Membership,
        clock: clocks.Clock,
        health: health_module.Health,
        configuration: configurations.Configuration,
        views: views_module.ViewExchange,
        router: routing_api.Router,
        pools: pools_module.PoolDuties,
        weights: weights_module.WeightsDuty,
        query: inforce.InForceQuery,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._health = health
        self._configuration = configuration
        self._views = views
        self._router = router
        self._pools = pools
        self._weights = weights
        self._query = query

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self._health.ready

    def status(self) -> api.Status:
        """Return the current status of this instance."""
        own = self._membership.own
        return api.Status(
            instance_id=own.instance_id,
            incarnation=own.incarnation,
            time=self._clock.now(),
            ready=self._health.ready,
            leaving='draining' in self._health.waiting_for,
            configuration=self._configuration_status(),
            members=tuple(
                _member_status(member) for member in self._membership.members()
            ),
            targets=tuple(
                self._target_statuses(self._configuration.catalog())
            ),
            pools=tuple(
                self._pool_status(name)
                for name in sorted(self._configuration.catalog().pools)
            ),
            weights_owner=self._weights.owner,
        )

    async def in_force(self, offset: int, deadline: float) -> api.InForce:
        """Ask every live instance whether it has applied an offset."""
        return await self._query.ask(offset, deadline)

    def _configuration_status(self) -> api.ConfigurationStatus:
        state = self._configuration.state
        return api.ConfigurationStatus(
            offset=state.offset,
            digest=state.digest(),
            log_reachable=self._configuration.log_reachable,
            refused=tuple(
                api.RefusedStatus(
                    item.offset,
                    item.kind,
                    item.name,
                    item.reason.value,
                    item.explanation,
                )
                for item in state.records.refused
            ),
        )

    def _target_statuses(
        self, catalog: records_api.Catalog
    ) -> abc.Iterator[api.TargetStatus]:
        for model in catalog.models.values():
            yield self._versioned_target_status(
                'model', catalog, model.name, model.version
            )
        for adapter in catalog.adapters.values():
            yield self._versioned_target_status(
                'adapter', catalog, adapter.name, adapter.version
            )
        for name in catalog.services:
            yield self._target_status('service', name, name)

    def _versioned_target_status(
        self,
        kind: str,
        catalog: records_api.Catalog,
        name: str,
        version: str,
    ) -> api.TargetStatus:
        rollout = catalog.rollouts.get(name)
        if rollout is not None and rollout.share >= 1:
            version = rollout.version
        return self._target_status(
            kind, name, records_api.artifact_id(name, version)
        )

    def _target_status(
        self, kind: str, name: str, artifact: str
    ) -> api.TargetStatus:
        replicas = self._router.replicas(artifact)
        ready_on = tuple(sorted(replica.server_id for replica in replicas))
        return api.TargetStatus(kind, name, artifact, ready_on)

    def _pool_status(self, name: str) -> api.PoolStatus:
        view = self._views.view(name)
        pool = self._pools.candidate_pools.get(name)
        detail = None if pool is None else pool.ledger.status()
        infeasible = () if pool is None else pool.ledger.infeasible
        if view is None:
            return api.PoolStatus(name, '', -1, 0, 0, ())
        return api.PoolStatus(
            pool=name,
            owner=view.owner,
            epoch=view.epoch,
            version=view.version,
            moves=0 if pool is None else pool.ledger.moves,
            servers=tuple(
                _server_status(server, detail) for server in view.servers
            ),
            infeasible=tuple(
                api.InfeasibleStatus(
                    item.artifact,
                    item.reason,
                    item.needed_bytes,
                    item.free_bytes,
                )
                for item in infeasible
            ),
        )


def _member_status(member: membership_api.Member) -> api.MemberStatus:
    return api.MemberStatus(
        member.instance_id,
        member.address,
        member.port,
        member.failure_domain,
        member.state.name.lower(),
    )


def _server_status(
    server: pools_api.ServerView, detail: ledger_views.PoolStatus | None
) -> api.ServerStatus:
    orders: tuple[str, ...] = ()
    if detail is not None:
        for known in detail.servers:
            if known.server_id == server.server_id:
                orders = known.open_orders
    return api.ServerStatus(
        server_id=server.server_id,
        failure_domain=server.failure_domain,
        leaving=server.leaving,
        capacity_bytes=server.capacity_bytes,
        confirmed_bytes=server.confirmed_bytes,
        possible_bytes=server.possible_bytes,
        artifacts=tuple(
            item.artifact for item in server.artifacts if item.ready
        ),
        loading=tuple(
            item.artifact for item in server.artifacts if not item.ready
        ),
        orders=orders,
    )

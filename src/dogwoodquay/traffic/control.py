"""The parts that decide about requests under contended load."""

from __future__ import annotations

import typing

from . import contended
from . import overload_control
from . import server_capacity
from . import stall_watch
from . import tenant_accounts

if typing.TYPE_CHECKING:
    import random

    from .. import clock as clocks
    from ..fleet import registry as registries
    from ..gateway import metrics as gateway_metrics
    from ..gateway import settings as gateway_settings
    from ..routes import api as routes_api

__all__ = ['TrafficControl']


class TrafficControl:
    """Quotas, learned capacity, stalls and overload of one instance."""

    def __init__(
        self,
        settings: gateway_settings.InstanceSettings,
        registry: registries.Registry,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._capacity = server_capacity.ServerCapacity(
            registry, clock, rng, metrics
        )
        self._contended = contended.ContendedServices(self._capacity.paced)
        self._stalls = stall_watch.StallWatch(
            registry, clock, metrics, self._contended.includes
        )
        self._accounts = tenant_accounts.TenantAccounts(
            settings, clock, rng, metrics
        )
        self._overload = overload_control.OverloadControl(
            registry, clock, metrics
        )
        self._controls_overload = settings.overload_control

    @property
    def capacity(self) -> server_capacity.ServerCapacity:
        """What each server takes well."""
        return self._capacity

    @property
    def contended(self) -> contended.ContendedServices:
        """The services that are served under these rules."""
        return self._contended

    @property
    def stalls(self) -> stall_watch.StallWatch:
        """Which servers answer no instance."""
        return self._stalls

    @property
    def accounts(self) -> tenant_accounts.TenantAccounts:
        """What tenants may use."""
        return self._accounts

    @property
    def overload(self) -> overload_control.OverloadControl:
        """Which requests wait, and when refused callers return."""
        return self._overload

    def configure(self, configuration: routes_api.Configuration) -> None:
        """Apply a configuration."""
        self._contended.configure(configuration)
        self._accounts.configure(configuration.tenants)
        self._overload.configure(
            self._controls_overload and configuration.tenants_declared
        )

    def on_paced(self, service: str) -> None:
        """Record that a server of a service states its pace."""
        if self._controls_overload:
            self._overload.on_paced(service)

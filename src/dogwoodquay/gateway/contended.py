"""Which services are served under the rules for contended load."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from ..routes import api as routes_api

__all__ = ['ContendedServices']


class ContendedServices:
    """Services whose configuration or servers call for overload control.

    They are all services of a configuration that declares tenants, and those
    whose servers state the pace of their work. All others are served without
    these rules.
    """

    def __init__(self) -> None:
        self._tenants_declared = False
        self._paced: set[str] = set()

    def configure(self, configuration: routes_api.Configuration) -> None:
        """Apply a configuration."""
        self._tenants_declared = bool(configuration.tenants)
        self._paced.intersection_update(configuration.services)

    def on_pace(self, service: str) -> None:
        """Record that a server of a service has stated its pace."""
        self._paced.add(service)

    def includes(self, service: str) -> bool:
        """Whether a service is served under these rules."""
        return self._tenants_declared or service in self._paced

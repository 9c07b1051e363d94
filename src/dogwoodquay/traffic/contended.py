"""Which services are served under the rules for contended load."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from ..routes import api as routes_api

__all__ = ['ContendedServices']


class ContendedServices:
    """Services whose configuration or servers call for overload control.

    They are all services of a configuration that declares tenants, and those
    whose servers state the pace of their work. All others are served without
    these rules.

    :param paced: whether the servers of a service state their pace.
    """

    def __init__(self, paced: abc.Callable[[str], bool]) -> None:
        self._paced = paced
        self._tenants_declared = False

    def configure(self, configuration: routes_api.Configuration) -> None:
        """Apply a configuration."""
        self._tenants_declared = configuration.tenants_declared

    def includes(self, service: str) -> bool:
        """Whether a service is served under these rules."""
        return self._tenants_declared or self._paced(service)

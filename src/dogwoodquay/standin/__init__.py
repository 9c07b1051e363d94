"""HTTP stand-ins for the platform and upstreams, for the demo and tests."""

from __future__ import annotations

from .site import Address
from .site import SiteOptions
from .site import StandInSite
from .site import Upstream

__all__ = ['Address', 'SiteOptions', 'StandInSite', 'Upstream']

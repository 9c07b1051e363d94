"""Adapters that speak HTTP to the platform and to upstreams."""

from __future__ import annotations

from .client import Connections
from .engine import HttpEngine
from .log import HttpLog
from .platform import HttpInstanceList
from .platform import HttpWeightStore
from .service import HttpPlainService

__all__ = [
    'Connections',
    'HttpEngine',
    'HttpInstanceList',
    'HttpLog',
    'HttpPlainService',
    'HttpWeightStore',
]

"""HTTP adapters to the platform and to upstreams."""

from __future__ import annotations

from .client import Connections
from .engine import HttpEngine
from .lists import HttpInstanceList
from .lists import HttpWeightStore
from .log import HttpLog
from .service import HttpPlainService

__all__ = [
    'Connections',
    'HttpEngine',
    'HttpInstanceList',
    'HttpLog',
    'HttpPlainService',
    'HttpWeightStore',
]

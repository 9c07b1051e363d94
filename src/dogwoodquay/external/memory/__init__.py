"""In-memory fakes of the external systems, with fault injection."""

from __future__ import annotations

from .engine import EngineModel
from .engine import EngineProfile
from .faults import CallFault
from .faults import Faults
from .instances import MemoryInstanceList
from .log import MemoryLog
from .service import RunBook
from .service import ServiceModel
from .timeline import ManualTimeline
from .timeline import SystemTimeline
from .timeline import Timeline
from .upstreams import MemoryEngines
from .upstreams import MemoryServices
from .weights import MemoryWeightStore

__all__ = [
    'CallFault',
    'EngineModel',
    'EngineProfile',
    'Faults',
    'ManualTimeline',
    'MemoryEngines',
    'MemoryInstanceList',
    'MemoryLog',
    'MemoryServices',
    'MemoryWeightStore',
    'RunBook',
    'ServiceModel',
    'SystemTimeline',
    'Timeline',
]

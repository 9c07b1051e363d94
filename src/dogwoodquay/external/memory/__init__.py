"""In-memory fakes of the external systems, with fault injection."""

from __future__ import annotations

from .engine import EngineProfile
from .engine import FakeEngine
from .faults import CallFault
from .faults import Faults
from .instances import MemoryInstanceList
from .log import MemoryLog
from .service import FakeService
from .service import RunCounter
from .timeline import ManualTimeline
from .timeline import SystemTimeline
from .timeline import Timeline
from .upstreams import MemoryEngines
from .upstreams import MemoryServices
from .weights import MemoryWeightStore

__all__ = [
    'CallFault',
    'EngineProfile',
    'FakeEngine',
    'FakeService',
    'Faults',
    'ManualTimeline',
    'MemoryEngines',
    'MemoryInstanceList',
    'MemoryLog',
    'MemoryServices',
    'MemoryWeightStore',
    'RunCounter',
    'SystemTimeline',
    'Timeline',
]

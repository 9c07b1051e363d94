"""What an engine holds, and the orders that change it."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from ..fleet import api as fleet_api

__all__ = [
    'EngineReport',
    'LoadAdapter',
    'LoadModel',
    'Order',
    'OrderAnswer',
    'UnloadAdapter',
    'UnloadModel',
]


class EngineReport(typing.NamedTuple):
    """An engine's own account of itself, some hundred milliseconds old.

    ``order_number`` counts the orders that the process has accepted, and
    ``busy`` tells that one of a model is under way. ``adapters_coming`` are
    pairs of model and adapter.
    """

    models: tuple[fleet_api.HeldModel, ...]
    busy: bool
    order_number: int
    running: int
    waiting: int
    cache_used: int
    cache_total: int
    adapters_coming: frozenset[tuple[str, str]]
    in_memory: frozenset[str]
    on_disk: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Fetch a model's weights."""

    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadModel:
    """Drop a model, its adapters and its cached prompts."""

    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Fetch an adapter of a model that is held."""

    model: str
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Drop an adapter."""

    model: str
    adapter: str


Order = LoadModel | UnloadModel | LoadAdapter | UnloadAdapter


class OrderAnswer(enum.Enum):
    """What came of an order that was sent."""

    ACCEPTED = 'accepted'
    HOLDS_ALREADY = 'holds_already'
    CONFLICT = 'conflict'
    STALE_FENCE = 'stale_fence'
    REFUSED = 'refused'
    OTHER_SERVER = 'other_server'
    UNSENT = 'unsent'
    UNKNOWN = 'unknown'

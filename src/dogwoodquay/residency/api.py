"""An engine's report of its memory, and the orders that change it."""

from __future__ import annotations

import enum
import typing

import msgspec

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
    """An engine's state as it reports it, some hundred milliseconds old.

    ``order_number`` is the number of orders that the process has accepted.
    ``busy`` is true while the engine loads or unloads a model.
    ``loading_adapters`` holds pairs of model and adapter. ``in_memory`` and
    ``on_disk`` name the models whose weights the server has in its own main
    memory or on its own disk.
    """

    models: tuple[fleet_api.LoadedModel, ...]
    busy: bool
    order_number: int
    running: int
    waiting: int
    cache_used: int
    cache_total: int
    loading_adapters: frozenset[tuple[str, str]]
    in_memory: frozenset[str]
    on_disk: frozenset[str]


class LoadModel(msgspec.Struct, frozen=True):
    """Load a model's weights."""

    model: str


class UnloadModel(msgspec.Struct, frozen=True):
    """Unload a model with its adapters and cached prompts."""

    model: str


class LoadAdapter(msgspec.Struct, frozen=True):
    """Load an adapter of a model that is already loaded."""

    model: str
    adapter: str


class UnloadAdapter(msgspec.Struct, frozen=True):
    """Unload an adapter."""

    model: str
    adapter: str


Order = LoadModel | UnloadModel | LoadAdapter | UnloadAdapter


class OrderAnswer(enum.Enum):
    """The result of sending an order to an engine.

    ``HOLDS_ALREADY`` means that the state that the order asks for holds,
    ``UNSENT`` that the order was not sent, and ``UNKNOWN`` that no answer
    came, so that the order may still take effect.
    """

    ACCEPTED = 'accepted'
    HOLDS_ALREADY = 'holds_already'
    CONFLICT = 'conflict'
    STALE_FENCE = 'stale_fence'
    REFUSED = 'refused'
    OTHER_SERVER = 'other_server'
    UNSENT = 'unsent'
    UNKNOWN = 'unknown'

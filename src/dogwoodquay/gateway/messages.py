"""Messages between instances and the holder of the engines' orders."""

from __future__ import annotations

import msgspec

from ..wire import api as wire_api

__all__ = [
    'AdapterFound',
    'AdapterInUse',
    'ComingModel',
    'EngineView',
    'FindAdapter',
    'FleetView',
    'HandOver',
    'HandOverAnswer',
    'InstanceLoad',
    'ModelRow',
    'RunningRow',
]


class ModelRow(msgspec.Struct, frozen=True, array_like=True):
    """What one instance's callers ask of a model; ``rate`` is a second."""

    service: str
    model: str
    rate: float
    in_flight: int
    waiting: int
    oldest_wait_seconds: float


class AdapterInUse(msgspec.Struct, frozen=True, array_like=True):
    """An adapter that a request under way uses."""

    server_id: str
    model: str
    adapter: str


class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """How many requests of a model one instance has at a server."""

    server_id: str
    model: str
    count: int


class InstanceLoad(wire_api.Message, frozen=True, tag='load'):
    """The load of one instance, told to the holder.

    ``instance_id`` is its name as a member, which tells where it listens.
    """

    instance_id: str
    configuration_version: int
    models: tuple[ModelRow, ...]
    in_use: tuple[AdapterInUse, ...]
    running: tuple[RunningRow, ...]


class EngineView(msgspec.Struct, frozen=True, array_like=True):
    """What the holder knows of one engine.

    ``others`` counts the requests there of all instances but the reader.
    """

    server_id: str
    started_ms: int
    held: dict[str, tuple[str, ...]]
    others: int


class ComingModel(msgspec.Struct, frozen=True, array_like=True):
    """A model that no engine can serve yet, and how long it still takes."""

    service: str
    model: str
    seconds: float


class FleetView(wire_api.Message, frozen=True, tag='view'):
    """What the holder tells an instance of all engines and instances.

    Who holds the duty no more tells of ``holder`` alone.
    """

    holder: str
    engines: tuple[EngineView, ...]
    coming: tuple[ComingModel, ...]
    instances: int
    configuration_version: int


class FindAdapter(wire_api.Message, frozen=True, tag='find'):
    """Asks the holder to bring an adapter to some engine."""

    service: str
    model: str
    adapter: str


class AdapterFound(wire_api.Message, frozen=True, tag='found'):
    """The server that holds an adapter, empty for none."""

    server_id: str


class HandOver(wire_api.Message, frozen=True, tag='hand_over'):
    """Offers the duty to a peer, as its holder stops.

    ``number`` is the fencing number within the group's ``generation``.
    """

    predecessor: str
    generation: int
    number: int


class HandOverAnswer(wire_api.Message, frozen=True, tag='handed'):
    """Whether the peer has the duty from now on."""

    taken: bool

"""Decides where an adapter goes that no engine holds."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import contents as engine_contents

__all__ = ['AdapterKey', 'Placement', 'place', 'present']


class AdapterKey(typing.NamedTuple):
    """An adapter on one server."""

    server_id: str
    model: str
    adapter: str


class Placement(typing.NamedTuple):
    """The engine for an adapter, and the orders that bring it there."""

    engine: engine_contents.EngineContents
    orders: tuple[api.Order, ...]


def present(
    engines: abc.Iterable[engine_contents.EngineContents],
    model: str,
    adapter: str,
) -> engine_contents.EngineContents | None:
    """Return an engine that holds an adapter, coming ones included."""
    for engine in engines:
        if (model, adapter) in engine.adapters and model in engine.models():
            return engine
    return None


def place(
    engines: abc.Iterable[engine_contents.EngineContents],
    model: str,
    adapter: str,
    load: abc.Callable[[engine_contents.EngineContents], float],
    used_at: abc.Mapping[AdapterKey, float],
    idle_since: float,
) -> Placement | None:
    """Return the engine that can take an adapter at the least cost.

    Answers many adapters that share few places: a free place on a little
    loaded engine comes first, then the place of the adapter that was used
    least recently, and never one that was used after ``idle_since``.

    :param load: how full an engine is, 0 to 1.
    """
    best: Placement | None = None
    best_cost = float('inf')
    for engine in engines:
        if model not in engine.models() or not engine.known:
            continue
        if engine.busy or engine.sending:
            continue
        wanted = api.LoadAdapter(model, adapter)
        if engine.permits(wanted):
            cost = load(engine)
            orders: tuple[api.Order, ...] = (wanted,)
        else:
            victim = _victim(engine, used_at, idle_since)
            if victim is None:
                continue
            cost = 1.0 + load(engine)
            orders = (victim, wanted)
        if cost < best_cost:
            best, best_cost = Placement(engine, orders), cost
    return best


def _victim(
    engine: engine_contents.EngineContents,
    used_at: abc.Mapping[AdapterKey, float],
    idle_since: float,
) -> api.UnloadAdapter | None:
    """Return the adapter that was used least recently, if idle."""
    oldest: api.UnloadAdapter | None = None
    oldest_at = idle_since
    server_id = engine.server.server_id
    for model, adapter in engine.adapters:
        key = AdapterKey(server_id, model, adapter)
        at = used_at.get(key, float('-inf'))
        unload = api.UnloadAdapter(model, adapter)
        if at < oldest_at and engine.permits(unload):
            oldest, oldest_at = unload, at
    return oldest

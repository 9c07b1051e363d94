"""Chooses an engine for an adapter that is loaded nowhere."""

from __future__ import annotations

import typing

from . import api

if typing.TYPE_CHECKING:
    from collections import abc

    from . import contents as engine_contents

__all__ = ['AdapterKey', 'Placement', 'find_engine', 'place', 'prefer']


class AdapterKey(typing.NamedTuple):
    """An adapter on one server."""

    server_id: str
    model: str
    adapter: str


class Placement(typing.NamedTuple):
    """The engine chosen for an adapter, and the orders that load it there."""

    engine: engine_contents.EngineContents
    orders: tuple[api.Order, ...]


def find_engine(
    engines: abc.Iterable[engine_contents.EngineContents],
    model: str,
    adapter: str,
) -> engine_contents.EngineContents | None:
    """Return an engine that has an adapter loaded or is loading it."""
    for engine in engines:
        if (model, adapter) in engine.adapters and model in engine.models():
            return engine
    return None


def prefer(
    engines: list[engine_contents.EngineContents],
    limited: abc.Container[str],
    model: str,
) -> list[engine_contents.EngineContents]:
    """Return the engines for an adapter: unlimited ones, if any can take it.

    :param limited: the servers that limit their requests.
    """
    others = [
        engine
        for engine in engines
        if engine.server.server_id not in limited and model in engine.models()
    ]
    return others or engines


def place(
    engines: abc.Iterable[engine_contents.EngineContents],
    model: str,
    adapter: str,
    load: abc.Callable[[engine_contents.EngineContents], float],
    used_at: abc.Mapping[AdapterKey, float],
    idle_since: float,
) -> Placement | None:
    """Return the engine that can load an adapter at the least cost.

    Many adapters share few slots. An engine with a free slot is preferred to
    one that has to evict an adapter, and a less loaded engine to a busier
    one. Each engine evicts its least recently used adapter, but none that was
    used after ``idle_since``.

    :param load: returns the utilization of an engine, from 0 to 1.
    """
    best: Placement | None = None
    best_cost = float('inf')
    for engine in engines:
        if model not in engine.models() or not engine.known:
            continue
        if engine.busy or engine.awaiting_answer:
            continue
        load_order = api.LoadAdapter(model, adapter)
        if engine.permits(load_order):
            cost = load(engine)
            orders: tuple[api.Order, ...] = (load_order,)
        else:
            victim = _victim(engine, used_at, idle_since)
            if victim is None:
                continue
            cost = 1.0 + load(engine)
            orders = (victim, load_order)
        if cost < best_cost:
            best, best_cost = Placement(engine, orders), cost
    return best


def _victim(
    engine: engine_contents.EngineContents,
    used_at: abc.Mapping[AdapterKey, float],
    idle_since: float,
) -> api.UnloadAdapter | None:
    """Return the unload of the least recently used adapter.

    Adapters that were used after ``idle_since`` are left out.
    """
    oldest: api.UnloadAdapter | None = None
    oldest_used = idle_since
    server_id = engine.server.server_id
    for model, adapter in engine.adapters:
        key = AdapterKey(server_id, model, adapter)
        last_used = used_at.get(key, float('-inf'))
        unload = api.UnloadAdapter(model, adapter)
        if last_used < oldest_used and engine.permits(unload):
            oldest, oldest_used = unload, last_used
    return oldest

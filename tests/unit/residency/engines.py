"""Engine entries, reports and contents for tests."""

from __future__ import annotations

import typing

from dogwoodquay.fleet import api as fleet_api
from dogwoodquay.residency import api
from dogwoodquay.residency import contents
from dogwoodquay.routes import api as routes_api

__all__ = ['SPEC', 'engine', 'entry', 'report']

MODEL_MEGABYTES = 72_000.0
MODELS = ('hot', 'warm', 'rare1', 'rare2', 'rare3', 'rare4')


def _model(name: str) -> routes_api.ModelSpec:
    return routes_api.ModelSpec(name, MODEL_MEGABYTES, 4.0, 0.6, 0.8, 20, 60.0)


# Each engine has memory for two models and slots for eight adapters.
SPEC = routes_api.EngineSpec(
    slots=64,
    cache_tokens=150_000,
    megabytes=200_000.0,
    max_adapters=8,
    loads_per_second=1.6,
    models={name: _model(name) for name in MODELS},
)


def entry(
    server_id: str = 'e1', started_ms: int = 1000, version: str = ''
) -> fleet_api.ServerEntry:
    """Return the list entry of a live engine."""
    return fleet_api.ServerEntry(
        server_id=server_id,
        service='models',
        address='10.0.0.1',
        port=80,
        failure_domain='d1',
        state=fleet_api.ServerState.LIVE,
        slots=64,
        started_ms=started_ms,
        report_number=1,
        models=(),
        version=version,
    )


def report(
    *loaded: tuple[str, tuple[str, ...]], **changes: typing.Any
) -> api.EngineReport:
    """Return a report of loaded models, given as (model, adapters) pairs."""
    models = tuple(
        fleet_api.LoadedModel(name, 1, frozenset(adapters))
        for name, adapters in loaded
    )
    made = api.EngineReport(
        models=models,
        busy=False,
        order_number=0,
        running=0,
        waiting=0,
        cache_used=0,
        cache_total=150_000,
        loading_adapters=frozenset(),
        in_memory=frozenset(),
        on_disk=frozenset(),
    )
    return made._replace(**changes)


def engine(
    server_id: str, *loaded: str, version: str = '', **changes: typing.Any
) -> contents.EngineContents:
    """Return the contents of an engine that reported some loaded models."""
    made = contents.EngineContents(entry(server_id, version=version), SPEC)
    made.observe(report(*((name, ()) for name in loaded), **changes))
    return made

"""How large a model is on an engine, and how long its load takes."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from . import contents as engine_contents

__all__ = ['has_copy', 'load_seconds', 'megabytes']


def megabytes(engine: engine_contents.EngineContents, model: str) -> float:
    """Return the size of a declared model's weights, zero for others."""
    spec = engine.spec.models.get(model)
    return 0.0 if spec is None else spec.megabytes


def load_seconds(engine: engine_contents.EngineContents, model: str) -> float:
    """Return the time to load a model from where its weights are now."""
    spec = engine.spec.models.get(model)
    if spec is None:
        return 0.0
    if engine.report is not None:
        if model in engine.report.in_memory:
            return spec.memory_load_seconds
        if model in engine.report.on_disk:
            return spec.disk_load_seconds
    return spec.load_seconds


def has_copy(engine: engine_contents.EngineContents, model: str) -> bool:
    """Whether a model's weights are in an engine's own memory or disk."""
    report = engine.report
    return report is not None and (
        model in report.in_memory or model in report.on_disk
    )

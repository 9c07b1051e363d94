"""Readiness of this instance."""

from __future__ import annotations

__all__ = ['Health']


class Health:
    """Combines the readiness of all parts; not ready once draining."""

    def __init__(self, parts: tuple[str, ...] = ()) -> None:
        self._ready = dict.fromkeys(parts, False)
        self._draining = False

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return not self._draining and all(self._ready.values())

    @property
    def waiting_for(self) -> tuple[str, ...]:
        """The parts that are not ready, and ``draining`` during a drain."""
        parts = [part for part, ready in self._ready.items() if not ready]
        if self._draining:
            parts.append('draining')
        return tuple(parts)

    def set_ready(self, part: str, ready: bool = True) -> None:
        """Set whether a part is ready."""
        self._ready[part] = ready

    def drain(self) -> None:
        """Report not ready, so that the load balancer sends no requests."""
        self._draining = True

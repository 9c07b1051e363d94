"""Whether this instance is alive and ready, part by part."""

from __future__ import annotations

__all__ = ['Health']


class Health:
    """Ready once every named part is, until a drain begins."""

    def __init__(self, parts: tuple[str, ...] = ()) -> None:
        self._ready = dict.fromkeys(parts, False)
        self._draining = False

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests."""
        return not self._draining and all(self._ready.values())

    @property
    def waiting_for(self) -> tuple[str, ...]:
        """The parts that are not ready."""
        parts = [part for part, ready in self._ready.items() if not ready]
        if self._draining:
            parts.append('draining')
        return tuple(parts)

    def set_ready(self, part: str, ready: bool = True) -> None:
        """Note that a part is ready, or no longer is."""
        self._ready[part] = ready

    def drain(self) -> None:
        """Ask the balancer to send no more requests."""
        self._draining = True

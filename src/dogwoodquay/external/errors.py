"""Exceptions of the adapters, for failures inside an open answer."""

from __future__ import annotations

__all__ = ['UpstreamBroken']


class UpstreamBroken(Exception):
    """An upstream's answer ended before it was whole."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self._reason = reason

    @property
    def reason(self) -> str:
        """The counter's label for what went wrong."""
        return self._reason

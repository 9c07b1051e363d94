"""Exceptions that adapters raise while the body of an answer is read."""

from __future__ import annotations

__all__ = ['UpstreamBroken']


class UpstreamBroken(Exception):
    """The body of an upstream's answer ended before it was complete."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self._reason = reason

    @property
    def reason(self) -> str:
        """The cause, as the label value of the failure metric."""
        return self._reason

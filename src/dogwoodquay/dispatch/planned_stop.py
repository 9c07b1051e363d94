"""Which calls are taken while the instance stops."""

from __future__ import annotations

import typing

from ..stopping import intake

if typing.TYPE_CHECKING:
    from . import api

__all__ = ['PlannedStop']


class PlannedStop:
    """The state of a planned stop: none, begun, or draining."""

    def __init__(self) -> None:
        self._step: intake.Step = intake.Serving()
        self._draining = False

    @property
    def begun(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining or not isinstance(self._step, intake.Serving)

    @property
    def draining(self) -> bool:
        """Whether all new calls are refused."""
        return self._draining

    def leave(self, ends_at: float) -> None:
        """Begin a planned stop: refuse calls that it may cut off.

        :param ends_at: when calls in flight are ended.
        """
        self._step = intake.Leaving(ends_at)

    def drain(self) -> None:
        """Refuse all new calls."""
        self._draining = True

    def admits(self, call: api.Call) -> bool:
        """Whether to take a call."""
        repeatable = call.idempotent or bool(call.key)
        offer = intake.Offer(
            call.deadline, call.deadline, call.stream, repeatable
        )
        return not self._draining and intake.admits(self._step, offer)

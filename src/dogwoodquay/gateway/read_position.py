"""The position from which a topic is read on."""

from __future__ import annotations

from ..external import api as external_api
from . import store_api

__all__ = ['ReadPosition']


class ReadPosition:
    """A position that only advances, until it is of no use any more.

    Without one the newest records are read.
    """

    def __init__(self) -> None:
        self._position: store_api.Position | None = None

    @property
    def position(self) -> store_api.Position | None:
        """The position, ``None`` if the newest records are to be read."""
        return self._position

    def advance(self, position: store_api.Position) -> None:
        """Go on from a position unless a later one is known."""
        self._position = max(self._position or position, position)

    def clear(self) -> None:
        """Read the newest records next."""
        self._position = None

    def is_outdated(self, era: int) -> bool:
        """Whether an answer of an era comes after one of a later era."""
        known = self._position
        return known is not None and 0 < era < known.era

    def on_failure(self, error: store_api.StoreError) -> bool:
        """Record that a read from the position has failed.

        :return: whether the position is of no use any more.
        """
        match error:
            case external_api.Trimmed():
                self._position = None
            case store_api.Restored(era) if not self.is_outdated(era):
                self._position = None
            case _:
                return False
        return True

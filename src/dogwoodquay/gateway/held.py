"""Limits the memory that the answers being read hold together."""

from __future__ import annotations

import contextlib
import typing

from ..external.http import bodies

if typing.TYPE_CHECKING:
    from collections import abc

__all__ = ['FREE_BYTES', 'HeldAnswers', 'Share']

# An answer up to this size is never refused for the size of others.
FREE_BYTES: typing.Final = 64 << 10
# Of the 200 MB of an instance, of which it uses about 45 MB without load.
MAX_HELD_BYTES: typing.Final = 32 << 20


class Share:
    """The part of one answer in the memory of all."""

    def __init__(self, held: HeldAnswers) -> None:
        self._held = held
        self._counted = 0

    def resize(self, size: int) -> None:
        """Set how much of the answer is held.

        :raises bodies.AnswerTooLarge: if all answers together hold too much.
        """
        counted = size if size > FREE_BYTES else 0
        if counted == self._counted:
            return
        self._held.bytes += counted - self._counted
        grown = counted > self._counted
        self._counted = counted
        if grown and self._held.bytes > self._held.max_bytes:
            raise bodies.AnswerTooLarge('answers_too_large')


class HeldAnswers:
    """Counts the bytes of large answers that are being read."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0

    @contextlib.contextmanager
    def share(self) -> abc.Iterator[Share]:
        """Count an answer until it is passed on or given up."""
        share = Share(self)
        try:
            yield share
        finally:
            share.resize(0)

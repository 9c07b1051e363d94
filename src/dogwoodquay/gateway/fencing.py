"""Fencing tokens of the orders to engines."""

from __future__ import annotations

import typing

__all__ = ['NO_TOKEN', 'TOKENS_PER_GENERATION', 'OrderToken']

# Fencing tokens within one generation of the group: the owner's and one for
# each peer to which it may offer the duty at a planned stop.
TOKENS_PER_GENERATION: typing.Final = 16
# Orders carry a token as a number, which JSON keeps exactly up to 2 ** 53.
_NUMBERS_PER_ERA: typing.Final = 1 << 32


class OrderToken(typing.NamedTuple):
    """The right to give orders; of two tokens the greater one is newer.

    ``store_era`` rises each time that the store is restored from an older
    copy, after which generations of the group are given out again. It is
    zero where the store does not report it. ``hand_over_number`` is zero for
    an owner that the store has confirmed.
    """

    store_era: int
    generation: int
    hand_over_number: int = 0

    @property
    def number(self) -> int:
        """The token as it is sent with orders."""
        first = self.generation * TOKENS_PER_GENERATION
        within_era = first + self.hand_over_number
        return self.store_era * _NUMBERS_PER_ERA + within_era

    def fields(self) -> dict[str, int]:
        """Return the fields of log lines about this token."""
        return {'era': self.store_era, 'generation': self.generation}

    def is_older_term(self, other: OrderToken) -> bool:
        """Whether the generation is from before that of another token."""
        return self[:2] < other[:2]

    def next_hand_over(self) -> OrderToken | None:
        """Return the next token of this generation, ``None`` if used up."""
        if self.hand_over_number >= TOKENS_PER_GENERATION - 1:
            return None
        return self._replace(hand_over_number=self.hand_over_number + 1)


NO_TOKEN: typing.Final = OrderToken(0, 0)

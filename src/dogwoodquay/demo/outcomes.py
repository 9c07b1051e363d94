"""What became of the demonstration's requests."""

from __future__ import annotations

import collections
import enum
import typing

import ddsketch

__all__ = ['Ending', 'Outcome', 'Tally']


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    CORRECT = 'correct'
    WRONG = 'wrong'
    GIVEN_UP = 'given up'
    UNKNOWN = 'outcome unknown'


class Outcome(typing.NamedTuple):
    """One request's end, and what it took.

    ``resumed`` counts connections that read a stream on; ``sent`` counts
    how often the whole request was sent.
    """

    phase: str
    kind: str
    ending: Ending
    sent: int
    resumed: int
    detail: str = ''


class Tally:
    """Adds up outcomes, refusals and first-token times."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.refusals: collections.Counter[str] = collections.Counter()
        self._first_token = ddsketch.DDSketch()

    def add(self, outcome: Outcome) -> None:
        """Add a finished request."""
        self.outcomes.append(outcome)

    def refused(self, reason: str) -> None:
        """Count an error that a caller got; it may have tried again."""
        self.refusals[reason] += 1

    def first_token(self, seconds: float) -> None:
        """Add the time from a request to its first token."""
        self._first_token.add(seconds)

    def first_token_quantile(self, quantile: float) -> float:
        """Return a quantile of the first-token times in seconds."""
        found = self._first_token.get_quantile_value(quantile)
        return 0.0 if found is None else float(found)

    def count(self, ending: Ending) -> int:
        """Return how many requests ended in a way."""
        return sum(found.ending is ending for found in self.outcomes)

"""Outcomes of the demonstration's requests."""

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
    """The outcome of one request.

    ``resumed`` counts the connections that resumed its stream, ``sent`` how
    often the whole request was sent.
    """

    phase: str
    kind: str
    ending: Ending
    sent: int
    resumed: int
    detail: str = ''


class Tally:
    """Collects outcomes, errors and first-token times."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.errors: collections.Counter[str] = collections.Counter()
        self._first_token = ddsketch.DDSketch()

    def add(self, outcome: Outcome) -> None:
        """Add a finished request."""
        self.outcomes.append(outcome)

    def record_error(self, reason: str) -> None:
        """Count an error that a caller received, also if it was retried."""
        self.errors[reason] += 1

    def record_first_token(self, seconds: float) -> None:
        """Record the time from a request to its first token."""
        self._first_token.add(seconds)

    def first_token_quantile(self, quantile: float) -> float:
        """Return a quantile of the first-token times in seconds, or zero."""
        seconds = self._first_token.get_quantile_value(quantile)
        return 0.0 if seconds is None else float(seconds)

    def count(self, ending: Ending) -> int:
        """Return the number of requests with an ending."""
        return sum(outcome.ending is ending for outcome in self.outcomes)

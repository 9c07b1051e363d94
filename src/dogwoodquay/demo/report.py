"""The tables that close the demonstration."""

from __future__ import annotations

import typing

from ..operators import tables
from . import outcomes

if typing.TYPE_CHECKING:
    from ..standin import site as sites

__all__ = ['Result', 'collect', 'render']

MILLISECONDS: typing.Final = 1000.0


class Result(typing.NamedTuple):
    """What the demonstration found."""

    tally: outcomes.Tally
    placed: int
    moves: int
    memory_violations: int
    repeated_operations: int

    @property
    def right(self) -> bool:
        """Whether every answer was right and no promise was broken."""
        unsettled = (
            outcomes.Ending.WRONG,
            outcomes.Ending.GIVEN_UP,
        )
        return (
            not any(self.tally.count(ending) for ending in unsettled)
            and self.tally.count(outcomes.Ending.CORRECT) > 0
            and self.memory_violations == 0
            and self.repeated_operations == 0
        )


def collect(
    tally: outcomes.Tally, site: sites.StandInSite, placed: int
) -> Result:
    """Gather the result from the callers and the site.

    :param placed: how many loads the first placement took.
    """
    return Result(
        tally,
        placed,
        site.weights.loads - placed,
        site.memory_violations,
        site.run_counter.repeated,
    )


def render(result: Result) -> str:
    """Return the tables."""
    tally = result.tally
    parts = [_outcomes(tally)]
    if tally.refusals:
        rows = sorted(tally.refusals.items())
        parts.append(
            tables.table(
                'errors that callers got and dealt with',
                ('reason', 'count'),
                rows,
            )
        )
    parts.append(tables.table('figures', ('what', 'value'), _figures(result)))
    return '\n\n'.join(parts)


def _outcomes(tally: outcomes.Tally) -> str:
    rows = []
    groups = {(found.phase, found.kind): 0 for found in tally.outcomes}
    for phase, kind in groups:
        found = [
            outcome
            for outcome in tally.outcomes
            if (outcome.phase, outcome.kind) == (phase, kind)
        ]
        endings = [
            sum(outcome.ending is ending for outcome in found)
            for ending in outcomes.Ending
        ]
        resumed = sum(outcome.resumed for outcome in found)
        again = sum(outcome.sent - 1 for outcome in found)
        rows.append((phase, kind, *endings, resumed, again))
    columns = (
        'while',
        'request',
        *(ending.value for ending in outcomes.Ending),
        'resumed',
        'sent again',
    )
    return tables.table('outcomes', columns, rows)


def _figures(result: Result) -> list[tuple[str, str]]:
    tally = result.tally
    first = [
        tally.first_token_quantile(quantile) * MILLISECONDS
        for quantile in (0.5, 0.95)
    ]
    return [
        ('first token, p50', f'{first[0]:.0f} ms'),
        ('first token, p95', f'{first[1]:.0f} ms'),
        ('loads of the first placement', str(result.placed)),
        ('moves since then (loads)', str(result.moves)),
        ('memory violations', str(result.memory_violations)),
        ('operations that ran twice', str(result.repeated_operations)),
    ]

"""The result of the demonstration and its tables."""

from __future__ import annotations

import typing

from ..operators import tables
from . import outcomes

if typing.TYPE_CHECKING:
    from ..standin import site as sites

__all__ = ['Result', 'collect', 'render']

MILLISECONDS: typing.Final = 1000.0


class Result(typing.NamedTuple):
    """The result of a demonstration."""

    tally: outcomes.Tally
    initial_loads: int
    later_loads: int
    memory_violations: int
    repeated_operations: int

    @property
    def passed(self) -> bool:
        """Whether all requests succeeded and no safety rule was broken.

        A request whose outcome is unknown is not a failure.
        """
        failed_endings = (
            outcomes.Ending.WRONG,
            outcomes.Ending.GIVEN_UP,
        )
        return (
            not any(self.tally.count(ending) for ending in failed_endings)
            and self.tally.count(outcomes.Ending.CORRECT) > 0
            and self.memory_violations == 0
            and self.repeated_operations == 0
        )


def collect(
    tally: outcomes.Tally, site: sites.StandInSite, initial_loads: int
) -> Result:
    """Build the result from the callers' outcomes and the site's counters.

    :param initial_loads: the number of loads for the first placement.
    """
    return Result(
        tally,
        initial_loads,
        site.weights.loads - initial_loads,
        site.memory_violations,
        site.run_counter.repeated,
    )


def render(result: Result) -> str:
    """Format the result as tables."""
    tally = result.tally
    parts = [_outcome_table(tally)]
    if tally.errors:
        rows = sorted(tally.errors.items())
        parts.append(
            tables.table(
                'errors that callers received',
                ('reason', 'count'),
                rows,
            )
        )
    parts.append(
        tables.table('figures', ('figure', 'value'), _figure_rows(result))
    )
    return '\n\n'.join(parts)


def _outcome_table(tally: outcomes.Tally) -> str:
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
        resent = sum(outcome.sent - 1 for outcome in found)
        rows.append((phase, kind, *endings, resumed, resent))
    columns = (
        'phase',
        'request',
        *(ending.value for ending in outcomes.Ending),
        'resumed',
        'resent',
    )
    return tables.table('outcomes', columns, rows)


def _figure_rows(result: Result) -> list[tuple[str, str]]:
    tally = result.tally
    first_token_ms = [
        tally.first_token_quantile(quantile) * MILLISECONDS
        for quantile in (0.5, 0.95)
    ]
    return [
        ('first token, p50', f'{first_token_ms[0]:.0f} ms'),
        ('first token, p95', f'{first_token_ms[1]:.0f} ms'),
        ('loads of the first placement', str(result.initial_loads)),
        ('later loads', str(result.later_loads)),
        ('memory violations', str(result.memory_violations)),
        ('operations that ran twice', str(result.repeated_operations)),
    ]

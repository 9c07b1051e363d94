"""Results of a simulation and summaries over several seeds."""

from __future__ import annotations

import collections
import statistics
import typing

import msgspec

from bench.policy import policies
from bench.policy import workloads
from bench.policy import world


class Figures(msgspec.Struct, frozen=True):
    """The results of one simulation; times in seconds."""

    user: str
    workload: str
    policy: str
    seed: int
    offered: int
    attained: int
    interactive_share: float
    overnight_share: float
    per_accelerator: float
    loads: int
    unloads: int
    p50: float
    p95: float
    refusals: dict[str, int]
    amplification: float
    violations: int
    unreachable_seconds: float


def figures(
    simulation: world.World, user: str, workload: str, policy: str, seed: int
) -> Figures:
    """Compute the results of a finished simulation."""
    requests = simulation.requests
    attained = [r for r in requests if 0 < r.first_token <= r.deadline]
    times = sorted(
        r.first_token - r.arrival if r.first_token else float('inf')
        for r in requests
        if r.priority > 0
    )
    reasons = collections.Counter(r.reason for r in requests if r.reason)
    accelerators = len(simulation.engines)
    return Figures(
        user,
        workload,
        policy,
        seed,
        len(requests),
        len(attained),
        _share(attained, requests, True),
        _share(attained, requests, False),
        len(attained) / workloads.SECONDS / accelerators,
        simulation.owner.moves['load'],
        simulation.owner.moves['unload'],
        min(99.0, times[len(times) // 2]),
        min(99.0, times[int(len(times) * 0.95)]),
        dict(reasons),
        simulation.attempts_sent / max(1, simulation.requests_started),
        simulation.owner.violations,
        simulation.owner.unreachable_seconds,
    )


def table(results: typing.Sequence[Figures]) -> str:
    """Return a Markdown table of medians and of the range of rates."""
    groups: dict[tuple[str, str, str], list[Figures]] = {}
    for item in results:
        key = (item.user, item.workload, item.policy)
        groups.setdefault(key, []).append(item)
    lines = [
        '| user | workload | policy | per accel./s | spread | interactive '
        '| overnight | moves | p50 s | p95 s | ampl. | refusals |',
        '|---|---|---|---|---|---|---|---|---|---|---|---|',
    ]
    lines += [_line(key, items) for key, items in groups.items()]
    return '\n'.join(lines)


def _line(key: tuple[str, str, str], items: list[Figures]) -> str:
    rates = [item.per_accelerator for item in items]
    reasons: collections.Counter[str] = collections.Counter()
    for item in items:
        reasons.update(item.refusals)
    count = len(items)
    refusals = ' '.join(
        f'{name}={number / count:.0f}'
        for name, number in reasons.most_common(3)
    )
    cells = [
        *key,
        f'{statistics.median(rates):.3f}',
        f'{min(rates):.2f}-{max(rates):.2f}',
        f'{_median(i.interactive_share for i in items):.3f}',
        f'{_median(i.overnight_share for i in items):.3f}',
        f'{_median(i.loads + i.unloads for i in items):.0f}',
        f'{_median(i.p50 for i in items):.3f}',
        f'{_median(i.p95 for i in items):.3f}',
        f'{max(i.amplification for i in items):.3f}',
        refusals,
    ]
    return '| ' + ' | '.join(cells) + ' |'


def _median(values: typing.Iterable[float]) -> float:
    return statistics.median(values)


def _share(
    attained: list[typing.Any], requests: list[typing.Any], interactive: bool
) -> float:
    """Return the attained share of interactive or of overnight requests."""
    total = sum(1 for r in requests if (r.priority > 0) == interactive)
    attained_count = sum(
        1 for r in attained if (r.priority > 0) == interactive
    )
    return attained_count / total if total else 1.0


def summary(results: typing.Sequence[Figures]) -> str:
    """Return a line for each policy with its ratio to the better baseline."""
    values = {
        (i.user, i.workload, i.seed, i.policy): i.per_accelerator
        for i in results
    }
    lines = []
    for policy in dict.fromkeys(item.policy for item in results):
        policy_results = [item for item in results if item.policy == policy]
        ratios = [
            item.per_accelerator / best
            for item in policy_results
            if (best := _best_baseline(values, item)) > 0.0
        ]
        lines.append(
            f'{policy}: ratio {_median(ratios or [0.0]):.3f} attained '
            f'{sum(i.attained for i in policy_results)} of '
            f'{sum(i.offered for i in policy_results)} moves '
            f'{sum(i.loads + i.unloads for i in policy_results)} violations '
            f'{sum(i.violations for i in policy_results)} unreachable s '
            f'{sum(i.unreachable_seconds for i in policy_results):.0f}'
        )
    return '\n'.join(lines)


def _best_baseline(
    values: dict[tuple[str, str, int, str], float], item: Figures
) -> float:
    key = (item.user, item.workload, item.seed)
    return max(values.get((*key, name), 0.0) for name in policies.BASELINES)

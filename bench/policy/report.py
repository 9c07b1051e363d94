"""Figures of a run, and tables over seeds."""

from __future__ import annotations

import collections
import statistics
import typing

import msgspec

from bench.policy import policies
from bench.policy import workloads
from bench.policy import world


class Figures(msgspec.Struct, frozen=True):
    """What one run showed; times in seconds."""

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
    run: world.World, user: str, workload: str, policy: str, seed: int
) -> Figures:
    """Return the figures of a finished run."""
    requests = run.requests
    attained = [r for r in requests if 0 < r.first_token <= r.deadline]
    times = sorted(
        r.first_token - r.arrival if r.first_token else float('inf')
        for r in requests
        if r.priority > 0
    )
    reasons = collections.Counter(r.reason for r in requests if r.reason)
    accelerators = len(run.engines)
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
        run.owner.moves['load'],
        run.owner.moves['unload'],
        min(99.0, times[len(times) // 2]),
        min(99.0, times[int(len(times) * 0.95)]),
        dict(reasons),
        run.sends / max(1, run.starts),
        run.owner.violations,
        run.owner.unreachable,
    )


def table(results: typing.Sequence[Figures]) -> str:
    """Return a Markdown table of medians, with the spread of attainment."""
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
    shown = ' '.join(
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
        shown,
    ]
    return '| ' + ' | '.join(cells) + ' |'


def _median(values: typing.Iterable[float]) -> float:
    return statistics.median(values)


def _share(
    attained: list[typing.Any], requests: list[typing.Any], first: bool
) -> float:
    """Return the attained share of interactive or overnight requests."""
    total = sum(1 for r in requests if (r.priority > 0) == first)
    good = sum(1 for r in attained if (r.priority > 0) == first)
    return good / total if total else 1.0


def summary(results: typing.Sequence[Figures]) -> str:
    """Return one line a policy: ratio to the better baseline, and moves."""
    values = {
        (i.user, i.workload, i.seed, i.policy): i.per_accelerator
        for i in results
    }
    lines = []
    for policy in dict.fromkeys(item.policy for item in results):
        mine = [item for item in results if item.policy == policy]
        ratios = [
            item.per_accelerator / best
            for item in mine
            if (best := _best_baseline(values, item)) > 0.0
        ]
        lines.append(
            f'{policy}: ratio {_median(ratios or [0.0]):.3f} attained '
            f'{sum(i.attained for i in mine)} of '
            f'{sum(i.offered for i in mine)} moves '
            f'{sum(i.loads + i.unloads for i in mine)} violations '
            f'{sum(i.violations for i in mine)} unreachable s '
            f'{sum(i.unreachable_seconds for i in mine):.0f}'
        )
    return '\n'.join(lines)


def _best_baseline(
    values: dict[tuple[str, str, int, str], float], item: Figures
) -> float:
    key = (item.user, item.workload, item.seed)
    return max(values.get((*key, name), 0.0) for name in policies.BASELINES)

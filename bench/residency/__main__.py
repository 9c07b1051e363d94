"""Simulates all shapes under all policies with several seeds."""

from __future__ import annotations

import statistics
import typing

from bench.residency import policies
from bench.residency import workloads
from bench.residency import world as worlds

SEEDS: typing.Final = (1, 2, 3, 4, 5)


def main() -> None:
    """Print a table."""
    print('| shape | policy | in aim | late | lost | loads | undone |')
    print('|---|---|---|---|---|---|---|')
    for shape in workloads.SHAPES.values():
        runs = {seed: workloads.requests(shape, seed) for seed in SEEDS}
        for name, policy in policies.POLICIES.items():
            found = [
                worlds.World(shape, requests, policy(requests), seed).run()
                for seed, requests in runs.items()
            ]
            means = worlds.Figures(
                *(statistics.mean(column) for column in zip(*found))
            )
            print(
                f'| {shape.name} | {name} | {means.in_aim:.3f} '
                f'| {means.late:.3f} | {means.lost:.3f} '
                f'| {means.store_loads:.0f} + {means.disk_loads:.0f} '
                f'| {means.undone:.0f} |'
            )


if __name__ == '__main__':
    main()

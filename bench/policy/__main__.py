"""Simulates workloads under policies with several seeds."""

from __future__ import annotations

import argparse
import multiprocessing
import pathlib

import msgspec

from bench.policy import decisions
from bench.policy import policies
from bench.policy import report
from bench.policy import workloads
from bench.policy import world

TUNING_SEEDS = (1, 2, 3, 4, 5)
FINAL_SEEDS = (101, 102, 103, 104, 105)
RESULTS = pathlib.Path('bench/results')


def run_one(job: tuple[str, str, str, int]) -> report.Figures:
    """Simulate a workload of a user under a policy with a seed."""
    user, workload, policy, seed = job
    run = world.World(
        workloads.USERS[user],
        workloads.WORKLOADS[workload],
        policies.POLICIES[policy],
        seed,
    )
    run.run()
    return report.figures(run, user, workload, policy, seed)


def _decisions() -> None:
    """Print the processor time of single decisions."""
    for cost in decisions.measure():
        print(
            f'{cost.decision}: median {cost.median:.0f} us, '
            f'p99 {cost.p99:.0f} us, longest {cost.longest:.0f} us'
        )


def main() -> None:
    """Parse the flags, run all jobs and write the results."""
    parser = argparse.ArgumentParser(prog='bench.policy')
    parser.add_argument('--users', nargs='*', default=list(workloads.USERS))
    parser.add_argument(
        '--workloads', nargs='*', default=list(workloads.WORKLOADS)
    )
    parser.add_argument(
        '--policies', nargs='*', default=list(policies.POLICIES)
    )
    parser.add_argument('--final', action='store_true')
    parser.add_argument('--processes', type=int, default=8)
    parser.add_argument('--name', default='policy')
    parser.add_argument('--decisions', action='store_true')
    args = parser.parse_args()
    if args.decisions:
        _decisions()
        return
    seeds = FINAL_SEEDS if args.final else TUNING_SEEDS
    jobs = [
        (user, workload, policy, seed)
        for user in args.users
        for workload in args.workloads
        for policy in args.policies
        for seed in seeds
    ]
    with multiprocessing.Pool(args.processes) as pool:
        results = pool.map(run_one, jobs, chunksize=1)
    RESULTS.mkdir(parents=True, exist_ok=True)
    path = RESULTS / f'{args.name}.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    print(report.table(results))
    print(report.summary(results))


if __name__ == '__main__':
    main()

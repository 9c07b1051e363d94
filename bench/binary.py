"""Measures start time and memory of the binary and looks for child processes.

Run ``make binary`` first, then ``python -m bench.binary``. Children are read
from ``/proc/<pid>/task/*/children`` while the binary runs. Exits with 1 if
there was a child or if a run failed. The interpreter is called by its
resolved path, since ``python3`` on the search path may be a script that
starts processes before it executes the interpreter.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time
import typing

BINARY: typing.Final = pathlib.Path('dist/dogwoodquay')
# As in the binary's first line: ignore packages installed on the machine.
ISOLATED: typing.Final = ('-I', '-S')
POLL_SECONDS: typing.Final = 0.005
STARTS: typing.Final = 5


class Run(typing.NamedTuple):
    """The measurements of one run of the binary."""

    code: int
    seconds: float
    peak_kib: int
    children: int


def run_binary(*words: str) -> Run:
    """Run the binary and poll its process until it exits."""
    start = time.monotonic()
    process = subprocess.Popen(
        [_interpreter(), *ISOLATED, str(BINARY), *words],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    children: set[str] = set()
    peak = 0
    while process.poll() is None:
        children |= _children(process.pid)
        peak = max(peak, _peak_kib(process.pid))
        time.sleep(POLL_SECONDS)
    seconds = time.monotonic() - start
    return Run(process.returncode, seconds, peak, len(children))


def _interpreter() -> str:
    return str(pathlib.Path(sys.executable).resolve())


def _children(pid: int) -> set[str]:
    child_ids: set[str] = set()
    for file in pathlib.Path(f'/proc/{pid}/task').glob('*/children'):
        try:
            child_ids.update(file.read_text().split())
        except OSError:
            continue
    return child_ids


def _peak_kib(pid: int) -> int:
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1])
    return 0


def main() -> int:
    """Measure several starts and one demonstration."""
    starts = [run_binary('version') for _ in range(STARTS)]
    demo = run_binary('demo')
    runs = [*starts, demo]
    print(
        json.dumps(
            {
                'size_bytes': BINARY.stat().st_size,
                'start_seconds': [round(run.seconds, 2) for run in starts],
                'start_peak_mib': max(r.peak_kib for r in starts) // 1024,
                'demo_exit': demo.code,
                'demo_seconds': round(demo.seconds, 1),
                'demo_peak_mib': demo.peak_kib // 1024,
                'children_seen': sum(run.children for run in runs),
            }
        )
    )
    failed = any(run.code or run.children for run in runs)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

"""``dogwoodquay demo``: run a demonstration on stand-ins, in one process."""

from __future__ import annotations

import os
import typing

import anyio
import eliot

from ..demo import run as demo

from . import exits

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['register']


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'demo',
        help='run a demonstration on stand-ins',
        description=(
            'Runs stand-ins of the platform and three entry instances on '
            'loopback, publishes example records, sends requests through '
            'failures and compares every reply with the expected one. Exits '
            'with 1 if a reply was wrong or missing.'
        ),
    )
    parser.add_argument(
        '--serve',
        action='store_true',
        help='keep the site running and print example command lines',
    )
    parser.add_argument(
        '--logs',
        default=os.devnull,
        metavar='FILE',
        help='log file of the instances (default: no logs)',
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    try:
        with open(args.logs, 'a', encoding='utf-8') as file:
            eliot.to_file(file)
            passed = anyio.run(demo.run, args.serve)
    except OSError as error:
        return exits.fail(exits.Exit.UNAVAILABLE, f'cannot run: {error}')
    if not passed:
        return exits.fail(exits.Exit.REFUSED, 'the demonstration failed')
    return exits.Exit.OK

"""``dogwoodquay version``: print the version."""

from __future__ import annotations

import typing

import dogwoodquay

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['register']


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser('version', help='print the version')
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    print(dogwoodquay.__version__)
    return 0

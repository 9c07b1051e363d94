"""The command line's entry point and its table of commands."""

from __future__ import annotations

import sys
import typing

from absl import app
from absl.flags import argparse_flags
from absl import logging

from . import check
from . import demo
from . import publish
from . import serve
from . import standin
from . import status
from . import version

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['run']

_COMMANDS = (serve, publish, check, status, demo, standin, version)


def _parse(argv: list[str]) -> argparse.Namespace:
    parser = argparse_flags.ArgumentParser(
        prog='dogwoodquay',
        description='Serves many models.',
        # Else ``--log`` of a command is taken for one of absl's own flags.
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for module in _COMMANDS:
        module.register(commands)
    return parser.parse_args(argv[1:])


def _main(args: argparse.Namespace) -> int:
    logging.set_verbosity(logging.WARNING)
    return int(args.run(args))


def run() -> typing.NoReturn:
    """Parse the command line, run the command and exit with its code."""
    app.run(_main, flags_parser=_parse, argv=sys.argv)
    sys.exit(0)

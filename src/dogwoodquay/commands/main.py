"""The entry point of the command line."""

from __future__ import annotations

import importlib
import sys
import typing

from absl import app
from absl.flags import argparse_flags
from absl import logging

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['run']

_COMMANDS: typing.Final = (
    'serve',
    'gateway',
    'publish',
    'check',
    'status',
    'explain',
    'demo',
    'standin',
    'version',
)


def _commands_to_import(argv: list[str]) -> tuple[str, ...]:
    """Return the commands to import: the one in ``argv``, or else all.

    An instance then starts without the imports of the other commands.
    """
    if len(argv) > 1 and argv[1] in _COMMANDS:
        return (argv[1],)
    return _COMMANDS


def _parse(argv: list[str]) -> argparse.Namespace:
    parser = argparse_flags.ArgumentParser(
        prog='dogwoodquay',
        description='Serves many models.',
        # Otherwise ``--log`` is taken for an abbreviation of absl's flags.
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for name in _commands_to_import(argv):
        module = importlib.import_module(f'..{name}', __name__)
        module.register(commands)
    return parser.parse_args(argv[1:])


def _main(args: argparse.Namespace) -> int:
    logging.set_verbosity(logging.WARNING)
    return int(args.run(args))


def run() -> typing.NoReturn:
    """Parse the command line, run the command and exit with its code."""
    app.run(_main, flags_parser=_parse, argv=sys.argv)
    sys.exit(0)

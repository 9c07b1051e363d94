"""The entry point of the command line."""

from __future__ import annotations

import argparse
import faulthandler
import gc
import importlib
import sys
import typing

__all__ = ['run']

_PROGRAM: typing.Final = 'dogwoodquay'
_DESCRIPTION: typing.Final = 'Serves many models.'
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
# Started on a fraction of a core while callers wait: it takes none of absl's
# flags, as the imports of absl take a tenth of the time to start.
_GATEWAY: typing.Final = 'gateway'


def _commands_to_import(argv: list[str]) -> tuple[str, ...]:
    """Return the commands to import: the one in ``argv``, or else all.

    An instance then starts without the imports of the other commands.
    """
    if len(argv) > 1 and argv[1] in _COMMANDS:
        return (argv[1],)
    return _COMMANDS


def _register(
    parser: argparse.ArgumentParser, argv: list[str]
) -> argparse.Namespace:
    """Add the commands to a parser and parse the command line."""
    commands = parser.add_subparsers(dest='command', required=True)
    for name in _commands_to_import(argv):
        module = importlib.import_module(f'..{name}', __name__)
        module.register(commands)
    return parser.parse_args(argv[1:])


def _run_gateway(argv: list[str]) -> int:
    """Run the gateway with the arguments in ``argv``.

    Cyclic garbage is not collected during the imports, which leave next to
    none. What they create lives as long as the process, and is left out of
    later collections.
    """
    faulthandler.enable()
    gc.disable()
    try:
        parser = argparse.ArgumentParser(
            prog=_PROGRAM, description=_DESCRIPTION, allow_abbrev=False
        )
        args = _register(parser, argv)
    finally:
        gc.freeze()
        gc.enable()
    return int(args.run(args))


def _run_with_flags() -> typing.NoReturn:
    """Run any other command, which takes the flags of absl as well."""
    # The gateway starts without these imports.
    from absl import app
    from absl.flags import argparse_flags
    from absl import logging

    def parse(argv: list[str]) -> argparse.Namespace:
        parser = argparse_flags.ArgumentParser(
            prog=_PROGRAM,
            description=_DESCRIPTION,
            # Otherwise ``--log`` is taken for an abbreviation of absl's flags.
            allow_abbrev=False,
        )
        return _register(parser, argv)

    def main(args: argparse.Namespace) -> int:
        logging.set_verbosity(logging.WARNING)
        return int(args.run(args))

    app.run(main, flags_parser=parse, argv=sys.argv)
    sys.exit(0)


def run() -> typing.NoReturn:
    """Parse the command line, run the command and exit with its code."""
    if sys.argv[1:2] == [_GATEWAY]:
        sys.exit(_run_gateway(sys.argv))
    _run_with_flags()

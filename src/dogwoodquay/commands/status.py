"""``dogwoodquay status``: print the status that an instance reports."""

from __future__ import annotations

import pathlib
import typing

import anyio
import msgspec

from ..operators import client
from ..operators import tables

from . import endpoint
from . import exits

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['register']


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'status', help='print the status that an instance reports'
    )
    add_instance_flags(parser)
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of tables'
    )
    parser.set_defaults(run=_run)


def add_instance_flags(parser: typing.Any, required: bool = True) -> None:
    """Add the flags for the address and token of an instance."""
    parser.add_argument(
        '--instance',
        type=endpoint.parse,
        required=required,
        metavar='ADDRESS:PORT',
        help="address of an instance's operators interface",
    )
    parser.add_argument(
        '--token-file',
        type=pathlib.Path,
        required=required,
        help="file that holds the operators' token",
    )


def read_token(file: pathlib.Path | None) -> str | None:
    """Return the token in a file, or ``None`` if it can't be read."""
    if file is None:
        return None
    try:
        return file.read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError):
        return None


def _run(args: argparse.Namespace) -> int:
    token = read_token(args.token_file)
    if token is None:
        return exits.fail(
            exits.Exit.USAGE, f'cannot read the token in {args.token_file}'
        )
    return anyio.run(_show, args.instance, token, args.json)


async def _show(
    instance: endpoint.Endpoint, token: str, as_json: bool
) -> exits.Exit:
    async with client.OperatorsClient(instance.url, token) as operators:
        result = await operators.status()
    if result.is_error():
        explanation = result.error.explanation
        return exits.fail(
            exits.Exit.UNAVAILABLE, f'no status from {instance}: {explanation}'
        )
    status = result.ok
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(status)).decode())
    else:
        print(tables.render(status))
    return exits.Exit.OK

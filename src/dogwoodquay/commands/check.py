"""``dogwoodquay check``: judge records without publishing them."""

from __future__ import annotations

import pathlib
import sys
import typing

from ..records import catalog
from ..records import schema

from . import exits
from . import recordfiles

if typing.TYPE_CHECKING:
    import argparse

__all__ = ['judge', 'register']


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'check',
        help='check records offline',
        description=(
            'Replays the records in the order given, as every instance '
            'would, and exits with 1 when one is refused.'
        ),
    )
    parser.add_argument('files', nargs='*', type=pathlib.Path)
    parser.add_argument(
        '--schema',
        type=pathlib.Path,
        metavar='FOLDER',
        help='write the JSON Schemas of all versions there and exit',
    )
    parser.set_defaults(run=_run)


def judge(
    state: catalog.CatalogState,
    records: typing.Iterable[recordfiles.FileRecord],
) -> tuple[tuple[str, catalog.RefusedRecord], ...]:
    """Replay records on a state and return the refused ones by place."""
    refused = []
    for record in records:
        outcome = state.apply(state.offset + 1, record.payload)
        if isinstance(outcome, catalog.RefusedRecord):
            refused.append((record.place, outcome))
    return tuple(refused)


def _run(args: argparse.Namespace) -> int:
    if args.schema:
        return _write_schemas(args.schema)
    if not args.files:
        return exits.fail(exits.Exit.USAGE, 'no record files given')
    result = recordfiles.read(args.files)
    if result.is_error():
        return exits.fail(exits.Exit.USAGE, result.error.explanation)
    refused = judge(catalog.CatalogState(), result.ok)
    for place, outcome in refused:
        print(
            f'{place}: {outcome.kind} {outcome.name} is refused '
            f'({outcome.reason.value}): {outcome.explanation}',
            file=sys.stderr,
        )
    accepted = len(result.ok) - len(refused)
    print(f'{accepted} accepted, {len(refused)} refused')
    return exits.Exit.REFUSED if refused else exits.Exit.OK


def _write_schemas(folder: pathlib.Path) -> exits.Exit:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for file in schema.schemas():
            (folder / file.name).write_bytes(file.content)
    except OSError as error:
        return exits.fail(exits.Exit.USAGE, f'cannot write schemas: {error}')
    print(f'{len(schema.schemas())} schemas in {folder}')
    return exits.Exit.OK

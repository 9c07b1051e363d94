"""``dogwoodquay check``: validate records without publishing them."""

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

__all__ = ['find_refused', 'register']


def register(commands: typing.Any) -> None:
    """Add the command to the parser.

    :param commands: the sub-parsers of the command line.
    """
    parser = commands.add_parser(
        'check',
        help='validate records offline',
        description=(
            'Applies the records in the order given, by the same rules as '
            'every instance, and exits with 1 if a record is refused.'
        ),
    )
    parser.add_argument('files', nargs='*', type=pathlib.Path)
    parser.add_argument(
        '--schema',
        type=pathlib.Path,
        metavar='FOLDER',
        help='write the JSON Schemas of all versions to FOLDER and exit',
    )
    parser.set_defaults(run=_run)


def find_refused(
    state: catalog.CatalogState,
    records: typing.Iterable[recordfiles.FileRecord],
) -> tuple[tuple[str, catalog.RefusedRecord], ...]:
    """Apply records to a state.

    :return: each refused record with its file and position.
    """
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
    refused = find_refused(catalog.CatalogState(), result.ok)
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
